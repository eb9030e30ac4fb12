"""Measures the cost of a node's decisions in a fleet of N cache servers and of sixteen times as many.

Run from the repository's root on a quiet machine:

    .venv-dev/bin/python -m benchmarks.fleet_size [--still] [--sizes 50,200] [--rounds 3]
    .venv-dev/bin/python -m benchmarks.fleet_size --against OTHER_CHECKOUT [--sizes 8,50] [--rounds 9]

Each run drives the balancer alone for 40 s of virtual time, with 40 requests per second and one server
replaced each second (none with `--still`), in a process of its own. The table has CPU time and peak memory of
a run beside the allowed values of the larger fleet, which are computed from the run at N; the CPU time of
handling the first endpoint list; and that of the longest later call of `handle` with an endpoint update, with
a timer, and with a request or the end of an attempt. The values are medians of the rounds.

With `--against` the runs at each size alternate between this checkout and another. The table has the medians
of both and the median of the rounds' ratios.
"""

import argparse
import heapq
import json
import os
import random
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from flintridge import Balancer, api

MS = 1_000_000
S = 1_000 * MS
START = 1_000 * S
DURATION_S = 40
REQUESTS_PER_S = 40
KEYS = 20_000
FACTOR = 16  # size of the larger fleet, as a multiple of N
ROOT = Path(__file__).resolve().parent.parent


def settings() -> api.Settings:
    """Settings with one request class and with slow start."""
    rules = api.Rules(
        slow_start_fraction=0.3, slow_start_ns=10 * S, overload_multiple=3.0, overload_window_ns=S
    )
    classes = (api.RequestClass(name="read", latency_objective_ns=500 * MS, deadline_ns=2 * S),)
    return api.Settings(classes=classes, rules=rules, limits=api.Limits(max_attempts=4))


class Simulation:
    """A balancer with a virtual clock and a queue of due events."""

    def __init__(self, servers: int, replaced: bool) -> None:
        """Queue the endpoint updates and the requests.

        Args:
            servers: Number of cache servers.
            replaced: Whether one server is replaced each second.
        """
        self.balancer = Balancer(settings(), seed=1)
        self.rng = random.Random(7)
        self.due: list[tuple[int, int, api.Event]] = []
        self.order = 0
        self.attempts: dict[str, int] = {}
        self.served: set[str] = set()
        self.longest_ns = {"first list": 0, "change": 0, "timer": 0, "request": 0}
        names = [f"s-{i:08x}:80" for i in range(servers)]
        first = api.EndpointUpdate(api.UpdateKind.FULL, 1, tuple(map(api.Endpoint, names)))
        self.add(START, first)
        for second in range(1, DURATION_S if replaced else 0):
            at = START + second * S
            victim = self.rng.randrange(servers)
            gone = api.Endpoint(names[victim], api.EndpointState.GONE)
            names[victim] = f"n-{second:08x}:80"
            self.add(
                at,
                api.EndpointUpdate(
                    api.UpdateKind.DELTA, 1 + second, (gone, api.Endpoint(names[victim], started_at=at))
                ),
            )
        for i in range(DURATION_S * REQUESTS_PER_S):
            at = START + S + i * S // REQUESTS_PER_S
            key = f"key:{int(KEYS * self.rng.random() ** 2)}"
            self.add(at, api.RequestReceived(f"r{i}", at + 2 * S, key=key))

    def add(self, at: int, event: api.Event) -> None:
        """Queue an event for the instant `at`, in nanoseconds."""
        self.order += 1
        heapq.heappush(self.due, (at, self.order, event))

    def run(self) -> None:
        """Handle all events in order, and record the longest calls."""
        kinds = {api.EndpointUpdate: "change", api.TimerFired: "timer"}
        kind = "first list"
        while self.due:
            now, _, event = heapq.heappop(self.due)
            started_at = time.thread_time_ns()
            actions = self.balancer.handle(now, event)
            took = time.thread_time_ns() - started_at
            self.longest_ns[kind] = max(self.longest_ns[kind], took)
            for action in actions:
                self.simulate_result(now, action)
            kind = kinds.get(type(self.due[0][2]), "request") if self.due else ""

    def simulate_result(self, now: int, action: api.Action) -> None:
        """Queue the timer or the end of the attempt that follows from an action."""
        if isinstance(action, api.SetTimer):
            self.add(action.at, api.TimerFired(action.token))
        elif isinstance(action, api.Send):
            attempt = self.attempts.get(action.id, 0)
            self.attempts[action.id] = attempt + 1
            latency_ns = int(self.rng.uniform(2, 6) * MS)
            self.served.add(action.id)
            ended = api.AttemptEnded(
                action.id, attempt, action.server, api.Outcome.OK, latency_ns=latency_ns, final=True
            )
            self.add(now + latency_ns, ended)


