"""The life of a request: from a protocol frontend to its one final response, with one end for each attempt.

Requests become the policy's events, and its actions are carried out. Nothing is decided here: no server is
picked and nothing is sent again. No protocol is known here either.
"""

import math
from collections import deque
from collections.abc import Callable

from flintridge import api
from flintridge.core.drivers import DiscoveryDriver, Policy, UpstreamDriver
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.open_request import OpenRequest
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.response import AttemptResult, Responder, StreamedResponse, StreamedValue
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import NS_PER_MS, Clock, to_ms, to_ns
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

# A client's time counts from its sending, and the response has a way to go: responses are due this much
# early.
RESPONSE_MARGIN_MS = 10.0
# A value up to this size exists three times for a while: as read, on its way to a server, in a write buffer.
SMALL_VALUE_BYTES = 64 * 1024
SMALL_VALUE_COPIES = 3


def bytes_to_reserve(length: int) -> int:
    """The bytes of memory to reserve for a value of `length` bytes that a client writes."""
    return length if length > SMALL_VALUE_BYTES else SMALL_VALUE_COPIES * length


class IdInUseError(FlintridgeError, ValueError):
    """A request with this id is still open here."""


class RequestLifecycle:
    """All requests that are open at a node.

    Attributes:
        memory_budget: For the values of writes.
        answer_by: Whatever is taken in is answered by this instant, however long its client waits.
        on_attempts_changed: Called with +1 where an attempt begins, with -1 where it ends.
        on_new_request: Called with the tenant of each request that is no retry.
    """

    def __init__(
        self,
        policy: Policy,
        settings: api.Settings,
        clock: Clock,
        memory_bytes: int,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self.memory_budget = MemoryBudget(memory_bytes, clock)
        self.answer_by = math.inf
        self.on_attempts_changed: Callable[[UpstreamAttempt, int], None] | None = None
        self.on_new_request: Callable[[int], None] | None = None
        self._policy = policy
        self._settings = settings
        self._clock = clock
        self._log = log
        self._counters = counters
        self._upstream: UpstreamDriver | None = None
        self._discovery: DiscoveryDriver | None = None
        self._open: dict[str, OpenRequest] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._closed = False
        self._policy_now = 0  # the policy's clock never goes back, nor behind a timer that is due

    def attach(self, upstream: UpstreamDriver, discovery: DiscoveryDriver) -> None:
        """Set the drivers; before the first event."""
        self._upstream = upstream
        self._discovery = discovery

    # Events

    def submit(self, request: Request, responder: Responder, reserved_bytes: int = 0) -> str:
        """Take a request in.

        Args:
            request: As it was read.
            responder: The client's end of it.
            reserved_bytes: Of `memory_budget`, for its value already; they pass to the request.

        Returns:
            Its id, for `client_disconnected`.

        Raises:
            IdInUseError: A request with this id is open; `reserved_bytes` stay the caller's.
        """
        request_id = request.id.decode("ascii")
        if request_id in self._open:
            raise IdInUseError(request_id)
        self._counters.add("requests")
        full = len(self._open) >= self._settings.limits.max_open
        if not reserved_bytes and not full:
            reserved_bytes = bytes_to_reserve(len(request.value or b""))
            if not self.memory_budget.try_reserve(reserved_bytes):
                full = True
                reserved_bytes = 0
        if full:
            # Guards the node's memory. It was never executed, so a repeat is harmless.
            self._counters.add("requests_shed")
            self.memory_budget.release(reserved_bytes)
            responder.reject(0.0)
            return request_id
        self._open_request(request_id, request, responder, reserved_bytes)
        return request_id

    def _open_request(
        self, request_id: str, request: Request, responder: Responder, reserved_bytes: int
    ) -> None:
        request_class = self._settings.classes[request.class_index]
        client_timeout = to_ms(request_class.deadline_ns)
        if request.timeout_ms is not None:
            client_timeout = min(client_timeout, request.timeout_ms)
        margin = min(RESPONSE_MARGIN_MS, client_timeout / 10)
        deadline = min(self._clock.earliest_arrival() + client_timeout - margin, self.answer_by)
        timer = self._clock.call_at(deadline + margin / 2, self._deadline_passed, request_id)
        self._open[request_id] = OpenRequest(request, responder, deadline, timer, reserved_bytes)
        if self.on_new_request is not None and not request.retry:
            self.on_new_request(request.tenant)
        self._notify_policy(
            api.RequestReceived(
                id=request_id,
                deadline=to_ns(deadline),
                class_index=request.class_index,
                key=request.key.decode("ascii"),
                write=request.write,
                tenant=request.tenant,
                retry=request.retry,
                work_ns=None if request.work_us is None else round(request.work_us * 1000),
                size=request.size,
            )
        )

    def client_disconnected(self, request_id: str) -> None:
        """The client went away: no response is owed any more, but attempts that are in flight still end."""
        entry = self._open.get(request_id)
        if entry is not None and not entry.answered:
            self._counters.add("clients_disconnected")
            self._mark_answered(request_id, entry)
            self._notify_policy(api.ClientDisconnected(request_id))

    def close(self) -> None:
        """The policy is notified of nothing any more, whatever falls due; open requests end unanswered.

        Guards an event loop that goes on without this node against calls and tasks of a node that is closed.
        """
        self._closed = True
        for entry in self._open.values():
            entry.deadline_timer.cancel()
            self.memory_budget.release(entry.reserved_bytes)
        self._open.clear()

    def notify(self, event: api.EndpointUpdate | api.AllocationUpdate) -> None:
        """Pass an event on to the policy that is about no request."""
        self._notify_policy(event)

    def start_stream(self, attempt: UpstreamAttempt, value: StreamedValue) -> StreamedResponse | None:
        """An attempt is served with a long value: where to write it, or None where nobody waits for it.

        For the policy the attempt ends here, as its request has its response: while chunks go out, for as
        long as the client reads, the server has done its part, and nothing can be decided any more.
        """
        entry = self._open.get(attempt.id)
        if attempt.ended or entry is None or entry.answered:
            return None
        self._counters.add("responses_streamed")
        self._mark_answered(attempt.id, entry)
        streamed = entry.responder.start_stream(value.length)
        self.attempt_ended(attempt, value.result)
        return streamed

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Each attempt ends here once, however it ends; what is said of it later is ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        if self.on_attempts_changed is not None:
            self.on_attempts_changed(attempt, -1)
        self._counters.add(f"attempts_{result.outcome.value}")
        if result.malformed:
            self._counters.add("attempts_malformed")
        entry = self._open.get(attempt.id)
        if entry is not None:
            entry.in_flight -= 1
            entry.withdrawn += result.outcome is api.Outcome.WITHDRAWN
            if result.response is not None and not entry.answered:
                self._counters.add("responses_served")
                self._mark_answered(attempt.id, entry)
                entry.responder.respond(result.response)
        self._notify_policy(
            api.AttemptEnded(
                id=attempt.id,
                attempt=attempt.number,
                server=attempt.server,
                outcome=result.outcome,
                latency_ns=max(0, to_ns(self._clock.now() - attempt.sent_at)),
                final=entry is None or entry.answered,
                cache_status=result.cache_status,
                load=result.load,
                malformed=result.malformed,
            )
        )
        self._forget_if_done(attempt.id)

    @property
    def idle(self) -> bool:
        """Whether every request has its final response."""
        return self.unanswered == 0

    @property
    def unanswered(self) -> int:
        """How many requests await their final response."""
        return sum(not entry.answered for entry in self._open.values())

    def _notify_policy(self, event: api.Event) -> None:
        """The policy is not re-entrant: what happens while it decides is queued."""
        if self._closed:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        self._policy_now = max(self._policy_now, to_ns(self._clock.now()))
        try:
            actions = self._policy.handle(self._policy_now, event)
        except Exception as error:  # the deadline timer of each request still answers it in time
            self._counters.add("policy_errors")
            self._log.error("policy_error", error, on=type(event).__name__)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as error:
                self._counters.add("action_errors")
                self._log.error("action_error", error, action=type(action).__name__)

    # Actions

    def _carry_out(self, action: api.Action) -> None:
        assert self._upstream is not None
        assert self._discovery is not None
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer(at, token):
                self._clock.call_at(to_ms(at), self._timer_fired, at, token)
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
        entry = self._open.get(send.id)
        if entry is None:
            self._log.event("send_for_unknown_request", server=send.server)
            return
        deadline = entry.deadline
        if send.timeout_ns:
            deadline = min(deadline, now + to_ms(send.timeout_ns))
        attempt = UpstreamAttempt(
            send.id,
            len(entry.attempts),
            send.server,
            entry.request,
            now,
            deadline,
            begin_by=send.begin_by / NS_PER_MS,
            written_by=send.written_by / NS_PER_MS,
            check_client=entry.responder.check_client,
        )
        entry.attempts.append(attempt)
        entry.in_flight += 1
        if self.on_attempts_changed is not None:
            self.on_attempts_changed(attempt, +1)
        too_many = attempt.number - entry.withdrawn >= self._settings.limits.max_attempts
        if entry.answered or too_many or now >= entry.deadline:
            self.attempt_ended(attempt, AttemptResult(api.Outcome.WITHDRAWN))
        elif deadline <= now:
            self.attempt_ended(attempt, AttemptResult(api.Outcome.TIMEOUT))
        else:
            self._counters.add("attempts_sent")
            self._upstream.start(attempt)

    def _cancel(self, request_id: str, number: int) -> None:
        entry = self._open.get(request_id)
        if entry is None or not 0 <= number < len(entry.attempts):
            return
        attempt = entry.attempts[number]
        if not attempt.ended and attempt.abort is not None:
            attempt.abort()
            self.attempt_ended(attempt, AttemptResult(api.Outcome.CANCELLED))

    def _reject(self, request_id: str, retry_after_ns: int) -> None:
        entry = self._take_unanswered(request_id)
        if entry is not None:
            limits = self._settings.limits
            retry_after = min(retry_after_ns, limits.max_retry_after_ns) if limits.retry_after else 0
            self._counters.add("responses_rejected")
            entry.responder.reject(to_ms(retry_after))

    def _fail(self, request_id: str) -> None:
        entry = self._take_unanswered(request_id)
        if entry is not None:
            self._counters.add("responses_failed")
            entry.responder.fail()

    def _check_health(self, server: str) -> None:
        assert self._upstream is not None
        began = self._clock.now()

        def done(result: AttemptResult) -> None:
            latency = to_ns(self._clock.now() - began)
            self._notify_policy(api.HealthCheckEnded(server, result.outcome, latency, result.load))

        self._counters.add("health_checks")
        self._upstream.check_health(server, done)

    # Timers and the end of requests

    def _timer_fired(self, at: int, token: int) -> None:
        self._policy_now = max(self._policy_now, at)
        self._notify_policy(api.TimerFired(token))

    def _deadline_passed(self, request_id: str) -> None:
        """Let what is due at the same instant go first, then fail the request.

        Guards requests that are about to be answered against a loop that was held up: the end of an attempt
        at the deadline falls due with this timer, and the attempt's task takes a step more.
        """
        entry = self._open.get(request_id)
        if entry is not None and not entry.answered:
            entry.deadline_timer = self._clock.call_at(self._clock.now(), self._fail_overdue, request_id)

    def _fail_overdue(self, request_id: str) -> None:
        """Guards the client against a policy that broke, or forgot: its request still fails in time."""
        entry = self._take_unanswered(request_id)
        if entry is not None:
            self._counters.add("responses_overdue")
            self._log.event("response_overdue", id=request_id, attempts=len(entry.attempts))
            entry.responder.fail()
            self._notify_policy(api.ClientDisconnected(request_id))

    def _take_unanswered(self, request_id: str) -> OpenRequest | None:
        """A request that the caller answers now, for good; None where it has been answered."""
        entry = self._open.get(request_id)
        if entry is None or entry.answered:
            return None
        self._mark_answered(request_id, entry)
        return entry

    def _mark_answered(self, request_id: str, entry: OpenRequest) -> None:
        entry.answered = True
        entry.deadline_timer.cancel()
        for attempt in entry.attempts:
            attempt.request_ended = True
        self._forget_if_done(request_id)

    def _forget_if_done(self, request_id: str) -> None:
        entry = self._open.get(request_id)
        if entry is not None and entry.answered and entry.in_flight == 0:
            del self._open[request_id]
            self.memory_budget.release(entry.reserved_bytes)
