"""A client's connection to a node. Requests are pipelined; responses come in the order of the requests."""

import asyncio
from collections import deque
from typing import Literal, NamedTuple, Protocol

from flintridge.lab.load.responses import Response, ResponseParser


class ConnectionEnd(NamedTuple):
    """How the node ended a connection, as seen by one request on it.

    Attributes:
        kind: Whether the node closed or reset the connection.
        is_partial: Whether it ended in the middle of this request's response.
        may_have_crossed: Whether the node may have closed it between requests, without reading this one.
    """

    kind: Literal["closed", "reset"]
    is_partial: bool
    may_have_crossed: bool


class ResponseHandler(Protocol):
    """An attempt that waits for its response on a connection. One of the last three methods ends it.

    Attributes:
        request_id: The attempt's id.
    """

    request_id: str

    def on_connected(self, connection: "ClientConnection") -> None:
        """A connection is ready for the attempt."""

    def on_connect_failed(self, reason: str) -> None:
        """No connection could be opened."""

    def on_written(self) -> None:
        """The last byte of the command has been sent."""

    def on_response(self, response: Response) -> bool:
        """A response arrived; return whether the connection may still be used."""

    def on_connection_closed(self, end: ConnectionEnd) -> None:
        """The node closed or reset the connection, before or in the middle of the response."""

    def on_connection_dropped(self) -> None:
        """The client closed the connection because of another request on it."""


class ConnectionOwner(Protocol):
    """The methods of a pool that a connection calls."""

    def add(self, connection: "ClientConnection") -> None:
        """Add a connection that has been opened."""

    def release(self, connection: "ClientConnection") -> None:
        """Take back a connection that has become idle."""

    def remove(self, connection: "ClientConnection") -> None:
        """Remove a connection that has ended."""

    def abandon_later(self, connection: "ClientConnection", delay_ms: float) -> None:
        """Abandon a connection after a delay."""

    def node_deaths(self) -> int:
        """Return how often the node has died so far."""

    def log_response(self, request_id: str, response: Response) -> None:
        """Record a response that no request is waiting for."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client machine to a node.

    Attributes:
        is_single_use: Whether it carries only one request. It then stays open, unused.
        pending: The handlers that wait for a response, in the order of the requests.
        number: The connection's number, unique in the run.
        node_deaths: How often the node had died when the connection was opened.
        idle_since_ms: When it last became idle.
    """

    __slots__ = (
        "_awaits_late_response",
        "_is_over",
        "_last_request_id",
        "_owner",
        "_parser",
        "_response_count",
        "_transport",
        "_unwritten",
        "idle_since_ms",
        "is_single_use",
        "node_deaths",
        "number",
        "pending",
    )

    def __init__(self, owner: ConnectionOwner, is_single_use: bool) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser()
        self._unwritten: deque[ResponseHandler] = deque()
        self._response_count = 0
        self._last_request_id = ""  # the last request that got a response
        self._is_over = False
        self._awaits_late_response = False  # kept open only for a late response
        self.is_single_use = is_single_use
        self.pending: deque[ResponseHandler] = deque()
        self.number = 0
        self.node_deaths = 0
        self.idle_since_ms = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether a request may be written to the connection."""
        if self._is_over or self._awaits_late_response or self._transport is None:
            return False
        return not self._transport.is_closing()

    def write(self, handler: ResponseHandler, data: bytes) -> None:
        """Send a command; its handler is notified when the last byte has been sent."""
        assert self._transport is not None
        self.pending.append(handler)
        self._transport.write(data)
        if self._unwritten or self._transport.get_write_buffer_size():
            self._unwritten.append(handler)
        else:
            handler.on_written()

    def return_to_pool(self) -> None:
        """Return the connection to its pool, after it was taken and nothing was sent on it."""
        if self.is_usable and not self.pending:
            self._owner.release(self)

    def await_late_response(
        self, handler: ResponseHandler, late: ResponseHandler, duration_ms: float
    ) -> None:
        """Replace a handler that has timed out by `late` for this long, then close the connection."""
        if self._is_over:
            return
        self._awaits_late_response = True
        self.pending[self.pending.index(handler)] = late
        self._owner.abandon_later(self, duration_ms)

    def abandon(self, handler: ResponseHandler | None = None) -> None:
        """Close the connection at once.

        Args:
            handler: The handler that caused it, which is not notified. The other handlers are notified, and
                lose their responses.
        """
        if self._is_over:
            return
        handlers = self._finish()
        if self._transport is not None:
            self._transport.abort()
        for dropped in handlers:
            if dropped is not handler:
                dropped.on_connection_dropped()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to its pool."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._is_over:  # abandoned while it was being opened
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)  # so that resume_writing is called at the last byte
        self._owner.add(self)

    def resume_writing(self) -> None:
        """Notify the handlers whose last byte has been sent."""
        while self._unwritten:
            self._unwritten.popleft().on_written()

    def data_received(self, data: bytes) -> None:
        """Pass each response to the first pending handler."""
        for response in self._parser.feed(data):
            if self._is_over:
                return
            if not self.pending:
                self._on_unexpected(response)
                return
            if not self._dispatch(self.pending.popleft(), response):
                self.abandon()
                return
        if not self.pending:
            self._on_idle()

    def eof_received(self) -> None:
        """Handle the end of the node's data as the end of the connection."""
        self._on_closed("closed")

    def connection_lost(self, error: Exception | None) -> None:
        """Notify all pending handlers of the end of the connection."""
        self._on_closed("closed" if error is None else "reset")

    def _dispatch(self, handler: ResponseHandler, response: Response) -> bool:
        """Pass a response to its handler; return whether the connection may still be used."""
        previous = self._last_request_id
        if response.request_id and response.request_id == previous and previous != handler.request_id:
            self._log(response)  # a second response to the previous request
        self._last_request_id = handler.request_id
        self._response_count += 1
        # The response may arrive before the command is completely written.
        if self._unwritten and self._unwritten[0] is handler:
            self._unwritten.popleft().on_written()
        return handler.on_response(response)

    def _on_idle(self) -> None:
        if self._parser.is_partial:
            self._on_unexpected(Response("garbled", "bytes that nobody asked for"))
        elif self._awaits_late_response:
            self.abandon()
        else:
            self._owner.release(self)

    def _on_unexpected(self, response: Response) -> None:
        """Record an unexpected response as a second one to the last request, and close the connection."""
        if self._last_request_id:
            self._log(response)
        self.abandon()

    def _log(self, response: Response) -> None:
        self._owner.log_response(response.request_id or self._last_request_id, response)

    def _on_closed(self, kind: Literal["closed", "reset"]) -> None:
        if self._is_over:
            return
        is_partial = self._parser.is_partial
        # A killed process did not close the connection between requests: it may have read all of them.
        is_same_process = self.node_deaths == self._owner.node_deaths()
        may_have_crossed = self._response_count > 0 and not is_partial and is_same_process
        for handler in self._finish():
            handler.on_connection_closed(ConnectionEnd(kind, is_partial, may_have_crossed))
            is_partial = False

    def _finish(self) -> list[ResponseHandler]:
        self._is_over = True
        self._owner.remove(self)
        handlers = list(self.pending)
        self.pending.clear()
        self._unwritten.clear()
        return handlers
