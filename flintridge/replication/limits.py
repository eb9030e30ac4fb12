"""The bounds of a replica, and the checks of a write against them."""

from dataclasses import dataclass

from flintridge.replication.entry import Key
from flintridge.replication.value_types import WriteRejectedError

MAX_WRITERS = 4096  # processes that ever wrote


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    """The bounds of a replica.

    Attributes:
        max_entries: Keys, those of tombstones included.
        max_entry_bytes: Of a write: key, author, reason and body.
        tombstone_ms: For how long tombstones and expired versions are remembered, at the least.
        sync_wait_ms: For how long a new process waits for one that has synchronized.
        max_clock_lead_ms: By how much a stamp may be ahead of the local clock without a line in the log.
        bucket_count: All nodes must have the same.
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
            WriteRejectedError: It is too long.
        """
        size = sum(len(text.encode()) for text in (*key, author, reason)) + len(body)
        if size > self.max_entry_bytes:
            raise WriteRejectedError(f"{size} bytes are over entry_bytes of {self.max_entry_bytes}")

    def check_entry_count(self, count: int) -> None:
        """Check whether there may be one more entry than `count`.

        Raises:
            WriteRejectedError: There are as many as may be.
        """
        if count >= self.max_entries:
            raise WriteRejectedError(
                f"{count} entries are held, deletions included; allowed: {self.max_entries}"
            )


def check_writer_count(count: int) -> None:
    """Check whether there may be one more writer than `count`.

    Raises:
        WriteRejectedError: There are as many as may be.
    """
    if count >= MAX_WRITERS:
        raise WriteRejectedError(f"{count} processes have written; allowed: {MAX_WRITERS}")
