"""What upstream dispatch needs of a protocol: one request to a server and its response."""

from typing import Protocol

from flintridge.core.response import AttemptResult, StreamedValue


class Exchange(Protocol):
    """A request to a server and its response: a state machine that is fed bytes and knows no socket."""

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""

    @property
    def names_request(self) -> bool:
        """Whether the response named its request, so that a duplicate of it passes for no other."""

    @property
    def streamed_value(self) -> StreamedValue | None:
        """The long value that has begun to come, if any; the result follows with its end."""

    def encode_request(self) -> list[bytes | bytearray]:
        """The request's bytes, in pieces."""

    def feed(self, data: bytes) -> AttemptResult | None:
        """Take bytes of the response; the result once they complete it."""

    def end(self) -> AttemptResult | None:
        """The server ended its sending: the result, if this completes it."""
