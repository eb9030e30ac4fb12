"""Memory of a cache server: copies by key, with least recently used eviction."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from flintridge.lab.world.objects import Objects

BYTES_PER_MB = 1_000_000


@dataclass(slots=True, frozen=True)
class StoredCopy:
    """A copy of a value.

    Attributes:
        version: Version of the value.
        expires_at: When its time to live ends (ms of the run).
        size_bytes: Memory that the copy uses.
    """

    version: int
    expires_at: float
    size_bytes: int


class CacheStore:
    """Copies of values. A copy that is outdated or expired is detected when it is looked up.

    Attributes:
        used_bytes: Memory that all copies use.
    """

    __slots__ = ("_capacity_bytes", "_copies", "_objects", "_ttl_ms", "used_bytes")

    def __init__(self, objects: Objects, memory_mb: float, ttl_s: float) -> None:
        """Start empty.

        Args:
            objects: Sizes and versions of all values.
            memory_mb: Memory for copies, in megabytes.
            ttl_s: Time to live of a copy, in seconds; 0 for no limit.
        """
        self._objects = objects
        self._capacity_bytes = memory_mb * BYTES_PER_MB
        self._ttl_ms = ttl_s * 1000 if ttl_s else inf
        self._copies: OrderedDict[str, StoredCopy] = OrderedDict()
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self._copies)

    def has(self, now: float, key: str) -> bool:
        """Whether a lookup at `now` (ms) would be a hit; does not count as a use of the copy."""
        copy = self._copies.get(key)
        if copy is None:
            return False
        return copy.expires_at > now and copy.version == self._objects.version(key)

    def get(self, now: float, key: str) -> int:
        """Look up a copy at `now` (ms) and return its version; 0 for a miss. A hit counts as a use."""
        copy = self._copies.get(key)
        if copy is None:
            return 0
        if copy.expires_at <= now or copy.version != self._objects.version(key):
            self._evict(key)
            return 0
        self._copies.move_to_end(key)
        return copy.version

    def put(self, now: float, key: str) -> None:
        """Store the value's current version at `now` (ms), replacing an existing copy.

        A value that is larger than the whole memory is not stored.
        """
        size_bytes = self._objects.size(key)
        if key in self._copies:
            self._evict(key)
        if size_bytes > self._capacity_bytes:
            return
        self._copies[key] = StoredCopy(self._objects.version(key), now + self._ttl_ms, size_bytes)
        self.used_bytes += size_bytes
        while self.used_bytes > self._capacity_bytes:
            self._evict(next(iter(self._copies)))

    def invalidate(self, is_invalid: Callable[[str], bool]) -> None:
        """Drop the copies of all keys for which `is_invalid` returns true."""
        for key in [key for key in self._copies if is_invalid(key)]:
            self._evict(key)

    def clear(self) -> None:
        """Drop all copies."""
        self._copies.clear()
        self.used_bytes = 0

    def _evict(self, key: str) -> None:
        self.used_bytes -= self._copies.pop(key).size_bytes
