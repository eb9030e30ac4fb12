"""The view of a request that rules work on: what its client sent, and everything recorded under its id."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AcceptedRequest, AttemptOutcome, ClientAttempt
from flintridge.lab.records import AnyRecord, RequestSent

# A node responds this long before a client's time is over, or a tenth of that time if that is shorter.
RESPONSE_MARGIN_MS = 10.0
RESPONSE_MARGIN_DIVISOR = 10


class RequestCase(NamedTuple):
    """A request as a node accepted it.

    Attributes:
        attempt: Everything recorded under its id.
        accepted: The sending that the node accepted.
    """

    attempt: ClientAttempt
    accepted: AcceptedRequest

    @property
    def request(self) -> RequestSent:
        """The request as its client sent it."""
        return self.accepted.request

    @property
    def node_outcomes(self) -> list[AttemptOutcome]:
        """The attempts made by the node that accepted this sending."""
        node = self.request.node
        return [outcome for outcome in self.attempt.outcomes if outcome.record.node == node]

    @property
    def response_margin_ms(self) -> float:
        """How long before the end of the client's time a correct node responds."""
        return min(RESPONSE_MARGIN_MS, self.request.time_left_ms / RESPONSE_MARGIN_DIVISOR)

    def was_forwarded_by(self, until_ms: float) -> bool:
        """Whether the node sent the request to a server by `until_ms`."""
        sent_ms = self.request.at_ms
        return any(sent_ms <= outcome.record.started_ms <= until_ms for outcome in self.node_outcomes)

    def proof(self) -> list[AnyRecord | None]:
        """Return all records of the request; None entries stand for missing ones."""
        accepted = self.accepted
        records: list[AnyRecord | None] = [accepted.request, *accepted.responses, accepted.abandoned]
        records += records_of(self.attempt.outcomes)
        return records

    def report(
        self,
        findings: Findings,
        rule: str,
        at_ms: float,
        text: str,
        *,
        server: str = "",
        proof: Iterable[AnyRecord | None] | None = None,
    ) -> None:
        """Add a violation by this request's node.

        Args:
            findings: Receives the violation.
            rule: The rule's name.
            at_ms: When the rule was violated.
            text: Description of the violation.
            server: The server concerned; empty if there is none.
            proof: The records that prove it; None: all records of the request.
        """
        findings.add(
            rule,
            at_ms,
            text,
            self.proof() if proof is None else proof,
            request_id=self.request.request_id,
            node=self.request.node,
            server=server,
        )


def request_cases(history: History) -> Iterator[RequestCase]:
    """Yield each sending of a request that a node accepted."""
    for attempt in history.client_attempts.values():
        for accepted in attempt.accepted:
            yield RequestCase(attempt, accepted)


def records_of(outcomes: Iterable[AttemptOutcome]) -> list[AnyRecord | None]:
    """Return the records of attempts at servers; None entries stand for missing ones."""
    records: list[AnyRecord | None] = []
    for outcome in outcomes:
        records += [outcome.record, outcome.served, outcome.dropped]
    return records
