"""Compares runs of the same scenarios in virtual time and on loopback.

Run from the repository's root on a quiet machine: python -m benchmarks.lab_backends [DAY ...] [--seeds 2]
A run on loopback takes place in real time. `late` is how late the lab's own timers fired there, in
milliseconds (p99 and maximum). With more than a few, the machine was too busy for a valid result.
"""

import statistics

from benchmarks import harness
from flintridge.lab.experiment.jobs import Job, JobFailed
from flintridge.lab.experiment.pool import run_one
from flintridge.lab.result import Result
from flintridge.lab.scenario.load import load

DAYS = ["calm", "quick-errors", "zone-loss"]
BACKENDS = ("virtual", "loopback")


def run_scenario(day: str, seed: int, backend: str) -> Result:
    """Run a scenario, and return its result; exits the program if the run fails."""
    outcome = run_one(Job(scenario=load(day), seed=seed, backend=backend))
    if isinstance(outcome, JobFailed):
        raise SystemExit(f"{day}, seed {seed}, {backend}: {outcome.reason}")
    return outcome


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
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
                run = run_scenario(day, seed, backend)
                goodput[backend].append(run.goodput)
                lateness_ms = run.lateness_ms
                late = f"{lateness_ms['p99_ms']:.1f} {lateness_ms['max_ms']:.1f}" if lateness_ms else ""
                print(
                    f"{day:14} {backend:9} {run.goodput:8.4f} {run.goodput_within_objective:7.4f} "
                    f"{run.latency_ms.p50:6.1f} "
                    f"{run.latency_ms.p99:6.0f} {run.hit_fraction:6.3f} {run.attempts_per_request:8.3f} "
                    f"{run.violation_count:6}  {late} {'; '.join(run.lab_problems)[:60]}",
                    flush=True,
                )
        means = [statistics.mean(goodput[backend]) for backend in BACKENDS]
        print(f"{day:14} difference of the means: {means[1] - means[0]:+.4f}", flush=True)


if __name__ == "__main__":
    main()
