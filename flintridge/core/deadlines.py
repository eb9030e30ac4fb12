"""Deadlines of responses, and the timers that fail a request to which nobody responds in time."""

import math
from collections.abc import Callable

from flintridge import api
from flintridge.core.open_requests import OpenRequest, OpenRequests
from flintridge.runtime.clock import Clock, to_ms

# A client's time counts from its sending, and the response has a way to go: responses are due this much
# early.
RESPONSE_MARGIN_MS = 10.0
# A client's time is at least so many margins long: where it is short, so is the margin.
MIN_MARGINS_PER_TIMEOUT = 10


class ResponseDeadlines:
    """The deadlines of a node's requests.

    Attributes:
        respond_by: Every request is responded to by this instant, however long its client waits.
    """

    def __init__(
        self,
        clock: Clock,
        classes: tuple[api.RequestClass, ...],
        open_requests: OpenRequests,
        fail_overdue: Callable[[str], None],
    ) -> None:
        """Begin with no limit but the clients' own.

        Args:
            clock: Of the node.
            classes: By their position in the settings; each has the longest time of its requests.
            open_requests: Those that have timers.
            fail_overdue: Called with the id of a request that has no response some milliseconds after its
                deadline.
        """
        self.respond_by = math.inf
        self._clock = clock
        self._classes = classes
        self._open_requests = open_requests
        self._fail_overdue = fail_overdue

    def start(self, request: OpenRequest, arrived_after: float) -> None:
        """Set the deadline of a request, and fail it half-way from there to its client's.

        Args:
            request: One that is new.
            arrived_after: The instant from which its client's time is counted.
        """
        timeout_ms = request.request.timeout_ms
        client_timeout_ms = to_ms(self._classes[request.request.class_index].deadline_ns)
        if timeout_ms is not None:
            client_timeout_ms = min(client_timeout_ms, timeout_ms)
        margin_ms = min(RESPONSE_MARGIN_MS, client_timeout_ms / MIN_MARGINS_PER_TIMEOUT)
        request.deadline = min(arrived_after + client_timeout_ms - margin_ms, self.respond_by)
        self._start_timer(request, request.deadline + margin_ms / 2)

    def respond_all_by(self, instant: float) -> None:
        """Have whatever is open, and whatever will be taken in, responded to by an instant.

        Args:
            instant: Milliseconds of the node's clock.
        """
        self.respond_by = instant
        for request in self._open_requests:
            if not request.responded and request.deadline > instant:
                request.deadline = instant
                request.cancel_timer()
                self._start_timer(request, instant)

    def _start_timer(self, request: OpenRequest, overdue_at: float) -> None:
        request.deadline_timer = self._clock.call_at(overdue_at, self._deadline_passed, request.id)

    def _deadline_passed(self, request_id: str) -> None:
        """Let what is due at the same instant go first, then fail the request.

        Guards requests that are about to be responded to against a loop that was held up: the end of an
        attempt at the deadline falls due with this timer, and the attempt's task takes a step more.
        """
        request = self._open_requests.get_unanswered(request_id)
        if request is not None:
            now = self._clock.now()
            request.deadline_timer = self._clock.call_at(now, self._fail_overdue, request_id)
