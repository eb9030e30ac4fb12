"""The calls to discovery: what each requests, and when its response is overdue.

An overdue response is not lost: discovery may be slow. The node sends another call, and accepts whichever
response comes first.
"""

from dataclasses import dataclass, replace

from flintridge.api import DiscoveryMode, Settings
from flintridge.runtime.clock import to_ms

LIST_PATH = "/api/targets"
MAX_WATCH_WAIT_MS = 4_000.0
MIN_WATCH_WAIT_MS = 1_000.0
# How long a watch call that only confirms the list may wait for a change: it is answered almost at once.
CONFIRMATION_WAIT_MS = 20.0
# Time for the first byte of a response to a watch call, beyond the time that the call may wait.
WATCH_SILENCE_MS = 1_000.0
RESPONSE_TIMEOUT_MS = 2_000.0  # time for a response, beyond the time that the call may wait
LIST_TIMEOUT_MS = 3_000.0  # time for a response to a call that does not wait
# How long an overdue response is still accepted, from the start of its call, beyond the time that the call
# may wait.
LATE_RESPONSE_MS = 10_000.0
# Where discovery was slow for its last two responses, the next one is overdue only after twice the shorter of
# their times, within limits: a call whose connection fell silent has to be replaced within 6 s, when the
# changes that it misses count as notified.
RESPONSE_TIME_FACTOR = 2.0
MAX_EXPECTED_RESPONSE_MS = 5_000.0
MAX_EXPECTED_BEYOND_WAIT_MS = 3_000.0
# Where lists are polled, many nodes call one service, and calls wait for their turn: a second call is not
# sent early, and only for changes, which are short.
POLLED_BACKUP_DELAY_MS = 1_500.0
MAX_PUSHED_BACKUP_DELAY_MS = 500.0
MIN_PUSHED_BACKUP_DELAY_MS = 50.0
# Time without a further byte after which a response that has begun is overdue: its connection may have fallen
# silent. Where lists are pushed it is the first backup delay.
POLLED_STALL_MS = 1_000.0


@dataclass(slots=True, frozen=True)
class DiscoveryCall:
    """One call.

    Attributes:
        target: The request target.
        wait_ms: How long discovery may wait for a change before it answers.
        first_byte_ms: Time after which a response that has not begun is overdue.
        response_ms: Time after which a response that is not complete is overdue, not less.
        stall_ms: Time without a further byte after which a response that has begun is overdue.
        backup_delays_ms: Times without a response, each counted from the last call, after which the call is
            sent again on another connection.
        give_up_ms: Time after which an overdue response is not accepted any more.
    """

    target: str
    first_byte_ms: float
    response_ms: float
    wait_ms: float = 0.0
    stall_ms: float = POLLED_STALL_MS
    backup_delays_ms: tuple[float, ...] = ()
    give_up_ms: float = LATE_RESPONSE_MS

    def adapted_to(self, service_ms: float) -> "DiscoveryCall":
        """Return the call to a discovery that may be slow.

        Calls beyond one at a time make a discovery slower that serves one after another, also if their
        callers have left. So no backups are sent if they would all be sent before the first call is answered.

        Args:
            service_ms: How long discovery takes for a response, beyond the time that its call waits.
        """
        longest_ms = max(MAX_EXPECTED_RESPONSE_MS, self.wait_ms + MAX_EXPECTED_BEYOND_WAIT_MS)
        expected_ms = min(self.wait_ms + RESPONSE_TIME_FACTOR * service_ms, longest_ms)
        has_backups = service_ms < sum(self.backup_delays_ms)
        return replace(
            self,
            first_byte_ms=max(self.first_byte_ms, expected_ms),
            response_ms=max(self.response_ms, expected_ms),
            backup_delays_ms=self.backup_delays_ms if has_backups else (),
        )


@dataclass(slots=True, frozen=True)
class CallTimes:
    """The times of a node's calls, which depend on its settings.

    Attributes:
        watch_wait_ms: How long a watch call may wait for a change.
        confirmation_backup_delays_ms: `DiscoveryCall.backup_delays_ms` of calls that confirm the list.
        full_list_backup_delays_ms: The same of calls for the full list.
        stall_ms: `DiscoveryCall.stall_ms` of all calls.
    """

    watch_wait_ms: float = MAX_WATCH_WAIT_MS
    confirmation_backup_delays_ms: tuple[float, ...] = (POLLED_BACKUP_DELAY_MS,)
    full_list_backup_delays_ms: tuple[float, ...] = ()
    stall_ms: float = POLLED_STALL_MS

    @classmethod
    def of(cls, settings: Settings) -> "CallTimes":
        """Return the times for settings.

        A change counts as notified 6 s after the watch that missed it fell silent, and attempts may begin for
        a drain's grace after that. Within this time a watch call times out, the policy pauses, and one more
        call may remain without a response. What is pushed counts as notified when discovery has it: after a
        reset, the list has to be renewed within the grace, even if one call remains without a response.
        """
        grace_ms = to_ms(settings.rules.drain_grace_ns)
        wait_ms = min(MAX_WATCH_WAIT_MS, max(MIN_WATCH_WAIT_MS, grace_ms))
        if settings.discovery is DiscoveryMode.POLLED:
            return cls(wait_ms)
        delay_ms = max(MIN_PUSHED_BACKUP_DELAY_MS, min(MAX_PUSHED_BACKUP_DELAY_MS, grace_ms / 4))
        delays_ms = (delay_ms, 2 * delay_ms)
        return cls(wait_ms, delays_ms, delays_ms, delay_ms)

    def watch(self, revision: int) -> DiscoveryCall:
        """A call that waits for changes since a revision."""
        return DiscoveryCall(
            _changes_target(revision, self.watch_wait_ms),
            first_byte_ms=self.watch_wait_ms + WATCH_SILENCE_MS,
            response_ms=self.watch_wait_ms + RESPONSE_TIMEOUT_MS,
            wait_ms=self.watch_wait_ms,
            stall_ms=self.stall_ms,
            give_up_ms=self.watch_wait_ms + LATE_RESPONSE_MS,
        )

    def confirmation(self, revision: int) -> DiscoveryCall:
        """A call for the changes since a revision that is answered also if there are none."""
        target = _changes_target(revision, CONFIRMATION_WAIT_MS)
        return self._call_without_wait(target, self.confirmation_backup_delays_ms)

    def full_list(self) -> DiscoveryCall:
        """A call for the full list."""
        return self._call_without_wait(LIST_PATH, self.full_list_backup_delays_ms)

    def _call_without_wait(self, target: str, backup_delays_ms: tuple[float, ...]) -> DiscoveryCall:
        return DiscoveryCall(
            target,
            first_byte_ms=LIST_TIMEOUT_MS,
            response_ms=LIST_TIMEOUT_MS,
            stall_ms=self.stall_ms,
            backup_delays_ms=backup_delays_ms,
        )


def _changes_target(revision: int, wait_ms: float) -> str:
    return f"{LIST_PATH}?after={revision}&wait_ms={wait_ms:.0f}"
