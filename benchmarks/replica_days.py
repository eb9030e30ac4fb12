"""Random days of processes that hold the same state, in virtual time, judged by who wrote and who had what.

    python -m benchmarks.replica_days --days 200

Exit code 1 where an acknowledged write is lost, one that was deleted is back, or the copies stay different.
"""

import argparse
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from flintridge.lab.partial.copying import random_day


def main() -> None:
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--days", type=int, default=200)
    asked.add_argument("--count", type=int, default=5)
    given = asked.parse_args()
    os.nice(10)
    with ProcessPoolExecutor(2) as pool:
        days = list(pool.map(partial(random_day, count=given.count), range(given.days)))
    for one in days:
        for line in one.wrong:
            print(f"seed {one.seed}: {line}")
    sums = {
        name: sum(getattr(one, name) for one in days) for name in ("writes", "acknowledged", "kills", "cuts")
    }
    settled = sorted(one.settled_ms / 1000 for one in days)
    print(f"{len(days)} days of {given.count} nodes: {sums}")
    print(f"alike after the last fault: median {settled[len(days) // 2]:.1f} s, longest {settled[-1]:.1f} s")
    sys.exit(any(one.wrong for one in days))


if __name__ == "__main__":
    main()
