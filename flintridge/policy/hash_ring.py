"""The ring of consistent hashing, changed in place. It holds entries in order and decides nothing.

An entry is one whole number of 64 bits: 32 of its place, 24 of the server's number, 8 of its rank among the
server's POINTS. Entries are all different and their order is that of the numbers, so equal contents give
equal walks, whatever the order of adds and removes.

Entries lie in sorted buckets, `array("Q")` of at most MOST, one series of buckets a zone. A bucket that is
full is split, one that is nearly empty joins its neighbour: a server that comes or goes touches few buckets,
and nothing ever has to be sorted or copied as a whole. A walk of one zone reads its buckets; one of the whole
ring merges as many cursors as there are zones.

Weighed against this: 2,000 servers in 5 zones, times in microseconds, walks of the whole ring | of one zone,
all from one run on a busy machine (benchmarks/ring_cost.py has them at all sizes):

    kept as                                   add    first step   each further   bytes a server
    one array, filtered and sorted anew     127,000    5 | 7       0.2 | 2.0       1,720
    one array, with insort                   11,000    5 | 8       0.2 | 2.0       1,720
    sortedcontainers.SortedList               1,000    8 | 9       0.1 | 1.7       8,990
    one series of buckets, zones in a table     750    7 | 11      0.1 | 1.0       1,900
    a series of buckets for each zone           670   17 | 5       1.6 | 0.1       1,860

- One array moves half of 3 MB for each of a server's entries, 8 MB at 5,000 servers.
- SortedList holds Python numbers, 40 bytes an entry instead of 8: 45 MB at 5,000 servers.
- With zones in a table a walk of one zone reads past all other zones' entries, and past the whole ring where
  a zone has a server or two left, which is when it matters. A series for each zone makes a walk of the whole
  ring dearer by the zone: dozens of zones would be felt there.
- A series of the whole and one for each zone would be the quickest, at twice the memory.
- heapq.merge takes twice as long to its first step, as it begins by asking every zone's cursor.
"""

import hashlib
import struct
from array import array
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from heapq import heappop, heapreplace

POINTS = 200  # of each server
LOW_BITS = (1 << 32) - 1  # of an entry: the server's number (24 bits) and the rank among its points (8)
MOST = 512  # entries of a bucket: more make inserts move more, fewer make more buckets to look through
LEAST = MOST // 8  # and one with fewer joins its neighbour
NUMBERS = 1 << 24
END = 1 << 64  # beyond every entry


def place_of(text: str) -> int:
    """A place on the ring, as the first entry that could stand there."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") & ~LOW_BITS


def points(server: str, number: int) -> list[int]:
    """The ring entries of a server by rank, eight to a digest."""
    places: list[int] = []
    for i in range(POINTS // 8):
        places += struct.unpack(">8Q", hashlib.blake2b(f"{server}#{i}".encode()).digest())
    return [place & ~LOW_BITS | number << 8 | rank for rank, place in enumerate(places)]


class HashRing:
    """Servers by number, each with its entries in one zone."""

    __slots__ = ("_servers", "_zones")

    def __init__(self) -> None:
        self._servers: dict[int, tuple[str, int]] = {}
        self._zones: dict[int, _Buckets] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._servers

    def __len__(self) -> int:
        """Servers."""
        return len(self._servers)

    def add(self, server: str, number: int, zone: int = 0) -> None:
        """Put a server's entries on the ring. Raises ValueError if the number is taken or over 24 bits.

        A server that moves to another zone is removed and added again.
        """
        if not 0 <= number < NUMBERS:
            raise ValueError(f"{number} is no number of a server")
        if number in self._servers:
            raise ValueError(f"number {number} is on the ring")
        entries = sorted(points(server, number))
        self._servers[number] = server, zone
        if (buckets := self._zones.get(zone)) is None:
            buckets = self._zones[zone] = _Buckets()
        buckets.add(entries)

    def remove(self, number: int) -> None:
        """Take a server's entries off the ring. Raises KeyError if it is not there."""
        server, zone = self._servers.pop(number)
        buckets = self._zones[zone]
        buckets.remove(sorted(points(server, number)))
        if buckets.empty:
            del self._zones[zone]

    def walk(self, place: int, zone: int | None = None) -> Iterator[int]:
        """The entries clockwise from the first at or after `place` (0 to 2**64 - 1), wrapping round once.

        Each entry comes exactly once: of the whole ring, or of the servers in `zone`. What is not asked for
        costs nothing. The ring must not change before the walk is over or dropped.
        """
        if zone is not None:
            one = self._zones.get(zone)
            return iter(()) if one is None else one.walk(place)
        if len(self._zones) == 1:
            (only,) = self._zones.values()
            return only.walk(place)
        return self._round(place)

    def _round(self, place: int) -> Iterator[int]:
        yield from self._merged(place, END)
        yield from self._merged(0, place)

    def _merged(self, start: int, stop: int) -> Iterator[int]:
        """The entries from `start` on and before `stop`, in order. A zone's cursor is made when the first of
        its entries has been taken: most walks end before they need those of all zones."""
        heads: list[tuple[int, Callable[[], int] | None, _Buckets]] = []
        for buckets in self._zones.values():
            if (entry := buckets.first(start)) is not None:
                heads.append((entry, None, buckets))
        heads.sort()  # which makes it a heap; no two entries are equal, so nothing else is compared
        while heads:
            entry, following, buckets = heads[0]
            if entry >= stop:
                return
            yield entry
            if following is None:
                following = buckets.onward(entry + 1).__next__
            try:
                heapreplace(heads, (following(), following, buckets))
            except StopIteration:
                heappop(heads)


