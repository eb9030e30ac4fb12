"""Stale connections: detects idle connections that the network has dropped silently.

They are distinguished from servers that do not respond by their idle time: if the network drops connections,
most attempts on connections that were idle for long enough get no response, and few of the others.
"""

import math
from collections import deque
from typing import NamedTuple

from flintridge.api import Outcome
from flintridge.policy.endpoint_state import Server

NS_PER_S = 1_000_000_000
NO_RESPONSE = (Outcome.TIMEOUT, Outcome.RESET)
CONNECTION_LOST = (Outcome.CONNECT_FAILED, Outcome.RESET)
# Outcomes that do not show whether there is a connection.
INCONCLUSIVE_OUTCOMES = (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.WITHDRAWN)
MAX_OUTCOMES = 16  # number of recent outcomes that are kept
MIN_LOST = 2  # lost attempts; a single one may be chance
MAX_LOST_FRACTION = 0.25  # of the attempts on connections that were idle for a shorter time
CLOSED_AT_FRACTION = 0.8  # of the shortest idle time at which most attempts were lost
# Older outcomes are ignored, so that the detection starts again after this time.
STALE_EVIDENCE_NS = 20 * NS_PER_S


class IdleOutcome(NamedTuple):
    """The end of an attempt, with the idle time of its connection.

    Attributes:
        ended_at: The instant at which the attempt ended, in nanoseconds.
        idle_ns: How long the connection had been idle, in nanoseconds; 0 if it was opened for the attempt.
        is_lost: Whether the attempt got no response.
    """

    ended_at: int
    idle_ns: int
    is_lost: bool


class StaleConnections:
    """Decides after which idle time connections are closed instead of being used again.

    Attributes:
        stale_after_ns: The detected idle time after which the network drops connections, in nanoseconds; inf
            if none is detected.
        closed_after_ns: The idle time after which this node or the server closes connections, in
            nanoseconds.
    """

    def __init__(self, conn_idle_ns: int) -> None:
        self.stale_after_ns = math.inf
        self.closed_after_ns: float = conn_idle_ns
        self._conn_idle_ns = conn_idle_ns
        self._outcomes: deque[IdleOutcome] = deque(maxlen=MAX_OUTCOMES)
        self._lost_at = -math.inf  # the instant at which an attempt was last lost, in nanoseconds

    @property
    def is_detected(self) -> bool:
        """Whether the network was found to drop idle connections."""
        return self.stale_after_ns < math.inf

    def idle_ns(self, server: Server, now: int) -> int | None:
        """Return how long the connection to a server has been idle, in ns; None if there may be none."""
        if server.inflight:
            return 0
        return now - server.connection_used_at if server.connection_used_at else None

    def explains(self, outcome: Outcome, idle_ns: int | None) -> bool:
        """Return whether an attempt failed only because its connection was stale.

        Args:
            outcome: The outcome of the attempt.
            idle_ns: How long its connection had been idle, in nanoseconds; None if it was opened for it.
        """
        return outcome in NO_RESPONSE and (idle_ns or 0) > self.stale_after_ns

    def record(self, server: Server, outcome: Outcome, idle_ns: int | None, now: int) -> None:
        """Record the end of an attempt.

        Args:
            server: The server that it was sent to.
            outcome: The outcome of the attempt.
            idle_ns: How long its connection had been idle, in nanoseconds; None if it was opened for it.
            now: The current instant in nanoseconds.
        """
        if outcome in CONNECTION_LOST:
            server.connection_used_at = 0
        elif outcome not in INCONCLUSIVE_OUTCOMES:
            server.connection_used_at = now
        is_lost = outcome in NO_RESPONSE
        if is_lost or outcome is Outcome.OK or outcome is Outcome.MISS:
            self._outcomes.append(IdleOutcome(now, idle_ns or 0, is_lost))
            if is_lost:
                self._lost_at = now
            self.stale_after_ns = self._detect(now - STALE_EVIDENCE_NS)
            self.closed_after_ns = min(self.stale_after_ns, self._conn_idle_ns)

    def _detect(self, since: int) -> float:
        """Return the idle time after which connections are lost, from outcomes after `since`; inf if none."""
        if self._lost_at <= since:
            return math.inf
        recent = [outcome for outcome in self._outcomes if outcome.ended_at > since]
        all_lost = 0
        for outcome in recent:
            if outcome.is_lost:
                all_lost += 1
        if all_lost < MIN_LOST:
            return math.inf
        recent.sort(key=lambda outcome: (outcome.idle_ns, outcome.is_lost), reverse=True)
        stale_after_ns = math.inf
        lost_here = 0  # lost attempts on connections that were idle at least as long as the current one
        for count, outcome in enumerate(recent, 1):
            if not outcome.is_lost:
                continue
            lost_here += 1
            is_distinct = lost_here > count / 2 and all_lost - lost_here <= MAX_LOST_FRACTION * (
                len(recent) - count
            )
            if outcome.idle_ns and lost_here >= MIN_LOST and is_distinct:
                stale_after_ns = CLOSED_AT_FRACTION * outcome.idle_ns
        return stale_after_ns
