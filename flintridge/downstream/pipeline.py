"""Pipelined commands of a client connection: their responses, written in the order of the commands."""

import asyncio
from collections import deque
from typing import Protocol

from flintridge.core.response import Response
from flintridge.downstream.streaming import ClientStream
from flintridge.net import memcache

MAX_PIPELINED_COMMANDS = 16  # that may await their responses; the connection is read no further meanwhile


class PipelineConnection(Protocol):
    """The client connection that pending responses belong to."""

    def check_disconnected(self) -> None:
        """See whether the client has disconnected by now."""

    def flush(self) -> None:
        """Write the responses that are complete, up to the first that is not."""

    def write(self, buffers: list[bytes]) -> None:
        """Write to the client at once."""

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written."""

    def abort_stream(self) -> None:
        """End the connection in the middle of a value."""


class PendingResponse:
    """The place of one command's response among those of its connection; the `Responder` of its request.

    Attributes:
        connection: The client connection.
        id: Of the request, as the client sent it; empty for other commands.
        open_request_id: Of the request, while the request core has it open.
        buffers: The response, once it is complete.
        stream: While a long value is streamed.
    """

    __slots__ = ("buffers", "connection", "id", "open_request_id", "stream")

    def __init__(self, connection: PipelineConnection, request_id: bytes = b"") -> None:
        self.connection = connection
        self.id = request_id
        self.open_request_id: str | None = None
        self.buffers: list[bytes] | None = None
        self.stream: ClientStream | None = None

    # As the request core's responder

    def check_client(self) -> None:
        """See whether the client has disconnected by now."""
        self.connection.check_disconnected()

    def start_stream(self, length: int) -> ClientStream:
        """Respond with a long value of `length` bytes, in chunks."""
        self.open_request_id = None
        self.stream = ClientStream(self, memcache.passage_head(self.id, length))
        self.connection.flush()
        return self.stream

    def respond(self, response: Response) -> None:
        """Respond as a server did."""
        self.complete(memcache.served_parts(self.id, response))

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request: not executed; come again after `retry_after_ms` (0: not said)."""
        self.complete(memcache.defer_parts(retry_after_ms))

    def fail(self) -> None:
        """Fail the request, with nothing said about whether it was executed."""
        self.complete([memcache.FAILED])

    def complete(self, buffers: list[bytes]) -> None:
        """Set the whole response, or the end of a streamed one; it is written in its turn."""
        self.buffers = buffers
        self.connection.flush()

    # As the channel of its stream

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written.

        Raises:
            DeadlineExceededError: The client reads nothing at all.
            OSError: The connection has ended.
        """
        await self.connection.wait_until_read()

    def write(self, buffers: list[bytes]) -> None:
        """Write to the client at once."""
        self.connection.write(buffers)

    def complete_stream(self) -> None:
        """Write the end of the value."""
        self.stream = None
        self.complete([memcache.EOL])

    def abort_stream(self) -> None:
        """The end of the value is never written: what came is fewer bytes than its head announced."""
        self.stream = None
        self.connection.abort_stream()


class ResponsePipeline:
    """The pending responses of one connection, in the order of their commands."""

    __slots__ = ("_changed", "_pending")

    def __init__(self) -> None:
        self._pending: deque[PendingResponse] = deque()
        self._changed = asyncio.Event()  # a response was taken out

    def __len__(self) -> int:
        return len(self._pending)

    def append(self, pending: PendingResponse) -> None:
        """Add the response to a further command."""
        self._pending.append(pending)

    def last(self) -> PendingResponse:
        """The response to the command that came last."""
        return self._pending[-1]

    async def wait_until_not_full(self) -> None:
        """Wait until a further command may be processed."""
        while len(self._pending) >= MAX_PIPELINED_COMMANDS:
            await self._wait_for_change()

    async def wait_until_empty(self) -> None:
        """Wait until every response is written or abandoned."""
        while self._pending:
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def take_completed(self) -> list[bytes]:
        """Take out the responses that are complete, up to the first that is not; their buffers."""
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
        """Have the first pending response written as it comes, if it is streamed."""
        if self._pending:
            stream = self._pending[0].stream
            if stream is not None:
                stream.start()

    def take_all(self) -> deque[PendingResponse]:
        """Take out every response, complete or not; `notify_waiting` is left to the caller."""
        pending = self._pending
        self._pending = deque()
        return pending

    def notify_waiting(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()
