"""The values behind the keys: their sizes, their versions, and who stores what the origin sends."""

import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, hash_fraction, hash_normal

MAX_BODY_BYTES = 65_536 - 256  # beyond 64 KiB no message could carry it
MAX_STORING_SERVERS = 2  # that store what the origin answered: the first that missed
MAX_REMEMBERED_MISSES = 65_536  # requests; most are never asked for again
_FILL_BYTES = 1 << 16  # of filling, and as many offsets to begin at


class Counter:
    """Counts over the run, for the whole fleet: 1, 2, 3 ...

    Attributes:
        last: The number that was given last; 0 for none.
    """

    __slots__ = ("last",)

    def __init__(self) -> None:
        """Begin before 1."""
        self.last = 0

    def next(self) -> int:
        """Give the next number."""
        self.last += 1
        return self.last


class CopyStore(Protocol):
    """Where a server keeps copies (`flintridge.lab.world.cache_store.CacheStore`)."""

    def put(self, now: float, key: str) -> None:
        """Store the version that is current at `now` (ms)."""

    def invalidate(self, is_invalid: Callable[[str], bool]) -> None:
        """Drop all copies whose key `is_invalid`."""


@dataclass(slots=True, frozen=True)
class _RegisteredStore:
    store: CopyStore
    is_up: Callable[[], bool]


class Objects:
    """All values of a run.

    Attributes:
        attempts: Numbers the attempts at servers, of the whole fleet.
        connections: Numbers the connections to servers, of the whole fleet.
    """

    def __init__(self, scenario: Scenario, seeds: Seeds) -> None:
        """Draw what all values have in common."""
        keys = scenario.keys
        mean_bytes = max(1.0, draw(seeds.of("objects/size"), keys.size_bytes))
        self._seed = seeds.seed
        self._sigma = keys.size_sigma
        self._mu = math.log(mean_bytes) - self._sigma**2 / 2
        self._sizes: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._fill = seeds.of("objects/fill").randbytes(_FILL_BYTES) * 2
        self._stores: dict[str, _RegisteredStore] = {}
        self._misses: dict[str, list[str]] = {}  # servers by request
        self.attempts = Counter()
        self.connections = Counter()

    def size(self, key: str) -> int:
        """Bytes of the key's value: lognormal over the keys, the same in every process."""
        size = self._sizes.get(key)
        if size is None:
            normal = hash_normal(f"{self._seed}/size/{key}")
            size = min(MAX_BODY_BYTES, max(1, round(math.exp(self._mu + self._sigma * normal))))
            self._sizes[key] = size
        return size

    def version(self, key: str) -> int:
        """The version of the key's value that is current, from 1."""
        return self._versions.get(key, 1)

    def update(self, key: str) -> None:
        """Make a new version, by a write or a change at the origin: every copy becomes invalid."""
        self._versions[key] = self._versions.get(key, 1) + 1

    def body(self, key: str, version: int, server: str, request_id: str) -> bytes:
        """The value that a server sends for this request, and for no other.

        It is filled up to the key's size with bytes that depend on the request, so that mixed halves of two
        values show.

        Args:
            key: What is read.
            version: Of the value.
            server: Who sends it.
            request_id: Of the request.
        """
        head = f"{key}|{version}|{server}|{request_id}|".encode()
        missing = self.size(key) - len(head)
        if missing <= 0:
            return head
        offset = zlib.crc32(head) & (_FILL_BYTES - 1)
        return head + self._fill[offset : offset + missing]

    @staticmethod
    def receipt(request_id: str, number: int) -> bytes:
        """What proves a write, by its number among all, made for this request; it may stand in a line."""
        return b"w%d.%b" % (number, request_id.encode("ascii"))

    # Copies at cache servers

    def register(self, server: str, store: CopyStore, is_up: Callable[[], bool]) -> None:
        """Add a server that stores what it missed, whenever it is up."""
        self._stores[server] = _RegisteredStore(store, is_up)

    def unregister(self, server: str) -> None:
        """Forget a server that never comes back."""
        self._stores.pop(server, None)

    def record_miss(self, request_id: str, server: str) -> None:
        """Remember that a server lacked what this request reads."""
        servers = self._misses.get(request_id)
        if servers is None:
            if len(self._misses) >= MAX_REMEMBERED_MISSES:  # guards a long run against growing
                del self._misses[next(iter(self._misses))]
            servers = []
            self._misses[request_id] = servers
        if len(servers) < MAX_STORING_SERVERS and server not in servers:
            servers.append(server)

    def fill_misses(self, request_id: str, key: str, now: float = 0.0) -> None:
        """Let the servers that missed store what the origin answered a read that its node waits for.

        Args:
            request_id: Of the read.
            key: What it reads.
            now: Time of the run in milliseconds.
        """
        for server in self._misses.pop(request_id, ()):
            registered = self._stores.get(server)
            if registered is not None and registered.is_up():
                registered.store.put(now, key)

    def invalidate(self, fraction: float, salt: str) -> None:
        """Drop the copies of a fraction of all keys, chosen by hash, at every server.

        Args:
            fraction: Of the keys, 0 to 1.
            salt: Another one chooses other keys.
        """
        known: dict[str, bool] = {}

        def is_invalid(key: str) -> bool:
            invalid = known.get(key)
            if invalid is None:
                invalid = hash_fraction(f"{self._seed}/void/{salt}/{key}") < fraction
                known[key] = invalid
            return invalid

        for registered in self._stores.values():
            registered.store.invalidate(is_invalid)
