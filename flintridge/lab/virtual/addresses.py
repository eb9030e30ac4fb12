"""Addresses as the network knows them."""

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
WILDCARD = "0.0.0.0"
WILDCARDS = (WILDCARD, "::")


def canonical_ip(name: str) -> str:
    """The address under which the network knows `name`."""
    return LOOPBACK if name == "localhost" else name
