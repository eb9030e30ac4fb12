"""The judge: a log in, the result of the run out. It is pure: no clock, no files, nothing of a node's own."""

from collections.abc import Iterable

from flintridge.lab.judge import figures, rules
from flintridge.lab.judge.facts import History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.records import AnyRecord
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

RULES = rules.RULES
KEEP = 5  # violations of each rule that are told in full


def judge(
    log: Iterable[AnyRecord], scenario: Scenario, seed: int, backend: str, *, keep: int = KEEP
) -> Result:
    """The rules and the figures of a run, from its records in their order.

    `rules` of the result holds every rule by name, also at 0; `violations` the first `keep` of each rule, in
    the order of their times. What the log does not tell (digest, costs, counters) is left to the caller.
    """
    day = History(log, scenario, backend)
    findings = Findings(RULES, keep)
    rules.check(day, findings)
    result = Result(scenario=scenario.name, seed=seed, backend=backend)
    result.rules = findings.counts
    result.violations = sorted(findings.violations, key=lambda violation: violation.at_ms)
    result.records = len(day.records)
    figures.fill(result, day)
    return result
