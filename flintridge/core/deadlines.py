"""Response deadlines, and the timers that fail requests that have no response in time."""

import math
from collections.abc import Callable

from flintridge import api
from flintridge.core.open_requests import OpenRequest, OpenRequests
from flintridge.core.request import Request
from flintridge.runtime.clock import Clock, to_ms

# Responses are due this much before the client's timeout: the client counts from when it sent the request,
# and the response takes time to reach it.
RESPONSE_MARGIN_MS = 10.0
# For short timeouts the margin is at most the timeout divided by this.
MIN_MARGINS_PER_TIMEOUT = 10


def client_timeout_ms(request: Request, classes: tuple[api.RequestClass, ...]) -> float:
    """Return how long the client of a request waits for its response, in milliseconds.

    Args:
        request: The request.
        classes: The request classes in the order of the settings; each has a maximum.
    """
    longest_ms = to_ms(classes[request.class_index].deadline_ns)
    return longest_ms if request.timeout_ms is None else min(longest_ms, request.timeout_ms)


class ResponseDeadlines:
    """The response deadlines of a node's requests. Instants are milliseconds of the node's clock.

    Attributes:
        respond_by: Latest deadline of any request, however long its client waits.
    """

    def __init__(
        self,
        clock: Clock,
        classes: tuple[api.RequestClass, ...],
        open_requests: OpenRequests,
        fail_overdue: Callable[[str], None],
    ) -> None:
        """Start without a limit other than the clients' timeouts.

        Args:
            clock: The node's clock.
            classes: The request classes in the order of the settings; each has a maximum deadline.
            open_requests: The requests that have deadline timers.
            fail_overdue: Called with the id of a request that has no response some milliseconds after its
                deadline.
        """
        self.respond_by = math.inf
        self._clock = clock
        self._classes = classes
        self._open_requests = open_requests
        self._fail_overdue = fail_overdue

    def start(self, request: OpenRequest, arrived_after: float) -> None:
        """Set a request's deadline, and a timer that fails it half-way between it and the client's timeout.

        Args:
            request: A new request.
            arrived_after: The instant from which the client's timeout is counted.
        """
        timeout_ms = client_timeout_ms(request.request, self._classes)
        margin_ms = min(RESPONSE_MARGIN_MS, timeout_ms / MIN_MARGINS_PER_TIMEOUT)
        request.deadline = min(arrived_after + timeout_ms - margin_ms, self.respond_by)
        self._start_timer(request, request.deadline + margin_ms / 2)

    def respond_all_by(self, instant: float) -> None:
        """Limit the deadlines of all open and all future requests.

        Args:
            instant: The latest deadline, in milliseconds of the node's clock.
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
        """Fail the request after everything else that is due at the same instant.

        After a stall of the event loop, the end of an attempt at the deadline is due together with this
        timer, and the attempt's task needs one more step. Without the delay, a request that is about to get
        its response would be failed.
        """
        request = self._open_requests.get_unanswered(request_id)
        if request is not None:
            now = self._clock.now()
            request.deadline_timer = self._clock.call_at(now, self._fail_overdue, request_id)
