"""Settings of a cache server that faults change."""

from collections.abc import Callable

MIN_SLOWDOWN = 1e-6


def _no_op() -> None:
    """Do nothing; used for a model without a driver."""


class FaultControls:
    """Settings of a cache server that faults may change at any time; they survive a restart.

    `flintridge.lab.faults` sets them by their names.

    Attributes:
        error_fraction: Fraction of requests that end immediately with an error.
        reset_fraction: Fraction of requests whose connection is reset after they have arrived.
        corrupted_fraction: Fraction of responses that are malformed.
        lost_fraction: Fraction of responses that are never sent.
        stale_after_ms: Idle time after which a connection is dropped without notice (ms); 0 for never.
        stale_unresponsive: Whether a dropped connection stays open without any response, instead of a reset.
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
            catch_up: Advances the model to the present; called before and after a change of its speed.
            rate_changed: Makes the model recompute its rate.
        """
        self._catch_up = catch_up or _no_op
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
        """Factor on the time that all work takes."""
        return self._slowdown

    @slowdown.setter
    def slowdown(self, factor: float) -> None:
        """Advance the model to the present before and after the change."""
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
        """Advance the model to the present before and after the change."""
        self._catch_up()
        self._contention_fraction = fraction
        self._rate_changed()
        self._catch_up()

    def copy_from(self, earlier: "FaultControls") -> None:
        """Copy the settings of an earlier incarnation."""
        self.error_fraction = earlier.error_fraction
        self.reset_fraction = earlier.reset_fraction
        self.corrupted_fraction = earlier.corrupted_fraction
        self.lost_fraction = earlier.lost_fraction
        self.stale_after_ms = earlier.stale_after_ms
        self.stale_unresponsive = earlier.stale_unresponsive
        self._slowdown = earlier._slowdown
        self._contention_fraction = earlier._contention_fraction
        self._rate_changed()
