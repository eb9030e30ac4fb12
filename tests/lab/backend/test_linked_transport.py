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
def test_bytes_stay_in_order_in_both_directions_in_any_segments_and_precede_the_end(up, down, seed):
    async def test(fabric):
        end, reader, writer = await connected_pair(fabric, keep=True)
        for piece in up:
            writer.write(piece)
        writer.write_eof()  # the other direction stays open, as on a half-closed socket
        for piece in down:
            end.transport.write(piece)
        await until(lambda: sum(map(len, end.received)) == sum(map(len, up)))
        end.transport.writelines([b"last", b"!"])
        end.transport.close()
        assert await reader.read() == b"".join(down) + b"last!"
        assert b"".join(end.received) == b"".join(up)
        assert await end.ended is None

    run_on_fabric(test, LinkPair(seed=seed))


def test_data_is_delivered_with_its_send_time_after_the_modelled_handshake():
    async def test(fabric):
        loop = asyncio.get_running_loop()
        before = loop.time()
        end, _, writer = await connected_pair(fabric)
        writer.write(b"x")
        await until(lambda: end.received)
        # The node's kernel completes the handshake without delay. The modelled one takes the delay of three
        # passes over the links.
        assert loop.time() >= before + 0.060
        assert before <= end.sent_at[0] <= loop.time() - 0.020
        assert fabric.lateness.summary()["samples"] > 0

    run_on_fabric(test, LinkPair(delay_ms=20.0))


def test_a_reset_link_resets_its_connections_on_both_sides_and_refuses_new_ones():
    async def test(fabric):
        listener = await fabric.listen("late", "n0", RecordingProtocol)
        end, reader, _ = await connected_pair(fabric)
        set_link_state(fabric, "reset")
        assert isinstance(await end.ended, ConnectionResetError)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        for dial in (
            asyncio.open_connection(*fabric.address("late", "n0")),
            fabric.connect("c0", "n0", RecordingProtocol),
        ):
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
def test_a_connection_that_lost_data_on_a_silent_link_is_reset_when_either_side_sends_after_it_is_up(side):
    async def test(fabric):
        intact, intact_reader, _ = await connected_pair(fabric)
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
        intact.transport.write(b"nothing lost here")
        intact.transport.close()
        assert await intact_reader.read() == b"nothing lost here"

    run_on_fabric(test)


def test_the_close_of_a_connection_is_also_lost_on_a_silent_link():
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


def test_a_side_that_does_not_read_pauses_the_writer_on_the_other_side():
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
