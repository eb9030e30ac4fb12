"""How current the endpoint list is: when discovery last answered, and the calls that have failed since."""

from flintridge.runtime.clock import Clock


class ListFreshness:
    """Records the calls to discovery.

    Attributes:
        failures: The calls that have failed since the last response.
        is_confirmed: Whether the last call was answered; before, the list in use may be outdated.
        service_ms: How long discovery took for its last response, beyond the time that its call waited for a
            change; 0 before the first response.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a response; ages count from now."""
        self.failures = 0
        self._clock = clock
        self.is_confirmed = False
        self.service_ms = 0.0
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

    def record_service_time(self, response_ms: float, wait_ms: float) -> None:
        """Record how long a response took, and how long its call was to wait for a change at most.

        A response that came earlier reports a change; it does not show how long discovery needed for it.
        """
        if response_ms >= wait_ms:
            self.service_ms = response_ms - wait_ms

    def record_failure(self) -> None:
        """Record that a call failed."""
        self.failures += 1
        self.is_confirmed = False
