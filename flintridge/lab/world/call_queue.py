"""Calls to discovery: served one after another, and watches that wait until there is something newer."""

import heapq
from collections import deque
from dataclasses import dataclass

from flintridge.lab.world.endpoint_list import EndpointChange, EndpointList

MAX_WAIT_MS = 60_000.0
OK = 200
UNAVAILABLE = 503


@dataclass(slots=True)
class Call:
    """A node's call.

    Attributes:
        key: The caller's own name for it.
        node: The node that calls.
        after: The revision that it has; 0 asks for the complete list.
        watches: Whether it may wait for something newer.
        wait_until: How long it may (ms of the run).
        queued_at: When it last began to wait for its turn (ms of the run).
        served: Whether its turn was taken; only its response is left to write.
        closed: Whether nobody waits for the response any more.
    """

    key: int
    node: str
    after: int
    watches: bool
    wait_until: float
    queued_at: float
    served: bool = False
    closed: bool = False


@dataclass(slots=True, frozen=True)
class CallResponse:
    """What to write to a call.

    Attributes:
        call: The call.
        status: Of HTTP.
        revision: Of the list.
        complete: Whether `changes` are the complete list.
        changes: Endpoints of the list, or those that changed.
        malformed: Whether to write what no caller can read.
    """

    call: Call
    status: int
    revision: int = 0
    complete: bool = False
    changes: tuple[EndpointChange, ...] = ()
    malformed: bool = False


@dataclass(slots=True, frozen=True)
class Arrival:
    """A call that arrived.

    Attributes:
        call: The call.
        response: What is written to it at once, where discovery is down and says so.
    """

    call: Call
    response: CallResponse | None


@dataclass(slots=True, frozen=True)
class ClosedCalls:
    """What going down closes.

    Attributes:
        calls: The calls that were open.
        responses: What is written to those that get to know of it.
    """

    calls: list[Call]
    responses: list[CallResponse]


@dataclass(slots=True, frozen=True)
class _Service:
    """The call whose turn it is."""

    ends_at: float
    call: Call
    response: CallResponse | None


