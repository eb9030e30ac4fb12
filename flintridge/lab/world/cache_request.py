"""An attempt at a cache server, passed between its connection and the host."""

from typing import Protocol

from flintridge.lab.world.cache_job import Job


class Flushable(Protocol):
    """A connection that sends responses in the order of their requests."""

    def flush(self, now: float) -> None:
        """Send the responses that are ready at `now` (ms)."""


class CacheRequest(Job):
    """An attempt, from the arrival of its last byte to its response.

    Attributes:
        connection: The connection that sends the response; None once the caller no longer waits.
        attempt_id: Number of the attempt in records.
        request_id: Id of the client's request.
        idempotency_key: Idempotency key of a keyed write; empty for other requests.
        response: The bytes of the response; None until the request ends.
        body: The value in the response; None if it carries none.
    """

    __slots__ = ("attempt_id", "body", "connection", "idempotency_key", "request_id", "response")

    def __init__(
        self,
        connection: Flushable,
        attempt_id: int,
        request_id: str,
        idempotency_key: str,
        *,
        key: str,
        write: bool,
        work_ms: float,
        expires_at: float,
    ) -> None:
        """Create a request without a response; the arguments are the attributes of the same names."""
        super().__init__(key, write, work_ms, expires_at)
        self.connection: Flushable | None = connection
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.response: bytes | None = None
        self.body: bytes | None = None
