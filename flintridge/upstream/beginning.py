"""Checks whether an attempt may still begin, that is, whether its first byte may be written."""

from enum import Enum

from flintridge.core.request import UpstreamAttempt
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock


class WithdrawalReason(Enum):
    """Why an attempt may not be written any more. The values name it in the log and in counters."""

    DEADLINE = "deadline"
    """The attempt's deadline has passed."""
    DRAIN_GRACE = "drain_grace"
    """If a drain of the server began when the attempt was decided, its grace period is over."""
    DEDUPLICATION_WINDOW = "deduplication_window"
    """The request may have run, and must not be repeated any more."""
    REQUEST_ENDED = "request_ended"
    """The request has its final response, or its client has disconnected."""
    SERVER_DRAINING = "server_draining"
    """The server wants no new requests."""
    SERVER_NOT_LISTED = "server_not_listed"
    """The server has another address by now, or has left the list."""


class AttemptWithdrawnError(FlintridgeError):
    """The attempt may not be written any more, and no byte of it was written.

    Attributes:
        reason: Why it may not.
    """

    def __init__(self, reason: WithdrawalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def check_may_begin(attempt: UpstreamAttempt, clock: Clock) -> None:
    """Check that the preconditions of an attempt still hold.

    The client is checked last, after all reads of the clock: if the process stalled at one of those, it would
    otherwise write for a client that has disconnected meanwhile.

    Raises:
        AttemptWithdrawnError: A precondition does not hold any more.
    """
    now = clock.now()
    if now >= attempt.deadline:
        raise AttemptWithdrawnError(WithdrawalReason.DEADLINE)
    if now > attempt.begin_by:
        raise AttemptWithdrawnError(WithdrawalReason.DRAIN_GRACE)
    if now > attempt.written_by:
        raise AttemptWithdrawnError(WithdrawalReason.DEDUPLICATION_WINDOW)
    attempt.check_client()
    if attempt.request_ended:
        raise AttemptWithdrawnError(WithdrawalReason.REQUEST_ENDED)
