"""Rules on bytes: what is served was made for the request, and what is sent on is what was asked."""

from flintridge.lab.judge.facts import TINY_MS, AcceptedRequest, AttemptOutcome, ClientAttempt, History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.rules.answers import every, proof
from flintridge.lab.records import AttemptServed, MalformedMessage

RULES = ("invented", "mixed", "altered", "malformed")

STALL_FAULT = "stall"  # nodes are held up between a look at the clock and a write
TOLD_SLACK_MS = 150.0  # that a server may be told beyond what the client has left, whatever explains it


def check(day: History, findings: Findings) -> None:
    for this, taken in every(day):
        _served(day, this, taken, findings)
    for this in day.tries.values():
        for sent in this.sent:
            _passed_on(day, this, sent, findings)
    for record in day.records:
        if isinstance(record, MalformedMessage):
            text = f"{record.node} sent {record.server} what no client sent: {record.text}"
            findings.add("malformed", record.at_ms, text, [record], node=record.node, server=record.server)


def _served(day: History, this: ClientAttempt, taken: AcceptedRequest, findings: Findings) -> None:
    """A value or receipt must be one that a server made for this very request, and sent before."""
    for answer in taken.answers:
        if answer.kind != "served" or not answer.body_digest:
            continue
        if any(_made_for(sent.made, answer.body_digest, answer.at_ms) for sent in this.sent):
            continue
        other = day.made_tokens.get(answer.body_digest)
        rule = "mixed" if other is not None and other.request_id != this.uid else "invented"
        whose = f"was made for {other.request_id}" if other is not None else "no server made"
        if rule == "invented" and other is not None:
            whose = "no server had made by then"
        text = f"{taken.asked.node} served {this.uid} a value that {whose} (token {answer.body_digest})"
        lines = [*proof(this, taken), other]
        findings.add(rule, answer.at_ms, text, lines, uid=this.uid, node=taken.asked.node)


def _made_for(made: AttemptServed | None, token: str, t: float) -> bool:
    return made is not None and not made.lost and made.body_digest == token and made.at_ms <= t + TINY_MS


def _passed_on(day: History, this: ClientAttempt, sent: AttemptOutcome, findings: Findings) -> None:
    record = sent.record
    before = [t for t in this.takens if t.asked.node == record.node and t.asked.at_ms <= record.at_ms]
    if not before:
        return  # asked of no one: the servers' own check tells of what no client sent
    taken = before[-1]
    asked = taken.asked
    wrong = []
    if record.key != asked.key:
        wrong.append(f"key {record.key!r} for {asked.key!r}")
    if record.write != asked.write:
        wrong.append("a write" if record.write else "a read")
    if asked.write and record.value_digest != asked.value_digest:
        wrong.append(f"value {record.value_digest} for {asked.value_digest}")
    if record.idempotency_key != asked.idempotency_key:
        wrong.append(f"idempotency key {record.idempotency_key!r} for {asked.idempotency_key!r}")
    if (more := _too_long(day, taken, sent)) is not None:
        wrong.append(f"{more:.1f} ms more to wait than the client had left")
    if wrong:
        text = f"{record.node} passed {this.uid} on to {record.server} with {', '.join(wrong)}"
        findings.add(
            "altered",
            record.at_ms,
            text,
            [asked, record],
            uid=this.uid,
            node=record.node,
            server=record.server,
        )


def _too_long(day: History, taken: AcceptedRequest, sent: AttemptOutcome) -> float | None:
    """How much longer a server was told to work than its client would wait; None where that is explained.

    A node counts from when it read the request: later than the asking by the way of the bytes, or by the
    commands that it read first on the same connection; and it may be held up before it writes, on a day that
    plays that. This explains no more than TOLD_SLACK_MS. Only a request that came while its process stood
    still may have been read later without its knowing.
    """
    asked, record = taken.asked, sent.record
    more = record.time_left_ms - max(1.0, asked.at_ms + asked.time_left_ms - record.started_ms)
    life, arrived = day.lives.at(asked.node, asked.at_ms), asked.at_ms + day.slacks.client
    if life.paused(asked.at_ms, arrived):
        return None
    explained = taken.behind is not None or life.paused(asked.at_ms, record.started_ms)
    explained = explained or day.is_during(STALL_FAULT, asked.at_ms, record.started_ms)
    bound = TOLD_SLACK_MS + day.slacks.limit
    if not explained:
        bound = min(bound, day.slacks.client_round)
    return more if more > bound else None
