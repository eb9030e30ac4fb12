"""Part of the rule `lost`: no attempt starts for a client that has closed its connection."""

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules.request_case import RequestCase, request_cases
from flintridge.lab.judge.tolerances import ROUNDING_MS

RULES: tuple[str, ...] = ()  # `lost` is listed by `responses`

GRACE_MS = 100.0  # an attempt may still start this long after its client closed the connection


def check(history: History, findings: Findings) -> None:
    """Add all attempts that started for departed clients."""
    for case in request_cases(history):
        _check_started_after_close(history, case, findings)


def _check_started_after_close(history: History, case: RequestCase, findings: Findings) -> None:
    """Add at most one violation per request: its first attempt that starts too long after the close."""
    closed_ms = history.closed_by_client_ms(case.accepted)
    if closed_ms is None:
        return
    last_ms = closed_ms + GRACE_MS + history.tolerances.limit_ms + ROUNDING_MS
    for outcome in case.node_outcomes:
        record = outcome.record
        if record.started_ms > last_ms:
            text = (
                f"{record.node} started an attempt for {case.request.request_id} at {record.server} "
                f"{record.started_ms - closed_ms:.1f} ms after its client had closed the connection"
            )
            case.report(findings, "lost", record.started_ms, text, server=record.server)
            return
