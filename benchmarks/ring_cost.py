"""Measures the cost of the hash ring, and of other data structures for it.

Run from the repository's root on a quiet machine: python -m benchmarks.ring_cost [--quick] [--candidates]
Times are medians, in microseconds unless the column names a unit: to add one server, to remove one, the first
step of a walk, and each of the next 19 steps. Memory is in bytes per server, without the servers' ids; while
a ring is built, it also holds all entries as Python integers of 40 bytes each. `FilteredArray` is the
previous implementation: the same array, which the policy walked by index. `--candidates` adds the other
structures that were considered, at the largest size; sortedcontainers only if it is installed.
"""

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

from benchmarks import harness
from flintridge.policy.hash_ring import HashRing, points, position_of

SIZES = (8, 50, 200, 1_000, 5_000, 10_000)
WALK_STEPS = 20
NUMBER_MASK = 0xFFFFFF


class Ring(Protocol):
    """The interface of the measured data structures."""

    def replace(self, numbers: dict[str, int]) -> None:
        """Make these the servers of the ring; `numbers` has their numbers by id."""

    def walk(self, position: int) -> Iterator[int]:
        """Iterate over all entries clockwise from a position."""


class FilteredArray:
    """The balancer's previous ring: each change filters all entries, then adds the new ones and sorts."""

    def __init__(self) -> None:
        self.entries: Any = array("Q")
        self.numbers: dict[str, int] = {}

    def replace(self, numbers: dict[str, int]) -> None:
        """See `Ring.replace`."""
        if set(self.numbers) != set(numbers):
            stay = {number for server, number in numbers.items() if server in self.numbers}
            ring = [entry for entry in self.entries if entry >> 8 & NUMBER_MASK in stay]
            for server in set(numbers) - set(self.numbers):
                ring += points(server, numbers[server])
            ring.sort()
            self.entries = array("Q", ring)
            self.numbers = dict(numbers)

    def walk(self, position: int) -> Iterator[int]:
        """See `Ring.walk`."""
        entries = self.entries
        start = bisect_left(entries, position)
        for i in itertools.chain(range(start, len(entries)), range(start)):
            yield entries[i]


class InsortArray(FilteredArray):
    """One array of all entries, changed by insort and deletion of single entries."""

    def replace(self, numbers: dict[str, int]) -> None:
        """See `Ring.replace`."""
        if not self.numbers:  # inserting all entries one by one takes minutes
            self.entries = array(
                "Q",
                sorted(entry for server, number in numbers.items() for entry in points(server, number)),
            )
        else:
            for server in set(numbers) - set(self.numbers):
                for entry in points(server, numbers[server]):
                    insort(self.entries, entry)
            for server in set(self.numbers) - set(numbers):
                for entry in points(server, self.numbers[server]):
                    del self.entries[bisect_left(self.entries, entry)]
        self.numbers = dict(numbers)


class SortedContainer(FilteredArray):
    """A SortedList of sortedcontainers, whose entries are Python integers."""

    def __init__(self) -> None:
        super().__init__()
        from sortedcontainers import SortedList  # type: ignore[import-untyped]

        self.entries = SortedList()

    def replace(self, numbers: dict[str, int]) -> None:
        """See `Ring.replace`."""
        for server in set(numbers) - set(self.numbers):
            self.entries.update(points(server, numbers[server]))
        for server in set(self.numbers) - set(numbers):
            for entry in points(server, self.numbers[server]):
                self.entries.remove(entry)
        self.numbers = dict(numbers)

    def walk(self, position: int) -> Iterator[int]:
        """See `Ring.walk`."""
        return itertools.chain(self.entries.irange(position), self.entries.irange(maximum=position))


def median_us(calls: Sequence[Callable[[], object]]) -> float:
    """Make the calls, and return their median time in microseconds."""
    took_s = []
    for call in calls:
        started_at = time.perf_counter()
        call()
        took_s.append(time.perf_counter() - started_at)
    return 1e6 * statistics.median(took_s)


def memory_bytes(ring: object) -> int:
    """Bytes of all objects that a ring references, without ids, classes and functions."""
    sizes: dict[int, int] = {}
    pending = [ring]
    while pending:
        referenced = pending.pop()
        if id(referenced) in sizes or isinstance(referenced, str | type | FunctionType | MethodType):
            continue
        sizes[id(referenced)] = sys.getsizeof(referenced)
        if not isinstance(referenced, array | int | float):
            pending += gc.get_referents(referenced)
    return sum(sizes.values())


def measure(create_ring: Callable[[], Ring], size: int, repeats: int) -> dict[str, float]:
    """Measure a data structure with `size` servers, and return its costs by column."""
    ring = create_ring()
    numbers = {f"s-{i:08x}": i for i in range(size)}
    started_at = time.perf_counter()
    ring.replace(numbers)
    build_s = time.perf_counter() - started_at
    bytes_per_server = memory_bytes(ring) / size
    rng = random.Random(size)
    positions = [position_of(f"key:{i}") for i in range(200)]
    removed_servers = rng.sample(sorted(numbers), min(repeats, size // 2))
    additions = []
    removals = []
    for number in range(size, size + repeats):
        numbers = numbers | {f"n-{number}": number}
        additions.append(lambda listed=numbers: ring.replace(listed))
    add_us = median_us(additions)
    for server in removed_servers:
        numbers = {name: number for name, number in numbers.items() if name != server}
        removals.append(lambda listed=numbers: ring.replace(listed))
    row = {
        "build ms": 1000 * build_s,
        "bytes": bytes_per_server,
        "add": add_us,
        "remove": median_us(removals),
    }
    row["first"] = median_us([lambda p=p: next(iter(ring.walk(p))) for p in positions])  # type: ignore[misc]
    walks = [lambda p=p: list(itertools.islice(ring.walk(p), WALK_STEPS)) for p in positions]
    row["next"] = (median_us(walks) - row["first"]) / (WALK_STEPS - 1)
    return row


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--quick", action="store_true", help="measure up to 1,000 servers only")
    parser.add_argument("--candidates", action="store_true", help="also measure the other structures")
    arguments = parser.parse_args()
    sizes = SIZES[:4] if arguments.quick else SIZES
    rows: list[tuple[str, int, dict[str, float]]] = []
    for size in sizes:
        repeats = 5 if size >= 1000 else 30
        rows += [(kind.__name__, size, measure(kind, size, repeats)) for kind in (FilteredArray, HashRing)]
    if arguments.candidates:
        kinds: list[Callable[[], Ring]] = [InsortArray]
        if find_spec("sortedcontainers"):  # not a dependency of the project
            kinds.append(SortedContainer)
        rows += [(kind.__name__, sizes[-1], measure(kind, sizes[-1], 5)) for kind in kinds]
    names = list(rows[0][2])
    print("| data structure | servers |", " | ".join(names), "|")
    print("| --- " * (2 + len(names)) + "|")
    for kind_name, size, row in rows:
        print(f"| {kind_name} | {size:,} |", " | ".join(f"{row[name]:,.2f}" for name in names), "|")


if __name__ == "__main__":
    main()
