"""The balancer: handles the events of a node and calls the mechanisms that decide on each.

Each mechanism owns its state and returns its decisions; only the balancer turns them into actions and timers.
"""

import itertools
import random
from collections.abc import Callable
from functools import partial

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.endpoint_state import RING_BATCH_PAUSE_NS
from flintridge.policy.mechanisms import Mechanisms
from flintridge.policy.open_request import Attempt, OpenRequest
from flintridge.policy.retry import NextStep
from flintridge.policy.retry_after import retry_after_ns


class Balancer(Mechanisms):
    """The decision policy of one node, which turns events into actions.

    Callers use only `handle`.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, random.Random(seed))
        self.now = 0
        self.actions: list[api.Action] = []
        self.timers: dict[int, Callable[[], None]] = {}
        self.sequence = itertools.count()  # numbers timers and queued requests in order of creation
        self.allocation = api.AllocationUpdate()
        self.open_requests: dict[str, OpenRequest] = {}
        self.is_ring_update_scheduled = False  # whether a timer for the next batch of a long list is pending
        self._handlers: dict[type, Callable[..., None]] = {  # health checks and peer messages are ignored
            api.EndpointUpdate: self._on_endpoints,
            api.RequestReceived: self._on_request,
            api.AttemptEnded: self._on_attempt_ended,
            api.StreamStarted: self._on_finished,
            api.ClientDisconnected: self._on_finished,
            api.TimerFired: self._on_timer,
            api.AllocationUpdate: self._on_allocation,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event.

        Args:
            now: The current instant in nanoseconds, never before that of an earlier call.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """
        self.now = now
        self.actions = []
        if now >= self.allocation.valid_until and self.allocation.fallback:
            self._on_allocation(self.allocation.fallback)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    # Endpoint lists and allocations
    def _on_endpoints(self, event: api.EndpointUpdate) -> None:
        if event.kind is api.UpdateKind.FAILED:
            next_at = self.now + self.watch_backoff.record_failure()
            self._set_timer(next_at, lambda: self.actions.append(api.Watch()))
            return
        self.watch_backoff.record_success()
        self.table.apply(event)
        self._update_ring()
        if event.kind is api.UpdateKind.CACHED and self.settings.discovery is api.DiscoveryMode.POLLED:
            self.actions.append(api.Watch())

    def _update_ring(self) -> None:
        """Apply updates of the endpoint list to the ring; a timer continues with the rest of a long list."""
        is_unfinished = self.table.update_ring()
        self.outliers.invalidate()
        self.queues.apply(self.allocation, len(self.ready) / self.settings.fleet_size)
        self.cache_limiter.raise_initial_limit(len(self.ready))
        if is_unfinished and not self.is_ring_update_scheduled:
            self.is_ring_update_scheduled = True
            self._set_timer(self.now + RING_BATCH_PAUSE_NS, self._continue_ring_update)

    def _continue_ring_update(self) -> None:
        self.is_ring_update_scheduled = False
        self._update_ring()

    def _on_allocation(self, event: api.AllocationUpdate) -> None:
        self.allocation = event
        self.quotas.apply(event, self.now)
        self.retries.budget.apply(event, self.now)
        self.slow_start.allocated = event.slow_start
        self.queues.apply(event, len(self.ready) / self.settings.fleet_size)

    # Admission of requests and sending of attempts
    def _on_request(self, event: api.RequestReceived) -> None:
        if event.id in self.open_requests:
            return
        request = self._open(event)
        self.open_requests[event.id] = request
        self.slow_start.record_request(request.work)
        request.over_quota = not self.quotas.try_take(event.tenant, self.now)
        if request.over_quota and not self.quotas.admits_over_quota():
            self._reject_or_fail(request)
        else:
            self._enqueue(request, self.queues.select(event.write))

    def _open(self, event: api.RequestReceived) -> OpenRequest:
        timeout_ns = max(0, event.deadline - self.now)
        self.time_budget.record(event.class_index, timeout_ns)
        return OpenRequest.received(
            event,
            self.settings.classes[event.class_index],
            self.time_budget.attempt_ns(timeout_ns, event.write),
            self.time_budget.usual_attempt_ns(event.class_index, event.write),
        )

    def _enqueue(self, request: OpenRequest, queue: AdmissionQueue) -> None:
        """Send a request if a permit and a server are free, otherwise queue it while it can be in time."""
        queue.push(request, next(self.sequence))
        self._admit(queue)
        for unserved in queue.shed(self.now):
            self._reject_or_fail(unserved)
        self._expire(queue)
        if not queue.holds(request):
            self._reject_follower_if_late(request.event.id)

    def _expire(self, queue: AdmissionQueue) -> None:
        """Reject the requests of a queue that can no longer be sent in time, now and at the next expiry."""
        for late in queue.expire(self.now):
            self._reject_or_fail(late)
        next_expiry = queue.next_expiry(self.now)
        if next_expiry is not None:
            self._set_timer(next_expiry, partial(self._expire, queue))

    def _reject_follower_if_late(self, request_id: str) -> None:
        """Reject a request that waits for another's fetch and can no longer be sent in time.

        Otherwise a timer repeats the check at the request's latest start.
        """
        request = self.open_requests.get(request_id)
        queue = None if request is None else self.queues.containing(request)
        if request is None or queue is None or request.done or queue.holds(request):
            return
        latest = queue.latest_start(request)
        if latest <= self.now:
            self._reject_or_fail(request)
        else:
            self._set_timer(latest, partial(self._reject_follower_if_late, request_id))

    def _admit_all(self) -> None:
        self._admit(self.queues.caches)
        self._admit(self.queues.origin)

    def _admit(self, queue: AdmissionQueue) -> None:
        """Send queued requests while there are permits and free servers."""
        try_send = self._send_to_cache if queue is self.queues.caches else self._send_to_origin
        wake_up_at = queue.admit(self.now, try_send, self._reject_or_fail)
        if wake_up_at is not None:
            self._set_timer(wake_up_at, self._admit_all)

    def _send_to_cache(self, request: OpenRequest) -> bool:
        server = self.selection.pick(request, self.now)
        if server is not None:
            self._send(request, server)
        return server is not None

    def _send_to_origin(self, request: OpenRequest) -> bool:
        """Send a request to the origin, or let it wait if a fetch of its key is already in flight."""
        if self.coalescing.follow(request):
            return True
        server = next((name for name in self.table.origins if name not in request.failed_servers), None)
        if server is None:
            self._reject_or_fail(request)
        else:
            self._send(request, server)
            self.coalescing.start(request)
        return True

    def _send(self, request: OpenRequest, name: str) -> None:
        request.queued_for = None
        now = self.now
        server = self.servers[name]
        if not self.retries.may_send(request, server.endpoint, now):
            self._reject_or_fail(request)
            return
        idle_ns = self.stale_connections.idle_ns(server, now)
        if idle_ns is not None and idle_ns > self.stale_connections.closed_after_ns:
            self.actions.append(api.CloseIdleConnections(name))
            idle_ns = None
        self.retries.record_send(request, now)
        request.attempts.append(Attempt(name, now, idle_ns))
        server.inflight += 1
        queue = self.queues.of_server(server)
        queue.limiter.acquire()
        if queue is self.queues.caches:
            self.slow_start.record_send(server.endpoint, server.warm_up, request.work, now)
        timeout_ns = self.attempt_timeout.timeout_ns(request, queue, now)
        begin_by = self.retries.begin_by(now)
        written_by = self.retries.repeat_by(request)
        self.actions.append(api.Send(request.event.id, name, timeout_ns, begin_by, written_by))

    # The end of an attempt
    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.open_requests.get(event.id)
        attempt = None if request is None else request.open_attempt(event.attempt)
        if request is None or attempt is None:
            return
        server = self.servers[attempt.server]
        server.inflight -= 1
        self.table.forget_unused(server)
        queue = self.queues.of_server(server)
        is_cache = queue is self.queues.caches
        queue.limiter.release(self.now, event.latency_ns)
        self.feedback.record(request, attempt, server, queue.limiter, event, is_cache, self.now)
        request.record_end(attempt, event.outcome, server.endpoint)
        if not is_cache:  # requests that waited for this fetch read the stored value, or fetch it themselves
            stored_by = request.missed_by if event.outcome is api.Outcome.OK else None
            for follower in self.coalescing.end(request, stored_by):
                self._enqueue(follower, self.queues.select(to_origin=stored_by is None))
        if event.final or request.done:
            self._finish(request)
        elif not request.is_in_flight:
            self._continue(request, attempt, event)
        self._admit(queue)

    def _continue(self, request: OpenRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Retry or end a request whose last attempt did not give it a final response."""
        step = self.retries.next_step(request, attempt, event, self.now, self.ready, self.table.origins)
        if step is NextStep.GIVE_UP:
            self._reject_or_fail(request)
        else:
            self._enqueue(request, self.queues.select(step is NextStep.SEND_TO_ORIGIN or request.event.write))

    # The end of a request, and timers
    def _reject_or_fail(self, request: OpenRequest) -> None:
        """Reject a request if the client may safely repeat it, otherwise fail it."""
        event = request.event
        if self.retries.may_be_rejected(request, self.now):
            queue = self.queues.select(event.write or request.missed_by is not None)
            wait_ns = retry_after_ns(request, self.quotas, queue, self.settings.limits, self.now)
            self.actions.append(api.Reject(event.id, wait_ns))
        else:
            self.actions.append(api.Fail(event.id))
        self._finish(request)

    def _finish(self, request: OpenRequest) -> None:
        request.done = True
        if request.attempts_made == 0 and not request.over_quota:
            self.quotas.give_back(request.event.tenant, self.now)
        queue = self.queues.containing(request)
        if queue is not None:
            queue.abandon(request)
        if not request.is_in_flight:
            self.open_requests.pop(request.event.id, None)

    def _on_finished(self, event: api.StreamStarted | api.ClientDisconnected) -> None:
        request = self.open_requests.get(event.id)
        if request is not None:
            self._finish(request)

    def _set_timer(self, at: int, callback: Callable[[], None]) -> None:
        token = next(self.sequence)
        self.timers[token] = callback
        self.actions.append(api.SetTimer(at, token))

    def _on_timer(self, event: api.TimerFired) -> None:
        callback = self.timers.pop(event.token, None)
        if callback is not None:
            callback()
