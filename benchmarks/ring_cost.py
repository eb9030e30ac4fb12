"""What the ring costs, beside the way it was kept before: one array, filtered and sorted at each change.

Run from the repository's root on a quiet machine: python -m benchmarks.ring_cost [--quick] [--candidates]
Times are medians, in microseconds unless named: one server added, one removed, the first step of a walk (of
the whole ring, and of one zone), and each of the next 19. Memory is in bytes a server, ids left out; while it
builds, the way before also holds all entries as Python numbers, 40 bytes each. `--candidates` adds the other
structures that were weighed, at the largest size; sortedcontainers only where it is installed.
"""

import argparse
import gc
import itertools
import random
import statistics
import sys
import time
from array import array
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Sequence
from importlib.util import find_spec
from types import FunctionType, MethodType
from typing import Any, Protocol

from flintridge.policy.hash_ring import HashRing, place_of, points

SIZES = (8, 50, 200, 1_000, 5_000, 10_000)
ZONES = (1, 2, 5)
STEPS = 20


class Kept(Protocol):
    """Whatever keeps a ring."""

    def add(self, server: str, number: int, zone: int = 0) -> None: ...
    def remove(self, number: int) -> None: ...
    def walk(self, place: int, zone: int | None = None) -> Iterator[int]: ...


class Table:
    """What the candidates share: the zone in a table, so that a walk of one zone reads past the others."""

    def __init__(self) -> None:
        self.servers: dict[int, tuple[str, int]] = {}
        self.entries = self.new()

    def new(self) -> Any:
        return array("Q")

    def walk(self, place: int, zone: int | None = None) -> Iterator[int]:
        entries, servers = self.entries, self.servers
        start = bisect_left(entries, place)
        for i in itertools.chain(range(start, len(entries)), range(start)):
            if zone is None or servers[entries[i] >> 8 & 0xFFFFFF][1] == zone:
                yield entries[i]


class Before(Table):
    """As decide.py kept it: each change filters all entries, and what is added is sorted in."""

    def _build(self, added: list[int]) -> None:
        ring = [entry for entry in self.entries if entry >> 8 & 0xFFFFFF in self.servers]
        ring += added
        ring.sort()
        self.entries = array("Q", ring)

    def add(self, server: str, number: int, zone: int = 0) -> None:
        self.fill([(server, number, zone)])

    def fill(self, servers: list[tuple[str, int, int]]) -> None:
        """Several at once, as a list of servers was taken."""
        added = [entry for server, number, _ in servers for entry in points(server, number)]
        self.servers.update({number: (server, zone) for server, number, zone in servers})
        self._build(added)

    def remove(self, number: int) -> None:
        del self.servers[number]
        self._build([])


class OneArray(Table):
    """One array of all entries, changed by insort."""

    def add(self, server: str, number: int, zone: int = 0) -> None:
        self.servers[number] = server, zone
        for entry in points(server, number):
            insort(self.entries, entry)

    def remove(self, number: int) -> None:
        for entry in points(self.servers.pop(number)[0], number):
            del self.entries[bisect_left(self.entries, entry)]


class Sorted(Table):
    """sortedcontainers, which holds Python numbers."""

    def new(self) -> Any:
        from sortedcontainers import SortedList  # type: ignore[import-untyped]

        return SortedList()

    def add(self, server: str, number: int, zone: int = 0) -> None:
        self.servers[number] = server, zone
        self.entries.update(points(server, number))

    def remove(self, number: int) -> None:
        for entry in points(self.servers.pop(number)[0], number):
            self.entries.remove(entry)

    def walk(self, place: int, zone: int | None = None) -> Iterator[int]:
        for entry in itertools.chain(self.entries.irange(place), self.entries.irange(maximum=place)):
            if zone is None or self.servers[entry >> 8 & 0xFFFFFF][1] == zone:
                yield entry


class OneSeries(HashRing):
    """The buckets of the ring in one series, the zone in a table."""

    __slots__ = ("table",)

    def __init__(self) -> None:
        super().__init__()
        self.table: dict[int, int] = {}

    def add(self, server: str, number: int, zone: int = 0) -> None:
        self.table[number] = zone
        super().add(server, number)

    def walk(self, place: int, zone: int | None = None) -> Iterator[int]:
        if zone is None:
            return super().walk(place)
        table = self.table
        return (entry for entry in super().walk(place) if table[entry >> 8 & 0xFFFFFF] == zone)


