"""Soaks drains on node processes: faults of discovery, removals, restarts, new configurations, crowds.

    python -m benchmarks.drain_soak --seeds 0-49 --jobs 5

Prints a line for each seed, with what broke the rule on drains. Exits with 1 if anything did.
"""

import argparse
import asyncio
import concurrent.futures
import os
import sys
import tempfile
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from support.drain_soak import DrainSoak, Result


def run(seed: int, has_slow_phases: bool) -> Result:
    """Play one seed in this process."""
    with tempfile.TemporaryDirectory() as folder:
        os.environ["TMPDIR"] = folder
        return asyncio.run(DrainSoak(seed, Path(folder), has_slow_phases=has_slow_phases).run())


def main() -> int:
    """Play all seeds; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-9", help="the first and the last seed")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    parser.add_argument("--slow-discovery", action="store_true", help="let discovery be slow now and then")
    parser.add_argument("--verbose", action="store_true", help="print the events and logs of broken seeds")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = attempts = 0
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        results = pool.map(partial(run, has_slow_phases=arguments.slow_discovery), seeds)
        for seed, result in zip(seeds, results, strict=True):
            attempts += result.attempts
            broken += bool(result.findings)
            print(f"{seed}: {result.plan}, {result.attempts} attempts", flush=True)
            for finding in result.findings:
                print(f"    broken: {finding}")
            if arguments.verbose and result.findings:
                for line in [*result.events, *result.log_lines]:
                    print(f"    {line}")
    print(f"{len(seeds)} seeds, {attempts} attempts, {broken} seeds broke the rule on drains")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
