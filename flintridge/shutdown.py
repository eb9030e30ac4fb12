"""The graceful shutdown of a node, as a state machine for the operators' calls and for SIGTERM.

    SERVING --start_drain--> DRAINING --no client connection is open--> DRAINED
       ^                        |                                          |
       +---------resume---------+------------------resume------------------+
    any of them --terminate--> TERMINATING, for good

It closes nothing and reads no clock: it says what is due at a time that is passed in, and the client side
does it.
"""

from enum import Enum

IDLE_CLOSE_DELAY_MS = 400.0
"""After the call: until then new connections keep coming, and idle ones stay open."""

STOP_READING_DELAY_MS = 1500.0
"""After the call: from then on no connection is read any further."""


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

    __slots__ = ("_shutdown_at", "state")

    def __init__(self) -> None:
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
        return self.state is not ServiceState.SERVING and now >= self._shutdown_at + STOP_READING_DELAY_MS

    def deadlines(self, now: float) -> list[float]:
        """The instants still to come at which something falls due."""
        if self.state is ServiceState.SERVING:
            return []
        delays = (IDLE_CLOSE_DELAY_MS, STOP_READING_DELAY_MS)
        return [self._shutdown_at + delay for delay in delays if self._shutdown_at + delay > now]
