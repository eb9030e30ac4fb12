"""Rules on what attempts may do: nothing done twice, no more attempts than allowed, none for nobody."""

from flintridge.lab.judge.facts import (
    FINAL_KINDS,
    TINY_MS,
    AcceptedRequest,
    AttemptOutcome,
    ClientAttempt,
    History,
)
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules.answers import proof
from flintridge.lab.records import AnyRecord
from flintridge.lab.scenario.model import RequestClass

RULES = ("twice", "attempts", "after_answer")


def check(day: History, findings: Findings) -> None:
    for this in day.tries.values():
        if not this.takens or not this.sent:
            continue
        cls = day.cls(this.takens[0].asked.class_name)
        for node in dict.fromkeys(s.record.node for s in this.sent):
            mine = sorted((s for s in this.sent if s.record.node == node), key=lambda s: s.record.started_ms)
            _too_many(day, this, node, mine, findings)
            for i in range(1, len(mine)):
                _repeat(day, this, cls, mine[:i], mine[i], findings)
        for taken in this.takens:
            _refused(this, cls, taken, findings)
            _after(day, this, taken, findings)


def _repeat(
    day: History,
    this: ClientAttempt,
    cls: RequestClass,
    before: list[AttemptOutcome],
    sent: AttemptOutcome,
    findings: Findings,
) -> None:
    """Whether a further attempt could do harm, or was out beside an earlier one."""
    record = sent.record
    why = _harm(day, cls, before, sent) if cls.effect != "safe" else None
    if why is None and not day.scenario.limits.hedged_requests:
        why = _beside(day, before, sent)
    if why is not None:
        what = f"{record.node} sent {record.request_id} ({cls.name}, {cls.effect})"
        text = f"{what} to {record.server} again {why}"
        findings.add(
            "twice",
            record.started_ms,
            text,
            _lines(this, [*before, sent]),
            uid=record.request_id,
            node=record.node,
            server=record.server,
        )


def _harm(day: History, cls: RequestClass, before: list[AttemptOutcome], sent: AttemptOutcome) -> str | None:
    may_have_run = [s for s in before if not s.never_ran(sent.record.started_ms)]
    if not may_have_run:
        return None
    first = may_have_run[0].record
    after = sent.record.started_ms - first.started_ms
    if cls.effect == "unsafe":
        return f"{after:.1f} ms after an attempt at {first.server} that may have run"
    if after > cls.deduplication_window_ms + day.slacks.limit + TINY_MS:
        window_ms = cls.deduplication_window_ms
        return f"{after:.1f} ms after the first that may have run, beyond the window of {window_ms:.0f} ms"
    if cls.deduplication_scope != "all" and not _together(
        day, cls.deduplication_scope, may_have_run[0], sent
    ):
        return f"outside the {cls.deduplication_scope} of {first.server}, where it may have run"
    return None


def _together(day: History, group: str, one: AttemptOutcome, other: AttemptOutcome) -> bool:
    """Whether two attempts went to servers that drop each other's repeats."""
    a, b = one.record, other.record
    if a.server == b.server:
        return True
    if group == "zone":
        return day.zone(a.server, a.is_origin) == day.zone(b.server, b.is_origin)
    cells = [said[-1].cell if (said := day.starts.get(r.server)) else -1 for r in (a, b)]
    return cells[0] == cells[1]


def _beside(day: History, before: list[AttemptOutcome], sent: AttemptOutcome) -> str | None:
    """Where second copies are not allowed: an earlier one was out on an open connection.

    Only one whose end was seen, later than the bytes' way explains: a connection that broke leaves no end.
    """
    began = sent.record.started_ms
    if day.links_hit(before[0].record.started_ms, began):
        return None
    for earlier in before:
        if earlier.ended is not None and earlier.ended > began + day.slacks.server_round:
            return f"while its attempt at {earlier.record.server} was still out"
    return None


def _refused(this: ClientAttempt, cls: RequestClass, taken: AcceptedRequest, findings: Findings) -> None:
    """A refusal says that trying again is harmless: it must be."""
    final, asked = taken.final, taken.asked
    if cls.effect == "safe" or (cls.effect == "keyed" and cls.deduplication_scope == "all"):
        return
    if final is None or final.kind != "refused":
        return
    for sent in this.sent:
        record = sent.record
        if record.node == asked.node and record.started_ms <= final.at_ms and not sent.never_ran(final.at_ms):
            text = (
                f"{asked.node} refused {asked.request_id} ({cls.name}, {cls.effect}), which may have run at "
                f"{record.server}"
            )
            lines = proof(this, taken)
            findings.add(
                "twice", final.at_ms, text, lines, uid=asked.request_id, node=asked.node, server=record.server
            )
            return


def _too_many(
    day: History, this: ClientAttempt, node: str, mine: list[AttemptOutcome], findings: Findings
) -> None:
    most = day.scenario.limits.max_attempts
    if len(mine) > most:
        record = mine[most].record
        text = f"{node} made {len(mine)} attempts for {this.uid}, {most} are allowed"
        findings.add("attempts", record.at_ms, text, _lines(this, mine), uid=this.uid, node=node)


def _after(day: History, this: ClientAttempt, taken: AcceptedRequest, findings: Findings) -> None:
    """An attempt for a request that its node had answered for good.

    One on a new connection may have been decided before, and be late by the time that connections may take.
    """
    final, asked = taken.final, taken.asked
    if final is None or final.kind not in FINAL_KINDS:
        return
    for sent in this.sent:
        record = sent.record
        slack = 1 + day.slacks.limit
        if day.conn_used.get(record.connection) == record.attempt_id:
            slack += day.scenario.limits.connect_timeout_ms + day.slacks.server_round
        if record.node == asked.node and record.started_ms > final.at_ms + slack:
            late_ms = record.started_ms - final.at_ms
            text = (
                f"{asked.node} sent {asked.request_id} to {record.server} {late_ms:.1f} ms after "
                f"its client had the answer"
            )
            findings.add(
                "after_answer",
                record.started_ms,
                text,
                proof(this, taken),
                uid=asked.request_id,
                node=asked.node,
                server=record.server,
            )
            return


def _lines(this: ClientAttempt, sent: list[AttemptOutcome]) -> list[AnyRecord | None]:
    lines: list[AnyRecord | None] = [taken.asked for taken in this.takens]
    for one in sent:
        lines += [one.record, one.made, one.dropped]
    return lines
