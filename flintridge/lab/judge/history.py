"""An index of the log for the rules: requests with their responses and attempts, processes, servers, faults.

Nothing is judged here. Every index is built from the records alone, in the order of the log.
"""

from collections.abc import Iterable

from flintridge.lab.judge.fault_spans import LINK_FAULT_TAIL_MS, fault_spans
from flintridge.lab.judge.observations import AcceptedRequest, AttemptOutcome, ClientAttempt
from flintridge.lab.judge.process_history import TERMINATION_ACCEPT_MS, ProcessHistory, ProcessLifetime
from flintridge.lab.judge.tolerances import ROUNDING_MS, Tolerances
from flintridge.lab.records import (
    AnyRecord,
    AttemptDropped,
    AttemptExecuted,
    AttemptReceived,
    AttemptServed,
    NodeStateChanged,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
    ServerStateChanged,
)
from flintridge.lab.scenario.model import RequestClass, Scenario

MAX_COUNTED_DEADLINE_MS = 3000.0  # SIGKILL waits for no longer one


class History:
    """The indexes of one log.

    Attributes:
        records: The log.
        scenario: What was played.
        is_real_time: Whether on real processes.
        tolerances: How much later than a limit something may be seen.
        classes: Request classes by name.
        client_attempts: By request id.
        outcomes: Attempts at servers, by the attempt's number.
        served_by_digest: The first response that was made with a body digest.
        server_starts: Of each server.
        server_overloads: Of each server.
        client_closed_ms: When a client closed its connection, by connection.
        first_attempt_on: The number of the first attempt on a server's connection.
        processes: The nodes' processes.
        faults: When which faults were on.
        end_ms: The time of the last record.
    """

    def __init__(self, records: Iterable[AnyRecord], scenario: Scenario, backend: str) -> None:
        self.records = list(records)
        self.scenario = scenario
        self.is_real_time = backend != "virtual"
        self.tolerances = Tolerances.of(scenario, self.is_real_time)
        self.classes = {request_class.name: request_class for request_class in scenario.classes}
        self.client_attempts: dict[str, ClientAttempt] = {}
        self.outcomes: dict[int, AttemptOutcome] = {}
        self.served_by_digest: dict[str, AttemptServed] = {}
        self.server_starts: dict[str, list[ServerStateChanged]] = {}
        self.server_overloads: dict[str, list[ServerStateChanged]] = {}
        self.client_closed_ms: dict[int, float] = {}
        self.first_attempt_on: dict[int, int] = {}
        self.processes = ProcessHistory(r for r in self.records if isinstance(r, NodeStateChanged))
        self.faults = fault_spans(self.records)
        self.end_ms = self.records[-1].at_ms if self.records else 0.0
        self._last_on_connection: dict[int, AcceptedRequest] = {}
        for record in self.records:
            self._index(record)
        self._link_faults = [span for span in self.faults if span.disturbs_links]

    # What rules query

    def request_class(self, name: str) -> RequestClass:
        """The class of a name; a default one where the scenario has none."""
        return self.classes.get(name) or RequestClass(name="unknown")

    def links_disturbed(self, since_ms: float, until_ms: float) -> bool:
        """Whether a fault was on that may keep a node waiting for a server without any record of it."""
        return any(
            span.start_ms <= until_ms and since_ms <= span.end_ms + LINK_FAULT_TAIL_MS
            for span in self._link_faults
        )

    def had_fault(self, name: str, since_ms: float, until_ms: float) -> bool:
        """Whether a fault of this name was on somewhere between two instants."""
        return any(
            span.name == name and span.start_ms <= until_ms and span.end_ms >= since_ms
            for span in self.faults
        )

    def is_excused(self, accepted: AcceptedRequest, until_ms: float) -> bool:
        """Whether its node did not live, or stood still, somewhere between the sending and `until_ms`.

        A node that ended by itself after SIGTERM is not excused for what came in time before, nor is one that
        had all its time after it and was killed then.
        """
        request = accepted.request
        process = self.processes.at(request.node, request.at_ms)
        if process.was_paused(request.at_ms, until_ms):
            return True
        if process.termination is not None:
            tolerance_ms = self.tolerances.client_ms
            last_ms = process.termination.at_ms + TERMINATION_ACCEPT_MS - tolerance_ms
            if request.at_ms > last_ms - self.tolerances.limit_ms:
                return True
        end = process.end
        if end is None:
            return False
        if end.state == "exited" and process.termination is not None and request.at_ms <= end.at_ms:
            return False
        return end.at_ms <= until_ms + self.tolerances.limit_ms and not self.had_termination_time(process)

    @property
    def termination_time_ms(self) -> float:
        """From SIGTERM to the SIGKILL that may come first."""
        max_deadline_ms = max(request_class.deadline_ms for request_class in self.scenario.classes)
        return min(max_deadline_ms, MAX_COUNTED_DEADLINE_MS) + TERMINATION_ACCEPT_MS

    def had_termination_time(self, process: ProcessLifetime) -> bool:
        """Whether a process was killed only after all the time that it has for its end after SIGTERM."""
        termination = process.termination
        end = process.end
        if termination is None or end is None or end.state != "killed":
            return False
        due_ms = termination.at_ms + self.termination_time_ms
        return end.at_ms >= due_ms - self.tolerances.limit_ms - ROUNDING_MS

    def closed_by_client_ms(self, accepted: AcceptedRequest) -> float | None:
        """When a request's client closed its connection, over it or another one; None: not seen."""
        abandoned = accepted.abandoned
        if abandoned is None:
            return None
        closed_ms = abandoned.at_ms + abandoned.lingers_ms
        return min(closed_ms, self.client_closed_ms.get(accepted.request.connection, closed_ms))

    def server_zone(self, server: str, is_origin: bool) -> str | None:
        """A server's zone; None where none is known."""
        if is_origin and server not in self.server_starts:
            return self.scenario.origin.zone
        starts = self.server_starts.get(server)
        return starts[-1].zone or None if starts else None

    def node_zone(self, node: str) -> str:
        """The zone of `n0`, `n1` ...: the scenario's zones of nodes in turn."""
        zones = self.scenario.nodes.zones or self.scenario.zones
        number = node[1:]
        return zones[int(number) % len(zones)] if number.isdecimal() else zones[0]

    # Building

    def _client_attempt(self, request_id: str) -> ClientAttempt:
        attempt = self.client_attempts.get(request_id)
        if attempt is None:
            attempt = ClientAttempt(request_id)
            self.client_attempts[request_id] = attempt
        return attempt

    def _index(self, record: AnyRecord) -> None:
        match record:
            case RequestSent():
                self._index_sent(record)
            case ResponseReceived():
                self._index_response(record)
            case AttemptReceived():
                self._index_attempt(record)
            case AttemptServed():
                self._index_served(record)
            case AttemptDropped():
                self._index_dropped(record)
            case AttemptExecuted():
                self._index_executed(record)
            case RequestAbandoned():
                self._index_abandoned(record)
            case RequestNotAccepted():
                self._index_not_accepted(record)
            case ServerStateChanged(state="fallen"):
                self.server_overloads.setdefault(record.server, []).append(record)
            case ServerStateChanged(state="started"):
                self.server_starts.setdefault(record.server, []).append(record)

    def _index_sent(self, record: RequestSent) -> None:
        attempt = self._client_attempt(record.request_id)
        _note_resent(attempt, record.at_ms)
        accepted = AcceptedRequest(record, self._last_on_connection.get(record.connection))
        if accepted.previous is not None and accepted.previous.over_ms <= record.at_ms:
            accepted.previous = None  # over before: nothing is kept of a long chain
        self._last_on_connection[record.connection] = accepted
        attempt.accepted.append(accepted)

    def _index_not_accepted(self, record: RequestNotAccepted) -> None:
        attempt = self._client_attempt(record.request_id)
        attempt.not_accepted = record
        _note_resent(attempt, record.at_ms)

    def _index_response(self, record: ResponseReceived) -> None:
        attempt = self.client_attempts.get(record.request_id)
        if attempt is not None and attempt.accepted:
            attempt.accepted[-1].responses.append(record)

    def _index_attempt(self, record: AttemptReceived) -> None:
        outcome = AttemptOutcome(record)
        self.outcomes[record.attempt_id] = outcome
        self._client_attempt(record.request_id).outcomes.append(outcome)
        self.first_attempt_on.setdefault(record.connection, record.attempt_id)

    def _index_served(self, record: AttemptServed) -> None:
        outcome = self.outcomes.get(record.attempt_id)
        if outcome is not None and outcome.served is None:
            outcome.served = record
            outcome.executed = outcome.executed or record.executed
        if record.body_digest and not record.lost:
            self.served_by_digest.setdefault(record.body_digest, record)

    def _index_dropped(self, record: AttemptDropped) -> None:
        outcome = self.outcomes.get(record.attempt_id)
        if outcome is not None and outcome.dropped is None:
            outcome.dropped = record

    def _index_executed(self, record: AttemptExecuted) -> None:
        outcome = self.outcomes.get(record.attempt_id)
        if outcome is not None and not record.is_repeat:
            outcome.executed = True

    def _index_abandoned(self, record: RequestAbandoned) -> None:
        attempt = self.client_attempts.get(record.request_id)
        if attempt is None or not attempt.accepted:
            return
        accepted = attempt.accepted[-1]
        accepted.abandoned = accepted.abandoned or record
        closed_ms = record.at_ms + record.lingers_ms
        connection = accepted.request.connection
        self.client_closed_ms[connection] = min(closed_ms, self.client_closed_ms.get(connection, closed_ms))


def _note_resent(attempt: ClientAttempt, at_ms: float) -> None:
    if attempt.accepted and attempt.accepted[-1].resent_ms is None:
        attempt.accepted[-1].resent_ms = at_ms
