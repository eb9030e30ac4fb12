"""What each error of a system call costs: goodput and broken rules by errno and share of calls.

Run from the repository's root on a quiet machine: python -m benchmarks.system_calls [--calls accept connect]
On loopback a day takes as long as it is: 46 of them, about 15 s each. `late` is how late the lab's own timers
fired (ms, p99); with more than a few the machine was too busy to judge by. A day is `calm`, shorter, with a
fifth of the requests on connections of their own and servers that close idle connections soon, so that enough
connections are accepted and made.
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
BEFORE_S = 0.5  # of the day without the fault, and as long after it
OVERRIDES = (
    "warmup_s=3",
    "clients.once=0.2",
    "kinds[0].idle_s=0.5",
    "kinds[1].idle_s=0.5",
    "kinds[2].idle_s=0.5",
)
LATE_MS = 10.0  # p99 of the lab's timers, beyond which a day is played again


@dataclass(slots=True, frozen=True)
class Row:
    """One day of the table."""

    call: Call
    error: str
    share: float

    def day(self, length_s: float, rate_per_s: float) -> Scenario:
        """`calm`, with this error on all nodes for nearly all of it."""
        words = (*OVERRIDES, f"length_s={length_s}", f"load.rate_per_s={rate_per_s}")
        fault = SystemCallErrors(
            at_s=BEFORE_S,
            for_s=length_s - 2 * BEFORE_S,
            call=self.call,
            errors=(self.error,),
            part=self.share,
        )
        return msgspec.structs.replace(load("calm", words), faults=(fault,))


def played(scenario: Scenario, seed: int, backend: str, tries: int) -> tuple[Result, int]:
    """The result, and how many times the day was played."""
    nth = 0
    while True:
        nth += 1
        outcome = run_one(Job(scenario=scenario, seed=seed, backend=backend))
        if isinstance(outcome, JobFailed):
            raise SystemExit(f"{scenario.faults}: {outcome.reason}")
        if nth >= tries or outcome.lateness_ms.get("p99_ms", 0.0) <= LATE_MS:
            return outcome, nth


def line(row: Row, run: Result, nth: int) -> list[str]:
    """A row's cells."""
    caused = sum(counts.get(f"injected_{row.call}", 0) for counts in run.counters.values())
    rules = ", ".join(f"{rule} {count}" for rule, count in run.rules.items() if count) or "none"
    late = run.lateness_ms.get("p99_ms", 0.0)
    return [
        row.call,
        row.error,
        f"{row.share:.0%}",
        str(caused),
        f"{run.goodput:.4f}",
        rules,
        f"{late:.1f}",
        str(nth),
    ]


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--calls", nargs="*", choices=list(ERRORS), default=list(ERRORS))
    parser.add_argument("--errors", nargs="*", help="only these")
    parser.add_argument("--shares", nargs="*", type=float, default=SHARES)
    parser.add_argument("--backend", choices=("loopback", "virtual"), default="loopback")
    parser.add_argument("--length-s", type=float, default=8.0)
    parser.add_argument("--rate-per-s", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tries", type=int, default=3, help="of a day on which the lab's timers were late")
    arguments = parser.parse_args()
    harness.print_table_head(
        ["call", "error", "share", "caused", "goodput", "rules broken", "late, ms", "played"]
    )
    for call in arguments.calls:
        for error in ERRORS[call]:
            if arguments.errors and error not in arguments.errors:
                continue
            for share in arguments.shares:
                row = Row(call, error, share)
                day = row.day(arguments.length_s, arguments.rate_per_s)
                run, nth = played(day, arguments.seed, arguments.backend, arguments.tries)
                harness.print_table_row(line(row, run, nth))


if __name__ == "__main__":
    main()
