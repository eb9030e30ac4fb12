"""The rules: each is judged from the records of both sides alone."""

from flintridge.lab.judge.facts import History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules import (
    answers,
    budgets,
    contents,
    departed,
    effects,
    fleet,
    peers,
    process,
)

PARTS = (answers, departed, effects, contents, fleet, process, peers, budgets)
RULES: tuple[str, ...] = tuple(rule for part in PARTS for rule in part.RULES)


def check(day: History, findings: Findings) -> None:
    """Put every violation of every rule into `findings`."""
    for part in PARTS:
        part.check(day, findings)


__all__ = ["RULES", "check"]
