"""The same days in virtual time and on loopback: how far do they differ?

Run from the repository's root on a quiet machine: python -m benchmarks.lab_backends [DAY ...] [--seeds 2]
A day on loopback takes as long as it is. `late` is how late the lab's own timers fired there (ms, p99 and
most); with more than a few the machine was too busy to judge by.
"""

import statistics

from benchmarks import harness
from flintridge.lab.experiment.jobs import Job, JobFailed
from flintridge.lab.experiment.pool import run_one
from flintridge.lab.result import Result
from flintridge.lab.scenario.load import load

DAYS = ["calm", "quick-errors", "zone-loss"]
BACKENDS = ("virtual", "loopback")


def played(day: str, seed: int, backend: str) -> Result:
    """The result of a day; ends the program if it failed."""
    outcome = run_one(Job(scenario=load(day), seed=seed, backend=backend))
    if isinstance(outcome, JobFailed):
        raise SystemExit(f"{day}, seed {seed}, {backend}: {outcome.reason}")
    return outcome


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("days", nargs="*", default=DAYS)
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    print(
        f"{'day':14} {'backend':9} {'goodput':>8} {'in aim':>7} {'p50':>6} {'p99':>6} {'hits':>6} "
        f"{'attempts':>8} {'broken':>6}  late"
    )
    for day in arguments.days:
        goodput: dict[str, list[float]] = {backend: [] for backend in BACKENDS}
        for seed in range(1, arguments.seeds + 1):
            for backend in BACKENDS:
                run = played(day, seed, backend)
                goodput[backend].append(run.goodput)
                late = run.lateness_ms
                said = f"{late['p99_ms']:.1f} {late['max_ms']:.1f}" if late else ""
                print(
                    f"{day:14} {backend:9} {run.goodput:8.4f} {run.goodput_within_objective:7.4f} "
                    f"{run.latency_ms.p50:6.1f} "
                    f"{run.latency_ms.p99:6.0f} {run.hit_fraction:6.3f} {run.attempts_per_request:8.3f} "
                    f"{run.violation_count:6}  {said} {'; '.join(run.lab_problems)[:60]}",
                    flush=True,
                )
        means = [statistics.mean(goodput[backend]) for backend in BACKENDS]
        print(f"{day:14} difference of the means: {means[1] - means[0]:+.4f}", flush=True)


if __name__ == "__main__":
    main()
