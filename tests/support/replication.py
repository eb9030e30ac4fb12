"""Replicas without a network, for tests of replication."""

from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica

LIMITS = ReplicaLimits(tombstone_ms=1000.0, sync_wait_ms=500.0, max_entries=50, max_entry_bytes=200)
KEY = ("hold", "s1")


def make_replica(node="a", incarnation=1, now=0.0, limits=LIMITS, **options):
    """The replica of a process that starts at `now`, in milliseconds."""
    return Replica((node, incarnation), limits, now, **options)


def pull(replica, source, now):
    """Apply all differences from `source`, one bucket at a time, with both clocks equal."""
    is_complete = False
    while not is_complete:
        chunk = source.make_chunk(replica.next_request(source.writer), max_bytes=1)
        is_complete = replica.apply_chunk(now, source.writer, chunk)
