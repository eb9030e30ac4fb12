"""Queue of calls to discovery: they are served one at a time, and watches wait for a newer revision."""

import heapq
from collections import deque
from dataclasses import dataclass

from flintridge.lab.world.endpoint_list import EndpointChange, EndpointList

MAX_WAIT_MS = 60_000.0
OK = 200
UNAVAILABLE = 503


@dataclass(slots=True)
class Call:
    """A node's call for the endpoint list.

    Attributes:
        key: Identifies the call; chosen by the caller of the queue.
        node: Name of the calling node.
        after: The revision that the node has; 0 asks for the complete list.
        watches: Whether the call may wait for a newer revision.
        wait_until: Until when it may wait (ms of the run).
        queued_at: When it last entered the queue (ms of the run).
        served: Whether it has been served once; after that only endpoints in its response take time.
        closed: Whether the caller left or discovery went down before the response.
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
    """The response to write to a call.

    Attributes:
        call: The call.
        status: HTTP status code.
        revision: Revision of the list.
        complete: Whether `changes` are the complete list.
        changes: All endpoints of the list, or only those that changed.
        malformed: Whether to write a body that no node can parse.
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
        response: The immediate response of a discovery that is down and responds; None otherwise.
    """

    call: Call
    response: CallResponse | None


@dataclass(slots=True, frozen=True)
class ClosedCalls:
    """The calls that end because discovery goes down.

    Attributes:
        calls: The calls that were open.
        responses: Responses to them; empty in a mode that does not respond.
    """

    calls: list[Call]
    responses: list[CallResponse]


@dataclass(slots=True, frozen=True)
class _Service:
    """The call that is being served."""

    ends_at: float
    call: Call
    response: CallResponse | None


class CallQueue:
    """Calls in the order of their arrival.

    The driver calls `advance` at the time that `due` returns, and after each change.

    Attributes:
        slow: Factor on the time to serve a call; applies to calls whose service starts from now on.
        down: How discovery is down: refuses, errors, silent or garbage; empty while it is up.
    """

    def __init__(
        self, endpoints: EndpointList, call_ms: float, endpoint_ms: float, timeout_ms: float
    ) -> None:
        """Start with no calls.

        Args:
            endpoints: The endpoint list.
            call_ms: Time to serve a call without endpoints in its response (ms).
            endpoint_ms: Additional time for each endpoint in the response (ms).
            timeout_ms: Time in the queue after which a call fails (ms).
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
        self._watch_deadlines: list[tuple[float, int]] = []  # heap: deadline, key; some may have ended
        self._service: _Service | None = None
        self._seen_revision = endpoints.revision

    def arrive(self, now: float, key: int, node: str, after: int, wait_ms: float) -> Arrival:
        """Queue a call. While discovery is down it is not queued, and modes that respond do so immediately.

        Args:
            now: Time of the run in milliseconds.
            key: Identifies the call; unique among all calls.
            node: Name of the calling node.
            after: The revision that the node has; 0 asks for the complete list.
            wait_ms: How long the call may wait for a newer revision (ms).
        """
        wait_ms = min(wait_ms, MAX_WAIT_MS) if after > 0 else 0.0
        call = Call(key, node, after, wait_ms > 0, now + wait_ms, now)
        if self.down:
            return Arrival(call, self._failure(call))
        self._open[key] = call
        self._queue.append(call)
        return Arrival(call, None)

    def remove(self, key: int) -> Call | None:
        """Remove a call whose connection has closed; return the call if it was still open."""
        call = self._open.pop(key, None)
        if call is not None:
            call.closed = True
            self._watches.pop(key, None)
        return call

    def set_down(self, mode: str) -> ClosedCalls:
        """Go down in this mode, or come up if `mode` is empty."""
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
        self._watch_deadlines.clear()
        self._service = None
        failures = [self._failure(call) for call in calls]
        return ClosedCalls(calls, [failure for failure in failures if failure is not None])

    def due(self) -> float | None:
        """Return when `advance` next has something to do (ms of the run), if nothing changes until then."""
        times: list[float] = []
        if self._service is not None:
            times.append(self._service.ends_at)
        elif self._queue:
            return self._queue[0].queued_at
        if self._queue:
            times.append(self._queue[0].queued_at + self._timeout_ms)
        while self._watch_deadlines and self._watch_deadlines[0][1] not in self._watches:
            heapq.heappop(self._watch_deadlines)
        if self._watch_deadlines:
            times.append(self._watch_deadlines[0][0])
        return min(times) if times else None

    def advance(self, now: float) -> list[CallResponse]:
        """Return all responses that are ready by `now` (ms), in the order in which they became ready."""
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
        """Put watches back into the queue if there is a newer revision or their wait has ended."""
        woken: list[int] = []
        if self._endpoints.revision != self._seen_revision:
            self._seen_revision = self._endpoints.revision
            woken = list(self._watches)
        else:
            while self._watch_deadlines and self._watch_deadlines[0][0] <= now:
                _, key = heapq.heappop(self._watch_deadlines)
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
            heapq.heappush(self._watch_deadlines, (call.wait_until, call.key))
        elif response.changes:
            # Endpoints were listed while the call was served: sending them takes another turn.
            call.queued_at = now
            self._queue.append(call)
        else:
            del self._open[call.key]
            responses.append(response)

    def _response(self, now: float, call: Call) -> CallResponse | None:
        """Return the response to a call; None if there is no newer revision and the call may still wait."""
        changes = self._endpoints.changes_since(call.after)
        revision = self._endpoints.revision
        if changes is None:
            return CallResponse(call, OK, revision, complete=True, changes=tuple(self._endpoints.snapshot()))
        if not changes and call.wait_until > now:
            return None
        return CallResponse(call, OK, revision, changes=tuple(changes))

    def _failure(self, call: Call) -> CallResponse | None:
        """Return the response to a call while discovery is down; None in a mode that does not respond."""
        if self.down == "errors":
            return CallResponse(call, UNAVAILABLE)
        if self.down == "garbage":
            return CallResponse(call, OK, malformed=True)
        return None
