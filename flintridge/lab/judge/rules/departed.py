"""Work for clients that have gone: an attempt begun after its client's close is `lost`."""

from flintridge.lab.judge.facts import TINY_MS, AcceptedRequest, ClientAttempt, History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules.answers import every, proof

RULES: tuple[str, ...] = ()  # `lost` is of `answers`

GONE_MS = 100.0  # after its client's close, until which an attempt may still begin


def check(day: History, findings: Findings) -> None:
    """Add what attempts for departed clients break."""
    for this, taken in every(day):
        _begun_after_close(day, this, taken, findings)


def _begun_after_close(day: History, this: ClientAttempt, taken: AcceptedRequest, findings: Findings) -> None:
    """One violation for each request: its first attempt that begins too long after its client closed."""
    closed = day.client_closed(taken)
    if closed is None:
        return
    asked = taken.asked
    last = closed + GONE_MS + day.slacks.limit + TINY_MS
    for sent in this.sent:
        record = sent.record
        if record.node == asked.node and record.started_ms > last:
            text = (
                f"{asked.node} began an attempt for {asked.request_id} at {record.server} "
                f"{record.started_ms - closed:.1f} ms after its client had closed the connection"
            )
            lines = proof(this, taken)
            findings.add(
                "lost",
                record.started_ms,
                text,
                lines,
                uid=asked.request_id,
                node=asked.node,
                server=record.server,
            )
            return
