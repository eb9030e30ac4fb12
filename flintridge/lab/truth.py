"""The ground truth of requests by their ids: clients write it, and servers simulate their work by it."""

import msgspec


class RequestFacts(msgspec.Struct, frozen=True, gc=False):
    """The actual properties and cost of a request.

    Attributes:
        work_ms: The work on a core of speed 1.
        size: The size of the value in bytes: the size of the key's value for a read, as sent for a write.
    """

    class_name: str
    tenant: str
    key: str
    write: bool
    work_ms: float
    size: int
    idempotency_key: str = ""


class GroundTruth:
    """The facts of requests by their ids; `forget` bounds the memory that a long run uses."""

    def __init__(self) -> None:
        self._facts: dict[str, RequestFacts] = {}

    def put(self, request_id: str, facts: RequestFacts) -> None:
        """Set the facts of a request, before it is sent."""
        self._facts[request_id] = facts

    def get(self, request_id: str) -> RequestFacts | None:
        """Return the facts of a request; None if it is unknown or forgotten."""
        return self._facts.get(request_id)

    def forget(self, request_id: str) -> None:
        """Remove the facts of a request, if there are any."""
        self._facts.pop(request_id, None)
