"""Rules on answers to clients: exactly one for each request, in time, and none held back."""

import math
from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate

from flintridge.lab.judge.facts import (
    FINAL_KINDS,
    TINY_MS,
    AcceptedRequest,
    AttemptOutcome,
    ClientAttempt,
    History,
)
from flintridge.lab.judge.findings import Findings
from flintridge.lab.records import AnyRecord

RULES = ("lost", "late", "double", "garbled", "held")

NODE_MARGIN_MS = 10.0  # a node answers this much, or a tenth, before a client's time is over
ENOUGH = 3  # attempts that a node has seen served before it can know how long they take
CAUTION = 0.5  # of the quickest service: with less left than this, no sound node still waits


def check(day: History, findings: Findings) -> None:
    quickest = Quickest(day)
    for this, taken in every(day):
        _one_answer(day, this, taken, findings)
        _held(day, this, taken, quickest, findings)


def every(day: History) -> Iterator[tuple[ClientAttempt, AcceptedRequest]]:
    """Each request as it was taken, with all that belongs to its uid."""
    for this in day.tries.values():
        for taken in this.takens:
            yield this, taken


def limit_of(day: History, taken: AcceptedRequest) -> float:
    """By when an answer must have come; time behind answers before it on its connection does not count."""
    slack = day.scenario.rules.answer_slack_ms
    return max(taken.asked.at_ms + taken.asked.time_left_ms, taken.free_at) + slack


def proof(this: ClientAttempt, taken: AcceptedRequest) -> list[AnyRecord | None]:
    """All records of a request."""
    found: list[AnyRecord | None] = [taken.asked, *taken.answers, taken.gave_up]
    for sent in this.sent:
        found += [sent.record, sent.made, sent.dropped]
    return found


def _one_answer(day: History, this: ClientAttempt, taken: AcceptedRequest, findings: Findings) -> None:
    asked, final = taken.asked, taken.final
    limit = limit_of(day, taken)
    for answer in taken.answers:
        if answer.kind == "garbled" and not day.excused(taken, answer.at_ms):
            what = f"{asked.node} answered {asked.request_id}"
            text = f"{what} with bytes that are no answer to it: {answer.text!r}"
            findings.add(
                "garbled", answer.at_ms, text, proof(this, taken), uid=asked.request_id, node=asked.node
            )
    if final is not None:
        extra = [a for a in taken.answers if a is not final and a.kind in (*FINAL_KINDS, "garbled")]
        if extra:
            text = f"{asked.node} gave {asked.request_id} {1 + len(extra)} final answers"
            findings.add(
                "double", extra[0].at_ms, text, proof(this, taken), uid=asked.request_id, node=asked.node
            )
        if final.at_ms > limit + TINY_MS and not day.excused(taken, final.at_ms):
            late = final.at_ms - asked.at_ms - asked.time_left_ms
            what = f"{asked.node} answered {asked.request_id}"
            text = f"{what} {late:.1f} ms after its client's {asked.time_left_ms:.0f} ms"
            findings.add("late", final.at_ms, text, proof(this, taken), uid=asked.request_id, node=asked.node)
    elif (how := _lost(day, this, taken, limit)) is not None:
        t, why = how
        text = f"{asked.node} took {asked.request_id} at {asked.at_ms:.1f} ms and {why}"
        findings.add("lost", t, text, proof(this, taken), uid=asked.request_id, node=asked.node)


def _lost(
    day: History, this: ClientAttempt, taken: AcceptedRequest, limit: float
) -> tuple[float, str] | None:
    """When and how a request without a final answer was lost; None where it was not the node's fault."""
    asked, first = taken.asked, taken.first
    if first is not None:
        if first.kind not in ("closed", "reset"):
            return None  # what was garbled has a rule of its own
        if day.excused(taken, first.at_ms) and not _ended_under_attempt(day, this, taken, first.at_ms):
            return None
        if _client_closed(day, taken, first.at_ms) or _crossed(day, this, taken, first.at_ms):
            return None
        return first.at_ms, f"ended its connection ({first.kind}) {first.at_ms - asked.at_ms:.1f} ms later"
    if taken.gave_up is not None:
        return _unanswered(day, this, taken, limit)
    if taken.again_at is not None:
        crossed = _crossed(day, this, taken, taken.again_at) or day.excused(taken, taken.again_at)
        return None if crossed else (taken.again_at, "ended its connection after it had read it")
    over = min(limit, day.end)
    if day.end < limit or day.excused(taken, limit) or _client_closed(day, taken, over):
        return None
    return limit, "never answered"


