"""Responses: what a server answered, and the client's end of a request that takes the final one."""

from dataclasses import dataclass, field
from typing import Protocol

from flintridge.api import Outcome


@dataclass(slots=True, frozen=True)
class Response:
    """A final response made by a server: a read's value, or (`receipt`) the receipt of a write."""

    body: bytes
    receipt: bool


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: In the policy's terms.
        response: What the server answered, where it served the request.
        cache_status: As in `AttemptEnded`.
        load: What the server reported, by name.
        malformed: Whether what came could not be read as a response to this request, or a reused connection
            had ended.
    """

    outcome: Outcome
    response: Response | None = None
    cache_status: int | None = None
    load: dict[str, float] = field(default_factory=dict)
    malformed: bool = False


class DownstreamClosedError(ConnectionError):
    """The client that a response is streamed to is gone, or read nothing for too long."""


class StreamedResponse(Protocol):
    """A long value on its way to the client, in chunks. `end` or `abort` is called once."""

    async def wait_writable(self) -> None:
        """Wait until more may be written.

        Raises:
            DownstreamClosedError: The client is gone, or reads nothing for too long.
        """

    def write(self, chunks: list[bytes]) -> None:
        """Write the next chunks."""

    def end(self) -> None:
        """The value is complete."""

    def abort(self) -> None:
        """The value stays incomplete, and the client shall be able to tell."""


class Responder(Protocol):
    """The client's end of a request. Of its calls, but for `check_client`, exactly one is made, once."""

    def check_client(self) -> None:
        """See whether the client has disconnected by now.

        If so, `RequestLifecycle.client_disconnected` is called before this returns.
        """

    def start_stream(self, length: int) -> StreamedResponse:
        """Respond with a long value of `length` bytes, in chunks."""

    def respond(self, response: Response) -> None:
        """Respond as a server did."""

    def reject(self, retry_after_ms: float) -> None:
        """Reject the request: not executed; come again after `retry_after_ms` (0: not said)."""

    def fail(self) -> None:
        """Fail the request, with nothing said about whether it was executed."""


class StreamedValue(Protocol):
    """A long value on its way from a server, in chunks."""

    @property
    def length(self) -> int:
        """In bytes, all of it."""

    @property
    def result(self) -> AttemptResult:
        """What the server said ahead of the value."""

    def take_chunks(self) -> list[bytes]:
        """The chunks that have come since the last call."""
