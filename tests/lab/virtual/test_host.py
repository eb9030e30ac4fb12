"""Hosts that are killed, vanish, are paused, run out of descriptors or get a signal."""

import asyncio
import errno
import signal

import pytest
from support.virtual_network import READ_SIZE, EchoNetwork, outcome_of

from flintridge.lab.virtual import current_host


def test_host_when_killed_then_its_code_stops_and_connections_are_reset_or_refused(recwarn):
    world = EchoNetwork()

    async def test(streams):
        asking = world.client.run(streams[0].read(READ_SIZE))
        ticking = world.server.run(asyncio.sleep(0.5))
        await asyncio.sleep(0)
        world.server.kill()
        assert not world.server.alive
        assert world.server.open_connections == 0
        assert world.server.tasks_alive == 0
        with pytest.raises(RuntimeError):
            world.server.run(asyncio.sleep(0))
        assert await outcome_of(asking) is ConnectionResetError
        assert await outcome_of(world.connect()) is ConnectionRefusedError
        assert not ticking.done()
        assert world.effects == []
        world.server.revive()
        await world.server.run(world.serve())
        streams = await world.connect()
        assert await world.client.run(world.ask(streams)) == b"ask"
        assert not ticking.done()
        assert world.effects == []

    world.play(test)
    assert not [w for w in recwarn if "destroyed" in str(w.message) or "never awaited" in str(w.message)]


def test_host_when_it_kills_itself_then_its_code_has_no_further_effect():
    world = EchoNetwork()

    async def test(streams):
        async def die(reader, writer):
            await reader.read(READ_SIZE)
            writer.write(b"before")
            world.server.kill()
            writer.write(b"after")
            writer.close()
            await asyncio.start_server(die, "10.0.0.1", 82)
            world.effects.append("lives")

        await world.server.run(asyncio.start_server(die, "10.0.0.1", 81))
        reader, writer = await world.client.run(asyncio.open_connection("10.0.0.1", 81))
        writer.write(b"x")
        assert await reader.read(READ_SIZE) == b"before"
        assert await outcome_of(world.client.run(reader.read(READ_SIZE))) is ConnectionResetError
        connecting = world.client.run(asyncio.open_connection("10.0.0.1", 82))
        assert await outcome_of(connecting) is ConnectionRefusedError
        assert not world.effects

    world.play(test)


def test_host_when_vanished_then_is_silent_until_it_is_revived():
    world = EchoNetwork()

    async def test(streams):
        world.server.vanish()
        asking = world.client.run(world.ask(streams))
        connecting = world.connect()
        assert await outcome_of(asking) == "pending"
        assert await outcome_of(connecting) == "pending"
        world.server.revive()
        streams[1].write(b"again")
        assert await outcome_of(asking) is ConnectionResetError
        assert await outcome_of(connecting) == "pending"
        connecting.cancel()

    world.play(test)


def test_host_when_out_of_descriptors_then_connect_fails_and_accept_pauses_for_a_second():
    world = EchoNetwork()
    errors = []

    async def echo(reader, writer):
        while data := await reader.read(READ_SIZE):
            writer.write(data)
        writer.close()

    async def test(streams):
        loop = asyncio.get_running_loop()
        world.server.call(
            loop.set_exception_handler, lambda _, report: errors.append(report["exception"].errno)
        )
        await world.server.run(asyncio.start_server(echo, "10.0.0.1", 81))
        world.server.max_connections = 3  # one of them is open already
        opened = [await world.client.run(asyncio.open_connection("10.0.0.1", 81)) for _ in range(4)]
        asking = [world.client.run(world.ask(pair)) for pair in opened]
        assert [await outcome_of(each) for each in asking[:2]] == [b"ask"] * 2
        assert [await outcome_of(each) for each in asking[2:]] == ["pending"] * 2
        assert set(errors) == {errno.EMFILE}
        assert world.server.out_of_descriptors
        with pytest.raises(OSError, match="Too many open files"):
            await world.server.run(asyncio.open_connection("10.0.0.1", 80))
        for _, writer in opened[:2]:
            writer.close()
        started_s = loop.time()
        assert [await outcome_of(each) for each in asking[2:]] == [b"ask"] * 2
        assert loop.time() - started_s <= 1.1

    world.play(test)


def test_host_when_paused_then_takes_connections_and_data_and_replies_after_resume():
    world = EchoNetwork(window=1000)

    async def test(streams):
        loop = asyncio.get_running_loop()
        seen = []
        for i in range(3):
            world.server.call(loop.call_later, i, seen.append, i)
        world.server.pause()
        asking = world.client.run(world.ask(streams, b"x" * 1500))
        later_streams = await world.connect()
        asking_later = world.client.run(world.ask(later_streams))
        assert await outcome_of(asking) == "pending"
        assert await outcome_of(asking_later) == "pending"
        assert streams[1].transport.get_write_buffer_size() == 500
        assert seen == []
        assert world.server.paused
        world.server.resume()
        assert await outcome_of(asking_later) == b"ask"
        assert set(await outcome_of(asking)) == {ord("x")}
        assert seen == [0, 1, 2]
        world.server.pause()
        world.server.kill()
        world.server.resume()  # must not revive a dead host
        assert await outcome_of(world.client.run(streams[0].read())) is ConnectionResetError

    world.play(test)


def test_host_when_signalled_then_its_handler_runs_or_without_one_it_dies():
    world = EchoNetwork()

    async def test(streams):
        loop = asyncio.get_running_loop()
        hosts = []
        world.server.call(loop.add_signal_handler, signal.SIGTERM, lambda: hosts.append(current_host()))
        world.server.signal(signal.SIGTERM)
        await asyncio.sleep(0)
        assert hosts == [world.server]
        assert world.server.alive
        assert current_host() is None
        world.server.signal(signal.SIGHUP)
        assert not world.server.alive

    world.play(test)


def test_host_when_its_code_fails_or_runs_then_its_own_handler_and_busy_time_record_it():
    world = EchoNetwork()

    async def test(streams):
        loop = asyncio.get_running_loop()
        reports = []
        world.server.call(loop.set_exception_handler, lambda _, report: reports.append(report["exception"]))
        world.server.call(loop.call_soon, lambda: 1 / 0)
        loop.set_exception_handler(lambda _, report: reports.append("lab"))
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0)
        assert isinstance(reports[0], ZeroDivisionError)
        assert reports[1:] == ["lab"]
        client_busy_s = world.client.busy_s
        server_busy_s = world.server.busy_s
        world.server.call(sum, range(300_000))
        await asyncio.sleep(0)
        assert world.server.busy_s > server_busy_s
        assert world.client.busy_s == client_busy_s

    world.play(test)
