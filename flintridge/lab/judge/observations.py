"""What was seen of requests: by their clients, and by the servers that nodes sent them to."""

import math
from dataclasses import dataclass, field

from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import (
    AttemptDropped,
    AttemptReceived,
    AttemptServed,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
)

FINAL_KINDS = ("served", "refused", "failed", "error")  # kinds of a response that ends a request
NOT_EXECUTED_OUTCOMES = ("busy", "miss")  # outcomes that prove that a request was not executed


@dataclass(slots=True, eq=False)
class AttemptOutcome:
    """An attempt of a node as it arrived at a server, and what became of it there.

    Attributes:
        record: Its arrival.
        served: What the server responded.
        dropped: The node's end of it, as the server saw that.
        executed: Whether the server executed it.
    """

    record: AttemptReceived
    served: AttemptServed | None = None
    dropped: AttemptDropped | None = None
    executed: bool = False

    @property
    def server(self) -> str:
        """The server."""
        return self.record.server

    @property
    def response_digest(self) -> str:
        """Of a value or receipt whose response was not lost; empty where there is none."""
        if self.served is None or self.served.lost:
            return ""
        return self.served.body_digest

    def is_not_executed_by(self, at_ms: float) -> bool:
        """Whether by then a response had left that proves that it was not executed."""
        served = self.served
        if served is None or served.lost or served.outcome not in NOT_EXECUTED_OUTCOMES:
            return False
        return served.at_ms <= at_ms + ROUNDING_MS

    @property
    def finished_ms(self) -> float | None:
        """When its response left or the node's end of it was seen; None where neither was.

        A corrupted response need be no end: a node may wait for the rest of what never comes.
        """
        served_ms = math.inf
        if self.served is not None and not self.served.lost and self.served.outcome != "spoilt":
            served_ms = self.served.at_ms
        dropped_ms = self.dropped.at_ms if self.dropped is not None else math.inf
        end_ms = min(served_ms, dropped_ms)
        return None if end_ms == math.inf else end_ms

    @property
    def in_flight_until_ms(self) -> float:
        """When it ended, or else when its time was over."""
        finished_ms = self.finished_ms
        return self.record.at_ms + self.record.time_left_ms if finished_ms is None else finished_ms


@dataclass(slots=True, eq=False)
class AcceptedRequest:
    """A request as a node accepted it: sent once, with what came back on that connection.

    Attributes:
        request: As its client sent it.
        previous: The one sent before it on its connection, if that was not over yet.
        responses: What came back.
        abandoned: When its client stopped to wait.
        resent_ms: When its client sent it once more, or tried to.
    """

    request: RequestSent
    previous: "AcceptedRequest | None" = None
    responses: list[ResponseReceived] = field(default_factory=list)
    abandoned: RequestAbandoned | None = None
    resent_ms: float | None = None

    @property
    def first_response(self) -> ResponseReceived | None:
        """Whatever came first, also the end of the connection."""
        return self.responses[0] if self.responses else None

    @property
    def final_response(self) -> ResponseReceived | None:
        """The first complete response."""
        return next((response for response in self.responses if response.kind in FINAL_KINDS), None)

    @property
    def over_ms(self) -> float:
        """When it was over for its client, however; infinite where that was not seen."""
        if self.responses:
            return self.responses[0].at_ms
        if self.abandoned is not None:
            return self.abandoned.at_ms + self.abandoned.lingers_ms
        return math.inf if self.resent_ms is None else self.resent_ms

    @property
    def unblocked_ms(self) -> float:
        """From when on no response before it on its connection was awaited; its sending, where none was."""
        if self.previous is None:
            return self.request.at_ms
        return max(self.request.at_ms, self.previous.over_ms)


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """All that was seen under one request id.

    Attributes:
        request_id: The id.
        accepted: The times that a node accepted it; several where a close crossed it.
        not_accepted: Where no node did.
        outcomes: The attempts of nodes at servers, by arrival.
    """

    request_id: str
    accepted: list[AcceptedRequest] = field(default_factory=list)
    not_accepted: RequestNotAccepted | None = None
    outcomes: list[AttemptOutcome] = field(default_factory=list)
