"""Stale connections: idle ones that the network has dropped unseen, told from servers that do not respond.

Most attempts on connections that were idle for as long get no response then, and few of the others.
"""

import math
from collections import deque
from typing import NamedTuple

from flintridge.api import Outcome
from flintridge.policy.endpoint_state import Server

NS_PER_S = 1_000_000_000
NO_RESPONSE = (Outcome.TIMEOUT, Outcome.RESET)
CONNECTION_LOST = (Outcome.CONNECT_FAILED, Outcome.RESET)
INCONCLUSIVE_OUTCOMES = (
    Outcome.TIMEOUT,
    Outcome.CANCELLED,
    Outcome.WITHDRAWN,
)  # of whether there is a connection
MAX_OUTCOMES = 16
MIN_LOST = 2  # one alone may be rng
MAX_LOST_FRACTION = 0.25  # of the attempts on connections that were idle for less
CLOSED_AT_FRACTION = 0.8  # of the shortest idle time at which most were lost
STALE_EVIDENCE_NS = 20 * NS_PER_S  # connections that are dropped unseen are looked for again after this


class IdleOutcome(NamedTuple):
    """How an attempt ended whose connection had been idle.

    Attributes:
        ended_at: In nanoseconds.
        idle_ns: How long the connection had been unused; 0 where it was opened for the attempt.
        is_lost: Whether no response came.
    """

    ended_at: int
    idle_ns: int
    is_lost: bool


class StaleConnections:
    """From which idle time on connections are closed and not used again.

    Attributes:
        stale_after_ns: The idle time after which the network drops them; inf: it is not seen to drop any.
        closed_after_ns: The idle time after which they are closed, by this node or by the server.
    """

    def __init__(self, conn_idle_ns: int) -> None:
        self.stale_after_ns = math.inf
        self.closed_after_ns: float = conn_idle_ns
        self._conn_idle_ns = conn_idle_ns
        self._outcomes: deque[IdleOutcome] = deque(maxlen=MAX_OUTCOMES)
        self._lost_at = -math.inf  # the newest

    @property
    def is_detected(self) -> bool:
        """Whether the network is seen to drop idle connections."""
        return self.stale_after_ns < math.inf

    def idle_ns(self, server: Server, now: int) -> int | None:
        """How long the connection to a server has been unused, in nanoseconds; None: there may be none."""
        if server.inflight:
            return 0
        return now - server.connection_used_at if server.connection_used_at else None

    def explains(self, outcome: Outcome, idle_ns: int | None) -> bool:
        """Whether an attempt that ended so has failed for its connection alone."""
        return outcome in NO_RESPONSE and (idle_ns or 0) > self.stale_after_ns

    def record(self, server: Server, outcome: Outcome, idle_ns: int | None, now: int) -> None:
        """Take in how an attempt ended.

        Args:
            server: Where it was sent.
            outcome: Of the attempt.
            idle_ns: How long its connection had been unused; None: it was opened for it.
            now: In nanoseconds.
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
        """The idle time after which connections are lost, by what ended after an instant; inf: none."""
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
        lost_here = 0  # of those idle for as long or longer
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
