"""The lifecycle of requests: from a protocol frontend to the final response, with one end for each attempt.

Requests are turned into policy events, and the policy's actions are carried out. This module decides nothing:
it selects no server and retries nothing. It is also independent of protocols.
"""

from collections.abc import Callable

from flintridge import api
from flintridge.core.attempts import attempt_ended_event, new_attempt, unsent_outcome
from flintridge.core.deadlines import ResponseDeadlines
from flintridge.core.drivers import DiscoveryDriver, Policy, UpstreamDriver
from flintridge.core.executed_ids import BeginResult, ExecutedIds
from flintridge.core.memory_budget import MemoryBudget, bytes_to_reserve, unlimited_memory
from flintridge.core.open_requests import IdInUseError, OpenRequest, OpenRequests
from flintridge.core.policy_driver import PolicyDriver
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.response import AttemptResult, Responder, StreamedResponse, StreamedValue
from flintridge.runtime.clock import Clock, to_ms, to_ns
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

# What an open request uses beside the value that it writes: the request itself, its attempts and their tasks.
OPEN_REQUEST_BYTES = 8 * 1024


class RequestLifecycle:
    """Processes the requests of a node.

    Attributes:
        process_memory: Memory for everything that the process holds for its clients.
        memory_budget: Memory for the values of writes; a part of `process_memory`.
        request_memory: Memory for open requests; a part of `process_memory`.
        executed_ids: Ids of requests that must not be executed again.
        open_requests: Requests without a final response or with attempts in flight.
        policy_driver: Passes events to the policy.
        settings: The service's settings.
        on_attempts_changed: Called with the attempt and +1 when it starts, and with -1 when it ends.
        on_new_request: Called with the tenant of each request.
    """

    def __init__(
        self,
        policy: Policy,
        settings: api.Settings,
        clock: Clock,
        memory_bytes: int,
        log: EventLog,
        counters: Counters,
        process_memory: MemoryBudget | None = None,
    ) -> None:
        """Start without requests; `attach` sets the drivers.

        Args:
            policy: The decision policy.
            settings: The service's settings.
            clock: The node's clock.
            memory_bytes: Size of the memory budget for the values of writes.
            log: The node's log.
            counters: The node's counters.
            process_memory: Memory for everything that the process holds for its clients; None: no limit.
        """
        self.process_memory = process_memory or unlimited_memory(clock)
        self.memory_budget = MemoryBudget(memory_bytes, clock, self.process_memory)
        self.request_memory = MemoryBudget(self.process_memory.total // 2, clock, self.process_memory)
        self.open_requests = OpenRequests(
            self.memory_budget, self.request_memory, OPEN_REQUEST_BYTES, self._request_removed
        )
        self.executed_ids = ExecutedIds(clock, self.process_memory)
        self.policy_driver = PolicyDriver(policy, self._carry_out, clock, log, counters)
        self.settings = settings
        self.on_attempts_changed: Callable[[UpstreamAttempt, int], None] | None = None
        self.on_new_request: Callable[[int], None] | None = None
        self._deadlines = ResponseDeadlines(clock, settings.classes, self.open_requests, self._fail_overdue)
        self._clock = clock
        self._log = log
        self._counters = counters
        self._upstream: UpstreamDriver | None = None
        self._discovery: DiscoveryDriver | None = None

    def attach(self, upstream: UpstreamDriver, discovery: DiscoveryDriver) -> None:
        """Set the drivers; call before the first event."""
        self._upstream = upstream
        self._discovery = discovery

    @property
    def idle(self) -> bool:
        """Whether every request has its final response."""
        return self.unanswered == 0

    @property
    def unanswered(self) -> int:
        """Number of requests without a final response."""
        return self.open_requests.unanswered

    @property
    def respond_by(self) -> float:
        """The latest deadline of any request, in milliseconds of the node's clock; infinite by default."""
        return self._deadlines.respond_by

    @property
    def has_request_memory(self) -> bool:
        """Whether memory is free for another open request."""
        return self.request_memory.fits(OPEN_REQUEST_BYTES)

    # Requests

    def submit(
        self,
        request: Request,
        responder: Responder,
        reserved_bytes: int = 0,
        arrived_after: float | None = None,
    ) -> str:
        """Accept a request, or shed it.

        Args:
            request: The request as it was read.
            responder: Delivers the response to the client.
            reserved_bytes: Bytes of `memory_budget` that the caller has reserved for the value; the request
                takes them over.
            arrived_after: Earliest instant at which the request's last byte can have arrived; the client's
                timeout is counted from it. None if it was read in this iteration of the event loop.

        Returns:
            The request's id, for `client_disconnected`.

        Raises:
            IdInUseError: A request with this id is open, or may have been executed and must not be again; the
                caller still owns `reserved_bytes`.
        """
        request_id = request.id.decode("ascii")
        is_guarded = self.settings.classes[request.class_index].effect is not api.Effect.SAFE
        if request_id in self.open_requests:
            raise IdInUseError(request_id)
        begun = self.executed_ids.try_begin(request_id) if is_guarded else BeginResult.BEGUN
        if begun is BeginResult.IN_USE:
            raise IdInUseError(request_id)
        self._counters.add("requests")
        if begun is BeginResult.NO_MEMORY:
            self._counters.add("requests_shed_for_ids")
            self._shed(responder, reserved_bytes)
            return request_id
        full = len(self.open_requests) >= self.settings.limits.max_open
        has_memory = self.has_request_memory
        if not reserved_bytes and has_memory and not full:
            reserved_bytes = bytes_to_reserve(len(request.value or b""))
            if not self.memory_budget.try_reserve(reserved_bytes):
                has_memory = False
                reserved_bytes = 0
        if full or not has_memory:
            self._counters.add("requests_shed_for_count" if full else "requests_shed_for_memory")
            if is_guarded:
                self.executed_ids.end(request_id, may_have_been_executed=False)
            self._shed(responder, reserved_bytes)
            return request_id
        if arrived_after is None:
            arrived_after = self._clock.earliest_arrival()
        self._open(request_id, request, responder, reserved_bytes, arrived_after)
        return request_id

    def _shed(self, responder: Responder, reserved_bytes: int) -> None:
        """Reject a request to protect the node's memory. It was never executed, so a retry is safe."""
        self._counters.add("requests_shed")
        self.memory_budget.release(reserved_bytes)
        responder.reject(0.0)

    def _open(
        self,
        request_id: str,
        request: Request,
        responder: Responder,
        reserved_bytes: int,
        arrived_after: float,
    ) -> None:
        entry = OpenRequest(request_id, request, responder, reserved_bytes)
        entry.is_guarded = self.settings.classes[request.class_index].effect is not api.Effect.SAFE
        self._deadlines.start(entry, arrived_after)
        self.open_requests.add(entry)
        if self.on_new_request is not None:
            self.on_new_request(request.tenant)
        self.policy_driver.notify(
            api.RequestReceived(
                id=request_id,
                deadline=to_ns(entry.deadline),
                class_index=request.class_index,
                key=request.key.decode("ascii"),
                write=request.write,
                tenant=request.tenant,
                retry=request.retry,
                work_ns=None if request.work_us is None else round(request.work_us * 1000),
                size=request.size,
            )
        )

    def _request_removed(self, request: OpenRequest) -> None:
        if request.is_guarded:
            self.executed_ids.end(request.id, request.may_have_been_executed)

    def client_disconnected(self, request_id: str) -> None:
        """Record that the client left: it gets no response, but attempts in flight still report their end."""
        entry = self.open_requests.get_unanswered(request_id)
        if entry is not None:
            self._counters.add("clients_disconnected")
            self.open_requests.mark_responded(entry)
            self.policy_driver.notify(api.ClientDisconnected(request_id))

    def _fail_overdue(self, request_id: str) -> None:
        """Fail a request in time if the policy raised an error or never responded to it."""
        entry = self.open_requests.take_unanswered(request_id)
        if entry is not None:
            self._counters.add("responses_overdue")
            self._log.event("response_overdue", id=request_id, attempts=len(entry.attempts))
            entry.responder.fail()
            self.policy_driver.notify(api.ClientDisconnected(request_id))

    # Attempts

    def start_stream(self, attempt: UpstreamAttempt, value: StreamedValue) -> StreamedResponse | None:
        """Start the response to a request whose attempt is served with a long value.

        For the policy the attempt ends here, because the request has its response: while the chunks are
        written, for as long as the client reads, the server has done its part and nothing is left to decide.

        Returns:
            Where to write the value; None if the client no longer waits for it.
        """
        if attempt.ended:
            return None
        entry = self.open_requests.take_unanswered(attempt.id)
        if entry is None:
            return None
        self._counters.add("responses_streamed")
        streamed = entry.responder.start_stream(value.length)
        self.attempt_ended(attempt, value.result)
        return streamed

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Record the end of an attempt. Only the first call for an attempt has an effect."""
        if attempt.ended:
            return
        attempt.ended = True
        if self.on_attempts_changed is not None:
            self.on_attempts_changed(attempt, -1)
        self._counters.add(f"attempts_{result.outcome.value}")
        if result.malformed:
            self._counters.add("attempts_malformed")
        entry = self.open_requests.get(attempt.id)
        if entry is not None:
            entry.end_attempt(result.outcome)
            if result.response is not None and not entry.responded:
                self._counters.add("responses_served")
                self.open_requests.mark_responded(entry)
                entry.responder.respond(result.response)
        final = entry is None or entry.responded
        self.policy_driver.notify(attempt_ended_event(attempt, result, self._clock.now(), final))
        self.open_requests.remove_if_finished(attempt.id)

    # The policy's actions

    def _carry_out(self, action: api.Action) -> None:
        assert self._upstream is not None
        assert self._discovery is not None
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer(at, token):
                self.policy_driver.set_timer(at, token)
            case api.Cancel(request_id, number):
                self._cancel(request_id, number)
            case api.Reject(request_id, retry_after_ns):
                self._reject(request_id, retry_after_ns)
            case api.Fail(request_id):
                self._fail(request_id)
            case api.Watch(on):
                self._discovery.watch(on)
            case api.FetchEndpoints():
                self._discovery.fetch()
            case api.CheckHealth(server):
                self._check_health(server)
            case api.CloseIdleConnections(server):
                self._upstream.close_idle_connections(server)
            case api.Log(text):
                self._log.event("policy_log", text=text)
            case _:
                self._log.event("unknown_action", action=type(action).__name__)

    def _send(self, send: api.Send) -> None:
        assert self._upstream is not None
        now = self._clock.now()
        entry = self.open_requests.get(send.id)
        if entry is None:
            self._log.event("send_for_unknown_request", server=send.server)
            return
        attempt = new_attempt(send, entry, now)
        entry.add_attempt(attempt)
        if self.on_attempts_changed is not None:
            self.on_attempts_changed(attempt, +1)
        unsent = unsent_outcome(attempt, entry, self.settings.limits.max_attempts)
        if unsent is not None:
            self.attempt_ended(attempt, AttemptResult(unsent))
        else:
            self._counters.add("attempts_sent")
            self._upstream.start(attempt)

    def _cancel(self, request_id: str, number: int) -> None:
        entry = self.open_requests.get(request_id)
        if entry is None or not 0 <= number < len(entry.attempts):
            return
        attempt = entry.attempts[number]
        if not attempt.ended and attempt.abort is not None:
            attempt.abort()
            self.attempt_ended(attempt, AttemptResult(api.Outcome.CANCELLED))

    def _reject(self, request_id: str, retry_after_ns: int) -> None:
        entry = self.open_requests.take_unanswered(request_id)
        if entry is not None:
            limits = self.settings.limits
            retry_after = min(retry_after_ns, limits.max_retry_after_ns) if limits.retry_after else 0
            self._counters.add("responses_rejected")
            entry.responder.reject(to_ms(retry_after))

    def _fail(self, request_id: str) -> None:
        entry = self.open_requests.take_unanswered(request_id)
        if entry is not None:
            self._counters.add("responses_failed")
            entry.responder.fail()

    def _check_health(self, server: str) -> None:
        assert self._upstream is not None
        sent_at = self._clock.now()

        def done(result: AttemptResult) -> None:
            latency_ns = to_ns(self._clock.now() - sent_at)
            self.notify(api.HealthCheckEnded(server, result.outcome, latency_ns, result.load))

        self._counters.add("health_checks")
        self._upstream.check_health(server, done)

    # Other events, and shutdown

    def notify(self, event: api.EndpointUpdate | api.AllocationUpdate | api.HealthCheckEnded) -> None:
        """Pass an event that concerns no request to the policy."""
        self.policy_driver.notify(event)

    def respond_all_by(self, instant: float) -> None:
        """Limit the deadlines of all open and all future requests.

        After SIGTERM the process may end before some clients' timeouts. Those requests, and the requests that
        are queued after them on their connections, must get their responses before that.

        Args:
            instant: The latest deadline, in milliseconds of the node's clock.
        """
        self._deadlines.respond_all_by(instant)

    def close(self) -> None:
        """Stop notifying the policy and drop open requests without a response.

        The event loop may outlive the node, and must not run timers or tasks of a closed node.
        """
        self.policy_driver.close()
        self.open_requests.close()
