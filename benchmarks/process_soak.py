"""Soaks the node program with seeded runs: disturbed servers, crowds, leaving clients, signals in series.

    python -m benchmarks.process_soak --seeds 0-59 --jobs 5

Prints a line for each seed, with what broke a rule. Exits with 1 if anything did.
"""

import argparse
import asyncio
import concurrent.futures
import itertools
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from support.soak import Result, Soak
from support.soak_clients import TIMEOUT_MS


def run(seed: int, message_faults: bool, timeout_ms: int, repeats: bool) -> Result:
    """Play one seed in this process."""
    with tempfile.TemporaryDirectory() as folder:
        os.environ["TMPDIR"] = folder
        return asyncio.run(Soak(seed, Path(folder), message_faults, timeout_ms, repeats).run())


def main() -> int:
    """Play all seeds; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-9", help="the first and the last seed")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    parser.add_argument(
        "--message-faults", action="store_true", help="faults begin at any point of a request or a response"
    )
    parser.add_argument(
        "--repeats", action="store_true", help="responses come twice, and writes again under their ids"
    )
    parser.add_argument("--timeout-ms", type=int, default=TIMEOUT_MS, help="how long the clients wait")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = requests = rejected = 0
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        message_faults = itertools.repeat(arguments.message_faults)
        timeouts_ms = itertools.repeat(arguments.timeout_ms)
        repeats = itertools.repeat(arguments.repeats)
        results = pool.map(run, seeds, message_faults, timeouts_ms, repeats)
        for seed, result in zip(seeds, results, strict=True):
            requests += result.requests
            rejected += result.rejected
            broken += bool(result.findings)
            print(f"{seed}: {result.plan}")
            print(f"    {result.requests} requests, {result.rejected} rejected or failed")
            print(f"    peak {result.peak_mb:.1f} MB")
            for finding in result.findings:
                print(f"    broken: {finding}")
            for line in result.log_lines:
                print(f"    {line}")
    print(f"{len(seeds)} seeds, {requests} requests, {rejected} rejected or failed")
    print(f"{broken} seeds broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
