"""Lingering close of accepted connections, so that a reset does not destroy the last responses."""

import asyncio

from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.streams import discard_input

# Limits on the input that is discarded while a connection is closed. Guards its last responses: closing a
# connection with unread input resets it, and the peer loses the responses that it has not read yet.
LINGERING_CLOSE_MS = 500.0
LINGERING_CLOSE_MAX_BYTES = 256 * 1024
SLOW_READER_TIMEOUT_MS = 5_000.0  # how long the peer may read nothing of what was written
READ_BYTES = 64 * 1024


class ConnectionClosedError(FlintridgeError, ConnectionResetError):
    """The connection was closed by this process while a task waited for the peer to read."""


async def wait_until_read(clock: Clock, writer: asyncio.StreamWriter) -> None:
    """Wait until the write buffer has drained as far as the transport's write limits require.

    Raises:
        DeadlineExceededError: The peer reads nothing at all for SLOW_READER_TIMEOUT_MS.
        OSError: The connection has ended.
    """
    transport = writer.transport
    while True:
        if transport.is_closing():
            raise ConnectionClosedError("the connection was closed")
        unread_bytes = transport.get_write_buffer_size()
        try:
            await with_timeout(clock, SLOW_READER_TIMEOUT_MS, writer.drain())
            return
        except DeadlineExceededError:
            if transport.get_write_buffer_size() >= unread_bytes:
                raise


async def close_lingering(clock: Clock, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close a connection in an orderly way.

    The write buffer is flushed, then the write side is shut down, then input is discarded within bounds.
    Errors that the peer causes are not raised, since the connection is closed in any case.
    """
    writer.transport.set_write_buffer_limits(high=0)  # makes `drain` wait until the buffer is empty
    try:
        await wait_until_read(clock, writer)
        if writer.can_write_eof():
            writer.write_eof()
        await with_timeout(clock, LINGERING_CLOSE_MS, _discard_input(reader))
    except DeadlineExceededError:
        pass  # the peer keeps sending, or reads nothing
    except OSError as error:
        # The reader keeps the exception, whose traceback would keep this connection alive.
        error.with_traceback(None)
    finally:
        abort_connection(writer)


async def _discard_input(reader: asyncio.StreamReader) -> None:
    remaining_bytes = LINGERING_CLOSE_MAX_BYTES
    while remaining_bytes > 0:
        data = await reader.read(READ_BYTES)
        if not data:
            return
        remaining_bytes -= len(data)


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection immediately, without a lingering close; unread input is discarded first."""
    discard_input(writer.transport, LINGERING_CLOSE_MAX_BYTES)
    writer.close()
