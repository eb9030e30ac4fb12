"""A consistent hash ring: a key's servers are those with points clockwise of its position."""

import hashlib
import sys
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from itertools import chain

POINTS = 200  # of each server
NUMBER_MASK = (1 << 24) - 1
LOW_BITS = (1 << 32) - 1  # of an entry: its server's number (24 bits), its rank among the points (8)
BUCKET_SHIFT = 56  # a bucket holds the entries with the same highest 8 bits: some 2,500 of 3,200 servers'
BUCKETS = 1 << (64 - BUCKET_SHIFT)
DIGEST_SUFFIXES = tuple(f"#{i}".encode() for i in range(POINTS // 8))
RANKS = bytes(range(POINTS))


def position_of(text: str) -> int:
    """The position of a key, as the first entry that could stand there."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") & ~LOW_BITS


def points(server: str, number: int) -> list[int]:
    """The entries of a server by rank, eight to a digest.

    The low halves of all are overwritten at once, byte by byte: a shift and a mask for each entry took longer
    than the digests.
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

    A server comes and goes at the cost of its own points. The buckets together are one sorted array, so equal
    contents give equal walks, whatever the order of changes. What is added many at a time is sorted when its
    bucket is next looked at.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # of the servers, by name
        self._used_numbers: set[int] = set()
        self._buckets = [array("Q") for _ in range(BUCKETS)]
        self._unsorted: dict[int, set[int]] = {}  # buckets, with the entries to leave out once sorted

    def replace(self, numbers: Mapping[str, int]) -> None:
        """Hold exactly these servers.

        Raises:
            ValueError: A number stands there twice or is over 24 bits; nothing has changed.
        """
        self._check(numbers, set())
        for server in [server for server, number in self.numbers.items() if numbers.get(server) != number]:
            self.remove(server)
        self.add_all({server: number for server, number in numbers.items() if server not in self.numbers})

    def add(self, server: str, number: int) -> None:
        """Take in a server.

        Raises:
            ValueError: It is there already, or its number is taken or over 24 bits; nothing has changed.
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
        """Take in many servers, sorted no sooner than needed.

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
        """Give up a server.

        Raises:
            KeyError: It is not there.
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
        """All entries clockwise from the first at or after `position`, once each, while nothing changes."""
        index = position >> BUCKET_SHIFT
        bucket = self._bucket(index)
        start = bisect_left(bucket, position)
        return chain(map(bucket.__getitem__, range(start, len(bucket))), self._walk_after(index, start))

    def _walk_after(self, index: int, end: int) -> Iterator[int]:
        """From the bucket after `index` round to that one's first `end` entries."""
        for other in chain(range(index + 1, BUCKETS), range(index)):
            yield from self._bucket(other)
        yield from self._bucket(index)[:end]

    @property
    def entries(self) -> "array[int]":
        """All entries in order, a copy."""
        return array("Q", chain.from_iterable(map(self._bucket, range(BUCKETS))))

    def _bucket(self, index: int) -> "array[int]":
        """One bucket, in order."""
        if index in self._unsorted:
            entries = self._buckets[index]
            obsolete = self._unsorted.pop(index)
            remaining = [entry for entry in entries if entry not in obsolete] if obsolete else entries
            self._buckets[index] = array("Q", sorted(remaining))
        return self._buckets[index]

    def _append(self, index: int, entry: int) -> None:
        """Put an entry in an unsorted bucket, which may still hold it from before its server left."""
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
