"""The values of the keys: their sizes, their versions, and which servers store the origin's responses."""

import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, hash_fraction, hash_normal

MAX_BODY_BYTES = 65_536 - 256  # keeps the message that carries the value within 64 KiB
MAX_STORING_SERVERS = 2  # per request; the first servers that missed store the origin's response
MAX_REMEMBERED_MISSES = 65_536  # requests; most remaining entries are never looked up again
_PADDING_BYTES = 1 << 16  # size of the padding data, and number of offsets at which padding can begin


class Counter:
    """Issues the numbers 1, 2, 3 ... for the whole fleet over a run.

    Attributes:
        last: The last number issued; 0 if there is none.
    """

    __slots__ = ("last",)

    def __init__(self) -> None:
        """Start with no number issued."""
        self.last = 0

    def next(self) -> int:
        """Return the next number."""
        self.last += 1
        return self.last


class CopyStore(Protocol):
    """The memory of a server (`flintridge.lab.world.cache_store.CacheStore`)."""

    def put(self, now: float, key: str) -> None:
        """Store the value's current version at `now` (ms)."""

    def invalidate(self, is_invalid: Callable[[str], bool]) -> None:
        """Drop the copies of all keys for which `is_invalid` returns true."""


@dataclass(slots=True, frozen=True)
class _RegisteredStore:
    store: CopyStore
    is_up: Callable[[], bool]


class Objects:
    """All values of a run.

    Attributes:
        attempts: Issues the numbers of attempts at all servers of the fleet.
        connections: Issues the numbers of connections to all servers of the fleet.
    """

    def __init__(self, scenario: Scenario, seeds: Seeds) -> None:
        """Draw the mean size of all values and the padding data."""
        keys = scenario.keys
        mean_bytes = max(1.0, draw(seeds.of("objects/size"), keys.size_bytes))
        self._seed = seeds.seed
        self._sigma = keys.size_sigma
        self._mu = math.log(mean_bytes) - self._sigma**2 / 2
        self._sizes: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._padding = seeds.of("objects/fill").randbytes(_PADDING_BYTES) * 2
        self._stores: dict[str, _RegisteredStore] = {}
        self._misses: dict[str, list[str]] = {}  # ids of servers by request id
        self.attempts = Counter()
        self.connections = Counter()

    def size(self, key: str) -> int:
        """Return the size of a key's value in bytes: lognormal over the keys, the same in every process."""
        size = self._sizes.get(key)
        if size is None:
            normal = hash_normal(f"{self._seed}/size/{key}")
            size = min(MAX_BODY_BYTES, max(1, round(math.exp(self._mu + self._sigma * normal))))
            self._sizes[key] = size
        return size

    def version(self, key: str) -> int:
        """Return the current version of a key's value; the first version is 1."""
        return self._versions.get(key, 1)

    def update(self, key: str) -> None:
        """Create a new version, for a write or a change at the origin; all existing copies become invalid."""
        self._versions[key] = self._versions.get(key, 1) + 1

    def body(self, key: str, version: int, server: str, request_id: str) -> bytes:
        """Return the value that a server sends for a request; it is unique to the request.

        It is padded to the size of the key's value with bytes that depend on the request, so that a mix of
        two values is detected.

        Args:
            key: The key that is read.
            version: Version of the value.
            server: Id of the server that sends it.
            request_id: Id of the request.
        """
        head = f"{key}|{version}|{server}|{request_id}|".encode()
        padding_bytes = self.size(key) - len(head)
        if padding_bytes <= 0:
            return head
        offset = zlib.crc32(head) & (_PADDING_BYTES - 1)
        return head + self._padding[offset : offset + padding_bytes]

    @staticmethod
    def receipt(request_id: str, number: int) -> bytes:
        """Return the proof of a write, made of its number and the request id; it fits in a protocol line."""
        return b"w%d.%b" % (number, request_id.encode("ascii"))

    # Copies at cache servers

    def register(self, server: str, store: CopyStore, is_up: Callable[[], bool]) -> None:
        """Add a server that stores values it missed while it is up."""
        self._stores[server] = _RegisteredStore(store, is_up)

    def unregister(self, server: str) -> None:
        """Remove a server that will never be up again."""
        self._stores.pop(server, None)

    def record_miss(self, request_id: str, server: str) -> None:
        """Remember that a server did not have the value that a request reads."""
        servers = self._misses.get(request_id)
        if servers is None:
            if len(self._misses) >= MAX_REMEMBERED_MISSES:  # bounds memory in a long run
                del self._misses[next(iter(self._misses))]
            servers = []
            self._misses[request_id] = servers
        if len(servers) < MAX_STORING_SERVERS and server not in servers:
            servers.append(server)

    def fill_misses(self, request_id: str, key: str, now: float = 0.0) -> None:
        """Let the servers that missed store the origin's response to a read; its node still waits for it.

        Args:
            request_id: Id of the read.
            key: The key that it reads.
            now: Time of the run in milliseconds.
        """
        for server in self._misses.pop(request_id, ()):
            registered = self._stores.get(server)
            if registered is not None and registered.is_up():
                registered.store.put(now, key)

    def invalidate(self, fraction: float, salt: str) -> None:
        """Drop the copies of a fraction of all keys, chosen by hash, at every server.

        Args:
            fraction: Fraction of the keys, from 0 to 1.
            salt: Salt of the hash; a different salt chooses different keys.
        """
        invalid_by_key: dict[str, bool] = {}

        def is_invalid(key: str) -> bool:
            invalid = invalid_by_key.get(key)
            if invalid is None:
                invalid = hash_fraction(f"{self._seed}/void/{salt}/{key}") < fraction
                invalid_by_key[key] = invalid
            return invalid

        for registered in self._stores.values():
            registered.store.invalidate(is_invalid)
