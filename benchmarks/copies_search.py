"""All interleavings of a few processes with copies of one key, to exhaustion.

    python -m benchmarks.copies_search            # two processes at a time

A row for each bound on what may happen: how often processes write, delete, ask, lose or double a word, start
empty, are cut off, and time goes on; the states seen, the steps to the farthest, and what broke.
"""

import os
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.explore import explore
from flintridge.lab.explore.replicas import RemainingSteps, ReplicationState

NONE = {"writes": 0, "deletions": 0, "requests": 0}
# How many processes, whether one entry is in all copies, and what may happen.
SEARCHES: dict[str, tuple[int, bool, dict[str, int]]] = {
    "three, two writes, a deletion": (3, False, {"writes": 2, "deletions": 1}),
    "three, a write, a deletion, two calls": (3, False, {"writes": 1, "deletions": 1, "requests": 2}),
    "three, a write, a deletion, a call, one starts empty": (
        3,
        False,
        {"writes": 1, "deletions": 1, "requests": 1, "restarts": 1},
    ),
    "three, a deletion, a call, a cut, time": (
        3,
        True,
        {"deletions": 1, "requests": 1, "partitions": 1, "ticks": 2},
    ),
    "three, two writes, a double, a loss": (3, False, {"writes": 2, "duplicates": 1, "losses": 1}),
    "three, two writes, a deletion, a call": (3, False, {"writes": 2, "deletions": 1, "requests": 1}),
    "three, a write, a deletion, two calls, a cut, time": (
        3,
        True,
        {"writes": 1, "deletions": 1, "requests": 2, "partitions": 1, "ticks": 2},
    ),
    "two, a write, a deletion, two words of what it is, a call, time": (
        2,
        False,
        {"writes": 1, "deletions": 1, "summaries": 2, "requests": 1, "ticks": 2},
    ),
    "two, two writes, a deletion, two calls": (2, False, {"writes": 2, "deletions": 1, "requests": 2}),
    "two, two writes, two calls, one starts empty": (2, False, {"writes": 2, "requests": 2, "restarts": 1}),
    "two, a write, a deletion, a call, a cut, time": (
        2,
        True,
        {"writes": 1, "deletions": 1, "requests": 1, "partitions": 1, "ticks": 3},
    ),
    "two, a write, a deletion, a double, a loss, two calls": (
        2,
        False,
        {"writes": 1, "deletions": 1, "duplicates": 1, "losses": 1, "requests": 2},
    ),
}


def search(name: str) -> list[str]:
    """Explore one of SEARCHES: its row."""
    size, written, left = SEARCHES[name]
    began = time.perf_counter()
    found = explore(
        ReplicationState.begin(size, RemainingSteps(**NONE | left), has_initial_entry=written),
        max_states=60_000,
    )
    took = time.perf_counter() - began
    extent = "all" if found.is_complete else "cut short"
    broken = found.violation or "nothing"
    return [name, f"{found.states:,}", str(found.depth), extent, str(broken), f"{took:.0f}"]


def main() -> None:
    """Explore each of SEARCHES and print its row."""
    os.nice(10)
    harness.print_table_head(["what may happen", "states", "steps", "seen", "broken", "s"])
    with ProcessPoolExecutor(2) as pool:
        for row in pool.map(search, SEARCHES):
            harness.print_table_row(row)


if __name__ == "__main__":
    main()
