"""Ground truth: what a request really is, by its id. Clients write it, servers work by it."""

import msgspec


class RequestFacts(msgspec.Struct, frozen=True, gc=False):
    """What a request is and costs.

    Attributes:
        work_ms: On a core of speed 1.
        size: Bytes of the value: of a read by the key's size, of a write as sent.
    """

    class_name: str
    tenant: str
    key: str
    write: bool
    work_ms: float
    size: int
    idempotency_key: str = ""


class GroundTruth:
    """Facts by request id; `forget` keeps a long run from growing."""

    def __init__(self) -> None:
        self._facts: dict[str, RequestFacts] = {}

    def put(self, request_id: str, facts: RequestFacts) -> None:
        """Set the facts of a request, before it is sent."""
        self._facts[request_id] = facts

    def get(self, request_id: str) -> RequestFacts | None:
        """The facts of a request; None: unknown or forgotten."""
        return self._facts.get(request_id)

    def forget(self, request_id: str) -> None:
        """Drop the facts of a request, where there are any."""
        self._facts.pop(request_id, None)
