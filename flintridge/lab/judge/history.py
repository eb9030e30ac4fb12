"""Indexes of the log for the rules: requests with their responses and attempts, processes, servers, faults.

This module judges nothing. Every index is built from the records alone, in the order of the log.
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

# The longest deadline that SIGKILL waits for after SIGTERM; a longer deadline counts as this.
MAX_COUNTED_DEADLINE_MS = 3000.0


class History:
    """The indexes of one log.

    Attributes:
        records: The log.
        scenario: The scenario that was run.
        is_real_time: Whether the run was in real time, with real processes.
        tolerances: How much later than a limit an event may be recorded.
        classes: Request classes by name.
        client_attempts: Attempts of clients by request id.
        outcomes: Attempts at servers by attempt id.
        served_by_digest: By body digest, the first response that a server sent with it.
        server_starts: Starts of each server, in order of time.
        server_overloads: Crashes of each server by overload, in order of time.
        client_closed_ms: When a client closed its connection, by the number of the connection.
        first_attempt_on: Id of the first attempt on each connection to a server, by the connection's number.
        processes: The nodes' processes.
        faults: The spans in which faults were active.
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

    # Queries of the rules

    def request_class(self, name: str) -> RequestClass:
        """Return the request class of a name; one with default settings if the scenario has none."""
        return self.classes.get(name) or RequestClass(name="unknown")

    def links_disturbed(self, since_ms: float, until_ms: float) -> bool:
        """Whether a fault may have kept a node waiting for a server in this span without any record of it."""
        return any(
            span.start_ms <= until_ms and since_ms <= span.end_ms + LINK_FAULT_TAIL_MS
            for span in self._link_faults
        )

    def had_fault(self, name: str, since_ms: float, until_ms: float) -> bool:
        """Whether a fault of this name was active at any time of this span."""
        return any(
            span.name == name and span.start_ms <= until_ms and span.end_ms >= since_ms
            for span in self.faults
        )

    def is_excused(self, accepted: AcceptedRequest, until_ms: float) -> bool:
        """Whether the request's node was down or paused at any time from the request's sending to `until_ms`.

        A request that is sent too late after SIGTERM is excused as well. A node that exited by itself after
        SIGTERM is not excused for requests that arrived in time, nor is one that was killed only after its
        whole termination time.
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
        """The time from SIGTERM to the earliest SIGKILL."""
        max_deadline_ms = max(request_class.deadline_ms for request_class in self.scenario.classes)
        return min(max_deadline_ms, MAX_COUNTED_DEADLINE_MS) + TERMINATION_ACCEPT_MS

    def had_termination_time(self, process: ProcessLifetime) -> bool:
        """Whether a process was killed only after the whole termination time that follows SIGTERM."""
        termination = process.termination
        end = process.end
        if termination is None or end is None or end.state != "killed":
            return False
        due_ms = termination.at_ms + self.termination_time_ms
        return end.at_ms >= due_ms - self.tolerances.limit_ms - ROUNDING_MS

    def closed_by_client_ms(self, accepted: AcceptedRequest) -> float | None:
        """Return when the client closed the request's connection, for any request on it; None if not seen."""
        abandoned = accepted.abandoned
        if abandoned is None:
            return None
        closed_ms = abandoned.at_ms + abandoned.lingers_ms
        return min(closed_ms, self.client_closed_ms.get(accepted.request.connection, closed_ms))

    def server_zone(self, server: str, is_origin: bool) -> str | None:
        """Return a server's zone; None if it is not known."""
        if is_origin and server not in self.server_starts:
            return self.scenario.origin.zone
        starts = self.server_starts.get(server)
        return starts[-1].zone or None if starts else None

    def node_zone(self, node: str) -> str:
        """Return a node's zone: the nodes `n0`, `n1` ... are assigned to the scenario's zones in turn."""
        zones = self.scenario.nodes.zones or self.scenario.zones
        number = node[1:]
        return zones[int(number) % len(zones)] if number.isdecimal() else zones[0]

    # Building the indexes

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
        if accepted.previous is not None and accepted.previous.ended_ms <= record.at_ms:
            accepted.previous = None  # it had ended before; dropped so that no long chain stays in memory
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
