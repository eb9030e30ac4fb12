"""The checker: a log in, the result of the run out.

It is pure: no clock, no files, nothing of a node's own.
"""

from collections.abc import Iterable

from flintridge.lab.judge import metrics, rules
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.records import AnyRecord
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

RULES = rules.RULES
REPORTED_VIOLATIONS = 5  # of each rule that are reported in full


def judge(
    log: Iterable[AnyRecord], scenario: Scenario, seed: int, backend: str, *, keep: int = REPORTED_VIOLATIONS
) -> Result:
    """The rules and the metrics of a run, from its records in their order.

    What the log does not show (digest, costs, counters) is left to the caller.

    Args:
        log: The records.
        scenario: What was played.
        seed: The run's seed.
        backend: `virtual`, or one in real time.
        keep: How many violations of each rule are reported in full.

    Returns:
        The result: `rules` holds every rule by name, also at 0; `violations` the first of each rule, in the
        order of their times.
    """
    history = History(log, scenario, backend)
    findings = Findings(RULES, keep)
    rules.check(history, findings)
    result = Result(scenario=scenario.name, seed=seed, backend=backend)
    result.rules = findings.counts
    result.violations = sorted(findings.violations, key=lambda violation: violation.at_ms)
    result.records = len(history.records)
    metrics.fill(result, history)
    return result
