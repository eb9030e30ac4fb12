"""A request as the model of the origin sees it."""

from flintridge.lab.world.outcomes import Outcome


class OriginJob:
    """A request at the origin.

    Attributes:
        key: The key that is read or written.
        write: Whether it is a write.
        expires_at: When the caller stops waiting (ms of the run).
        idempotency_key: Idempotency key of a keyed write; empty for other requests.
        deduplication_window_ms: Time within which a repeat of this idempotency key is not executed (ms).
        service_ms: Service time in a slot while nothing slows the origin (ms).
        outcome: Outcome of the request; None until it ends.
        executed: Whether the request took effect.
        leader: The request whose response this one shares instead of running itself; None if it runs.
        followers: Requests that share the response of this one.
    """

    __slots__ = (
        "deduplication_window_ms",
        "executed",
        "expires_at",
        "followers",
        "idempotency_key",
        "key",
        "leader",
        "outcome",
        "service_ms",
        "write",
    )

    def __init__(
        self,
        key: str,
        write: bool,
        expires_at: float,
        idempotency_key: str = "",
        deduplication_window_ms: float = 0.0,
    ) -> None:
        """Create a job that has not arrived yet; the arguments are the attributes of the same names."""
        self.key = key
        self.write = write
        self.expires_at = expires_at
        self.idempotency_key = idempotency_key
        self.deduplication_window_ms = deduplication_window_ms
        self.service_ms = 0.0
        self.outcome: Outcome | None = None
        self.executed = False
        self.leader: OriginJob | None = None
        self.followers: list[OriginJob] = []
