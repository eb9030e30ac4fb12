"""An attempt at the origin, passed between its connection and the host."""

from typing import Protocol

from flintridge.lab.world.origin_job import OriginJob


class Responder(Protocol):
    """A connection that sends the response to a request."""

    def respond(self, now: float, request: "OriginRequest", body: bytes) -> None:
        """Send the response at `now` (ms)."""


class OriginRequest(OriginJob):
    """An attempt, from the arrival of its last byte to its response.

    Attributes:
        connection: The connection that sends the response; None once the caller no longer waits.
        attempt_id: Number of the attempt in records.
        request_id: Id of the client's request.
        receipt: Proof of the write; empty until it has taken effect.
    """

    __slots__ = ("attempt_id", "connection", "receipt", "request_id")

    def __init__(
        self,
        connection: Responder,
        attempt_id: int,
        request_id: str,
        *,
        key: str,
        write: bool,
        expires_at: float,
        idempotency_key: str,
        deduplication_window_ms: float,
    ) -> None:
        """Create a request without a response; the arguments are the attributes of the same names."""
        super().__init__(key, write, expires_at, idempotency_key, deduplication_window_ms)
        self.connection: Responder | None = connection
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.receipt = b""
