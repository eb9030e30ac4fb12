"""Addresses in the modelled network."""

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
WILDCARD = "0.0.0.0"
WILDCARDS = (WILDCARD, "::")


def canonical_ip(name: str) -> str:
    """Return the IP address for a host name: "localhost" is resolved, anything else must be an IP address."""
    return LOOPBACK if name == "localhost" else name
