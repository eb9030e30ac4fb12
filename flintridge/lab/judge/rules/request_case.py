"""A request as a rule sees it: what its client sent, and all that was seen under its id."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AcceptedRequest, AttemptOutcome, ClientAttempt
from flintridge.lab.records import AnyRecord, RequestSent

# A node responds this much, or a tenth, before a client's time is over.
RESPONSE_MARGIN_MS = 10.0
RESPONSE_MARGIN_DIVISOR = 10


class RequestCase(NamedTuple):
    """A request as a node accepted it.

    Attributes:
        attempt: All that was seen under its id.
        accepted: This time that a node accepted it.
    """

    attempt: ClientAttempt
    accepted: AcceptedRequest

    @property
    def request(self) -> RequestSent:
        """The request as its client sent it."""
        return self.accepted.request

    @property
    def node_outcomes(self) -> list[AttemptOutcome]:
        """The attempts of its node."""
        node = self.request.node
        return [outcome for outcome in self.attempt.outcomes if outcome.record.node == node]

    @property
    def response_margin_ms(self) -> float:
        """How long before the end of the client's time a sound node responds."""
        return min(RESPONSE_MARGIN_MS, self.request.time_left_ms / RESPONSE_MARGIN_DIVISOR)

    def was_forwarded_by(self, until_ms: float) -> bool:
        """Whether its node sent the request to a server, up to an instant."""
        sent_ms = self.request.at_ms
        return any(sent_ms <= outcome.record.started_ms <= until_ms for outcome in self.node_outcomes)

    def proof(self) -> list[AnyRecord | None]:
        """All records of the request."""
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
            findings: Where it is added.
            rule: The rule's name.
            at_ms: When it was found.
            text: What was found.
            server: The server that it is about.
            proof: The records that show it; None: all of the request.
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
    """Each request as it was accepted."""
    for attempt in history.client_attempts.values():
        for accepted in attempt.accepted:
            yield RequestCase(attempt, accepted)


def records_of(outcomes: Iterable[AttemptOutcome]) -> list[AnyRecord | None]:
    """The records of attempts at servers."""
    records: list[AnyRecord | None] = []
    for outcome in outcomes:
        records += [outcome.record, outcome.served, outcome.dropped]
    return records