def _client_closed(day: History, taken: AcceptedRequest, until: float) -> bool:
    """Whether its client had closed the connection itself, over another request on it."""
    left = day.conn_left.get(taken.asked.connection)
    return left is not None and left <= until + TINY_MS


def _sent_on(this: ClientAttempt, taken: AcceptedRequest, until: float) -> bool:
    """Whether its node sent the request to a server, up to `until`."""
    asked = taken.asked
    return any(s.record.node == asked.node and asked.at_ms <= s.record.started_ms <= until for s in this.sent)


def _ended_under_attempt(day: History, this: ClientAttempt, taken: AcceptedRequest, t: float) -> bool:
    """Whether the node itself ended a connection after SIGTERM on a request that it had sent on.

    What comes too long after SIGTERM need not be taken; what was taken all the same is owed its answer,
    unless the process was killed first.
    """
    life = day.lives.at(taken.asked.node, taken.asked.at_ms)
    if life.term is None or life.paused(taken.asked.at_ms, t):
        return False
    killed = life.end is not None and life.end.state != "exited" and life.end.at_ms <= t + day.slacks.limit
    return not killed and _sent_on(this, taken, t)


def _crossed(day: History, this: ClientAttempt, taken: AcceptedRequest, t: float) -> bool:
    """Whether the node may have closed the connection between requests, before it read this one.

    Guards against a node that closes on what it has read: it then had sent it on, or the end came later than
    one that was already under way.
    """
    if taken.again_at is None or _sent_on(this, taken, t):
        return False
    return t - taken.asked.at_ms <= day.slacks.client_round


def _unanswered(
    day: History, this: ClientAttempt, taken: AcceptedRequest, limit: float
) -> tuple[float, str] | None:
    """Of a client that waited for its whole time and left."""
    asked, gave_up = taken.asked, taken.gave_up
    assert gave_up is not None
    waited = gave_up.at_ms - asked.at_ms
    if (
        gave_up.left_early
        or waited < asked.time_left_ms - 1
        or day.excused(taken, gave_up.at_ms + gave_up.lingers_ms)
    ):
        return None
    if day.conn_left.get(asked.connection, gave_up.at_ms) < gave_up.at_ms - TINY_MS:
        return None
    if taken.free_at > asked.at_ms + asked.time_left_ms - min(NODE_MARGIN_MS, asked.time_left_ms / 10):
        return None  # its answer had to wait for that of another request of the same client
    closed = gave_up.at_ms + gave_up.lingers_ms
    left = min(closed, day.conn_left.get(asked.connection, closed), day.end)
    if left < limit - 1 and not _surely_silent(day, this, taken, left):
        return None
    return left, f"never answered: the client left after {waited:.1f} ms of {asked.time_left_ms:.0f}"


def _surely_silent(day: History, this: ClientAttempt, taken: AcceptedRequest, left: float) -> bool:
    """Whether no answer can have been on its way to a client that left within the slack of the rule.

    A sound node answers a little before the client's time is over. Where the way of the bytes, or the
    machine's own lag in real time, may take longer than that, only a node counts as silent that had an answer
    to give long before, or never did a thing.
    """
    margin = min(NODE_MARGIN_MS, taken.asked.time_left_ms / 10)
    if not day.loopback and 2 * day.slacks.client - 2 < margin / 2:
        return True
    early = left - margin - day.slacks.client_round - day.slacks.server_round
    mine = [s for s in this.sent if s.record.node == taken.asked.node]
    if not mine:  # an untried request is answered by half of its time
        return taken.asked.time_left_ms / 2 > margin + day.slacks.client_round
    return any(
        s.made is not None and s.made.body_digest and not s.made.lost and s.made.at_ms < early for s in mine
    )


# Held back


