"""Streams: counting of bytes, detection of a connection's end, and bounded reads."""

import asyncio

import pytest
from support.network import until

from flintridge.runtime.streams import (
    UNRESERVED_READ_BYTES,
    TrackingReader,
    discard_input,
    has_pending_input,
    is_reusable,
    open_connection,
    peer_has_closed,
)


class Connection:
    """A connection to a server in this process; `peer` is the server's end of it."""

    async def __aenter__(self) -> "Connection":
        accepted = asyncio.get_running_loop().create_future()
        self._server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(writer), "127.0.0.1", 0
        )
        self.reader = TrackingReader(asyncio.get_running_loop())
        port = self._server.sockets[0].getsockname()[1]
        self.writer = await open_connection(self.reader, "127.0.0.1", port)
        self.transport = self.writer.transport
        self.peer: asyncio.StreamWriter = await accepted
        return self

    async def __aexit__(self, *_: object) -> None:
        self.peer.close()
        self.writer.close()
        self._server.close()
        await self._server.wait_closed()


def test_reader_when_bytes_arrive_then_counts_the_received_and_the_read_ones():
    async def test():
        async with Connection() as connection:
            assert is_reusable(connection.reader, connection.writer)
            connection.peer.write(b"12345")
            await until(lambda: connection.reader.has_unread)
            assert not is_reusable(connection.reader, connection.writer)
            assert await connection.reader.read(3) == b"123"
            assert (connection.reader.received_bytes, connection.reader.read_bytes) == (5, 3)
            assert await connection.reader.read(3) == b"45"
            assert not connection.reader.has_unread
            assert is_reusable(connection.reader, connection.writer)

    asyncio.run(test())


def test_reader_when_the_stream_ends_after_unread_bytes_then_reports_the_end_immediately():
    async def test():
        async with Connection() as connection:
            ends = []
            connection.reader.on_end = lambda: ends.append(connection.reader.has_unread)
            connection.peer.write(b"12345")
            connection.peer.close()
            await until(lambda: ends)
            assert ends[0]
            assert not connection.reader.exhausted
            assert await connection.reader.read(5) == b"12345"
            assert connection.reader.exhausted
            assert not is_reusable(connection.reader, connection.writer)

    asyncio.run(test())


def test_open_connection_when_opened_then_reads_no_more_than_the_limit_at_a_time():
    async def test():
        async with Connection() as connection:
            assert connection.transport.max_size == UNRESERVED_READ_BYTES

    asyncio.run(test())


def test_open_connection_when_nobody_listens_then_raises_oserror():
    async def test():
        async with Connection() as connection:
            port = connection.writer.get_extra_info("peername")[1]
        with pytest.raises(OSError, match="Connect call failed"):
            await open_connection(TrackingReader(asyncio.get_running_loop()), "127.0.0.1", port)

    asyncio.run(test())


def test_pending_input_when_the_event_loop_has_not_read_it_then_is_detected_and_can_be_discarded():
    async def test():
        async with Connection() as connection:
            connection.transport.pause_reading()
            assert not has_pending_input(connection.transport)
            connection.peer.write(b"12345")
            await until(lambda: has_pending_input(connection.transport))
            assert not peer_has_closed(connection.transport)
            discard_input(connection.transport, 5)
            assert not has_pending_input(connection.transport)
            connection.peer.write(b"67890")
            connection.peer.close()
            await until(lambda: peer_has_closed(connection.transport))
            assert connection.reader.received_bytes == 0

    asyncio.run(test())
