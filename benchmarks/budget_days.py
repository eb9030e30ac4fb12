"""Random days of processes that lend one another parts of budgets, by seed: is the sum ever over?

    python -m benchmarks.budget_days --days 500 --count 20 --jobs 4      # some minutes

Virtual time; `flintridge/lab/partial/lease_fleet.py` tells what happens in a day. Exit code 1 if the sum of
what all may use was ever over the budget, looked at each 20 ms and by each process's own clock.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.partial.lease_fleet import random_run


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", type=int, default=500)
    harness.add_first_seed(parser)
    parser.add_argument("--count", type=int, default=20)
    harness.add_jobs(parser, 4)
    arguments = parser.parse_args()
    began = time.perf_counter()
    seeds = range(arguments.first, arguments.first + arguments.days)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        days = list(pool.map(random_run, seeds, [arguments.count] * arguments.days, chunksize=4))
    over = [day for day in days if day.violations]
    deeds: dict[str, int] = {}
    for day in days:
        for name, count in day.event_counts.items():
            deeds[name] = deeds.get(name, 0) + count
    print(f"{len(days)} days of {arguments.count} nodes and 30 s, seeds {seeds[0]} to {seeds[-1]}")
    print(f"loans granted: {sum(day.granted_count for day in days):,}; days without any:", end=" ")
    print(sum(not day.granted_count for day in days))
    greatest = max(day.max_usable for day in days)
    print(f"greatest sum of one budget, in parts of {arguments.count}: {greatest:.3f}")
    print("what happened:", ", ".join(f"{name} {count:,}" for name, count in sorted(deeds.items())))
    print(f"days over: {len(over)}; {time.perf_counter() - began:.0f} s")
    for day in over[:10]:
        print(f"  seed {day.seed}: {day.violations[0]}")
    sys.exit(bool(over))


if __name__ == "__main__":
    main()
