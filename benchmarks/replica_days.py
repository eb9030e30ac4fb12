"""Random days of processes that hold the same state, in virtual time, judged by who wrote and who had what.

    python -m benchmarks.replica_days --days 200

Exit code 1 where an acknowledged write is lost, one that was deleted is back, or the copies stay different.
"""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks import harness
from flintridge.lab.partial.replica_run import random_run


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", type=int, default=200)
    parser.add_argument("--count", type=int, default=5)
    arguments = parser.parse_args()
    os.nice(10)
    with ProcessPoolExecutor(2) as pool:
        days = list(pool.map(partial(random_run, count=arguments.count), range(arguments.days)))
    for one in days:
        for line in one.violations:
            print(f"seed {one.seed}: {line}")
    sums = {
        name: sum(getattr(one, name) for one in days) for name in ("writes", "acknowledged", "kills", "cuts")
    }
    settled = sorted(one.convergence_ms / 1000 for one in days)
    print(f"{len(days)} days of {arguments.count} nodes: {sums}")
    print(f"alike after the last fault: median {settled[len(days) // 2]:.1f} s, longest {settled[-1]:.1f} s")
    sys.exit(any(one.violations for one in days))


if __name__ == "__main__":
    main()
