"""Connections between the lab and nodes, with modelled links on real sockets."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.loopback import (
    SHORT_S,
    LinkPair,
    RecordingProtocol,
    connected_pair,
    run_on_fabric,
    set_link_state,
    until,
)


@settings(derandomize=True, deadline=None, database=None, max_examples=40)
@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=12),
    st.lists(st.binary(min_size=1, max_size=300), max_size=12),
    st.integers(1, 10**6),
)
def test_bytes_keep_their_order_both_ways_in_any_pieces_and_ends_come_behind_them(up, down, seed):
    async def test(fabric):
        end, reader, writer = await connected_pair(fabric, keep=True)
        for piece in up:
            writer.write(piece)
        writer.write_eof()  # the answers still come, as on a half-closed socket
        for piece in down:
            end.transport.write(piece)
        await until(lambda: sum(map(len, end.received)) == sum(map(len, up)))
        end.transport.writelines([b"last", b"!"])
        end.transport.close()
        assert await reader.read() == b"".join(down) + b"last!"
        assert b"".join(end.received) == b"".join(up)
        assert await end.ended is None

    run_on_fabric(test, LinkPair(seed=seed))


def test_bytes_are_handed_up_with_the_time_of_their_sending_after_the_handshake_of_the_model():
    async def test(fabric):
        loop = asyncio.get_running_loop()
        before = loop.time()
        end, _, writer = await connected_pair(fabric)
        writer.write(b"x")
        await until(lambda: end.received)
        # The node's kernel needed no time for the handshake; the links take theirs: there, back and there.
        assert loop.time() >= before + 0.060
        assert before <= end.sent_at[0] <= loop.time() - 0.020
        assert fabric.lateness.summary()["samples"] > 0

    run_on_fabric(test, LinkPair(delay_ms=20.0))


def test_a_reset_link_ends_its_connections_at_once_on_both_sides_and_refuses_new_ones():
    async def test(fabric):
        listener = await fabric.listen("late", "n0", End)
        end, reader, _ = await connected_pair(fabric)
        set_link_state(fabric, "reset")
        assert isinstance(await end.ended, ConnectionResetError)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        for dial in (asyncio.open_connection(*fabric.address("late", "n0")), fabric.connect("c0", "n0", End)):
            with pytest.raises(ConnectionError):
                await dial
        set_link_state(fabric, "up")
        _, writer = await asyncio.open_connection(*fabric.address("late", "n0"))
        writer.close()
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*fabric.address("late", "n0"))
        assert fabric.problems == []

    run_on_fabric(test)


@pytest.mark.parametrize("side", ["node", "lab"])
def test_what_a_silent_link_lost_is_reset_when_either_side_sends_after_it_is_back(side):
    async def test(fabric):
        sound, sound_reader, _ = await connected_pair(fabric)
        end, reader, writer = await connected_pair(fabric)
        end.transport.write(b"before")
        assert await reader.readexactly(6) == b"before"
        set_link_state(fabric, "silent")
        writer.write(b"lost")
        end.transport.write(b"lost")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_S)
        set_link_state(fabric, "up")
        assert end.received == [] and not end.ended.done()
        if side == "node":
            writer.write(b"after")
        else:
            end.transport.write(b"after")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        assert isinstance(await end.ended, ConnectionResetError) and end.received == []
        sound.transport.write(b"nothing lost here")
        sound.transport.close()
        assert await sound_reader.read() == b"nothing lost here"

    run_on_fabric(test)


def test_the_end_of_a_connection_is_lost_on_a_silent_link_too():
    async def test(fabric):
        end, reader, writer = await connected_pair(fabric)
        gone, _, gone_writer = await connected_pair(fabric)
        set_link_state(fabric, "silent")
        end.transport.close()
        gone_writer.close()
        assert await end.ended is None
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_S)
        set_link_state(fabric, "up")
        assert not gone.ended.done()
        gone.transport.write(b"to nobody")
        assert isinstance(await gone.ended, ConnectionResetError)
        writer.write(b"to nobody")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        await until(lambda: not fabric.connections)

    run_on_fabric(test)


def test_both_sides_hold_the_other_up_until_they_read():
    async def test(fabric):
        end, reader, writer = await connected_pair(fabric, keep=True)
        end.transport.pause_reading()
        writer.write(b"y" * 20_000_000)
        end.transport.write(b"z" * 20_000_000)
        await until(lambda: end.paused == [True])
        assert end.transport.get_write_buffer_size() > 0 and end.received == []
        assert writer.transport.get_write_buffer_size() > 0
        assert await reader.readexactly(20_000_000) == b"z" * 20_000_000
        await until(lambda: end.paused == [True, False])
        end.transport.resume_reading()
        await until(lambda: sum(map(len, end.received)) == 20_000_000)
        end.transport.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read()

    run_on_fabric(test)
