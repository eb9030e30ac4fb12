"""All interleavings of a few processes that lend one another parts of a budget, to exhaustion.

    python -m benchmarks.lease_search            # two minutes on six cores

A row for each bound on what may happen: how often processes ask, renew, lose or double a word, are stopped,
or start anew; the states seen, the steps to the farthest, whether that was all, and what broke.
"""

import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.explore import explore
from flintridge.lab.explore.leases import LeaseState, RemainingSteps

SEARCHES: dict[str, tuple[tuple[float, ...], RemainingSteps]] = {
    "two processes, one loan, everything once": ((4.0, 6.0), RemainingSteps(requests=1)),
    "two, two loans, a loss, a double, a restart": (
        (4.0, 6.0),
        RemainingSteps(renewals=0, pauses=0),
    ),
    "two, two loans, a renewal, a pause": ((4.0, 6.0), RemainingSteps(losses=0, duplicates=0, restarts=0)),
    "two, two loans, a call taken back, a double": (
        (4.0, 6.0),
        RemainingSteps(renewals=0, losses=0, pauses=0, restarts=0, cancellations=1),
    ),
    "three, two loans": (
        (4.0, 6.0, 4.0),
        RemainingSteps(renewals=0, losses=0, duplicates=0, pauses=0, restarts=0),
    ),
    "three, two loans, a renewal": (
        (4.0, 6.0, 6.0),
        RemainingSteps(losses=0, duplicates=0, pauses=0, restarts=0),
    ),
    "three, two loans, a restart": (
        (4.0, 4.0, 6.0),
        RemainingSteps(renewals=0, losses=0, duplicates=0, pauses=0),
    ),
}


def search(name: str) -> list[str]:
    """Explore one of SEARCHES: its row."""
    speeds, left = SEARCHES[name]
    began = time.perf_counter()
    found = explore(LeaseState.begin(speeds, left))
    took = time.perf_counter() - began
    extent = "all" if found.is_complete else "cut short"
    broken = found.violation or "nothing"
    return [name, f"{found.states:,}", str(found.depth), extent, str(broken), f"{took:.0f}"]


def main() -> None:
    """Explore each of SEARCHES and print its row."""
    harness.print_table_head(["what may happen", "states", "steps", "seen", "broken", "s"])
    with ProcessPoolExecutor(6) as pool:
        for row in pool.map(search, SEARCHES):
            harness.print_table_row(row)


if __name__ == "__main__":
    main()
