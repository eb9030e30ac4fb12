"""The graceful shutdown of a node, as a state machine for the operators' calls and for SIGTERM.

    SERVING --start_drain--> DRAINING --no client connection is open--> DRAINED
       ^                        |                                          |
       +---------resume---------+------------------resume------------------+
    any of them --terminate--> TERMINATING, for good

It closes nothing and reads no clock: it says what is due at a time that is passed in, and the client side
does it.
"""

from dataclasses import dataclass
from enum import Enum

from flintridge.api import Settings
from flintridge.runtime.clock import to_ms

IDLE_CLOSE_DELAY_MS = 400.0
"""After the call: until then new connections keep coming, and idle ones stay open."""

STOP_READING_DELAY_MS = 1500.0
"""After the call, at the latest: from then on no connection is read any further."""

SHUTDOWN_ACCEPT_MS = 700.0
"""After SIGTERM: until then what arrives is served."""

SHUTDOWN_COMMAND_TIMEOUT_MS = 1500.0
"""After SIGTERM, at the latest: half a command is waited for until then, or while responses are awaited."""

SHUTDOWN_MAX_RESPONSE_MS = 3000.0
"""A request that arrived while requests were accepted may take this long; then SIGKILL may come."""

SHUTDOWN_RESPONSE_MARGIN_MS = 200.0
"""Before SIGKILL: the last responses are due, though the node be held up for 150 ms before it writes them."""

SHORT_RESPONSE_MARGIN = 0.25
"""Of the longest deadline: that margin, where deadlines are short."""

LAST_REQUEST_TIME_MS = 1000.0
"""What is read last has so much of its time, or the whole of the longest deadline, before SIGKILL."""


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """When what falls due after the call, in milliseconds; it follows the longest deadline of a deployment.

    After SIGTERM the process may be killed once that deadline, 3 s at most, and SHUTDOWN_ACCEPT_MS are over.
    Guards requests against a process that reads what it can't answer any more: with deadlines of 100 ms it is
    killed after 0.8 s.

    Attributes:
        stop_reading_ms: No connection is read any further, but for the rest of half a command.
        last_response_ms: All responses are due, and nothing is waited for any more.
    """

    stop_reading_ms: float = STOP_READING_DELAY_MS
    last_response_ms: float = SHUTDOWN_ACCEPT_MS + SHUTDOWN_MAX_RESPONSE_MS - SHUTDOWN_RESPONSE_MARGIN_MS

    @classmethod
    def of(cls, settings: Settings) -> "ShutdownTimes":
        """Those of a deployment with these settings."""
        deadlines_ms = (to_ms(request_class.deadline_ns) for request_class in settings.classes)
        response_ms = min(SHUTDOWN_MAX_RESPONSE_MS, max(deadlines_ms, default=SHUTDOWN_MAX_RESPONSE_MS))
        killed_ms = SHUTDOWN_ACCEPT_MS + response_ms
        margin_ms = min(SHUTDOWN_RESPONSE_MARGIN_MS, SHORT_RESPONSE_MARGIN * response_ms)
        return cls(
            stop_reading_ms=min(STOP_READING_DELAY_MS, killed_ms - min(LAST_REQUEST_TIME_MS, response_ms)),
            last_response_ms=killed_ms - margin_ms,
        )


class ServiceState(Enum):
    """What a node does about the end of its service; the values are the admin API's."""

    SERVING = "serving"
    DRAINING = "draining"
    """Client connections are being ended; the process runs on."""
    DRAINED = "drained"
    """No client connection was open any more; what comes all the same is served."""
    TERMINATING = "leaving"
    """The process is about to end."""


class GracefulShutdown:
    """What is due of a node's drain or termination. Times are float milliseconds of the node's clock.

    Attributes:
        state: Where the node is.
    """

    __slots__ = ("_shutdown_at", "_stop_reading_ms", "state")

    def __init__(self, times: ShutdownTimes | None = None) -> None:
        """`times`: those of the deployment; None: those of one whose longest deadline is 3 s or more."""
        self._stop_reading_ms = (times or ShutdownTimes()).stop_reading_ms
        self.state = ServiceState.SERVING
        self._shutdown_at = 0.0  # the time of the call that began it

    @property
    def accepts_clients(self) -> bool:
        """Whether more clients may come, as the response to `mn` says."""
        return self.state is ServiceState.SERVING

    def start_drain(self, now: float) -> bool:
        """End the service but not the process.

        Returns:
            Whether anything changed; it doesn't where this had been asked before.
        """
        if self.state is not ServiceState.SERVING:
            return False
        self.state = ServiceState.DRAINING
        self._shutdown_at = now
        return True

    def resume(self) -> bool:
        """Serve again.

        Returns:
            Whether anything changed; it doesn't without a drain, nor once the node terminates.
        """
        if self.state not in (ServiceState.DRAINING, ServiceState.DRAINED):
            return False
        self.state = ServiceState.SERVING
        return True

    def terminate(self, now: float) -> bool:
        """The process is to end. A drain that was under way goes on from where it was: nothing opens again.

        Returns:
            Whether anything changed; it doesn't where this had been asked before.
        """
        if self.state is ServiceState.TERMINATING:
            return False
        if self.state is ServiceState.SERVING:
            self._shutdown_at = now
        self.state = ServiceState.TERMINATING
        return True

    def connections_closed(self, now: float) -> bool:
        """No client connection is open any more.

        Returns:
            Whether this completes the drain.
        """
        if self.state is not ServiceState.DRAINING or not self.closes_idle_connections(now):
            return False
        self.state = ServiceState.DRAINED
        return True

    def closes_idle_connections(self, now: float) -> bool:
        """Whether connections are closed between requests."""
        return self.state is not ServiceState.SERVING and now >= self._shutdown_at + IDLE_CLOSE_DELAY_MS

    def stops_reading(self, now: float) -> bool:
        """Whether connections are read no further, even those that always have the next command written.

        Guards the end of a drain against clients that are never between requests: what they wrote but was not
        read they send again elsewhere.
        """
        return self.state is not ServiceState.SERVING and now >= self._shutdown_at + self._stop_reading_ms

    def deadlines(self, now: float) -> list[float]:
        """The instants still to come at which something falls due."""
        if self.state is ServiceState.SERVING:
            return []
        delays = (IDLE_CLOSE_DELAY_MS, self._stop_reading_ms)
        return [self._shutdown_at + delay for delay in delays if self._shutdown_at + delay > now]