class _Buckets:
    """Entries in order. A bucket holds those from its bound up to the next one's; the first bound is 0.

    None is empty, but for a single one.
    """

    __slots__ = ("_bounds", "_buckets")

    def __init__(self) -> None:
        self._bounds = [0]
        self._buckets = [array("Q")]

    @property
    def empty(self) -> bool:
        return len(self._buckets) == 1 and not self._buckets[0]

    def add(self, entries: list[int]) -> None:
        """In order, and none of them here already."""
        bounds, buckets = self._bounds, self._buckets
        for entry in entries:
            at = bisect_right(bounds, entry) - 1
            bucket = buckets[at]
            insort(bucket, entry)
            if len(bucket) > MOST:
                self._split(at)

    def remove(self, entries: list[int]) -> None:
        """All of them are here."""
        bounds, buckets = self._bounds, self._buckets
        for entry in entries:
            at = bisect_right(bounds, entry) - 1
            bucket = buckets[at]
            del bucket[bisect_left(bucket, entry)]
            if len(bucket) < LEAST and len(buckets) > 1:
                self._join(max(at, 1))

    def walk(self, place: int) -> Iterator[int]:
        yield from self.onward(place)
        yield from self.before(place)

    def first(self, place: int) -> int | None:
        """The first entry at or after `place`."""
        at = bisect_right(self._bounds, place) - 1
        bucket = self._buckets[at]
        cut = bisect_left(bucket, place)
        if cut < len(bucket):
            return bucket[cut]
        return self._buckets[at + 1][0] if at + 1 < len(self._buckets) else None

    def onward(self, place: int) -> Iterator[int]:
        """The entries at or after `place`, in order."""
        buckets = self._buckets
        first = bisect_right(self._bounds, place) - 1
        bucket = buckets[first]
        yield from bucket[bisect_left(bucket, place) :]
        for at in range(first + 1, len(buckets)):
            yield from buckets[at]

    def before(self, place: int) -> Iterator[int]:
        """The entries before `place`, in order."""
        buckets = self._buckets
        last = bisect_right(self._bounds, place) - 1
        for at in range(last):
            yield from buckets[at]
        bucket = buckets[last]
        yield from bucket[: bisect_left(bucket, place)]

    def _split(self, at: int) -> None:
        bucket = self._buckets[at]
        half = len(bucket) // 2
        self._bounds.insert(at + 1, bucket[half])
        self._buckets[at : at + 1] = [bucket[:half], bucket[half:]]

    def _join(self, at: int) -> None:
        """A bucket and the one before it become one. Guards against a ring that shrank and is all bounds."""
        bucket = self._buckets[at - 1] + self._buckets[at]
        del self._bounds[at]
        self._buckets[at - 1 : at + 1] = [bucket]
        if len(bucket) > MOST:
            self._split(at - 1)
