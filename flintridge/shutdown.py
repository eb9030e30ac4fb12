"""The drain of a node: one state machine for the operators' calls and for SIGTERM, with the time passed in.

    serving --quiesce--> draining --no client connection is left--> drained
       ^                    |                                          |
       +------resume--------+------------------resume------------------+
    any of them --leave--> leaving, for good

It closes nothing: it says what is due, and the sender side does it.
"""

from enum import Enum

LINGER = 400.0  # after the call, until which new connections keep coming and idle ones stay open
CEASE = 1500.0  # after the call, from when on connections are read no further


class ServiceState(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    LEAVING = "leaving"


class GracefulShutdown:
    """What a node does about the end of its service. Times are float milliseconds of the node's clock."""

    __slots__ = ("_since", "state")

    def __init__(self) -> None:
        self.state = ServiceState.SERVING
        self._since = 0.0  # of the call that ended the service

    @property
    def welcoming(self) -> bool:
        """Whether more clients may come: what `mn` is told."""
        return self.state is ServiceState.SERVING

    def quiesce(self, now: float) -> bool:
        """End the service but not the process. False where that had been asked before: nothing changes."""
        if self.state is not ServiceState.SERVING:
            return False
        self.state, self._since = ServiceState.DRAINING, now
        return True

    def resume(self, now: float) -> bool:
        """Serve again. False where nothing was to end; a node that leaves does not come back."""
        if self.state not in (ServiceState.DRAINING, ServiceState.DRAINED):
            return False
        self.state = ServiceState.SERVING
        return True

    def leave(self, now: float) -> bool:
        """The process is to end. A drain that went on goes on from where it was: nothing opens again."""
        if self.state is ServiceState.LEAVING:
            return False
        if self.state is ServiceState.SERVING:
            self._since = now
        self.state = ServiceState.LEAVING
        return True

    def emptied(self, now: float) -> bool:
        """No client connection is open any more; True where this completes the drain."""
        if self.state is not ServiceState.DRAINING or now < self._since + LINGER:
            return False
        self.state = ServiceState.DRAINED
        return True

    def parting(self, now: float) -> bool:
        """Whether connections are closed between requests."""
        return self.state is not ServiceState.SERVING and now >= self._since + LINGER

    def ceasing(self, now: float) -> bool:
        """Whether connections are read no further, even those that always have the next command written.

        Guards the end of a drain against clients that are never between requests: what they wrote but was not
        read they send again elsewhere.
        """
        return self.state is not ServiceState.SERVING and now >= self._since + CEASE

    def due(self, now: float) -> list[float]:
        """The instants still to come at which something falls due."""
        if self.state is ServiceState.SERVING:
            return []
        return [at for at in (self._since + LINGER, self._since + CEASE) if at > now]
