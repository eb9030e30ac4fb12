"""What became of requests, and how much of their priority weight was achieved."""

import math
from dataclasses import dataclass, field

from flintridge.lab.judge.history import History
from flintridge.lab.records import RequestAbandoned, RequestNotAccepted, RequestSent, ResponseReceived
from flintridge.lab.scenario.model import RequestClass

FRACTION_DIGITS = 6


@dataclass(slots=True, eq=False)
class RequestOutcome:
    """What became of a request, over all its attempts.

    Attributes:
        scheduled_ms: When it was due.
        request_class: Its class.
        tenant: Its tenant; empty where it has none.
        attempt_count: Attempts of its client.
        served_ms: When it was first served.
        last_kind: Of the last response; `not_accepted` where no node accepted the last attempt.
        last_ms: When that came.
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
        """From when it was due until it was served; None where it was not."""
        return None if self.served_ms is None else self.served_ms - self.scheduled_ms

    @property
    def is_within_objective(self) -> bool:
        """Whether it was served within its class's latency objective."""
        latency_ms = self.latency_ms
        return latency_ms is not None and latency_ms <= self.request_class.latency_objective_ms

    @property
    def is_rejected(self) -> bool:
        """Whether the last response was a rejection, and it was never served."""
        return self.last_kind == "refused" and self.served_ms is None

    @property
    def is_failed_late(self) -> bool:
        """Whether it was not served, and its client only knew after the latency objective."""
        if self.served_ms is not None:
            return False
        return self.last_ms - self.scheduled_ms > self.request_class.latency_objective_ms

    @property
    def offered_weight(self) -> float:
        """Its class's priority weight."""
        return self.request_class.priority_weight

    @property
    def achieved_weight(self) -> float:
        """All of the weight within the objective, a part of it until the deadline."""
        latency_ms = self.latency_ms
        if latency_ms is None or latency_ms > self.request_class.deadline_ms:
            return 0.0
        if self.is_within_objective:
            return self.request_class.priority_weight
        return self.request_class.priority_weight * self.request_class.late_weight_fraction

    def end(self, kind: str, at_ms: float) -> None:
        """Note how an attempt ended."""
        self.last_kind = kind
        self.last_ms = at_ms
        if kind == "served" and self.served_ms is None:
            self.served_ms = at_ms


@dataclass(slots=True)
class WeightedGoodput:
    """The weight that some requests offered, and what of it was achieved.

    Attributes:
        offered: The weight of all.
        achieved: The weight that was achieved.
        groups: The same by some name.
    """

    offered: float = 0.0
    achieved: float = 0.0
    groups: dict[str, "WeightedGoodput"] = field(default_factory=dict)

    def add(self, outcome: RequestOutcome) -> None:
        """Add a request."""
        self.offered += outcome.offered_weight
        self.achieved += outcome.achieved_weight

    def group(self, name: str) -> "WeightedGoodput":
        """The group of a name."""
        return self.groups.setdefault(name, WeightedGoodput())

    @property
    def fraction(self) -> float:
        """What was achieved; 1 where nothing was offered."""
        return self.achieved / self.offered if self.offered else 1.0

    def fractions(self) -> dict[str, float]:
        """Of each group, in order of names."""
        return {
            name: round(group.fraction, FRACTION_DIGITS)
            for name, group in sorted(self.groups.items())
            if group.offered
        }


def request_outcomes(history: History) -> dict[str, RequestOutcome]:
    """What became of each counted request, by the id of its first attempt, in the order of their sending."""
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
                abandoned.add(record.request_id)  # what comes after that is of no use to its client
            case ResponseReceived() if record.request_id not in abandoned:
                if record.request_id in by_request_id:
                    by_request_id[record.request_id].end(record.kind, record.at_ms)
    return outcomes
