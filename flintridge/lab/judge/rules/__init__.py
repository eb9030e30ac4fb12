"""The rules. Each is judged only from the records of clients, servers and processes."""

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import (
    attempts,
    contents,
    departed_clients,
    drains,
    fleet_limits,
    membership,
    process,
    responses,
    warming_up,
)

# The order in which results list the rules.
MODULES = (
    responses,
    departed_clients,
    attempts,
    contents,
    drains,
    warming_up,
    process,
    membership,
    fleet_limits,
)
RULES: tuple[str, ...] = tuple(rule for module in MODULES for rule in module.RULES)


def check(history: History, findings: Findings) -> None:
    """Add every violation of every rule to `findings`."""
    for module in MODULES:
        module.check(history, findings)


__all__ = ["RULES", "check"]
