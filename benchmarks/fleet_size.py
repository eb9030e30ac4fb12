"""What the decisions of a node cost in a fleet of N cache servers and of sixteen times as many.

Run from the repository's root on a quiet machine:

    .venv-dev/bin/python -m benchmarks.fleet_size [--still] [--sizes 50,200] [--rounds 3]
    .venv-dev/bin/python -m benchmarks.fleet_size --against OTHER_CHECKOUT [--sizes 8,50] [--rounds 9]

The decision module alone plays 40 s in virtual time: 40 requests a second, and one server replaced each
second (`--still`: none). Each play has a process of its own. Printed: CPU and peak memory of the play beside
what STANDING allows, which is reckoned from the play at N; the CPU time of the first list, and of the longest
later call of `handle` with an endpoint update, with a timer, and with a request or the end of an attempt.
Medians of the rounds.

With `--against` the plays at each size alternate between this checkout and another; printed are the medians
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
FACTOR = 16
ROOT = Path(__file__).resolve().parent.parent


def settings() -> api.Settings:
    """One class of requests, and the rules of slow start."""
    rules = api.Rules(
        slow_start_fraction=0.3, slow_start_ns=10 * S, overload_multiple=3.0, overload_window_ns=S
    )
    classes = (api.RequestClass(name="read", latency_objective_ns=500 * MS, deadline_ns=2 * S),)
    return api.Settings(classes=classes, rules=rules, limits=api.Limits(max_attempts=4))


class Play:
    """One node's decisions, its clock and what is to happen."""

    def __init__(self, servers: int, replaced: bool) -> None:
        self.balancer = Balancer(settings(), seed=1)
        self.chance = random.Random(7)
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
            victim = self.chance.randrange(servers)
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
            key = f"key:{int(KEYS * self.chance.random() ** 2)}"
            self.add(at, api.RequestReceived(f"r{i}", at + 2 * S, key=key))

    def add(self, at: int, event: api.Event) -> None:
        """Let an event happen at a time."""
        self.order += 1
        heapq.heappush(self.due, (at, self.order, event))

    def run(self) -> None:
        """Play all events in order and note the longest calls."""
        kinds = {api.EndpointUpdate: "change", api.TimerFired: "timer"}
        kind = "first list"
        while self.due:
            now, _, event = heapq.heappop(self.due)
            began = time.thread_time_ns()
            actions = self.balancer.handle(now, event)
            took = time.thread_time_ns() - began
            self.longest_ns[kind] = max(self.longest_ns[kind], took)
            for action in actions:
                self.carry_out(now, action)
            kind = kinds.get(type(self.due[0][2]), "request") if self.due else ""

    def carry_out(self, now: int, action: api.Action) -> None:
        """Let a timer or the end of an attempt follow from an action."""
        if isinstance(action, api.SetTimer):
            self.add(action.at, api.TimerFired(action.token))
        elif isinstance(action, api.Send):
            attempt = self.attempts.get(action.id, 0)
            self.attempts[action.id] = attempt + 1
            latency_ns = int(self.chance.uniform(2, 6) * MS)
            self.served.add(action.id)
            ended = api.AttemptEnded(
                action.id, attempt, action.server, api.Outcome.OK, latency_ns=latency_ns, final=True
            )
            self.add(now + latency_ns, ended)


def play(servers: int, replaced: bool) -> dict[str, float]:
    """The figures of one play, in this process."""
    play = Play(servers, replaced)
    began = time.process_time()
    play.run()
    figures = {f"{name} ms": ns / MS for name, ns in play.longest_ns.items()}
    figures["cpu s"] = time.process_time() - began
    figures["memory mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    figures["served"] = len(play.served) / (DURATION_S * REQUESTS_PER_S)
    return figures


def play_apart(servers: int, replaced: bool, checkout: Path) -> dict[str, float]:
    """The figures of one play in a process of its own, with a checkout's code."""
    command = [sys.executable, __file__, "--play", str(servers), *([] if replaced else ["--still"])]
    env = {**os.environ, "PYTHONPATH": str(checkout)}
    done = subprocess.run(command, env=env, capture_output=True, text=True, timeout=600, check=True)
    figures: dict[str, float] = json.loads(done.stdout)
    return figures


def medians(plays: Sequence[dict[str, float]]) -> dict[str, float]:
    """The medians of each figure."""
    return {name: statistics.median(play[name] for play in plays) for name in plays[0]}


def table(sizes: Sequence[int], rounds: int, replaced: bool) -> None:
    """Print what is measured beside what is allowed, at each size."""
    columns = ("first list ms", "change ms", "timer ms", "request ms", "served")
    print("| servers | CPU s | allowed | peak MB | allowed |", " | ".join(columns), "|")
    print("| --- " * (5 + len(columns)) + "|")
    for size in sizes:
        usual = medians([play_apart(size, replaced, ROOT) for _ in range(rounds)])
        large = medians([play_apart(FACTOR * size, replaced, ROOT) for _ in range(rounds)])
        thousands = FACTOR * size / 1000
        cpu_s = f"{1.4 * usual['cpu s'] + 0.02 + 0.12 * thousands:.2f}"
        memory_mb = f"{1.5 * usual['memory mb'] + 8 + 4 * thousands:.1f}"
        for servers, row, allowed in (
            (size, usual, ("", "")),
            (FACTOR * size, large, (cpu_s, memory_mb)),
        ):
            cells = [f"{row['cpu s']:.2f}", allowed[0], f"{row['memory mb']:.1f}", allowed[1]]
            cells += [f"{row[column]:.2f}" for column in columns]
            print(f"| {servers:,} |", " | ".join(cells), "|")


def compare(sizes: Sequence[int], rounds: int, replaced: bool, other: Path) -> None:
    """Print the CPU time of two checkouts at each size."""
    print("| servers | here, CPU s | there, CPU s | ratio |\n| --- | --- | --- | --- |")
    for size in sizes:
        pairs = []
        for i in range(rounds):
            order = (ROOT, other) if i % 2 else (other, ROOT)
            cpu_s = {checkout: play_apart(size, replaced, checkout)["cpu s"] for checkout in order}
            pairs.append((cpu_s[ROOT], cpu_s[other]))
        here, there = (statistics.median(side) for side in zip(*pairs, strict=True))
        ratio = statistics.median(one / two for one, two in pairs)
        print(f"| {size:,} | {here:.3f} | {there:.3f} | {ratio:.3f} |")


def main() -> None:
    """Play what the arguments ask for and print it."""
    # Not by the harness: with --play this file runs beside the packages of another checkout.
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--still", action="store_true", help="no server is replaced")
    parser.add_argument("--sizes", default="", help="N, with commas")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--against", type=Path, help="another checkout to alternate with")
    parser.add_argument("--play", type=int, help=argparse.SUPPRESS)  # in its own process
    arguments = parser.parse_args()
    if arguments.play:
        print(json.dumps(play(arguments.play, not arguments.still)))
        return
    sizes = [
        int(size) for size in (arguments.sizes or ("8,50" if arguments.against else "50,200")).split(",")
    ]
    if arguments.against:
        compare(sizes, arguments.rounds, not arguments.still, arguments.against.resolve())
    else:
        table(sizes, arguments.rounds, not arguments.still)


if __name__ == "__main__":
    main()
