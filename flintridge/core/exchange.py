"""Interface of a protocol for upstream dispatch: one request to a server and its response."""

from typing import Protocol

from flintridge.core.response import AttemptResult, StreamedValue


class Exchange(Protocol):
    """A request to a server and its response: a state machine over bytes that does no I/O."""

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""

    @property
    def names_request(self) -> bool:
        """Whether the response carried the request's id, so that a duplicate cannot answer another."""

    @property
    def streamed_value(self) -> StreamedValue | None:
        """The value that has begun to arrive, if it needs reserved memory; the result follows at its end."""

    @property
    def unreserved_body_bytes(self) -> int:
        """How long the body of the response may get if memory must be reserved for it; otherwise 0."""

    def encode_request(self) -> list[bytes | bytearray]:
        """Encode the request, in pieces."""

    def feed(self, data: bytes) -> AttemptResult | None:
        """Process bytes of the response. Returns the result once the response is complete."""

    def end(self) -> AttemptResult | None:
        """Process the end of the stream. Returns the result if this completes the response."""