class CallQueue:
    """Calls in their order. Whoever drives it calls `advance` when `due` has come, and after each change.

    Attributes:
        slow: Times as long that a call takes which is started from now on.
        down: How discovery is down: refuses, errors, silent or garbage; empty for up.
    """

    def __init__(
        self, endpoints: EndpointList, call_ms: float, endpoint_ms: float, timeout_ms: float
    ) -> None:
        """Start with no calls.

        Args:
            endpoints: The list.
            call_ms: What a call takes.
            endpoint_ms: What each endpoint in its response takes on top.
            timeout_ms: After which a call that waits for its turn fails.
        """
        self.slow = 1.0
        self.down = ""
        self._endpoints = endpoints
        self._call_ms = call_ms
        self._endpoint_ms = endpoint_ms
        self._timeout_ms = timeout_ms
        self._open: dict[int, Call] = {}
        self._queue: deque[Call] = deque()
        self._watches: dict[int, Call] = {}
        self._watch_ends: list[tuple[float, int]] = []  # a heap: end, key; some are answered by now
        self._service: _Service | None = None
        self._seen_revision = endpoints.revision

    def arrive(self, now: float, key: int, node: str, after: int, wait_ms: float) -> Arrival:
        """Take in a call, or answer it at once where discovery is down and says so.

        Args:
            now: Time of the run in milliseconds.
            key: The caller's own name for it, a new one for each.
            node: The node that calls.
            after: The revision that it has; 0 asks for the complete list.
            wait_ms: How long it may wait for something newer.
        """
        wait_ms = min(wait_ms, MAX_WAIT_MS) if after > 0 else 0.0
        call = Call(key, node, after, wait_ms > 0, now + wait_ms, now)
        if self.down:
            return Arrival(call, self._failure(call))
        self._open[key] = call
        self._queue.append(call)
        return Arrival(call, None)

    def leave(self, key: int) -> Call | None:
        """Take out a call whose caller is gone; the call, if it was still open."""
        call = self._open.pop(key, None)
        if call is not None:
            call.closed = True
            self._watches.pop(key, None)
        return call

    def set_down(self, mode: str) -> ClosedCalls:
        """Go down, or come up with ""."""
        if mode == self.down:
            return ClosedCalls([], [])
        self.down = mode
        if not mode:
            return ClosedCalls([], [])
        calls = list(self._open.values())
        for call in calls:
            call.closed = True
        self._open.clear()
        self._queue.clear()
        self._watches.clear()
        self._watch_ends.clear()
        self._service = None
        failures = [self._failure(call) for call in calls]
        return ClosedCalls(calls, [failure for failure in failures if failure is not None])

    def due(self) -> float | None:
        """When something happens next (ms of the run), if nothing changes."""
        times: list[float] = []
        if self._service is not None:
            times.append(self._service.ends_at)
        elif self._queue:
            return self._queue[0].queued_at
        if self._queue:
            times.append(self._queue[0].queued_at + self._timeout_ms)
        while self._watch_ends and self._watch_ends[0][1] not in self._watches:
            heapq.heappop(self._watch_ends)
        if self._watch_ends:
            times.append(self._watch_ends[0][0])
        return min(times) if times else None

    def advance(self, now: float) -> list[CallResponse]:
        """All responses that are ready by `now` (ms), in their order."""
        if self.down:
            return []
        self._wake_watches(now)
        responses: list[CallResponse] = []
        while True:
            self._time_out(now, responses)
            if self._service is not None:
                if self._service.ends_at > now:
                    return responses
                self._finish(now, self._service, responses)
            elif self._queue:
                self._start_next(now)
            else:
                return responses

    # The steps of a call

    def _wake_watches(self, now: float) -> None:
        """Put watches back into the queue once there is something newer, or their wait is over."""
        woken: list[int] = []
        if self._endpoints.revision != self._seen_revision:
            self._seen_revision = self._endpoints.revision
            woken = list(self._watches)
        else:
            while self._watch_ends and self._watch_ends[0][0] <= now:
                _, key = heapq.heappop(self._watch_ends)
                if key in self._watches and self._watches[key].wait_until <= now:
                    woken.append(key)
        for key in woken:
            call = self._watches.pop(key)
            call.queued_at = now
            self._queue.append(call)

    def _time_out(self, now: float, responses: list[CallResponse]) -> None:
        while self._queue and (self._queue[0].closed or self._queue[0].queued_at + self._timeout_ms <= now):
            call = self._queue.popleft()
            if not call.closed:
                del self._open[call.key]
                responses.append(CallResponse(call, UNAVAILABLE))

    def _start_next(self, now: float) -> None:
        call = self._queue.popleft()
        response = self._response(now, call)
        cost_ms = 0.0 if call.served else self._call_ms
        if response is not None:
            cost_ms += self._endpoint_ms * len(response.changes)
        call.served = True
        self._service = _Service(now + cost_ms * self.slow, call, response)

    def _finish(self, now: float, service: _Service, responses: list[CallResponse]) -> None:
        self._service = None
        call = service.call
        if call.closed:
            return
        if service.response is not None:
            del self._open[call.key]
            responses.append(service.response)
            return
        response = self._response(now, call)
        if response is None:
            self._watches[call.key] = call
            heapq.heappush(self._watch_ends, (call.wait_until, call.key))
        elif response.changes:
            # Something became listed while the call was served: its endpoints have still to be paid for.
            call.queued_at = now
            self._queue.append(call)
        else:
            del self._open[call.key]
            responses.append(response)

    def _response(self, now: float, call: Call) -> CallResponse | None:
        """None: there is nothing newer, and it may still wait."""
        changes = self._endpoints.changes_since(call.after)
        revision = self._endpoints.revision
        if changes is None:
            return CallResponse(call, OK, revision, complete=True, changes=tuple(self._endpoints.snapshot()))
        if not changes and call.wait_until > now:
            return None
        return CallResponse(call, OK, revision, changes=tuple(changes))

    def _failure(self, call: Call) -> CallResponse | None:
        """What a call is told while discovery is down; None for nothing."""
        if self.down == "errors":
            return CallResponse(call, UNAVAILABLE)
        if self.down == "garbage":
            return CallResponse(call, OK, malformed=True)
        return None