def measure(servers: int, replaced: bool) -> dict[str, float]:
    """Run a simulation in this process, and return its costs."""
    simulation = Simulation(servers, replaced)
    started_at = time.process_time()
    simulation.run()
    costs = {f"{name} ms": ns / MS for name, ns in simulation.longest_ns.items()}
    costs["cpu s"] = time.process_time() - started_at
    costs["memory mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    costs["served"] = len(simulation.served) / (DURATION_S * REQUESTS_PER_S)
    return costs


def measure_in_subprocess(servers: int, replaced: bool, checkout: Path) -> dict[str, float]:
    """Run a simulation in a process of its own with the code of a checkout, and return its costs."""
    command = [sys.executable, __file__, "--play", str(servers), *([] if replaced else ["--still"])]
    env = {**os.environ, "PYTHONPATH": str(checkout)}
    done = subprocess.run(command, env=env, capture_output=True, text=True, timeout=600, check=True)
    costs: dict[str, float] = json.loads(done.stdout)
    return costs


def medians(runs: Sequence[dict[str, float]]) -> dict[str, float]:
    """The median of each cost over the runs."""
    return {name: statistics.median(run[name] for run in runs) for name in runs[0]}


def print_costs(sizes: Sequence[int], rounds: int, replaced: bool) -> None:
    """Print a table of the measured and the allowed costs at each size."""
    columns = ("first list ms", "change ms", "timer ms", "request ms", "served")
    print("| servers | CPU s | allowed | peak MB | allowed |", " | ".join(columns), "|")
    print("| --- " * (5 + len(columns)) + "|")
    for size in sizes:
        base = medians([measure_in_subprocess(size, replaced, ROOT) for _ in range(rounds)])
        large = medians([measure_in_subprocess(FACTOR * size, replaced, ROOT) for _ in range(rounds)])
        thousands = FACTOR * size / 1000
        cpu_s = f"{1.4 * base['cpu s'] + 0.02 + 0.12 * thousands:.2f}"
        memory_mb = f"{1.5 * base['memory mb'] + 8 + 4 * thousands:.1f}"
        for servers, row, allowed in (
            (size, base, ("", "")),
            (FACTOR * size, large, (cpu_s, memory_mb)),
        ):
            cells = [f"{row['cpu s']:.2f}", allowed[0], f"{row['memory mb']:.1f}", allowed[1]]
            cells += [f"{row[column]:.2f}" for column in columns]
            print(f"| {servers:,} |", " | ".join(cells), "|")


def print_comparison(sizes: Sequence[int], rounds: int, replaced: bool, other: Path) -> None:
    """Print a table of the CPU time of two checkouts at each size."""
    print("| servers | here, CPU s | there, CPU s | ratio |\n| --- | --- | --- | --- |")
    for size in sizes:
        pairs = []
        for i in range(rounds):
            order = (ROOT, other) if i % 2 else (other, ROOT)
            cpu_s = {checkout: measure_in_subprocess(size, replaced, checkout)["cpu s"] for checkout in order}
            pairs.append((cpu_s[ROOT], cpu_s[other]))
        here, there = (statistics.median(side) for side in zip(*pairs, strict=True))
        ratio = statistics.median(one / two for one, two in pairs)
        print(f"| {size:,} | {here:.3f} | {there:.3f} | {ratio:.3f} |")


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    # benchmarks.harness is not used: with --play, this file runs with the packages of another checkout.
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--still", action="store_true", help="no server is replaced")
    parser.add_argument("--sizes", default="", help="values of N, separated by commas")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--against", type=Path, help="another checkout to alternate with")
    parser.add_argument("--play", type=int, help=argparse.SUPPRESS)  # one run, in a subprocess
    arguments = parser.parse_args()
    if arguments.play:
        print(json.dumps(measure(arguments.play, not arguments.still)))
        return
    sizes = [
        int(size) for size in (arguments.sizes or ("8,50" if arguments.against else "50,200")).split(",")
    ]
    if arguments.against:
        print_comparison(sizes, arguments.rounds, not arguments.still, arguments.against.resolve())
    else:
        print_costs(sizes, arguments.rounds, not arguments.still)


if __name__ == "__main__":
    main()
