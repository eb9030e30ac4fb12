"""What the ring costs, beside other ways to keep it.

Run from the repository's root on a quiet machine: python -m benchmarks.ring_cost [--quick] [--candidates]
Times are medians, in microseconds unless named: one server added, one removed, the first step of a walk, and
each of the next 19. Memory is in bytes a server, ids left out; while it builds, a ring also holds all entries
as Python numbers, 40 bytes each. `Loop` is the way before: the same array, walked by index in the policy.
`--candidates` adds the other structures that were weighed, at the largest size; sortedcontainers only where
it is installed.
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
STEPS = 20
NUMBER_MASK = 0xFFFFFF


class Ring(Protocol):
    """Whatever is measured."""

    def replace(self, numbers: dict[str, int]) -> None:
        """Keep these servers, by their numbers."""

    def walk(self, place: int) -> Iterator[int]:
        """All entries clockwise from a place."""


class Loop:
    """As the balancer kept it: each change filters all entries, and what is added is sorted in."""

    def __init__(self) -> None:
        self.entries: Any = array("Q")
        self.numbers: dict[str, int] = {}

    def replace(self, numbers: dict[str, int]) -> None:
        """Keep these servers, by their numbers."""
        if set(self.numbers) != set(numbers):
            stay = {number for server, number in numbers.items() if server in self.numbers}
            ring = [entry for entry in self.entries if entry >> 8 & NUMBER_MASK in stay]
            for server in set(numbers) - set(self.numbers):
                ring += points(server, numbers[server])
            ring.sort()
            self.entries = array("Q", ring)
            self.numbers = dict(numbers)

    def walk(self, place: int) -> Iterator[int]:
        """All entries clockwise from a place."""
        entries = self.entries
        start = bisect_left(entries, place)
        for i in itertools.chain(range(start, len(entries)), range(start)):
            yield entries[i]


class OneArray(Loop):
    """One array of all entries, changed by insort."""

    def replace(self, numbers: dict[str, int]) -> None:
        """Keep these servers, by their numbers."""
        if not self.numbers:  # one by one it takes minutes
            self.entries = array("Q", sorted(e for s, n in numbers.items() for e in points(s, n)))
        else:
            for server in set(numbers) - set(self.numbers):
                for entry in points(server, numbers[server]):
                    insort(self.entries, entry)
            for server in set(self.numbers) - set(numbers):
                for entry in points(server, self.numbers[server]):
                    del self.entries[bisect_left(self.entries, entry)]
        self.numbers = dict(numbers)


class Sorted(Loop):
    """sortedcontainers, which holds Python numbers."""

    def __init__(self) -> None:
        super().__init__()
        from sortedcontainers import SortedList  # type: ignore[import-untyped]

        self.entries = SortedList()

    def replace(self, numbers: dict[str, int]) -> None:
        """Keep these servers, by their numbers."""
        for server in set(numbers) - set(self.numbers):
            self.entries.update(points(server, numbers[server]))
        for server in set(self.numbers) - set(numbers):
            for entry in points(server, self.numbers[server]):
                self.entries.remove(entry)
        self.numbers = dict(numbers)

    def walk(self, place: int) -> Iterator[int]:
        """All entries clockwise from a place."""
        return itertools.chain(self.entries.irange(place), self.entries.irange(maximum=place))


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


def measure(kind: Callable[[], Ring], size: int, repeats: int) -> dict[str, float]:
    """The figures of one structure at one size."""
    ring = kind()
    numbers = {f"s-{i:08x}": i for i in range(size)}
    began = time.perf_counter()
    ring.replace(numbers)
    build_s = time.perf_counter() - began
    held = memory(ring) / size
    chance = random.Random(size)
    places = [position_of(f"key:{i}") for i in range(200)]
    gone = chance.sample(sorted(numbers), min(repeats, size // 2))
    added = []
    removed = []
    for number in range(size, size + repeats):
        numbers = numbers | {f"n-{number}": number}
        added.append(lambda listed=numbers: ring.replace(listed))
    add = timed(added)
    for server in gone:
        numbers = {name: number for name, number in numbers.items() if name != server}
        removed.append(lambda listed=numbers: ring.replace(listed))
    row = {"build ms": 1000 * build_s, "bytes": held, "add": add, "remove": timed(removed)}
    row["first"] = timed([lambda p=p: next(iter(ring.walk(p))) for p in places])  # type: ignore[misc]
    steps = [lambda p=p: list(itertools.islice(ring.walk(p), STEPS)) for p in places]
    row["next"] = (timed(steps) - row["first"]) / (STEPS - 1)
    return row


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--quick", action="store_true", help="up to 1,000 servers only")
    parser.add_argument("--candidates", action="store_true", help="the others that were weighed, too")
    arguments = parser.parse_args()
    sizes = SIZES[:4] if arguments.quick else SIZES
    rows: list[tuple[str, int, dict[str, float]]] = []
    for size in sizes:
        repeats = 5 if size >= 1000 else 30
        rows += [(kind.__name__, size, measure(kind, size, repeats)) for kind in (Loop, HashRing)]
    if arguments.candidates:
        kinds: list[Callable[[], Ring]] = [OneArray]
        if find_spec("sortedcontainers"):  # not among the project's libraries
            kinds.append(Sorted)
        rows += [(kind.__name__, sizes[-1], measure(kind, sizes[-1], 5)) for kind in kinds]
    names = list(rows[0][2])
    print("| kept as | servers |", " | ".join(names), "|")
    print("| --- " * (2 + len(names)) + "|")
    for kept, size, row in rows:
        print(f"| {kept} | {size:,} |", " | ".join(f"{row[name]:,.2f}" for name in names), "|")


if __name__ == "__main__":
    main()