class Quickest:
    """The least time that served attempts took, as a node could know it: by process, class, kind of server.

    Read in the order of the log: at any time only what was served until then counts.
    """

    def __init__(self, day: History) -> None:
        self._day = day
        served: dict[tuple[str, float, str, bool], list[tuple[float, float]]] = {}
        for sent in day.sent.values():
            made, record = sent.made, sent.record
            if made is None or made.lost or not made.body_digest:
                continue
            this = day.tries.get(record.request_id)
            if this is None or not this.takens:
                continue
            key = self._key(record.node, record.started_ms, this.takens[0].asked.class_name, record.is_origin)
            served.setdefault(key, []).append((made.at_ms, made.at_ms - record.started_ms))
        self._at: dict[tuple[str, float, str, bool], tuple[list[float], list[float]]] = {}
        for key, times in served.items():
            times.sort()
            least = list(accumulate((took for _, took in times), min))
            self._at[key] = [at for at, _ in times], least

    def _key(self, node: str, t: float, cls: str, origin: bool) -> tuple[str, float, str, bool]:
        return node, self._day.lives.at(node, t).started, cls, origin

    def at(self, node: str, t: float, cls: str, origin: bool) -> float | None:
        """The least of the service times that the node's process had seen by `t`; None if they are few."""
        made_at, least = self._at.get(self._key(node, t, cls, origin), ([], []))
        count = bisect_right(made_at, t)
        return least[count - 1] if count >= ENOUGH else None


def _held(
    day: History, this: ClientAttempt, taken: AcceptedRequest, quickest: Quickest, findings: Findings
) -> None:
    """A refusal or failure that came only once it was of no use to anyone.

    Untried for more than half of its time; or with nothing out for it, and less time left than any answer of
    its kind has taken: a sound node that waits for a place gives up while an answer could still come in time.
    """
    asked, final = taken.asked, taken.final
    if final is None or final.kind not in ("refused", "failed") or taken.free_at > asked.at_ms:
        return
    if day.excused(taken, final.at_ms) or day.links_hit(asked.at_ms, final.at_ms):
        return
    waited = final.at_ms - asked.at_ms
    mine = [
        s
        for s in this.sent
        if s.record.node == asked.node and asked.at_ms <= s.record.started_ms <= final.at_ms
    ]
    if not mine:
        # With so little time, an attempt may have ended before its connection was up: no record tells of it.
        short = asked.time_left_ms < day.slacks.server_round
        if waited > asked.time_left_ms / 2 + day.slacks.client_round and not short:
            text = (
                f"{asked.node} {final.kind} {asked.request_id}, untried, after {waited:.1f} ms of its "
                f"{asked.time_left_ms:.0f} ms"
            )
            findings.add("held", final.at_ms, text, proof(this, taken), uid=asked.request_id, node=asked.node)
        return
    since = _idle_since(mine, final.at_ms)
    least = None if since is None else _least(taken, since, quickest)
    if since is None or least is None:
        return
    idle = final.at_ms - since
    aim = day.cls(asked.class_name).latency_objective_ms
    margin = max(0.0, min(NODE_MARGIN_MS, asked.time_left_ms / 10) - day.slacks.client_round)
    useful = CAUTION * (min(least, aim / 2) + margin)
    left = asked.time_left_ms - waited
    if idle > least + day.slacks.server_round and left < useful:
        text = (
            f"{asked.node} {final.kind} {asked.request_id} with {left:.1f} ms left and nothing out for "
            f"{idle:.1f} ms, though no answer ever took less than {least:.1f} ms"
        )
        findings.add("held", final.at_ms, text, proof(this, taken), uid=asked.request_id, node=asked.node)


def _idle_since(mine: list[AttemptOutcome], t: float) -> float | None:
    """Since when nothing had been out for a request at `t`; None where something was, or may have been."""
    last = -math.inf
    for sent in mine:
        if sent.ended is None or sent.ended > t:
            return None
        last = max(last, sent.ended)
    return last


def _least(taken: AcceptedRequest, since: float, quickest: Quickest) -> float | None:
    """The least time that a further attempt could have taken, as far as the node knew; None if it did not.

    What it knew when it began to wait: a sound node may reckon then how long that can be of use. A read that
    missed may go to the origin, or to a cache server that has stored the key since.
    """
    asked = taken.asked
    at_origin = quickest.at(asked.node, since, asked.class_name, True)
    if asked.write:
        return at_origin
    at_cache = quickest.at(asked.node, since, asked.class_name, False)
    if at_origin is None or at_cache is None:
        return None
    return min(at_origin, at_cache)
