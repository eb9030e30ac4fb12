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
        self._service_times_ms = (0.0, 0.0)  # the last two responses, the newest last
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

    @property
    def service_ms(self) -> float:
        """How long discovery takes for a response, beyond the time that its call waits, in milliseconds.

        A single slow response does not show that discovery is slow.
        """
        return min(self._service_times_ms)

    def record_service_time(self, response_ms: float, wait_ms: float) -> None:
        """Record how long a response took, and how long its call was to wait for a change at most.

        A response that came earlier reports a change; it does not show how long discovery needed for it.
        """
        if response_ms >= wait_ms:
            self._service_times_ms = (self._service_times_ms[1], response_ms - wait_ms)

    def reset_service_time(self) -> None:
        """Discard the times of the last responses, which were those of another service."""
        self._service_times_ms = (0.0, 0.0)

    def record_failure(self) -> None:
        """Record that a call failed."""
        self.failures += 1
        self.is_confirmed = False
