"""The timeout of idle connections: as configured, or learned from connections that were lost unseen."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Of the time after which a server closes an idle connection: it is closed here before.
CONFIGURED_FRACTION = 0.8
# Of the least idle time at which most connections were lost.
LEARNED_FRACTION = 0.8
# A connection idle for less was in use just now: its loss says nothing about idle ones.
MIN_IDLE_MS = 200.0
# Observations count for so long; after it the configured time is tried again.
MEMORY_MS = 20_000.0
MAX_OBSERVATIONS = 64
MIN_LOSSES = 2


@dataclass(slots=True, frozen=True)
class Reuse:
    """What became of an idle connection that was used again.

    Attributes:
        at: When, in milliseconds of the node's clock.
        idle_ms: How long it had been idle.
        lost: Whether it had been dropped unseen.
    """

    at: float
    idle_ms: float
    lost: bool


def learn_idle_timeout_ms(reuses: Iterable[Reuse], configured_ms: float) -> float:
    """The idle time from which on most connections are lost, less a margin; `configured_ms` if there is none.

    Only where most of those idle for as long were lost: resets at any age tell nothing.
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

    Guards requests against being written to connections that were dropped unseen long before the time that
    the settings name.

    Attributes:
        current_ms: A connection that has been idle for so long is closed.
    """

    def __init__(self, server_timeout_ms: float) -> None:
        """Begin with the configured timeout.

        Args:
            server_timeout_ms: After which servers close idle connections, by the settings.
        """
        self._configured_ms = CONFIGURED_FRACTION * server_timeout_ms
        self.current_ms = self._configured_ms
        self._reuses: deque[Reuse] = deque(maxlen=MAX_OBSERVATIONS)
        self._learned_at = 0.0

    def note_reuse(self, now: float, idle_ms: float, lost: bool) -> None:
        """Learn from a connection that was used again.

        Args:
            now: Milliseconds of the node's clock.
            idle_ms: How long it had been idle; 0 for a new one.
            lost: Whether it had been dropped unseen.
        """
        if idle_ms < MIN_IDLE_MS:
            return
        self._reuses.append(Reuse(now, idle_ms, lost))
        if not lost:
            return
        recent = (reuse for reuse in self._reuses if reuse.at > now - MEMORY_MS)
        self.current_ms = learn_idle_timeout_ms(recent, self._configured_ms)
        self._learned_at = now

    def forget_outdated(self, now: float) -> None:
        """Go back to the configured time once nothing was learned for MEMORY_MS."""
        if now >= self._learned_at + MEMORY_MS:
            self.current_ms = self._configured_ms
