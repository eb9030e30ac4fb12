"""Responses: the results of attempts at servers, and the interface that delivers the final response."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from flintridge.api import Outcome


@dataclass(slots=True, frozen=True)
class Response:
    """A final response from a server.

    Attributes:
        body: The value of a read, or the receipt of a write.
        receipt: Whether `body` is the receipt of a write.
    """

    body: bytes
    receipt: bool


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: The outcome that the policy is notified of.
        response: The server's response; None if the server did not serve the request.
        cache_status: As in `AttemptEnded`.
        load: The server's load report: values by name.
        malformed: Whether the received bytes were no valid response to this request, or a reused connection
            had already been closed by the server.
        partly_written: As in `AttemptEnded`.
    """

    outcome: Outcome
    response: Response | None = None
    cache_status: int | None = None
    load: dict[str, float] = field(default_factory=dict)
    malformed: bool = False
    partly_written: bool = False


class DownstreamClosedError(ConnectionError):
    """The client of a streamed response has disconnected, or has read nothing for too long."""


class StreamedResponse(Protocol):
    """A long value that is written to the client in chunks. Exactly one of `end` and `abort` is called.

    Attributes:
        on_client_closed: Called when the client's connection has ended before the response.
    """

    on_client_closed: Callable[[], None]

    async def wait_writable(self) -> None:
        """Wait until more chunks may be written.

        Raises:
            DownstreamClosedError: The client has disconnected, or has read nothing for too long.
        """

    def write(self, chunks: Sequence[bytes | bytearray]) -> None:
        """Write the next chunks."""

    def end(self) -> None:
        """Finish the response; the value is complete."""

    def abort(self) -> None:
        """End the response with the value incomplete, in a way that lets the client detect it.

        If nothing of the value was written, the request fails; otherwise the connection is closed.
        """


class Responder(Protocol):
    """Delivers the response to the client.

    Exactly one method except `check_client` and `hold_later_commands` is called, once.
    """

    def check_client(self) -> None:
        """Check whether the client has disconnected.

        If so, `RequestLifecycle.client_disconnected` is called before this returns.
        """

    def hold_later_commands(self) -> bool:
        """Read no command behind this request until its response is complete.

        Returns:
            Whether no byte of a later command was read, so that the connection may be closed within the
            response without losing another request. If some were, reading continues.
        """

    def start_stream(self, length: int) -> StreamedResponse:
        """Respond with a long value of `length` bytes, in chunks."""

    def respond(self, response: Response) -> None:
        """Send a server's response."""

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request as not executed, to be retried after `retry_after_ms` (0 gives no hint)."""

    def fail(self) -> None:
        """Fail the request without stating whether it was executed."""


class StreamedValue(Protocol):
    """A long value that arrives from a server in chunks."""

    @property
    def length(self) -> int:
        """Total length in bytes."""

    @property
    def received_bytes(self) -> int:
        """How many bytes of the value have arrived."""

    @property
    def result(self) -> AttemptResult:
        """The result, from what the server sent before the value."""

    def take_chunks(self) -> list[bytes]:
        """Return the chunks that have arrived since the last call."""
