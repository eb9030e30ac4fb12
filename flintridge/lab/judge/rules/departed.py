"""Work for clients that have gone: an attempt begun after its client's close is `lost`."""

from flintridge.lab.judge.facts import TINY_MS, Day, Taken, Try
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules.answers import every, proof

RULES: tuple[str, ...] = ()  # `lost` is of `answers`

GONE_MS = 100.0  # after its client's close, until which an attempt may still begin


def check(day: Day, findings: Findings) -> None:
    """Add what attempts for departed clients break."""
    for this, taken in every(day):
        _begun_after_close(day, this, taken, findings)


def _begun_after_close(day: Day, this: Try, taken: Taken, findings: Findings) -> None:
    """One breach for each request: its first attempt that begins too long after its client closed."""
    closed = day.client_closed(taken)
    if closed is None:
        return
    asked = taken.asked
    last = closed + GONE_MS + day.slacks.limit + TINY_MS
    for sent in this.sent:
        record = sent.record
        if record.node == asked.node and record.began > last:
            text = (
                f"{asked.node} began an attempt for {asked.uid} at {record.server} "
                f"{record.began - closed:.1f} ms after its client had closed the connection"
            )
            lines = proof(this, taken)
            findings.add(
                "lost", record.began, text, lines, uid=asked.uid, node=asked.node, server=record.server
            )
            return
