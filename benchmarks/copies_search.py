"""Explores all interleavings of a few processes that hold replicas of one key.

    python -m benchmarks.copies_search            # uses two worker processes

Each search bounds how often an event may happen: a write, a deletion, a request for the next chunk of a
comparison, a summary of a replica that is sent to a peer, a lost or duplicated message, a restart with an
empty replica, a partition, a tick of the clocks. Its row has the number of states, the steps to the most
distant one, whether all states were explored, and the violation that was found.
"""

import os
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.explore import explore
from flintridge.lab.explore.replicas import RemainingSteps, ReplicationState

NONE = {"writes": 0, "deletions": 0, "requests": 0}
# For each search: the number of processes, whether all replicas begin with an entry, and the number of each
# event that may happen, where it differs from NONE and from the defaults of RemainingSteps.
SEARCHES: dict[str, tuple[int, bool, dict[str, int]]] = {
    "three, two writes, a deletion": (3, False, {"writes": 2, "deletions": 1}),
    "three, a write, a deletion, two requests": (3, False, {"writes": 1, "deletions": 1, "requests": 2}),
    "three, a write, a deletion, a request, a restart": (
        3,
        False,
        {"writes": 1, "deletions": 1, "requests": 1, "restarts": 1},
    ),
    "three, a deletion, a request, a partition, two ticks": (
        3,
        True,
        {"deletions": 1, "requests": 1, "partitions": 1, "ticks": 2},
    ),
    "three, two writes, a duplicate, a loss": (3, False, {"writes": 2, "duplicates": 1, "losses": 1}),
    "three, two writes, a deletion, a request": (3, False, {"writes": 2, "deletions": 1, "requests": 1}),
    "three, a write, a deletion, two requests, a partition, two ticks": (
        3,
        True,
        {"writes": 1, "deletions": 1, "requests": 2, "partitions": 1, "ticks": 2},
    ),
    "two, a write, a deletion, two summaries, a request, two ticks": (
        2,
        False,
        {"writes": 1, "deletions": 1, "summaries": 2, "requests": 1, "ticks": 2},
    ),
    "two, two writes, a deletion, two requests": (2, False, {"writes": 2, "deletions": 1, "requests": 2}),
    "two, two writes, two requests, a restart": (2, False, {"writes": 2, "requests": 2, "restarts": 1}),
    "two, a write, a deletion, a request, a partition, three ticks": (
        2,
        True,
        {"writes": 1, "deletions": 1, "requests": 1, "partitions": 1, "ticks": 3},
    ),
    "two, a write, a deletion, a duplicate, a loss, two requests": (
        2,
        False,
        {"writes": 1, "deletions": 1, "duplicates": 1, "losses": 1, "requests": 2},
    ),
}


def search(name: str) -> list[str]:
    """Run one of SEARCHES, and return its row."""
    size, has_initial_entry, steps = SEARCHES[name]
    started_at = time.perf_counter()
    exploration = explore(
        ReplicationState.begin(size, RemainingSteps(**NONE | steps), has_initial_entry=has_initial_entry),
        max_states=60_000,
    )
    took = time.perf_counter() - started_at
    extent = "all" if exploration.is_complete else "stopped early"
    violation = exploration.violation or "nothing"
    return [
        name,
        f"{exploration.states:,}",
        str(exploration.depth),
        extent,
        str(violation),
        f"{took:.0f}",
    ]


def main() -> None:
    """Run each of SEARCHES, and print its row."""
    os.nice(10)
    harness.print_table_head(["possible events", "states", "steps", "seen", "broken", "s"])
    with ProcessPoolExecutor(2) as pool:
        for row in pool.map(search, SEARCHES):
            harness.print_table_row(row)


if __name__ == "__main__":
    main()
