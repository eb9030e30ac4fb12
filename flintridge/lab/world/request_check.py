"""Whether a request at a server is one that a client really made."""

from flintridge.lab.truth import RequestFacts


def mismatch(fact: RequestFacts | None, key: str, write: bool, extras: dict[str, str]) -> str:
    """Say what was not passed on as the client sent it.

    Args:
        fact: What the client sent; None where no client sent it.
        key: As it arrived.
        write: Whether a write arrived.
        extras: Names and values as they arrived.

    Returns:
        The difference, empty where there is none.
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
