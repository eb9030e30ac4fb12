"""An attempt at a cache server, between its connection and the host."""

from typing import Protocol

from flintridge.lab.world.cache_job import Job


class Flushable(Protocol):
    """Whatever sends responses, in the order of their requests."""

    def flush(self, now: float) -> None:
        """Send what is ready at `now` (ms)."""


class CacheRequest(Job):
    """An attempt, from its last byte to its response.

    Attributes:
        connection: Where the response goes; None once nobody waits for it.
        attempt_id: Number of the attempt in records.
        request_id: The client's request.
        idempotency_key: Of a keyed write; empty for others.
        response: What goes out; None before the request has ended.
        body: The value in the response, where there is one.
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
        """Make a request without a response; the arguments are the attributes of the same names."""
        super().__init__(key, write, work_ms, expires_at)
        self.connection: Flushable | None = connection
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.response: bytes | None = None
        self.body: bytes | None = None
