"""A consistent hash ring: a key's servers are those with points clockwise of its place."""

import hashlib
import struct
from array import array
from bisect import bisect_left
from collections.abc import Iterator
from itertools import chain

POINTS = 200  # of each server
NUMBER_MASK = (1 << 24) - 1
LOW_BITS = (1 << 32) - 1  # of an entry: its server's number (24 bits), its rank among the points (8)


def place_of(text: str) -> int:
    """The place of a key, as the first entry that could stand there."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") & ~LOW_BITS


def points(server: str, number: int) -> list[int]:
    """The entries of a server by rank, eight to a digest: a large fleet's ring is built often."""
    places: list[int] = []
    for i in range(POINTS // 8):
        places += struct.unpack(">8Q", hashlib.blake2b(f"{server}#{i}".encode()).digest())
    return [place & ~LOW_BITS | number << 8 | rank for rank, place in enumerate(places)]


class HashRing:
    """A sorted array of the entries of all servers on the ring."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # of the servers, by name
        self.entries = array("Q")

    def replace(self, numbers: dict[str, int]) -> None:
        """Hold exactly these servers; ValueError for a number twice or over 24 bits, and nothing changes."""
        if numbers == self.numbers:
            return
        taken = set(numbers.values())
        if len(taken) < len(numbers) or not all(0 <= number <= NUMBER_MASK for number in taken):
            raise ValueError("a server's number is taken or out of range")
        retained = {number for server, number in numbers.items() if self.numbers.get(server) == number}
        entries = [entry for entry in self.entries if entry >> 8 & NUMBER_MASK in retained]
        for server, number in numbers.items():
            if number not in retained:
                entries += points(server, number)
        entries.sort()
        self.entries = array("Q", entries)
        self.numbers = dict(numbers)

    def walk(self, place: int) -> Iterator[int]:
        """All entries clockwise from the first at or after `place`, once each, while nothing changes."""
        start = bisect_left(self.entries, place)
        return map(self.entries.__getitem__, chain(range(start, len(self.entries)), range(start)))
