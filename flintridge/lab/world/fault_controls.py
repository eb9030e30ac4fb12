"""What faults set on a cache server."""

from collections.abc import Callable

MIN_SLOWDOWN = 1e-6


def _nothing() -> None:
    """Nobody drives the model."""


class FaultControls:
    """Settings of a cache server that faults change at any time; they outlast a restart.

    `flintridge.lab.faults` sets them by their names.

    Attributes:
        error_fraction: Fraction of requests that end in an error at once.
        reset_fraction: Fraction of requests whose connection is reset once they arrived.
        corrupted_fraction: Fraction of responses that are malformed.
        lost_fraction: Fraction of responses that are never sent.
        stale_after_ms: Idle time after which a connection is dropped unseen; 0 for never.
        stale_unresponsive: Whether such a connection stays open and never responds, rather than being reset.
    """

    __slots__ = (
        "_catch_up",
        "_contention_fraction",
        "_rate_changed",
        "_slowdown",
        "corrupted_fraction",
        "error_fraction",
        "lost_fraction",
        "reset_fraction",
        "stale_after_ms",
        "stale_unresponsive",
    )

    def __init__(self, catch_up: Callable[[], None] | None, rate_changed: Callable[[], None]) -> None:
        """Start with no fault.

        Args:
            catch_up: Brings the model up to date; called before and after a change of its speed.
            rate_changed: Lets the model take its rate anew.
        """
        self._catch_up = catch_up or _nothing
        self._rate_changed = rate_changed
        self._slowdown = 1.0
        self._contention_fraction = 0.0
        self.error_fraction = 0.0
        self.reset_fraction = 0.0
        self.corrupted_fraction = 0.0
        self.lost_fraction = 0.0
        self.stale_after_ms = 0.0
        self.stale_unresponsive = False

    @property
    def slowdown(self) -> float:
        """All work takes this many times as long."""
        return self._slowdown

    @slowdown.setter
    def slowdown(self, factor: float) -> None:
        """Let the model catch up before and after."""
        self._catch_up()
        self._slowdown = max(factor, MIN_SLOWDOWN)
        self._rate_changed()
        self._catch_up()

    @property
    def contention_fraction(self) -> float:
        """Fraction of the cores that other processes use."""
        return self._contention_fraction

    @contention_fraction.setter
    def contention_fraction(self, fraction: float) -> None:
        """Let the model catch up before and after."""
        self._catch_up()
        self._contention_fraction = fraction
        self._rate_changed()
        self._catch_up()

    def copy_from(self, earlier: "FaultControls") -> None:
        """Take over the settings of an earlier incarnation."""
        self.error_fraction = earlier.error_fraction
        self.reset_fraction = earlier.reset_fraction
        self.corrupted_fraction = earlier.corrupted_fraction
        self.lost_fraction = earlier.lost_fraction
        self.stale_after_ms = earlier.stale_after_ms
        self.stale_unresponsive = earlier.stale_unresponsive
        self._slowdown = earlier._slowdown
        self._contention_fraction = earlier._contention_fraction
        self._rate_changed()
