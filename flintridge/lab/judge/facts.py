"""The log, put in order for the rules: requests with their answers and attempts, processes, servers, faults.

Nothing is judged here. Every index is built from the records alone, in the order of the log.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintridge.lab.judge.lives import SERVES_ON_MS, ProcessHistory, ProcessLifetime
from flintridge.lab.records import (
    AnyRecord,
    AttemptDropped,
    AttemptExecuted,
    AttemptReceived,
    AttemptServed,
    FaultChanged,
    NodeStateChanged,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
    ServerStateChanged,
)
from flintridge.lab.scenario.model import RequestClass, Scenario, Span

FINAL_KINDS = ("served", "refused", "failed", "error")  # kinds of an answer that ends a request
NOT_EXECUTED_OUTCOMES = ("busy", "miss")  # outcomes that prove that a request did not run
LONGEST_COUNTED_MS = 3000.0  # of the deadlines: SIGKILL waits for no longer one
LOOPBACK_MS = 50.0  # in real time every limit is longer by this
TINY_MS = 0.01  # for sums of floating point
# Faults that touch no connection and no link to a server: during any other, a node may be trying to reach a
# server, or waiting on a connection that is dead, and no record tells of it.
HARMLESS_TO_LINKS = (
    "flush",
    "hot_key",
    "burst",
    "crowding",
    "slowness",
    "quick_errors",
    "spoilt",
    "lost_answers",
    "origin_slow",
    "discovery",
    "bad_clients",
    "reload",
    "node_",
)
LINKS_LAG_MS = 1000.0  # so long after such a fault its last connections may still be waited for


def maximum_of(span: Span) -> float:
    """The largest figure that may be drawn from a span."""
    return span if isinstance(span, (int, float)) else max(span)


@dataclass(slots=True, eq=False)
class AttemptOutcome:
    """An attempt as it arrived, and what became of it at its server."""

    record: AttemptReceived
    made: AttemptServed | None = None
    dropped: AttemptDropped | None = None
    ran: bool = False

    def never_ran(self, at: float) -> bool:
        """Whether by then an answer had left that proves that it did not run."""
        made = self.made
        return (
            made is not None
            and not made.lost
            and made.outcome in NOT_EXECUTED_OUTCOMES
            and made.at_ms <= at + TINY_MS
        )

    @property
    def ended(self) -> float | None:
        """When its answer left or the node's end of it was seen; None where neither was.

        A spoilt answer need be no end: a node may wait for the rest of what never comes.
        """
        whole = self.made is not None and not self.made.lost and self.made.outcome != "spoilt"
        made = self.made.at_ms if self.made is not None and whole else math.inf
        dropped = self.dropped.at_ms if self.dropped is not None else math.inf
        end = min(made, dropped)
        return None if end == math.inf else end


@dataclass(slots=True, eq=False)
class AcceptedRequest:
    """A request as a node took it: once asked, with what came back on that connection."""

    asked: RequestSent
    behind: "AcceptedRequest | None" = None  # the one asked before it on its connection
    answers: list[ResponseReceived] = field(default_factory=list)
    gave_up: RequestAbandoned | None = None
    again_at: float | None = None  # when its client sent it once more, or tried to

    @property
    def first(self) -> ResponseReceived | None:
        return self.answers[0] if self.answers else None

    @property
    def final(self) -> ResponseReceived | None:
        """The first whole answer."""
        return next((answer for answer in self.answers if answer.kind in FINAL_KINDS), None)

    @property
    def over_at(self) -> float:
        """When it was over for its client, however; infinite where that was not seen."""
        if self.answers:
            return self.answers[0].at_ms
        if self.gave_up is not None:
            return self.gave_up.at_ms + self.gave_up.lingers_ms
        return math.inf if self.again_at is None else self.again_at

    @property
    def free_at(self) -> float:
        """From when on no answer before it on its connection was awaited; its asking, where none was."""
        return self.asked.at_ms if self.behind is None else max(self.asked.at_ms, self.behind.over_at)


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """All that was seen under one uid."""

    uid: str
    takens: list[AcceptedRequest] = field(default_factory=list)
    never: RequestNotAccepted | None = None
    sent: list[AttemptOutcome] = field(default_factory=list)  # by arrival


@dataclass(slots=True)
class Tolerances:
    """What the passage of bytes may add, in milliseconds."""

    client: float  # one way, at the most
    server: float
    limit: float  # added to every limit of a rule

    @property
    def client_round(self) -> float:
        return 2 * self.client + 5 + self.limit

    @property
    def server_round(self) -> float:
        return 2 * self.server + 5 + self.limit


class History:
    """The indexes of one log."""

    def __init__(self, records: Iterable[AnyRecord], scenario: Scenario, backend: str) -> None:
        self.records = list(records)
        self.scenario = scenario
        self.loopback = backend != "virtual"
        links = scenario.links
        limit = LOOPBACK_MS if self.loopback else 0.0
        passage = 1 + links.jitter
        server = max(maximum_of(links.same_ms), maximum_of(links.cross_ms)) * passage
        self.slacks = Tolerances(maximum_of(links.client_ms) * passage + 1, server + 1, limit)
        self.classes = {cls.name: cls for cls in scenario.classes}
        self.tries: dict[str, ClientAttempt] = {}
        self.sent: dict[int, AttemptOutcome] = {}  # by the attempt's number
        self.made_tokens: dict[str, AttemptServed] = {}  # the first that was made with it
        self.starts: dict[str, list[ServerStateChanged]] = {}  # of each server
        self.falls: dict[str, list[ServerStateChanged]] = {}  # of each server
        self.conn_left: dict[int, float] = {}  # when a client closed its connection
        self.conn_used: dict[int, int] = {}  # the number of the first attempt on a server's connection
        self.lives = ProcessHistory(r for r in self.records if isinstance(r, NodeStateChanged))
        self.faults = spans_of(self.records)
        self.end = self.records[-1].at_ms if self.records else 0.0
        self._on_conn: dict[int, AcceptedRequest] = {}
        for record in self.records:
            self._take(record)
        lag = LINKS_LAG_MS
        self._links_hit = [
            (since, until + lag)
            for name, since, until in self.faults
            if not any(name.startswith(harmless) for harmless in HARMLESS_TO_LINKS)
        ]

    # What rules ask

    def cls(self, name: str) -> RequestClass:
        return self.classes.get(name) or RequestClass(name="unknown")

    def links_hit(self, since: float, until: float) -> bool:
        """Whether a fault was on that may keep a node waiting for a server without any record of it."""
        return any(a <= until and since <= b for a, b in self._links_hit)

    def excused(self, taken: AcceptedRequest, until: float) -> bool:
        """Whether its node did not live, or stood still, somewhere between the asking and `until`.

        A node that ended by itself after SIGTERM is not excused for what came in time before, nor is one that
        had all its time after it and was killed then.
        """
        asked = taken.asked
        life = self.lives.at(asked.node, asked.at_ms)
        if life.paused(asked.at_ms, until):
            return True
        if life.term is not None:
            last = life.term.at_ms + SERVES_ON_MS - self.slacks.client - self.slacks.limit
            if asked.at_ms > last:
                return True
        end = life.end
        if end is None or (end.state == "exited" and life.term is not None and asked.at_ms <= end.at_ms):
            return False
        return end.at_ms <= until + self.slacks.limit and not self.had_its_time(life)

    @property
    def patience_ms(self) -> float:
        """From SIGTERM to the SIGKILL that may come first."""
        longest = max(cls.deadline_ms for cls in self.scenario.classes)
        return min(longest, LONGEST_COUNTED_MS) + SERVES_ON_MS

    def is_during(self, fault: str, start: float, end: float) -> bool:
        """Whether a fault of this name was on somewhere between two instants."""
        return any(name == fault and begun <= end and ended >= start for name, begun, ended in self.faults)

    def had_its_time(self, life: ProcessLifetime) -> bool:
        """Whether a process was killed only after all the time that it has for its end after SIGTERM."""
        term, end = life.term, life.end
        if term is None or end is None or end.state != "killed":
            return False
        return end.at_ms >= term.at_ms + self.patience_ms - self.slacks.limit - TINY_MS

    def client_closed(self, taken: AcceptedRequest) -> float | None:
        """When a request's client closed its connection, over it or another one; None: not seen."""
        gave_up = taken.gave_up
        if gave_up is None:
            return None
        closed = gave_up.at_ms + gave_up.lingers_ms
        return min(closed, self.conn_left.get(taken.asked.connection, closed))

    def zone(self, server: str, origin: bool) -> str | None:
        """A server's zone; None where none is told."""
        if origin and server not in self.starts:
            return self.scenario.origin.zone
        said = self.starts.get(server)
        return said[-1].zone or None if said else None

    def node_zone(self, node: str) -> str:
        """The zone of `n0`, `n1` ...: the scenario's zones of nodes in turn."""
        zones = self.scenario.nodes.zones or self.scenario.zones
        number = node[1:]
        return zones[int(number) % len(zones)] if number.isdecimal() else zones[0]

    # Building

    def _try(self, uid: str) -> ClientAttempt:
        found = self.tries.get(uid)
        if found is None:
            found = self.tries[uid] = ClientAttempt(uid)
        return found

    def _take(self, record: AnyRecord) -> None:
        match record:
            case RequestSent():
                self._asked(record)
            case ResponseReceived():
                self._answered(record)
            case AttemptReceived():
                sent = self.sent[record.attempt_id] = AttemptOutcome(record)
                self._try(record.request_id).sent.append(sent)
                self.conn_used.setdefault(record.connection, record.attempt_id)
            case AttemptServed():
                if (found := self.sent.get(record.attempt_id)) is not None and found.made is None:
                    found.made = record
                    found.ran = found.ran or record.executed
                if record.body_digest and not record.lost:
                    self.made_tokens.setdefault(record.body_digest, record)
            case AttemptDropped():
                if (found := self.sent.get(record.attempt_id)) is not None and found.dropped is None:
                    found.dropped = record
            case AttemptExecuted():
                if (found := self.sent.get(record.attempt_id)) is not None:
                    found.ran = not record.is_repeat or found.ran
            case RequestAbandoned():
                self._gave_up(record)
            case RequestNotAccepted():
                this = self._try(record.request_id)
                this.never = record
                if this.takens and this.takens[-1].again_at is None:
                    this.takens[-1].again_at = record.at_ms
            case ServerStateChanged(state="fallen"):
                self.falls.setdefault(record.server, []).append(record)
            case ServerStateChanged(state="started"):
                self.starts.setdefault(record.server, []).append(record)

    def _asked(self, record: RequestSent) -> None:
        this = self._try(record.request_id)
        if this.takens and this.takens[-1].again_at is None:
            this.takens[-1].again_at = record.at_ms
        taken = AcceptedRequest(record, self._on_conn.get(record.connection))
        if taken.behind is not None and taken.behind.over_at <= record.at_ms:
            taken.behind = None  # over before: nothing is kept of a long chain
        self._on_conn[record.connection] = taken
        this.takens.append(taken)

    def _answered(self, record: ResponseReceived) -> None:
        this = self.tries.get(record.request_id)
        if this is not None and this.takens:
            this.takens[-1].answers.append(record)

    def _gave_up(self, record: RequestAbandoned) -> None:
        this = self.tries.get(record.request_id)
        if this is None or not this.takens:
            return
        taken = this.takens[-1]
        taken.gave_up = taken.gave_up or record
        closed, conn = record.at_ms + record.lingers_ms, taken.asked.connection
        self.conn_left[conn] = min(closed, self.conn_left.get(conn, closed))


def spans_of(records: Iterable[AnyRecord]) -> list[tuple[str, float, float]]:
    """Faults as (name, from, to) in ms, in the order of their beginnings; infinite where no end was seen."""
    spans: list[tuple[str, float, float]] = []
    begun: list[tuple[int, str, str]] = []  # those without an end yet: place, name, detail
    for record in records:
        if not isinstance(record, FaultChanged):
            continue
        if record.begins:
            begun.append((len(spans), record.name, record.detail))
            spans.append((record.name, record.at_ms, math.inf))
            continue
        same = [entry for entry in begun if entry[1] == record.name]
        # The one of the same detail, or the oldest: an end may tell other details than its beginning did.
        exact = [entry for entry in same if entry[2] == record.detail]
        for entry in (exact or same)[:1]:
            begun.remove(entry)
            spans[entry[0]] = (record.name, spans[entry[0]][1], record.at_ms)
    return spans
