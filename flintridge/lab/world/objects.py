"""The truth of keys: how large values are, which version holds, and who stores what the origin tells."""

import math
import zlib
from collections.abc import Callable
from typing import Protocol

from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, fixed_normal, fixed_share

MAX_BODY = 65_536 - 256  # bytes; beyond 64 KiB no message could carry it
STORED_AT = 2  # servers that store what the origin answered: the first that missed
MISSES_KEPT = 65_536  # requests whose misses are remembered; most are never asked for again
_FILL = 1 << 16  # bytes, and as many places to begin in them


class Counter:
    """Counts over the day, for the whole world: 1, 2, 3 ..."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last = 0

    def next(self) -> int:
        self.last += 1
        return self.last


class Shelf(Protocol):
    """Where a server keeps copies (`flintridge.lab.world.store.Store`)."""

    def put(self, now: float, key: str) -> None: ...

    def void(self, goes: Callable[[str], bool]) -> None: ...


class Objects:
    """One for the world. It also holds the world's counters of attempts and of servers' connections."""

    def __init__(self, scenario: Scenario, seeds: Seeds) -> None:
        keys = scenario.keys
        mean = max(1.0, draw(seeds.of("objects/size"), keys.size_bytes))
        self._seed = seeds.seed
        self._sigma = keys.size_sigma
        self._mu = math.log(mean) - self._sigma**2 / 2
        self._sizes: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._fill = seeds.of("objects/fill").randbytes(_FILL) * 2
        self._shelves: dict[str, tuple[Shelf, Callable[[], bool]]] = {}
        self._missed: dict[str, list[str]] = {}
        self.attempts = Counter()
        self.connections = Counter()

    def size(self, key: str) -> int:
        """Bytes of the key's value: lognormal over the keys, the same in every process."""
        found = self._sizes.get(key)
        if found is None:
            normal = fixed_normal(f"{self._seed}/size/{key}")
            found = min(MAX_BODY, max(1, round(math.exp(self._mu + self._sigma * normal))))
            self._sizes[key] = found
        return found

    def version(self, key: str) -> int:
        return self._versions.get(key, 1)

    def changed(self, key: str) -> None:
        """A write, or a change at the origin: a new version, and every copy goes void."""
        self._versions[key] = self._versions.get(key, 1) + 1

    def body(self, key: str, version: int, maker: str, uid: str) -> bytes:
        """The value that `maker` makes for this request, and for no other: filled up to the key's size, by
        bytes that depend on the request, so that mixed halves of two values show."""
        head = f"{key}|{version}|{maker}|{uid}|".encode()
        missing = self.size(key) - len(head)
        if missing <= 0:
            return head
        begin = zlib.crc32(head) & (_FILL - 1)
        return head + self._fill[begin : begin + missing]

    @staticmethod
    def receipt(uid: str, n: int) -> bytes:
        """What proves the `n`th write, made for this request; it may stand in a line."""
        return b"w%d.%b" % (n, uid.encode("ascii"))

    # Copies at cache servers

    def register(self, server: str, shelf: Shelf, at_work: Callable[[], bool]) -> None:
        """A server that stores what it lacked, whenever it is at work."""
        self._shelves[server] = shelf, at_work

    def unregister(self, server: str) -> None:
        """A server that never comes back."""
        self._shelves.pop(server, None)

    def missed(self, uid: str, server: str) -> None:
        """A server lacked what this request reads."""
        servers = self._missed.get(uid)
        if servers is None:
            if len(self._missed) >= MISSES_KEPT:  # a long day must not grow without end
                del self._missed[next(iter(self._missed))]
            servers = self._missed[uid] = []
        if len(servers) < STORED_AT and server not in servers:
            servers.append(server)

    def origin_answered(self, uid: str, key: str, now: float = 0.0) -> None:
        """The origin answered a read that its node still waits for: those that missed store it now (ms)."""
        for server in self._missed.pop(uid, ()):
            found = self._shelves.get(server)
            if found is not None and found[1]():
                found[0].put(now, key)

    def void(self, part: float, salt: str) -> None:
        """Such a share of keys, by hash, goes void in all caches at once."""
        known: dict[str, bool] = {}

        def goes(key: str) -> bool:
            found = known.get(key)
            if found is None:
                found = known[key] = fixed_share(f"{self._seed}/void/{salt}/{key}") < part
            return found

        for shelf, _ in self._shelves.values():
            shelf.void(goes)
