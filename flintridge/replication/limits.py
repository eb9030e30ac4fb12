"""The bounds of a replica, and the checks of writes against them."""

from dataclasses import dataclass

from flintridge.replication.entry import Key
from flintridge.replication.value_types import WriteRejectedError

MAX_WRITERS = 4096  # processes that have ever made a write


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    """The bounds of a replica.

    Attributes:
        max_entries: Largest number of entries, including those of tombstones.
        max_entry_bytes: Largest size of a write: its key, author, reason and body.
        tombstone_ms: Shortest time for which tombstones and expired versions are remembered.
        sync_wait_ms: Time for which a new process waits for a synchronized peer.
        max_clock_lead_ms: Time by which a stamp may be ahead of the local clock without a line in the log.
        bucket_count: Number of buckets of keys, which must be the same at all nodes.
    """

    max_entries: int = 10_000
    max_entry_bytes: int = 512
    tombstone_ms: float = 3_600_000.0
    sync_wait_ms: float = 10_000.0
    max_clock_lead_ms: float = 60_000.0
    bucket_count: int = 256

    def check_write(self, key: Key, body: bytes, author: str, reason: str) -> None:
        """Check the size of a write.

        Raises:
            WriteRejectedError: The write is too long.
        """
        size = sum(len(text.encode()) for text in (*key, author, reason)) + len(body)
        if size > self.max_entry_bytes:
            raise WriteRejectedError(f"the write has {size} bytes; entry_bytes allows {self.max_entry_bytes}")

    def check_entry_count(self, count: int) -> None:
        """Check that one entry may be added to `count` entries.

        Raises:
            WriteRejectedError: There are already as many entries as allowed.
        """
        if count >= self.max_entries:
            raise WriteRejectedError(
                f"there are {count} entries already, including deleted ones; allowed: {self.max_entries}"
            )


def check_writer_count(count: int) -> None:
    """Check that one writer may be added to `count` writers.

    Raises:
        WriteRejectedError: There are already as many writers as allowed.
    """
    if count >= MAX_WRITERS:
        raise WriteRejectedError(f"{count} processes have already made writes; allowed: {MAX_WRITERS}")
