"""Lingering close of connections that the other side opened, so that no response is lost by a reset."""

import asyncio

from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.streams import discard_input

# So long, and so much, is discarded of the input of a connection that is closed. Guards its last responses:
# closed with input unread it would be reset, and what the other side has not read yet lost.
LINGERING_CLOSE_MS = 500.0
LINGERING_CLOSE_MAX_BYTES = 256 * 1024
SLOW_READER_TIMEOUT_MS = 5_000.0  # so long the other side may read nothing of what was written
READ_BYTES = 64 * 1024


class ConnectionClosedError(FlintridgeError, ConnectionResetError):
    """The connection was closed at this end while somebody waited for it."""


async def wait_until_read(clock: Clock, writer: asyncio.StreamWriter) -> None:
    """Wait until so much of what was written has gone out as the transport's write limits say.

    Raises:
        DeadlineExceededError: The other side reads nothing at all for SLOW_READER_TIMEOUT_MS.
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
    """Close a connection in order.

    All that was written goes out, then the sending half is shut, then input is discarded within bounds.
    Raises nothing for what the other side does: it is the end of this connection either way.
    """
    writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
    try:
        await wait_until_read(clock, writer)
        if writer.can_write_eof():
            writer.write_eof()
        await with_timeout(clock, LINGERING_CLOSE_MS, _discard_input(reader))
    except DeadlineExceededError:
        pass  # it goes on sending, or reads nothing
    except OSError as error:
        error.with_traceback(None)  # the reader keeps it, and with its frames this connection
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
    """Close a connection now, with no time for a lingering close; what lies unread is discarded first."""
    discard_input(writer.transport, LINGERING_CLOSE_MAX_BYTES)
    writer.close()
