"""Streams: compared with asyncio on real sockets, and over links that split and delay data."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, until
from support.virtual_network import READ_SIZE, RandomLink

from flintridge.lab.virtual import FixedLink, Network, run

MORE_THAN_KERNELS_BUFFER = 8 << 20


class RecordingProtocol(asyncio.Protocol):
    """Records its calls; `keep_open` is what eof_received returns."""

    def __init__(self, keep_open: bool = False) -> None:
        self.keep_open = keep_open
        self.calls = []
        self.size = 0
        self.transport: asyncio.Transport

    def connection_made(self, transport):
        self.transport = transport
        self.calls.append("made")

    def data_received(self, data):
        self.size += len(data)
        if self.calls[-1] != "data":
            self.calls.append("data")

    def eof_received(self):
        self.calls.append("eof")
        return self.keep_open

    def connection_lost(self, error):
        self.calls.append(("lost", type(error).__name__))

    def pause_writing(self):
        self.calls.append("pause")

    def resume_writing(self):
        self.calls.append("resume")

    @property
    def ended(self) -> bool:
        return self.calls[-1][0] == "lost"


async def connected_pair(keep_open: bool = False) -> tuple[RecordingProtocol, RecordingProtocol]:
    """Return the protocols of a client and of the server's end of its connection."""
    loop = asyncio.get_running_loop()
    accepted = []

    def accept():
        accepted.append(RecordingProtocol(keep_open))
        return accepted[-1]

    server = await loop.create_server(accept, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    _, client = await loop.create_connection(lambda: RecordingProtocol(keep_open), *address)
    await until(lambda: accepted and accepted[0].calls)
    return client, accepted[0]


# Behaviours that must be the same on real sockets and in virtual time


async def half_close():
    client, server = await connected_pair(keep_open=True)
    client.transport.write(b"ask")
    client.transport.write_eof()
    with pytest.raises(RuntimeError):
        client.transport.write(b"more")
    await until(lambda: server.calls[-1] == "eof")
    server.transport.write(b"answer")
    server.transport.close()
    await until(lambda: client.calls[-1] == "eof")
    client.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.calls, client.size, server.calls, server.size


async def eof_of_the_peer_closes():
    client, server = await connected_pair()
    server.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.calls, server.calls, client.transport.is_closing(), client.transport.get_protocol()


async def abort_drops_unsent_data_and_sends_eof():
    client, server = await connected_pair()
    server.transport.write(b"x" * MORE_THAN_KERNELS_BUFFER)
    unwritten = server.transport.get_write_buffer_size() > 0
    server.transport.abort()
    server.transport.write(b"late")
    await until(lambda: client.ended and server.ended)
    return unwritten, client.calls, 0 < client.size < MORE_THAN_KERNELS_BUFFER, server.calls


async def close_with_unread_input(action: str = "close"):
    client, server = await connected_pair()
    server.transport.pause_reading()
    client.transport.write(b"unread")
    await asyncio.sleep(0.005)
    server.transport.write(b"bye")
    getattr(server.transport, action)()
    await until(lambda: client.ended and server.ended)
    return client.calls, client.size, server.calls


async def abort_with_unread_input():
    return await close_with_unread_input("abort")


async def a_reset_is_seen_by_a_paused_side_when_it_writes():
    client, server = await connected_pair()
    client.transport.pause_reading()
    server.transport.pause_reading()
    client.transport.write(b"unread")
    await asyncio.sleep(0.005)
    server.transport.write(b"lost with the connection")
    server.transport.close()
    await until(lambda: server.ended)
    await asyncio.sleep(0.005)
    before = list(client.calls)
    client.transport.write(b"x")
    await until(lambda: client.ended)
    return before, client.calls, client.size


async def writing_to_a_closed_peer():
    client, server = await connected_pair(keep_open=True)
    server.transport.close()
    await until(lambda: client.calls[-1] == "eof")
    client.transport.write(b"first")
    await asyncio.sleep(0.005)
    still_open = not client.transport.is_closing()
    client.transport.write(b"second")
    await until(lambda: client.ended)
    client.transport.write(b"third")
    return still_open, client.calls


async def close_writes_unsent_data():
    client, server = await connected_pair()
    client.transport.write(b"x" * MORE_THAN_KERNELS_BUFFER)
    client.transport.close()
    client.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.calls, server.calls, server.size


async def back_pressure():
    client, server = await connected_pair()
    server.transport.pause_reading()
    server.transport.pause_reading()
    client.transport.writelines([b"x" * (MORE_THAN_KERNELS_BUFFER // 2)] * 2)
    await asyncio.sleep(0.005)
    while_paused = client.transport.get_write_buffer_size() > 0, server.size, client.calls[-1]
    server.transport.resume_reading()
    await until(lambda: server.size == MORE_THAN_KERNELS_BUFFER)
    await until(lambda: client.calls[-1] == "resume")
    return while_paused, client.calls, client.transport.get_write_buffer_size(), server.calls


async def drain_without_a_buffer():
    read_now = asyncio.Event()
    sizes = []

    async def serve(reader, writer):
        await read_now.wait()
        sizes.append(len(await reader.read()))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(b"x" * MORE_THAN_KERNELS_BUFFER)
    draining = asyncio.ensure_future(writer.drain())
    await asyncio.sleep(0.005)
    drained_early = draining.done()
    read_now.set()
    await draining
    unsent = writer.transport.get_write_buffer_size()
    writer.write_eof()
    end = await reader.read()
    writer.close()
    await writer.wait_closed()
    return drained_early, unsent, end, sizes


async def write_buffer_limits():
    client, _ = await connected_pair()
    transport = client.transport
    seen = []
    for options in ({}, {"high": 0}, {"high": 100}, {"low": 10}, {"high": 9, "low": 3}):
        transport.set_write_buffer_limits(**options)
        seen.append(transport.get_write_buffer_limits())
    with pytest.raises(ValueError, match="must be >="):
        transport.set_write_buffer_limits(high=1, low=2)
    with pytest.raises(TypeError):
        transport.write("text")
    return seen, transport.can_write_eof(), transport.is_reading()


async def cancelled_connect_and_read():
    """A cancelled connect and a cancelled read leave no connection and no reader behind."""
    ended = []

    async def serve(reader, writer):
        while data := await reader.read(READ_SIZE):
            writer.write(data)
        ended.append(True)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    connecting = asyncio.ensure_future(asyncio.open_connection(*address))
    await asyncio.sleep(0)
    connecting.cancel()
    (outcome,) = await asyncio.gather(connecting, return_exceptions=True)
    reader, writer = await asyncio.open_connection(*address)
    reading = asyncio.ensure_future(reader.read(READ_SIZE))
    await asyncio.sleep(0)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    writer.write(b"echo")
    echo = await reader.readexactly(4)
    writer.close()
    await until(lambda: ended)
    return type(outcome), echo, reading.cancelled()


async def listening():
    async def serve(reader, writer):
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    seen = [server.is_serving(), len(server.sockets), address[1] > 0]
    with pytest.raises(OSError, match="address") as taken:
        await asyncio.start_server(serve, *address)
    reader, writer = await asyncio.open_connection(*address)
    seen += [taken.value.errno, writer.get_extra_info("peername") == address, await reader.read()]
    writer.close()
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectionRefusedError) as refused:
        await asyncio.open_connection(*address)
    message = str(refused.value).replace(str(address), "there")
    return seen, server.is_serving(), server.sockets, message


@pytest.mark.parametrize(
    "behaviour",
    [
        half_close,
        eof_of_the_peer_closes,
        abort_drops_unsent_data_and_sends_eof,
        close_with_unread_input,
        abort_with_unread_input,
        a_reset_is_seen_by_a_paused_side_when_it_writes,
        writing_to_a_closed_peer,
        close_writes_unsent_data,
        back_pressure,
        drain_without_a_buffer,
        write_buffer_limits,
        cancelled_connect_and_read,
        listening,
    ],
)
def test_stream_when_run_in_virtual_time_then_behaves_as_on_sockets(behaviour):
    on_sockets = asyncio.run(behaviour())
    network = Network()
    assert run(behaviour(), network) == on_sockets
    assert network.lab.open_connections <= 2  # some behaviours leave their own connections open


@FIXED
@given(st.integers(0, 999), st.lists(st.binary(min_size=1, max_size=3000), max_size=8), st.integers(1, 4000))
def test_stream_when_its_link_splits_and_delays_data_at_random_then_bytes_stay_in_order(seed, writes, window):
    received: list[bytes] = []

    async def main():
        async def serve(reader, writer):
            received.append(await reader.read())
            writer.writelines(writes)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=100)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname(), limit=100)
        for data in writes:
            writer.write(data)
        writer.write_eof()
        received.append(await reader.read())
        writer.close()

    network = Network(lambda source, target: RandomLink(seed), window=window)
    run(main(), network, max_handles_at_once=100_000)
    assert received == [b"".join(writes)] * 2


def test_write_when_the_link_splits_it_then_each_segment_is_read_separately():
    sizes = []

    async def main():
        loop = asyncio.get_running_loop()

        async def serve(reader, writer):
            while data := await reader.read(READ_SIZE):
                sizes.append(len(data))
                assert loop.time() - writer.get_extra_info("sent_at") == pytest.approx(5e-5, abs=5e-6)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"x" * 25)
        writer.close()
        await until(lambda: sum(sizes) == 25)

    run(main(), Network(lambda source, target: FixedLink(segment_bytes=10)))
    assert sizes == [10, 10, 5]
