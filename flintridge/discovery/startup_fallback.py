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
# A call that fails after this time was held by discovery, which is up then: it may have too many callers.
IMMEDIATE_FAILURE_MS = 500.0
# How long a starting node waits for a discovery that is up and answers no call. A change counts as notified
# after this time in any case. Nine of ten restarted nodes have to be ready within 10 s.
MAX_FALLBACK_WAIT_MS = 6_000.0


class StartupFallback:
    """Holds the configured list until discovery has answered, or is away.

    Discovery counts as away if it has answered no call for `FALLBACK_AFTER_MS`, no response is expected (each
    call has failed, or its response is overdue and has not begun), and the last call failed at once or is
    overdue.
    """

    def __init__(
        self,
        configured: EndpointUpdate,
        clock: Clock,
        log: EventLog,
        notify: Callable[[EndpointUpdate], None],
        expects_response: Callable[[], bool],
    ) -> None:
        """Start waiting for discovery.

        Args:
            configured: The list of the configuration.
            clock: The node's clock.
            log: The node's log.
            notify: Called with the configured list if it is to be used.
            expects_response: Returns whether any call to discovery may soon be answered.
        """
        self._configured: EndpointUpdate | None = configured
        self._clock = clock
        self._log = log
        self._notify = notify
        self._expects_response = expects_response
        self._started_at = clock.now()
        self._has_held_last_call = False
        self._timers: list[Timer] = [
            clock.call_at(self._started_at + wait_ms, self.use_if_away)
            for wait_ms in (FALLBACK_AFTER_MS, MAX_FALLBACK_WAIT_MS)
        ]

    @property
    def is_pending(self) -> bool:
        """Whether neither discovery's list nor the configured one is in use."""
        return self._configured is not None

    def cancel(self) -> None:
        """Discard the configured list: discovery has answered, or the node ends."""
        self._configured = None
        for timer in self._timers:
            timer.cancel()

    def record_failure(self, taken_ms: float) -> None:
        """Record that a call failed.

        Args:
            taken_ms: Time from the start of the call to its failure.
        """
        self._has_held_last_call = taken_ms > IMMEDIATE_FAILURE_MS

    def record_overdue(self) -> None:
        """Record that the response to a call is overdue."""
        self._has_held_last_call = False

    def use_if_away(self) -> None:
        """Use the configured list if discovery is away; to be called when a call has failed or is overdue."""
        configured = self._configured
        waited_ms = self._clock.now() - self._started_at
        if configured is None or waited_ms < FALLBACK_AFTER_MS:
            return
        may_be_up = self._expects_response() or self._has_held_last_call
        if waited_ms < MAX_FALLBACK_WAIT_MS and may_be_up:
            return
        self.cancel()
        self._log.event(
            "configured_list_used",
            revision=configured.version,
            members=len(configured.endpoints),
            waited_ms=round(waited_ms),
        )
        self._notify(configured)
