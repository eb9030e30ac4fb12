"""The idle timeout of connections: as configured, or learned from connections that were dropped silently."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Fraction of the servers' idle timeout after which an idle connection is closed here, before the server does.
CONFIGURED_FRACTION = 0.8
# Fraction of the shortest idle time from which on most connections were lost.
LEARNED_FRACTION = 0.8
# The loss of a connection that was idle for less than this says nothing about idle connections.
MIN_IDLE_MS = 200.0
# Observations expire after this time; then the configured timeout applies again.
OBSERVATION_TTL_MS = 20_000.0
MAX_OBSERVATIONS = 64
MIN_LOSSES = 2


@dataclass(slots=True, frozen=True)
class Reuse:
    """The outcome of reusing an idle connection.

    Attributes:
        at: When it was reused, in milliseconds of the node's clock.
        idle_ms: How long it had been idle.
        lost: Whether it had been dropped silently while idle.
    """

    at: float
    idle_ms: float
    lost: bool


def learn_idle_timeout_ms(reuses: Iterable[Reuse], configured_ms: float) -> float:
    """Return the idle time from which on most connections are lost, less a margin, or `configured_ms`.

    A loss counts only if most connections that were idle at least as long were lost too: resets that occur at
    any idle time say nothing about a timeout.
    """
    timeout_ms = configured_ms
    count = 0
    losses = 0
    for reuse in sorted(reuses, key=lambda reuse: -reuse.idle_ms):
        count += 1
        if not reuse.lost:
            continue
        losses += 1
        if losses >= MIN_LOSSES and losses > count / 2:
            timeout_ms = LEARNED_FRACTION * reuse.idle_ms
    return timeout_ms


class IdleTimeout:
    """The idle timeout of all connections of a node.

    Prevents that requests are written to connections that were dropped silently, long before the timeout in
    the settings.

    Attributes:
        current_ms: A connection that has been idle for this long is closed.
    """

    def __init__(self, server_timeout_ms: float) -> None:
        """Start with the configured timeout.

        Args:
            server_timeout_ms: Time after which servers close idle connections, from the settings.
        """
        self._configured_ms = CONFIGURED_FRACTION * server_timeout_ms
        self.current_ms = self._configured_ms
        self._reuses: deque[Reuse] = deque(maxlen=MAX_OBSERVATIONS)
        self._learned_at = 0.0

    def record_reuse(self, now: float, idle_ms: float, lost: bool) -> None:
        """Record the outcome of using a connection and update the timeout.

        Args:
            now: Milliseconds of the node's clock.
            idle_ms: How long the connection had been idle; 0 for a new one.
            lost: Whether it had been dropped silently while idle.
        """
        if idle_ms < MIN_IDLE_MS:
            return
        self._reuses.append(Reuse(now, idle_ms, lost))
        if not lost:
            return
        recent = (reuse for reuse in self._reuses if reuse.at > now - OBSERVATION_TTL_MS)
        self.current_ms = learn_idle_timeout_ms(recent, self._configured_ms)
        self._learned_at = now

    def expire_learned_timeout(self, now: float) -> None:
        """Return to the configured timeout if nothing was learned for OBSERVATION_TTL_MS."""
        if now >= self._learned_at + OBSERVATION_TTL_MS:
            self.current_ms = self._configured_ms
