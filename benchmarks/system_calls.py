"""Measures the effect of each error of a system call: goodput and rule violations, by errno and error rate.

Run from the repository's root on a quiet machine: python -m benchmarks.system_calls [--calls accept connect]
On loopback the runs take place in real time: 46 of them, about 15 s each. `late` is how late the lab's own
timers fired, in milliseconds (p99); with more than a few, the machine was too busy for a valid result. A run
is a shorter `calm`, with a fifth of the requests on connections of their own and with servers that soon close
idle connections, so that enough connections are accepted and opened.
"""

from dataclasses import dataclass

import msgspec

from benchmarks import harness
from flintridge.lab.experiment.jobs import Job, JobFailed
from flintridge.lab.experiment.pool import run_one
from flintridge.lab.result import Result
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Scenario, SystemCallErrors
from flintridge.lab.scenario.system_faults import Call

ERRORS: dict[Call, tuple[str, ...]] = {
    "accept": ("ECONNABORTED", "EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect": ("EADDRNOTAVAIL", "EHOSTUNREACH", "EINTR", "ENETUNREACH", "ENOBUFS", "ENOMEM", "ETIMEDOUT"),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "read": ("EHOSTUNREACH", "EINTR", "ETIMEDOUT"),
    "write": ("EHOSTUNREACH", "EINTR", "ETIMEDOUT"),
}
SHARES = (0.05, 0.5)
MARGIN_S = 0.5  # at the start and at the end of a run, without the fault
OVERRIDES = (
    "warmup_s=3",
    "clients.once=0.2",
    "kinds[0].idle_s=0.5",
    "kinds[1].idle_s=0.5",
    "kinds[2].idle_s=0.5",
)
MAX_LATENESS_MS = 10.0  # p99 of the lab's timers; a run in which they are later is repeated


@dataclass(slots=True, frozen=True)
class Row:
    """One run of the table: the failing call, the errno's name, and the fraction of calls that fail."""

    call: Call
    error: str
    share: float

    def scenario(self, length_s: float, rate_per_s: float) -> Scenario:
        """The scenario `calm`, with this error on all nodes during all but the margins."""
        overrides = (*OVERRIDES, f"length_s={length_s}", f"load.rate_per_s={rate_per_s}")
        fault = SystemCallErrors(
            at_s=MARGIN_S,
            for_s=length_s - 2 * MARGIN_S,
            call=self.call,
            errors=(self.error,),
            part=self.share,
        )
        return msgspec.structs.replace(load("calm", overrides), faults=(fault,))


def run_until_valid(scenario: Scenario, seed: int, backend: str, max_runs: int) -> tuple[Result, int]:
    """Run a scenario until the lab's timers were not late, at most `max_runs` times.

    Returns:
        The last result, and the number of runs.
    """
    run_count = 0
    while True:
        run_count += 1
        outcome = run_one(Job(scenario=scenario, seed=seed, backend=backend))
        if isinstance(outcome, JobFailed):
            raise SystemExit(f"{scenario.faults}: {outcome.reason}")
        if run_count >= max_runs or outcome.lateness_ms.get("p99_ms", 0.0) <= MAX_LATENESS_MS:
            return outcome, run_count


def table_cells(row: Row, run: Result, run_count: int) -> list[str]:
    """The cells of a row."""
    injected = sum(counts.get(f"injected_{row.call}", 0) for counts in run.counters.values())
    rules = ", ".join(f"{rule} {count}" for rule, count in run.rules.items() if count) or "none"
    late = run.lateness_ms.get("p99_ms", 0.0)
    return [
        row.call,
        row.error,
        f"{row.share:.0%}",
        str(injected),
        f"{run.goodput:.4f}",
        rules,
        f"{late:.1f}",
        str(run_count),
    ]


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--calls", nargs="*", choices=list(ERRORS), default=list(ERRORS))
    parser.add_argument("--errors", nargs="*", help="measure only these errnos")
    parser.add_argument("--shares", nargs="*", type=float, default=SHARES)
    parser.add_argument("--backend", choices=("loopback", "virtual"), default="loopback")
    parser.add_argument("--length-s", type=float, default=8.0)
    parser.add_argument("--rate-per-s", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tries", type=int, default=3, help="maximum runs while the lab's timers are late")
    arguments = parser.parse_args()
    harness.print_table_head(
        ["call", "error", "share", "caused", "goodput", "rule violations", "late, ms", "played"]
    )
    for call in arguments.calls:
        for error in ERRORS[call]:
            if arguments.errors and error not in arguments.errors:
                continue
            for share in arguments.shares:
                row = Row(call, error, share)
                scenario = row.scenario(arguments.length_s, arguments.rate_per_s)
                run, run_count = run_until_valid(scenario, arguments.seed, arguments.backend, arguments.tries)
                harness.print_table_row(table_cells(row, run, run_count))


if __name__ == "__main__":
    main()
