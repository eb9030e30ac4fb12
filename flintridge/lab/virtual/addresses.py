"""Addresses in the modelled network."""

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
WILDCARD = "0.0.0.0"
WILDCARDS = (WILDCARD, "::")


def canonical_ip(name: str) -> str:
    """Replace "localhost" with its IP address; return any other address unchanged."""
    return LOOPBACK if name == "localhost" else name
