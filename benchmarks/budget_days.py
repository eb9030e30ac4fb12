"""Checks in random runs that processes which lease fractions of a limit never exceed it together.

    python -m benchmarks.budget_days --days 500 --count 20 --jobs 4      # takes some minutes

The runs are in virtual time, one for each seed; `flintridge/lab/partial/lease_fleet.py` defines their events.
The exit code is 1 if the sum of the usable fractions ever exceeded the limit. It is checked every 20 ms, with
each process's own clock.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.partial.lease_fleet import random_run


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", type=int, default=500)
    harness.add_first_seed(parser)
    parser.add_argument("--count", type=int, default=20)
    harness.add_jobs(parser, 4)
    arguments = parser.parse_args()
    started_at = time.perf_counter()
    seeds = range(arguments.first, arguments.first + arguments.days)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        runs = list(pool.map(random_run, seeds, [arguments.count] * arguments.days, chunksize=4))
    violating = [run for run in runs if run.violations]
    event_counts: dict[str, int] = {}
    for run in runs:
        for name, count in run.event_counts.items():
            event_counts[name] = event_counts.get(name, 0) + count
    print(f"{len(runs)} runs of {arguments.count} nodes and 30 s, seeds {seeds[0]} to {seeds[-1]}")
    print(f"leases granted: {sum(run.granted_count for run in runs):,}; runs without any:", end=" ")
    print(sum(not run.granted_count for run in runs))
    max_usable = max(run.max_usable for run in runs)
    print(f"greatest sum of one limit, in even fractions, of {arguments.count}: {max_usable:.3f}")
    print("events by type:", ", ".join(f"{name} {count:,}" for name, count in sorted(event_counts.items())))
    print(f"runs beyond the limit: {len(violating)}; {time.perf_counter() - started_at:.0f} s")
    for run in violating[:10]:
        print(f"  seed {run.seed}: {run.violations[0]}")
    sys.exit(bool(violating))


if __name__ == "__main__":
    main()
