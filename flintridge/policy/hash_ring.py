"""A consistent hash ring: the servers of a key are those whose points follow its position clockwise.

A point of a server on the ring is stored as an entry: a 64-bit integer that consists of the position (32
bits), the number of the server (24 bits) and the rank of the point among the server's points (8 bits).
"""

import hashlib
import sys
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from itertools import chain

POINTS = 200  # per server
NUMBER_MASK = (1 << 24) - 1
LOW_BITS = (1 << 32) - 1  # the bits of an entry with the number of the server and the rank of the point
# A bucket holds the entries that share the highest 8 bits: about 2,500 entries in a fleet of 3,200 servers.
BUCKET_SHIFT = 56
BUCKETS = 1 << (64 - BUCKET_SHIFT)
DIGEST_SUFFIXES = tuple(f"#{i}".encode() for i in range(POINTS // 8))
RANKS = bytes(range(POINTS))


def position_of(text: str) -> int:
    """Return the position of a key, as the smallest possible entry at this position."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") & ~LOW_BITS


def points(server: str, number: int) -> list[int]:
    """Return the entries of a server by rank; each digest gives eight of them.

    The low halves of all entries are overwritten with one slice assignment per byte, because a shift and a
    mask per entry took longer than computing the digests.
    """
    name = server.encode()
    digests = b"".join([hashlib.blake2b(name + suffix).digest() for suffix in DIGEST_SUFFIXES])
    entries = bytearray(digests)
    entries[4::8] = bytes((number >> 16 & 0xFF,)) * POINTS
    entries[5::8] = bytes((number >> 8 & 0xFF,)) * POINTS
    entries[6::8] = bytes((number & 0xFF,)) * POINTS
    entries[7::8] = RANKS
    values = array("Q", bytes(entries))
    if sys.byteorder == "little":
        values.byteswap()
    return values.tolist()


class HashRing:
    """The entries of all servers on the ring, in buckets by position.

    Adding or removing a server costs time only for its own points. The buckets together form one sorted
    array, so rings with the same servers give the same walks, independent of the order of changes. After
    `add_all`, a bucket is sorted when it is next read.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # the numbers of all servers, by name
        self._used_numbers: set[int] = set()
        self._buckets = [array("Q") for _ in range(BUCKETS)]
        self._unsorted: dict[int, set[int]] = {}  # indexes of unsorted buckets -> entries removed from them

    def replace(self, numbers: Mapping[str, int]) -> None:
        """Replace the servers on the ring by these servers, which are given with their numbers.

        Raises:
            ValueError: A number occurs twice or has more than 24 bits; the ring is unchanged.
        """
        self._check(numbers, set())
        for server in [server for server, number in self.numbers.items() if numbers.get(server) != number]:
            self.remove(server)
        self.add_all({server: number for server, number in numbers.items() if server not in self.numbers})

    def add(self, server: str, number: int) -> None:
        """Add a server.

        Raises:
            ValueError: The server is on the ring already, or its number is in use or has more than 24 bits;
                the ring is unchanged.
        """
        self._register({server: number})
        buckets = self._buckets
        for entry in points(server, number):
            index = entry >> BUCKET_SHIFT
            if index in self._unsorted:
                self._append(index, entry)
            else:
                insort(buckets[index], entry)

    def add_all(self, numbers: Mapping[str, int]) -> None:
        """Add many servers; a bucket is not sorted before it is next read.

        Raises:
            ValueError: As for `add`.
        """
        self._register(numbers)
        if len(self._unsorted) < BUCKETS:
            self._unsorted = {index: self._unsorted.get(index, set()) for index in range(BUCKETS)}
        if any(self._unsorted.values()):
            for server, number in numbers.items():
                for entry in points(server, number):
                    self._append(entry >> BUCKET_SHIFT, entry)
            return
        appends = [bucket.append for bucket in self._buckets]
        for server, number in numbers.items():
            for entry in points(server, number):
                appends[entry >> BUCKET_SHIFT](entry)

    def remove(self, server: str) -> None:
        """Remove a server.

        Raises:
            KeyError: The server is not on the ring.
        """
        number = self.numbers.pop(server)
        self._used_numbers.remove(number)
        for entry in points(server, number):
            index = entry >> BUCKET_SHIFT
            if index in self._unsorted:
                self._unsorted[index].add(entry)
            else:
                bucket = self._buckets[index]
                del bucket[bisect_left(bucket, entry)]

    def walk(self, position: int) -> Iterator[int]:
        """Iterate once over all entries, clockwise from the first entry at or after `position`.

        The iterator is invalid once the ring has changed.
        """
        index = position >> BUCKET_SHIFT
        bucket = self._bucket(index)
        start = bisect_left(bucket, position)
        return chain(map(bucket.__getitem__, range(start, len(bucket))), self._walk_after(index, start))

    def _walk_after(self, index: int, end: int) -> Iterator[int]:
        """Iterate from the bucket after `index` around the ring, up to the first `end` entries of `index`."""
        for other in chain(range(index + 1, BUCKETS), range(index)):
            yield from self._bucket(other)
        yield from self._bucket(index)[:end]

    @property
    def entries(self) -> "array[int]":
        """A sorted copy of all entries."""
        return array("Q", chain.from_iterable(map(self._bucket, range(BUCKETS))))

    def _bucket(self, index: int) -> "array[int]":
        """Return a bucket, after sorting it if necessary."""
        if index in self._unsorted:
            entries = self._buckets[index]
            obsolete = self._unsorted.pop(index)
            remaining = [entry for entry in entries if entry not in obsolete] if obsolete else entries
            self._buckets[index] = array("Q", sorted(remaining))
        return self._buckets[index]

    def _append(self, index: int, entry: int) -> None:
        """Add an entry to an unsorted bucket, which may still contain it if its server was removed before."""
        obsolete = self._unsorted[index]
        if entry in obsolete:
            obsolete.remove(entry)
        else:
            self._buckets[index].append(entry)

    def _register(self, numbers: Mapping[str, int]) -> None:
        if not self.numbers.keys().isdisjoint(numbers):
            raise ValueError("a server is on the ring already")
        self._check(numbers, self._used_numbers)
        self.numbers.update(numbers)
        self._used_numbers.update(numbers.values())

    @staticmethod
    def _check(numbers: Mapping[str, int], taken: set[int]) -> None:
        wanted = set(numbers.values())
        is_in_range = all(0 <= number <= NUMBER_MASK for number in wanted)
        if len(wanted) < len(numbers) or not wanted.isdisjoint(taken) or not is_in_range:
            raise ValueError("a server's number is taken or out of range")