def filled(kind: Callable[[], Kept], size: int, zones: int) -> tuple[Kept, float]:
    """A ring of so many servers, and the seconds that it took."""
    ring = kind()
    servers = [(f"s-{i:08x}", i, i % zones) for i in range(size)]
    began = time.perf_counter()
    if isinstance(ring, Before):
        ring.fill(servers)
    elif isinstance(ring, OneArray):  # one by one it takes minutes
        for server, number, zone in servers:
            ring.servers[number] = server, zone
        ring.entries = array("Q", sorted(e for s, n, _ in servers for e in points(s, n)))
    else:
        for each in servers:
            ring.add(*each)
    return ring, time.perf_counter() - began


def timed(calls: Sequence[Callable[[], object]]) -> float:
    """The median, in microseconds."""
    took = []
    for call in calls:
        began = time.perf_counter()
        call()
        took.append(time.perf_counter() - began)
    return 1e6 * statistics.median(took)


def memory(ring: object) -> int:
    """Bytes of all that it holds, ids and classes left out."""
    seen: dict[int, int] = {}
    todo = [ring]
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, str | type | FunctionType | MethodType):
            continue
        seen[id(one)] = sys.getsizeof(one)
        if not isinstance(one, array | int | float):
            todo += gc.get_referents(one)
    return sum(seen.values())


def measure(kind: Callable[[], Kept], size: int, zones: int, repeats: int) -> dict[str, float]:
    ring, build_s = filled(kind, size, zones)
    held = memory(ring) / size
    chance = random.Random(size)
    places = [place_of(f"key:{i}") for i in range(200)]
    new = range(size, size + repeats)
    gone = chance.sample(range(size), min(repeats, size // 2))

    def first(zone: int | None) -> float:
        return timed([lambda p=p: next(ring.walk(p, zone)) for p in places])  # type: ignore[misc]

    def many(zone: int | None) -> float:
        steps = [lambda p=p: list(itertools.islice(ring.walk(p, zone), STEPS)) for p in places]
        return timed(steps)

    row = {
        "build ms": 1000 * build_s,
        "bytes": held,
        "add": timed([lambda n=n: ring.add(f"n-{n}", n, n % zones) for n in new]),  # type: ignore[misc]
        "remove": timed([lambda n=n: ring.remove(n) for n in gone]),  # type: ignore[misc]
        "first": first(None),
        "first, zone": first(0),
    }
    row["next"] = (many(None) - row["first"]) / (STEPS - 1)
    row["next, zone"] = (many(0) - row["first, zone"]) / (STEPS - 1)
    return row


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="up to 1,000 servers only")
    parser.add_argument("--candidates", action="store_true", help="the others that were weighed, too")
    asked = parser.parse_args()
    sizes = SIZES[:4] if asked.quick else SIZES
    rows: list[tuple[str, int, int, dict[str, float]]] = []
    for size, zones in itertools.product(sizes, ZONES):
        kind: Callable[[], Kept]
        for kind in (Before, HashRing):
            repeats = 5 if kind is Before and size >= 1000 else 30
            rows.append((kind.__name__, size, zones, measure(kind, size, zones, repeats)))
    if asked.candidates:
        kinds: list[Callable[[], Kept]] = [OneArray, OneSeries]
        if find_spec("sortedcontainers"):  # not among the project's libraries
            kinds.append(Sorted)
        for kind, zones in itertools.product(kinds, ZONES):
            rows.append((kind.__name__, sizes[-1], zones, measure(kind, sizes[-1], zones, 5)))
    names = list(rows[0][3])
    print("| kept as | servers | zones |", " | ".join(names), "|")
    print("| --- " * (3 + len(names)) + "|")
    for kept, size, zones, row in rows:
        print(f"| {kept} | {size:,} | {zones} |", " | ".join(f"{row[name]:,.1f}" for name in names), "|")


if __name__ == "__main__":
    main()
