"""Explores all interleavings of a few processes that lease fractions of a limit to one another.

    python -m benchmarks.lease_search            # two minutes on six cores

Each search bounds how often an event may happen: a request or renewal of a lease, a lost or duplicated
message, a paused or restarted process, a canceled request. Its row has the number of states, the steps to the
most distant one, whether all states were explored, and the violation that was found.
"""

import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.explore import explore
from flintridge.lab.explore.leases import DIVISIBLE_TERMS, TERMS, LeaseState, RemainingSteps

SEARCHES: dict[str, tuple[tuple[float, ...], RemainingSteps]] = {
    "two processes, one lease, each other event once": ((4.0, 6.0), RemainingSteps(requests=1)),
    "two, two leases, a loss, a duplicate, a restart": (
        (4.0, 6.0),
        RemainingSteps(renewals=0, pauses=0),
    ),
    "two, two leases, a renewal, a pause": ((4.0, 6.0), RemainingSteps(losses=0, duplicates=0, restarts=0)),
    "two, two leases, a canceled request, a duplicate": (
        (4.0, 6.0),
        RemainingSteps(renewals=0, losses=0, pauses=0, restarts=0, cancellations=1),
    ),
    "three, two leases": (
        (4.0, 6.0, 4.0),
        RemainingSteps(renewals=0, losses=0, duplicates=0, pauses=0, restarts=0),
    ),
    "three, two leases, a renewal": (
        (4.0, 6.0, 6.0),
        RemainingSteps(losses=0, duplicates=0, pauses=0, restarts=0),
    ),
    "three, two leases, a restart": (
        (4.0, 4.0, 6.0),
        RemainingSteps(renewals=0, losses=0, duplicates=0, pauses=0),
    ),
    "two nodes, three starts and ends, a pause": (
        (4.0, 6.0),
        RemainingSteps(requests=0, renewals=0, losses=0, duplicates=0, restarts=0, starts=3, ends=3),
    ),
    "two nodes, two starts and ends, a lease": (
        (4.0, 6.0),
        RemainingSteps(
            requests=1, renewals=0, losses=0, duplicates=0, pauses=0, restarts=0, starts=2, ends=2
        ),
    ),
    "two nodes, a start, an end, two leases": (
        (4.0, 6.0),
        RemainingSteps(renewals=0, losses=0, duplicates=0, pauses=0, restarts=0, starts=1, ends=1),
    ),
    "two nodes, a start, an end, a lease, a pause, a restart": (
        (4.0, 6.0),
        RemainingSteps(requests=1, renewals=0, losses=0, duplicates=0, starts=1, ends=1),
    ),
}


def search(name: str) -> list[str]:
    """Run one of SEARCHES, and return its row."""
    clock_rates, steps = SEARCHES[name]
    started_at = time.perf_counter()
    terms = DIVISIBLE_TERMS if steps.starts else TERMS
    exploration = explore(LeaseState.begin(clock_rates, steps, terms))
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
    harness.print_table_head(["possible events", "states", "steps", "seen", "broken", "s"])
    with ProcessPoolExecutor(6) as pool:
        for row in pool.map(search, SEARCHES):
            harness.print_table_row(row)


if __name__ == "__main__":
    main()
