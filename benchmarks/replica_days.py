"""Checks replication in random runs in virtual time, by the writes and by the entries of each replica.

    python -m benchmarks.replica_days --days 200

The exit code is 1 if an acknowledged write was lost, a deleted one reappeared, or replicas did not converge.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks import harness
from flintridge.lab.partial.replica_run import random_run


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", type=int, default=200)
    parser.add_argument("--count", type=int, default=5)
    arguments = parser.parse_args()
    os.nice(10)
    with ProcessPoolExecutor(2) as pool:
        runs = list(pool.map(partial(random_run, count=arguments.count), range(arguments.days)))
    for run in runs:
        for violation in run.violations:
            print(f"seed {run.seed}: {violation}")
    sums = {
        name: sum(getattr(run, name) for run in runs) for name in ("writes", "acknowledged", "kills", "cuts")
    }
    times = sorted(run.convergence_ms / 1000 for run in runs)
    print(f"{len(runs)} runs of {arguments.count} nodes: {sums}")
    print(
        f"convergence after the last fault: median {times[len(runs) // 2]:.1f} s, longest {times[-1]:.1f} s"
    )
    sys.exit(any(run.violations for run in runs))


if __name__ == "__main__":
    main()
