"""The judge: turns the log of a run into its result.

It is a pure function of the log: it uses no clock, no files and no internal state of a node.
"""

from collections.abc import Iterable

from flintridge.lab.judge import metrics, rules
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.records import AnyRecord
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

RULES = rules.RULES
REPORTED_VIOLATIONS = 5  # violations of each rule that are reported in full


def judge(
    log: Iterable[AnyRecord], scenario: Scenario, seed: int, backend: str, *, keep: int = REPORTED_VIOLATIONS
) -> Result:
    """Check the rules and compute the metrics of a run from its log.

    The caller fills in the fields of the result that the log does not show: digest, costs and counters.

    Args:
        log: The records, in their order.
        scenario: The scenario that was run.
        seed: The run's seed.
        backend: `virtual`, or the name of a backend that runs in real time.
        keep: How many violations of each rule are reported in full.

    Returns:
        The result. `rules` holds the count of every rule, including those at 0. `violations` holds the first
        violations of each rule, ordered by time.
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
