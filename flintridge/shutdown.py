"""The graceful shutdown of a node: a state machine driven by the operators' calls and by SIGTERM.

    SERVING --start_drain--> DRAINING --no client connection is open--> DRAINED
       ^                        |                                          |
       +---------resume---------+------------------resume------------------+
    any state --terminate--> TERMINATING (final)

It closes nothing and reads no clock: it computes what is due at a time that the caller passes in, and the
client side carries that out.
"""

from dataclasses import dataclass
from enum import Enum

from flintridge.api import Settings
from flintridge.runtime.clock import to_ms

IDLE_CLOSE_DELAY_MS = 400.0
"""For this long after a drain or termination starts, new connections are accepted and idle ones stay open."""

STOP_READING_DELAY_MS = 1500.0
"""At the latest this long after a drain or termination starts, no connection is read any further."""

SHUTDOWN_ACCEPT_MS = 700.0
"""Requests that arrive within this time after SIGTERM are served."""

SHUTDOWN_COMMAND_TIMEOUT_MS = 1500.0
"""An incomplete command is waited for until this long after SIGTERM, or while responses are outstanding."""

SHUTDOWN_MAX_RESPONSE_MS = 3000.0
"""Longest time for a request that arrived while requests were accepted; after it SIGKILL may follow."""

SHUTDOWN_RESPONSE_MARGIN_MS = 200.0
"""The last responses are due this long before SIGKILL, so that they are written despite a 150 ms stall."""

SHORT_RESPONSE_MARGIN = 0.25
"""Upper bound of the response margin as a fraction of the longest deadline, for short deadlines."""

LAST_REQUEST_TIME_MS = 1000.0
"""Minimum time between the last read and SIGKILL, or the longest deadline if that is shorter."""


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """Times of the shutdown steps, in milliseconds after its start, derived from the longest deadline.

    After SIGTERM the process may be killed once SHUTDOWN_ACCEPT_MS and that deadline, at most 3 s, are over.
    The times depend on the deadline so that the process reads no request that it cannot respond to any more:
    with deadlines of 100 ms it is killed after 0.8 s.

    Attributes:
        stop_reading_ms: From then on no connection is read, except for the rest of an incomplete command.
        last_response_ms: By then all responses are due, and nothing is waited for any more.
    """

    stop_reading_ms: float = STOP_READING_DELAY_MS
    last_response_ms: float = SHUTDOWN_ACCEPT_MS + SHUTDOWN_MAX_RESPONSE_MS - SHUTDOWN_RESPONSE_MARGIN_MS

    @classmethod
    def of(cls, settings: Settings) -> "ShutdownTimes":
        """Return the times for a deployment with these settings."""
        deadlines_ms = (to_ms(request_class.deadline_ns) for request_class in settings.classes)
        response_ms = min(SHUTDOWN_MAX_RESPONSE_MS, max(deadlines_ms, default=SHUTDOWN_MAX_RESPONSE_MS))
        killed_ms = SHUTDOWN_ACCEPT_MS + response_ms
        margin_ms = min(SHUTDOWN_RESPONSE_MARGIN_MS, SHORT_RESPONSE_MARGIN * response_ms)
        return cls(
            stop_reading_ms=min(STOP_READING_DELAY_MS, killed_ms - min(LAST_REQUEST_TIME_MS, response_ms)),
            last_response_ms=killed_ms - margin_ms,
        )


class ServiceState(Enum):
    """State of a node's service; the values are those that the admin API reports."""

    SERVING = "serving"
    DRAINING = "draining"
    """Client connections are being closed; the process keeps running."""
    DRAINED = "drained"
    """All client connections have closed; requests that still arrive are served."""
    TERMINATING = "leaving"
    """The process is shutting down."""


class GracefulShutdown:
    """State of a node's drain or termination. Times are float milliseconds of the node's clock.

    Attributes:
        state: The current state.
    """

    __slots__ = ("_shutdown_at", "_stop_reading_ms", "state")

    def __init__(self, times: ShutdownTimes | None = None) -> None:
        """Start in state SERVING.

        Args:
            times: The deployment's shutdown times; None uses those for a longest deadline of 3 s or more.
        """
        self._stop_reading_ms = (times or ShutdownTimes()).stop_reading_ms
        self.state = ServiceState.SERVING
        self._shutdown_at = 0.0  # when the drain or the termination was started

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are accepted, which is what the response to `mn` reports."""
        return self.state is ServiceState.SERVING

    def start_drain(self, now: float) -> bool:
        """Start a drain, which ends the service but not the process.

        Returns:
            Whether the state changed; False if the node is draining, drained or terminating already.
        """
        if self.state is not ServiceState.SERVING:
            return False
        self.state = ServiceState.DRAINING
        self._shutdown_at = now
        return True

    def resume(self) -> bool:
        """End a drain and serve again.

        Returns:
            Whether the state changed; False without a drain, and once the node is terminating.
        """
        if self.state not in (ServiceState.DRAINING, ServiceState.DRAINED):
            return False
        self.state = ServiceState.SERVING
        return True

    def terminate(self, now: float) -> bool:
        """Start the termination. A drain in progress keeps its start time, so nothing is accepted again.

        Returns:
            Whether the state changed; False if the node is terminating already.
        """
        if self.state is ServiceState.TERMINATING:
            return False
        if self.state is ServiceState.SERVING:
            self._shutdown_at = now
        self.state = ServiceState.TERMINATING
        return True

    def connections_closed(self, now: float) -> bool:
        """Record that no client connection is open.

        Returns:
            Whether this completes the drain.
        """
        if self.state is not ServiceState.DRAINING or not self.closes_idle_connections(now):
            return False
        self.state = ServiceState.DRAINED
        return True

    def closes_idle_connections(self, now: float) -> bool:
        """Whether connections are closed when they are between requests."""
        return self.state is not ServiceState.SERVING and now >= self._shutdown_at + IDLE_CLOSE_DELAY_MS

    def stops_reading(self, now: float) -> bool:
        """Whether connections are no longer read, including those of clients that always pipeline a command.

        Without this limit a drain would never end for clients that are never between requests. They send what
        was not read again to another node.
        """
        return self.state is not ServiceState.SERVING and now >= self._shutdown_at + self._stop_reading_ms

    def deadlines(self, now: float) -> list[float]:
        """Return the future instants at which a shutdown step is due."""
        if self.state is ServiceState.SERVING:
            return []
        delays = (IDLE_CLOSE_DELAY_MS, self._stop_reading_ms)
        return [self._shutdown_at + delay for delay in delays if self._shutdown_at + delay > now]
