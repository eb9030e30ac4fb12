"""What all streams of a node have in common: how much they take at a time."""

import asyncio

READ = 32 * 1024  # bytes taken from a connection at a time; up to twice as many may wait on it


def bound_reads(transport: asyncio.BaseTransport) -> None:
    """Have a transport take no more than READ at a time. Guards memory: by itself it takes 256 KiB, in
    whatever number of connections they wait."""
    if hasattr(transport, "max_size"):
        transport.max_size = READ
