"""The end of a connection that somebody else opened, in order: no answer is lost by it."""

import asyncio

from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.streams import discard_input

# So long, and so much, is read past on a connection that is closed. Guards its last answers: closed with
# input unread it would be reset, and what the other side has not read yet lost.
PARTING = 500.0
PARTING_BYTES = 256 * 1024
SLOW_READER = 5_000.0  # so long the other side may read nothing of what was written; then it is cut off


async def all_read(clock: Clock, writer: asyncio.StreamWriter) -> None:
    """Until so much of what was written has gone out as the transport's limits say. Raises
    DeadlineExceededError where the other side reads nothing at all, OSError where the connection has
    ended."""
    transport = writer.transport
    while True:
        if transport.is_closing():
            raise ConnectionResetError("the connection was closed")
        unread = transport.get_write_buffer_size()
        try:
            await with_timeout(clock, SLOW_READER, writer.drain())
            return
        except DeadlineExceededError:
            if transport.get_write_buffer_size() >= unread:
                raise


async def part(clock: Clock, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Have all that was written go out, shut the sending half, read past what still comes within bounds, and
    close. Whatever becomes of it is this connection's own end: nothing is raised."""
    writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
    try:
        await all_read(clock, writer)
        if writer.can_write_eof():
            writer.write_eof()
        await with_timeout(clock, PARTING, _read_past(reader))
    except DeadlineExceededError:
        pass  # it goes on sending, or reads nothing
    except OSError as error:
        error.with_traceback(None)  # the reader keeps it, and with its frames this connection
    finally:
        let_go(writer)


async def _read_past(reader: asyncio.StreamReader) -> None:
    left = PARTING_BYTES
    while left > 0 and (data := await reader.read(65536)):
        left -= len(data)


def let_go(writer: asyncio.StreamWriter) -> None:
    """Close it now, where no time is left to part in order; what lies there unread is read past first."""
    discard_input(writer.transport, PARTING_BYTES)
    writer.close()
