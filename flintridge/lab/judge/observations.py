"""What clients recorded of requests, and servers of the attempts that nodes sent for them."""

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

FINAL_KINDS = ("served", "refused", "failed", "error")  # kinds of responses that end a request
NOT_EXECUTED_OUTCOMES = ("busy", "miss")  # these prove that the server did not execute the request


@dataclass(slots=True, eq=False)
class AttemptOutcome:
    """An attempt of a node that arrived at a server, and its outcome there.

    Attributes:
        record: The record of its arrival.
        served: The server's response; None if there was none.
        dropped: The close of the connection by the node while the attempt was in flight; None if not seen.
        executed: Whether the server executed the request.
    """

    record: AttemptReceived
    served: AttemptServed | None = None
    dropped: AttemptDropped | None = None
    executed: bool = False

    @property
    def server(self) -> str:
        """The server's id."""
        return self.record.server

    @property
    def response_digest(self) -> str:
        """The body digest of the value or receipt; empty if there is none or the response was lost."""
        if self.served is None or self.served.lost:
            return ""
        return self.served.body_digest

    def is_not_executed_by(self, at_ms: float) -> bool:
        """Whether a response that proves that the request was not executed had left the server by `at_ms`."""
        served = self.served
        if served is None or served.lost or served.outcome not in NOT_EXECUTED_OUTCOMES:
            return False
        return served.at_ms <= at_ms + ROUNDING_MS

    @property
    def finished_ms(self) -> float | None:
        """When the response left the server or the node closed the connection; None if neither was seen.

        A corrupted response does not count as the end, because a node may go on waiting for the rest of it.
        """
        served_ms = math.inf
        if self.served is not None and not self.served.lost and self.served.outcome != "spoilt":
            served_ms = self.served.at_ms
        dropped_ms = self.dropped.at_ms if self.dropped is not None else math.inf
        end_ms = min(served_ms, dropped_ms)
        return None if end_ms == math.inf else end_ms

    @property
    def in_flight_until_ms(self) -> float:
        """When the attempt ended; if that was not seen, when the time that the node sent with it was over."""
        finished_ms = self.finished_ms
        return self.record.at_ms + self.record.time_left_ms if finished_ms is None else finished_ms


@dataclass(slots=True, eq=False)
class AcceptedRequest:
    """One sending of a request that a node accepted, with the responses on that connection.

    Attributes:
        request: The request as its client sent it.
        previous: The request sent before it on the same connection, if that had not ended yet.
        responses: The responses, and the end of the connection if it came first, in order of time.
        abandoned: The record that its client stopped waiting; None if it did not.
        resent_ms: When its client sent the same attempt again, or tried to; None if it did not.
    """

    request: RequestSent
    previous: "AcceptedRequest | None" = None
    responses: list[ResponseReceived] = field(default_factory=list)
    abandoned: RequestAbandoned | None = None
    resent_ms: float | None = None

    @property
    def first_response(self) -> ResponseReceived | None:
        """The first response, which may be the end of the connection; None if there is none."""
        return self.responses[0] if self.responses else None

    @property
    def final_response(self) -> ResponseReceived | None:
        """The first response of a final kind; None if there is none."""
        return next((response for response in self.responses if response.kind in FINAL_KINDS), None)

    @property
    def ended_ms(self) -> float:
        """When the request ended for its client, in whatever way; infinite if no end was seen."""
        if self.responses:
            return self.responses[0].at_ms
        if self.abandoned is not None:
            return self.abandoned.at_ms + self.abandoned.lingers_ms
        return math.inf if self.resent_ms is None else self.resent_ms

    @property
    def unblocked_ms(self) -> float:
        """When the request became the first in line on its connection.

        Responses come in the order of the requests, so until then it waits for the previous request.
        """
        if self.previous is None:
            return self.request.at_ms
        return max(self.request.at_ms, self.previous.ended_ms)


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """Everything recorded under one request id, which stands for one attempt of a client.

    Attributes:
        request_id: The id.
        accepted: Each sending that a node accepted; several if a close of the connection crossed the request.
        not_accepted: The record that no node accepted the attempt; None if one did.
        outcomes: The attempts of nodes at servers, in the order of their arrival.
    """

    request_id: str
    accepted: list[AcceptedRequest] = field(default_factory=list)
    not_accepted: RequestNotAccepted | None = None
    outcomes: list[AttemptOutcome] = field(default_factory=list)
