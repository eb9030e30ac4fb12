"""Checks whether an attempt may still begin, that is, whether its first byte may be written."""

from flintridge.core.request import UpstreamAttempt
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock


class AttemptWithdrawnError(FlintridgeError):
    """The attempt may not be written any more, and no byte of it was written."""


def check_may_begin(attempt: UpstreamAttempt, clock: Clock) -> None:
    """Check that the preconditions of an attempt still hold.

    The client is checked last, after all reads of the clock: if the process stalled at one of those, it would
    otherwise write for a client that has disconnected meanwhile.

    Raises:
        AttemptWithdrawnError: The attempt's deadline, a drain's grace period or a deduplication window has
            passed, the request has ended, or the client has disconnected.
    """
    now = clock.now()
    if now >= attempt.deadline or now > min(attempt.begin_by, attempt.written_by):
        raise AttemptWithdrawnError
    attempt.check_client()
    if attempt.request_ended:
        raise AttemptWithdrawnError
