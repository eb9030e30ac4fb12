"""Responses to the pipelined commands of a client connection, written in the order of the commands."""

import asyncio
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from flintridge.codec.memcache.encoder import (
    FAILED_RESPONSE,
    encode_rejection,
    encode_response,
    encode_stream_head,
)
from flintridge.codec.memcache.syntax import CRLF
from flintridge.core.response import Response
from flintridge.downstream.streaming import ClientStream

# Maximum number of commands of a connection that await their responses; at this limit the connection is not
# read any further.
MAX_PIPELINED_COMMANDS = 16


class PipelineConnection(Protocol):
    """The client connection that pending responses belong to."""

    def check_disconnected(self) -> None:
        """Check whether the client has disconnected."""

    def flush(self) -> None:
        """Write the responses that are complete, up to the first that is not."""

    def hold_later_commands(self, pending: "PendingResponse") -> bool:
        """Read no command behind the one of `pending`; False if some were read already."""

    def write(self, buffers: Sequence[bytes | bytearray]) -> None:
        """Write to the client without waiting."""

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written."""

    def abort_stream(self) -> None:
        """Close the connection in the middle of a value."""


class PendingResponse:
    """The slot for one command's response in its connection's pipeline; the `Responder` of a request.

    Attributes:
        connection: The client connection.
        id: The request ID as the client sent it; empty for commands that are not requests.
        open_request_id: The request ID while the request core has the request open, else None.
        buffers: The response once it is complete, else None.
        stream: The long value that is being streamed as the response, if any.
    """

    __slots__ = ("buffers", "connection", "id", "open_request_id", "stream")

    def __init__(self, connection: PipelineConnection, request_id: bytes = b"") -> None:
        self.connection = connection
        self.id = request_id
        self.open_request_id: str | None = None
        self.buffers: list[bytes] | None = None
        self.stream: ClientStream | None = None

    # Responder, called by the request core

    def check_client(self) -> None:
        """Check whether the client has disconnected."""
        self.connection.check_disconnected()

    def hold_later_commands(self) -> bool:
        """Read no command behind this one until its response is complete; False if some were read already."""
        return self.connection.hold_later_commands(self)

    def start_stream(self, length: int) -> ClientStream:
        """Respond with a long value of `length` bytes, in chunks."""
        self.open_request_id = None
        self.stream = ClientStream(self, encode_stream_head(self.id, length))
        self.connection.flush()
        return self.stream

    def respond(self, response: Response) -> None:
        """Forward the response of a server."""
        self.complete(encode_response(self.id, response))

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request, which was not executed; retry after `retry_after_ms` (0 sends no time)."""
        self.complete(encode_rejection(retry_after_ms))

    def fail(self) -> None:
        """Fail the request, without stating whether it was executed."""
        self.complete([FAILED_RESPONSE])

    def complete(self, buffers: list[bytes]) -> None:
        """Set the complete response, or the end of a streamed one, to be written after all earlier ones."""
        self.buffers = buffers
        self.connection.flush()

    # StreamChannel, called by the stream

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written.

        Raises:
            DeadlineExceededError: The client reads nothing at all.
            OSError: The connection has ended.
        """
        await self.connection.wait_until_read()

    def write(self, buffers: Sequence[bytes | bytearray]) -> None:
        """Write to the client without waiting."""
        self.connection.write(buffers)

    def complete_stream(self) -> None:
        """Write the end of the value."""
        self.stream = None
        self.complete([CRLF])

    def abort_stream(self) -> None:
        """Close the connection without the end of the value: the client got fewer bytes than announced."""
        self.stream = None
        self.connection.abort_stream()

    def fail_stream(self) -> None:
        """Fail the request; nothing of the value was written."""
        self.stream = None
        self.fail()


class ResponsePipeline:
    """The pending responses of one connection, in the order of their commands."""

    __slots__ = ("_changed", "_pending")

    def __init__(self) -> None:
        self._pending: deque[PendingResponse] = deque()
        self._changed = asyncio.Event()  # set when a response was removed

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def complete_bytes(self) -> int:
        """The length of the responses that are complete and wait for earlier ones."""
        count = 0
        for pending in self._pending:
            if pending.buffers is not None:
                count += sum(map(len, pending.buffers))
        return count

    def append(self, pending: PendingResponse) -> None:
        """Add the pending response to the next command."""
        self._pending.append(pending)

    def last(self) -> PendingResponse:
        """Return the pending response to the most recent command."""
        return self._pending[-1]

    @property
    def full(self) -> bool:
        """Whether no further command may be processed."""
        return len(self._pending) >= MAX_PIPELINED_COMMANDS

    async def wait_until_empty(self) -> None:
        """Wait until every response is written or abandoned."""
        while self._pending:
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until a response was removed."""
        self._changed.clear()
        await self._changed.wait()

    def take_completed(self) -> list[bytes]:
        """Remove the complete responses up to the first incomplete one, and return their buffers."""
        completed: list[bytes] = []
        while self._pending:
            buffers = self._pending[0].buffers
            if buffers is None:
                break
            completed += buffers
            self._pending.popleft()
            self._changed.set()
        return completed

    def start_next_stream(self) -> None:
        """Start writing the first pending response if it is a stream."""
        if self._pending:
            stream = self._pending[0].stream
            if stream is not None:
                stream.start()

    def take_all(self) -> deque[PendingResponse]:
        """Remove and return all responses, complete or not; the caller has to call `notify_waiting`."""
        pending = self._pending
        self._pending = deque()
        return pending

    def notify_waiting(self) -> None:
        """Wake the tasks that wait for responses to be removed."""
        self._changed.set()
