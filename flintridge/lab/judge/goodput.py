"""The outcomes of requests, and how much of their priority weight was achieved."""

import math
from dataclasses import dataclass, field

from flintridge.lab.judge.history import History
from flintridge.lab.records import RequestAbandoned, RequestNotAccepted, RequestSent, ResponseReceived
from flintridge.lab.scenario.model import RequestClass

FRACTION_DIGITS = 6


@dataclass(slots=True, eq=False)
class RequestOutcome:
    """The outcome of a request over all its attempts.

    Attributes:
        scheduled_ms: When the first attempt was scheduled.
        request_class: The request's class.
        tenant: The request's tenant; empty if it has none.
        attempt_count: Number of attempts that its client made.
        served_ms: When the first serving response arrived; None if none did.
        last_kind: Kind of the last response; `not_accepted` if no node accepted the last attempt.
        last_ms: When the last response arrived or the last attempt failed; infinite if neither was recorded.
    """

    scheduled_ms: float
    request_class: RequestClass
    tenant: str
    attempt_count: int = 0
    served_ms: float | None = None
    last_kind: str = ""
    last_ms: float = math.inf

    @property
    def latency_ms(self) -> float | None:
        """Time from the scheduled first attempt to the serving response; None if none arrived."""
        return None if self.served_ms is None else self.served_ms - self.scheduled_ms

    @property
    def is_within_objective(self) -> bool:
        """Whether the request was served within its class's latency objective."""
        latency_ms = self.latency_ms
        return latency_ms is not None and latency_ms <= self.request_class.latency_objective_ms

    @property
    def is_rejected(self) -> bool:
        """Whether the request was never served and its last response was a rejection."""
        return self.last_kind == "refused" and self.served_ms is None

    @property
    def is_failed_late(self) -> bool:
        """Whether the request was not served, and failed after the latency objective or had no response."""
        if self.served_ms is not None:
            return False
        return self.last_ms - self.scheduled_ms > self.request_class.latency_objective_ms

    @property
    def offered_weight(self) -> float:
        """The priority weight of the request's class."""
        return self.request_class.priority_weight

    @property
    def achieved_weight(self) -> float:
        """The weight if served within the objective, `late_weight_fraction` of it by the deadline, else 0."""
        latency_ms = self.latency_ms
        if latency_ms is None or latency_ms > self.request_class.deadline_ms:
            return 0.0
        if self.is_within_objective:
            return self.request_class.priority_weight
        return self.request_class.priority_weight * self.request_class.late_weight_fraction

    def end(self, kind: str, at_ms: float) -> None:
        """Record the end of an attempt.

        Args:
            kind: Kind of the response, or `not_accepted`.
            at_ms: When the attempt ended.
        """
        self.last_kind = kind
        self.last_ms = at_ms
        if kind == "served" and self.served_ms is None:
            self.served_ms = at_ms


@dataclass(slots=True)
class WeightedGoodput:
    """The priority weight that a set of requests offered, and how much of it was achieved.

    Attributes:
        offered: Sum of the requests' weights.
        achieved: Sum of the weights that were achieved.
        groups: Goodput of subsets of the requests, by class or tenant name.
    """

    offered: float = 0.0
    achieved: float = 0.0
    groups: dict[str, "WeightedGoodput"] = field(default_factory=dict)

    def add(self, outcome: RequestOutcome) -> None:
        """Add the weights of a request."""
        self.offered += outcome.offered_weight
        self.achieved += outcome.achieved_weight

    def group(self, name: str) -> "WeightedGoodput":
        """Return the group of a name, created on first use."""
        return self.groups.setdefault(name, WeightedGoodput())

    @property
    def fraction(self) -> float:
        """The achieved fraction of the offered weight; 1 if nothing was offered."""
        return self.achieved / self.offered if self.offered else 1.0

    def fractions(self) -> dict[str, float]:
        """Return the achieved fraction of each group that offered any weight, ordered by name."""
        return {
            name: round(group.fraction, FRACTION_DIGITS)
            for name, group in sorted(self.groups.items())
            if group.offered
        }


def request_outcomes(history: History) -> dict[str, RequestOutcome]:
    """Return the outcomes of all counted requests, in the order of their first attempts.

    The keys are the ids of the first attempts.
    """
    outcomes: dict[str, RequestOutcome] = {}
    by_request_id: dict[str, RequestOutcome] = {}
    abandoned: set[str] = set()
    for record in history.records:
        match record:
            case RequestSent() | RequestNotAccepted() if record.counted:
                outcome = outcomes.get(record.first_request_id)
                if outcome is None:
                    request_class = history.request_class(record.class_name)
                    outcome = RequestOutcome(record.scheduled_ms, request_class, record.tenant)
                    outcomes[record.first_request_id] = outcome
                if record.request_id not in by_request_id:
                    outcome.attempt_count += 1
                by_request_id[record.request_id] = outcome
                if isinstance(record, RequestNotAccepted):
                    outcome.end("not_accepted", record.at_ms)
            case RequestAbandoned():
                abandoned.add(record.request_id)  # a later response is of no use to the client
            case ResponseReceived() if record.request_id not in abandoned:
                if record.request_id in by_request_id:
                    by_request_id[record.request_id].end(record.kind, record.at_ms)
    return outcomes
