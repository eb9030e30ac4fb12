"""A cache server's memory: copies by key, the longest unused going first."""

from collections import OrderedDict
from collections.abc import Callable
from math import inf

from flintridge.lab.world.objects import Objects

MB = 1_000_000


class Store:
    """Copies that went void by a change or by their time are found out when they are looked for."""

    __slots__ = ("_copies", "_objects", "_room", "_ttl_ms", "held")

    def __init__(self, objects: Objects, memory_mb: float, ttl_s: float) -> None:
        self._objects = objects
        self._room = memory_mb * MB
        self._ttl_ms = ttl_s * 1000 if ttl_s else inf
        self._copies: OrderedDict[str, tuple[int, float, int]] = OrderedDict()  # version, end, bytes
        self.held = 0  # bytes

    def __len__(self) -> int:
        return len(self._copies)

    def has(self, now: float, key: str) -> bool:
        """Whether a look-up would find it; counts as no use."""
        copy = self._copies.get(key)
        return copy is not None and copy[1] > now and copy[0] == self._objects.version(key)

    def get(self, now: float, key: str) -> int:
        """The version of the copy, which counts as used now; 0 where there is none."""
        copy = self._copies.get(key)
        if copy is None:
            return 0
        if copy[1] <= now or copy[0] != self._objects.version(key):
            self._drop(key)
            return 0
        self._copies.move_to_end(key)
        return copy[0]

    def put(self, now: float, key: str) -> None:
        """Store the version that holds now, in place of what was there; what is too large is not kept."""
        size = self._objects.size(key)
        if key in self._copies:
            self._drop(key)
        if size > self._room:
            return
        self._copies[key] = self._objects.version(key), now + self._ttl_ms, size
        self.held += size
        while self.held > self._room:
            self._drop(next(iter(self._copies)))

    def void(self, goes: Callable[[str], bool]) -> None:
        for key in [key for key in self._copies if goes(key)]:
            self._drop(key)

    def clear(self) -> None:
        self._copies.clear()
        self.held = 0

    def _drop(self, key: str) -> None:
        self.held -= self._copies.pop(key)[2]
