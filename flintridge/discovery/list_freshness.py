"""How current the endpoint list is: when discovery last answered, and the calls that have failed since."""

from flintridge.runtime.clock import Clock


class ListFreshness:
    """Records the calls to discovery.

    Attributes:
        failures: The calls that have failed since the last response.
        is_confirmed: Whether the last call was answered; before, the list in use may be outdated.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a response; ages count from now."""
        self.failures = 0
        self._clock = clock
        self.is_confirmed = False
        self._responded_at = clock.now()
        self._called_at = clock.now()

    @property
    def age_ms(self) -> float:
        """Time since discovery last answered, in milliseconds."""
        return self._clock.now() - self._responded_at

    @property
    def call_ms(self) -> float:
        """Time since the last call began, in milliseconds."""
        return self._clock.now() - self._called_at

    def record_call(self) -> None:
        """Record that a call begins."""
        self._called_at = self._clock.now()

    def record_response(self) -> None:
        """Record that discovery answered."""
        self._responded_at = self._clock.now()
        self.failures = 0
        self.is_confirmed = True

    def record_failure(self) -> None:
        """Record that a call failed."""
        self.failures += 1
        self.is_confirmed = False
