"""A cache server's memory: copies by key, the least recently used evicted first."""

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
        version: Of the value.
        expires_at: When its time to live is over (ms of the run).
        size_bytes: What it uses.
    """

    version: int
    expires_at: float
    size_bytes: int


class CacheStore:
    """Copies of values. One that is invalid by a change or by its age is found out when it is looked up.

    Attributes:
        used_bytes: What all copies use.
    """

    __slots__ = ("_capacity_bytes", "_copies", "_objects", "_ttl_ms", "used_bytes")

    def __init__(self, objects: Objects, memory_mb: float, ttl_s: float) -> None:
        """Start empty.

        Args:
            objects: Sizes and versions of values.
            memory_mb: Room for copies, in megabytes.
            ttl_s: How long a copy is valid, in seconds; 0 for ever.
        """
        self._objects = objects
        self._capacity_bytes = memory_mb * BYTES_PER_MB
        self._ttl_ms = ttl_s * 1000 if ttl_s else inf
        self._copies: OrderedDict[str, StoredCopy] = OrderedDict()
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self._copies)

    def has(self, now: float, key: str) -> bool:
        """Whether a lookup at `now` (ms) would find it; counts as no use."""
        copy = self._copies.get(key)
        if copy is None:
            return False
        return copy.expires_at > now and copy.version == self._objects.version(key)

    def get(self, now: float, key: str) -> int:
        """The version of the copy, which counts as used at `now` (ms); 0 where there is none."""
        copy = self._copies.get(key)
        if copy is None:
            return 0
        if copy.expires_at <= now or copy.version != self._objects.version(key):
            self._evict(key)
            return 0
        self._copies.move_to_end(key)
        return copy.version

    def put(self, now: float, key: str) -> None:
        """Store the version that is current at `now` (ms), in place of the copy that was there.

        A value larger than the whole memory is not stored.
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
        """Drop all copies whose key `is_invalid`."""
        for key in [key for key in self._copies if is_invalid(key)]:
            self._evict(key)

    def clear(self) -> None:
        """Drop all copies."""
        self._copies.clear()
        self.used_bytes = 0

    def _evict(self, key: str) -> None:
        self.used_bytes -= self._copies.pop(key).size_bytes
