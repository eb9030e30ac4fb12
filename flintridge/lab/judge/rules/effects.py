"""Rules on what attempts may do: nothing done twice, no more attempts than allowed, none for nobody."""

from flintridge.lab.judge.facts import FINAL, TINY_MS, Day, Sent, Taken, Try
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules.answers import proof
from flintridge.lab.records import AnyRecord
from flintridge.lab.scenario.model import RequestClass

RULES = ("twice", "attempts", "after_answer")


def check(day: Day, findings: Findings) -> None:
    for this in day.tries.values():
        if not this.takens or not this.sent:
            continue
        cls = day.cls(this.takens[0].asked.cls)
        for node in dict.fromkeys(s.record.node for s in this.sent):
            mine = sorted((s for s in this.sent if s.record.node == node), key=lambda s: s.record.began)
            _too_many(day, this, node, mine, findings)
            for i in range(1, len(mine)):
                _repeat(day, this, cls, mine[:i], mine[i], findings)
        for taken in this.takens:
            _refused(this, cls, taken, findings)
            _after(day, this, taken, findings)


def _repeat(
    day: Day, this: Try, cls: RequestClass, before: list[Sent], sent: Sent, findings: Findings
) -> None:
    """Whether a further attempt could do harm, or was out beside an earlier one."""
    record = sent.record
    why = _harm(day, cls, before, sent) if cls.effect != "safe" else None
    if why is None and not day.scenario.limits.second_copies:
        why = _beside(day, before, sent)
    if why is not None:
        text = f"{record.node} sent {record.uid} ({cls.name}, {cls.effect}) to {record.server} again {why}"
        findings.add(
            "twice",
            record.began,
            text,
            _lines(this, [*before, sent]),
            uid=record.uid,
            node=record.node,
            server=record.server,
        )


def _harm(day: Day, cls: RequestClass, before: list[Sent], sent: Sent) -> str | None:
    may_have_run = [s for s in before if not s.never_ran(sent.record.began)]
    if not may_have_run:
        return None
    first = may_have_run[0].record
    after = sent.record.began - first.began
    if cls.effect == "unsafe":
        return f"{after:.1f} ms after an attempt at {first.server} that may have run"
    if after > cls.window_ms + day.slacks.limit + TINY_MS:
        return (
            f"{after:.1f} ms after the first that may have run, beyond the window of {cls.window_ms:.0f} ms"
        )
    if cls.group != "all" and not _together(day, cls.group, may_have_run[0], sent):
        return f"outside the {cls.group} of {first.server}, where it may have run"
    return None


def _together(day: Day, group: str, one: Sent, other: Sent) -> bool:
    """Whether two attempts went to servers that drop each other's repeats."""
    a, b = one.record, other.record
    if a.server == b.server:
        return True
    if group == "zone":
        return day.zone(a.server, a.origin) == day.zone(b.server, b.origin)
    cells = [said[-1].cell if (said := day.starts.get(r.server)) else -1 for r in (a, b)]
    return cells[0] == cells[1]


def _beside(day: Day, before: list[Sent], sent: Sent) -> str | None:
    """Where second copies are not allowed: an earlier one was out on an open connection.

    Only one whose end was seen, later than the bytes' way explains: a connection that broke leaves no end.
    """
    began = sent.record.began
    if day.links_hit(before[0].record.began, began):
        return None
    for earlier in before:
        if earlier.ended is not None and earlier.ended > began + day.slacks.server_round:
            return f"while its attempt at {earlier.record.server} was still out"
    return None


def _refused(this: Try, cls: RequestClass, taken: Taken, findings: Findings) -> None:
    """A refusal says that trying again is harmless: it must be."""
    final, asked = taken.final, taken.asked
    if cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all"):
        return
    if final is None or final.kind != "refused":
        return
    for sent in this.sent:
        record = sent.record
        if record.node == asked.node and record.began <= final.t and not sent.never_ran(final.t):
            text = (
                f"{asked.node} refused {asked.uid} ({cls.name}, {cls.effect}), which may have run at "
                f"{record.server}"
            )
            lines = proof(this, taken)
            findings.add("twice", final.t, text, lines, uid=asked.uid, node=asked.node, server=record.server)
            return


def _too_many(day: Day, this: Try, node: str, mine: list[Sent], findings: Findings) -> None:
    most = day.scenario.limits.max_attempts
    if len(mine) > most:
        record = mine[most].record
        text = f"{node} made {len(mine)} attempts for {this.uid}, {most} are allowed"
        findings.add("attempts", record.t, text, _lines(this, mine), uid=this.uid, node=node)


def _after(day: Day, this: Try, taken: Taken, findings: Findings) -> None:
    """An attempt for a request that its node had answered for good.

    One on a new connection may have been decided before, and be late by the time that connections may take.
    """
    final, asked = taken.final, taken.asked
    if final is None or final.kind not in FINAL:
        return
    for sent in this.sent:
        record = sent.record
        slack = 1 + day.slacks.limit
        if day.conn_used.get(record.conn) == record.number:
            slack += day.scenario.limits.connect_timeout_ms + day.slacks.server_round
        if record.node == asked.node and record.began > final.t + slack:
            text = (
                f"{asked.node} sent {asked.uid} to {record.server} {record.began - final.t:.1f} ms after "
                f"its client had the answer"
            )
            findings.add(
                "after_answer",
                record.began,
                text,
                proof(this, taken),
                uid=asked.uid,
                node=asked.node,
                server=record.server,
            )
            return


def _lines(this: Try, sent: list[Sent]) -> list[AnyRecord | None]:
    lines: list[AnyRecord | None] = [taken.asked for taken in this.takens]
    for one in sent:
        lines += [one.record, one.made, one.dropped]
    return lines
