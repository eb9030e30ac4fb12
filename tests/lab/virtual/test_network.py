"""Links that become silent, reset connections and recover while connections are open."""

import asyncio

import pytest
from support.virtual_network import READ_SIZE, EchoNetwork, outcome_of

from flintridge.lab.virtual import FixedLink, Network


def test_connection_when_its_link_was_silent_and_lost_bytes_then_is_reset_at_the_next_send():
    world = EchoNetwork()

    async def test(streams):
        idle_streams = await world.connect()
        world.set_links("silent", "client", "server")
        asking = world.client.run(world.ask(streams))
        connecting = world.connect()
        assert await outcome_of(asking) == "pending"
        world.set_links("up", "client", "server")
        assert await outcome_of(asking) == "pending"
        assert await outcome_of(connecting) == "pending"
        assert not world.effects
        assert await world.client.run(world.ask(idle_streams)) == b"ask"  # this connection lost no bytes
        streams[1].write(b"again")
        assert await outcome_of(asking) is ConnectionResetError
        assert world.effects == [("server", ConnectionResetError), "finally"]
        connecting.cancel()

    world.play(test)


def test_connection_when_its_link_becomes_silent_with_bytes_in_flight_then_delivers_no_gap():
    world = EchoNetwork()

    async def test(streams):
        asking = world.client.run(world.ask(streams, b"one"))
        await asyncio.sleep(0.0005)
        world.set_links("silent", "client", "server")
        await asyncio.sleep(0.001)
        world.set_links("up", "client", "server")
        streams[1].write(b"two")
        assert await outcome_of(asking) is ConnectionResetError

    world.play(test)


def test_connection_when_its_sender_waits_for_the_window_then_a_lost_byte_resets_it():
    world = EchoNetwork(window=1000)

    async def test(streams):
        streams[1].write(b"x" * 5000)
        world.set_links("silent", "client", "server")
        reading = world.client.run(streams[0].read())
        assert await outcome_of(reading) == "pending"
        world.set_links("up", "client", "server")
        assert await outcome_of(reading) is ConnectionResetError

    world.play(test)


@pytest.mark.parametrize("silent_to_client", [False, True])
def test_link_when_reset_then_resets_both_sides_except_one_to_which_it_is_silent(silent_to_client):
    world = EchoNetwork()

    async def test(streams):
        asking = world.client.run(streams[0].read(READ_SIZE))
        await asyncio.sleep(0)
        if silent_to_client:
            world.links["server", "client"].state = "silent"
        world.links["client", "server"].state = "reset"
        world.network.link_changed("client", "server")
        assert await outcome_of(asking) == ("pending" if silent_to_client else ConnectionResetError)
        assert world.effects == [("server", ConnectionResetError), "finally"]
        if not silent_to_client:
            assert await outcome_of(world.connect()) is ConnectionResetError

    world.play(test)


def test_link_when_forgotten_then_is_created_again():
    created_for = []

    def make_link(source, target):
        created_for.append((source, target))
        return FixedLink()

    network = Network(make_link)
    assert network.link("a", "b") is network.link("a", "b")
    network.forget_links()
    network.link("a", "b")
    assert created_for == [("a", "b")] * 2


def test_network_when_no_loop_is_attached_then_raises():
    with pytest.raises(RuntimeError, match="no VirtualLoop"):
        Network().loop  # noqa: B018
