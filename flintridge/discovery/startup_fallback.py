"""The list of the configuration, which a starting node uses instead of discovery's while discovery is away.

Where lists are pushed, what discovery has counts as notified from the first moment of a process. The
configured list may be outdated, so it must not be used while discovery is merely slow: a call that has no
response yet may still get one. While discovery is away, nothing counts as notified.
"""

from collections.abc import Callable

from flintridge.api import EndpointUpdate
from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

# How long a starting node calls discovery at least before it uses the configured list. It sends several calls
# in this time, so that failures of one or two do not suffice.
FALLBACK_AFTER_MS = 1_500.0


class StartupFallback:
    """Holds the configured list until discovery has answered, or is away.

    Discovery counts as away if it has answered no call for `FALLBACK_AFTER_MS`, and none is in flight: each
    one has failed or has been without a response for its time limit.
    """

    def __init__(
        self,
        configured: EndpointUpdate,
        clock: Clock,
        log: EventLog,
        notify: Callable[[EndpointUpdate], None],
        has_call_in_flight: Callable[[], bool],
    ) -> None:
        """Start waiting for discovery.

        Args:
            configured: The list of the configuration.
            clock: The node's clock.
            log: The node's log.
            notify: Called with the configured list if it is to be used.
            has_call_in_flight: Returns whether any call to discovery may still be answered.
        """
        self._configured: EndpointUpdate | None = configured
        self._clock = clock
        self._log = log
        self._notify = notify
        self._has_call_in_flight = has_call_in_flight
        self._started_at = clock.now()
        self._timer: Timer = clock.call_at(self._started_at + FALLBACK_AFTER_MS, self.use_if_away)

    @property
    def is_pending(self) -> bool:
        """Whether neither discovery's list nor the configured one is in use."""
        return self._configured is not None

    def cancel(self) -> None:
        """Discard the configured list: discovery has answered, or the node ends."""
        self._configured = None
        self._timer.cancel()

    def use_if_away(self) -> None:
        """Use the configured list if discovery is away; to be called whenever a call has ended."""
        configured = self._configured
        waited_ms = self._clock.now() - self._started_at
        if configured is None or waited_ms < FALLBACK_AFTER_MS or self._has_call_in_flight():
            return
        self.cancel()
        self._log.event(
            "configured_list_used",
            revision=configured.version,
            members=len(configured.endpoints),
            waited_ms=round(waited_ms),
        )
        self._notify(configured)
