"""Check that a request received by a server is one that a client really sent."""

from flintridge.lab.truth import RequestFacts


def describe_mismatch(fact: RequestFacts | None, key: str, write: bool, extras: dict[str, str]) -> str:
    """Describe the first difference between a received request and the request that the client sent.

    Args:
        fact: The request that the client sent; None if no client sent a request with this id.
        key: Key of the received request.
        write: Whether the received request is a write.
        extras: Names and values of the received request.

    Returns:
        The difference; empty if there is none.
    """
    if fact is None:
        return "an id that no client sent"
    if fact.key != key:
        return "another key than the client's"
    if fact.write != write:
        return "a read for a write" if fact.write else "a write for a read"
    if extras.get("k", "") != fact.idempotency_key:
        return "another idempotency key than the client's"
    if extras.get("c", fact.class_name) != fact.class_name:
        return "another class than the client's"
    if extras.get("t", fact.tenant) != fact.tenant:
        return "another tenant than the client's"
    return ""
