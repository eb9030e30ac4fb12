"""Work for clients that have gone: an attempt that starts after its client's close is `lost`."""

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules.request_case import RequestCase, request_cases
from flintridge.lab.judge.tolerances import ROUNDING_MS

RULES: tuple[str, ...] = ()  # `lost` is of `responses`

GRACE_MS = 100.0  # after its client's close, until which an attempt may still start


def check(history: History, findings: Findings) -> None:
    """Add what attempts for departed clients violate."""
    for case in request_cases(history):
        _check_started_after_close(history, case, findings)


def _check_started_after_close(history: History, case: RequestCase, findings: Findings) -> None:
    """One violation for each request: its first attempt that starts too long after its client closed."""
    closed_ms = history.closed_by_client_ms(case.accepted)
    if closed_ms is None:
        return
    last_ms = closed_ms + GRACE_MS + history.tolerances.limit_ms + ROUNDING_MS
    for outcome in case.node_outcomes:
        record = outcome.record
        if record.started_ms > last_ms:
            text = (
                f"{record.node} began an attempt for {case.request.request_id} at {record.server} "
                f"{record.started_ms - closed_ms:.1f} ms after its client had closed the connection"
            )
            case.report(findings, "lost", record.started_ms, text, server=record.server)
            return
