"""Whether an attempt may still begin, that is, have its first byte written."""

from flintridge.core.request import UpstreamAttempt
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock


class AttemptWithdrawnError(FlintridgeError):
    """The attempt may not be written any more; nothing of it was."""


def check_may_begin(attempt: UpstreamAttempt, clock: Clock) -> None:
    """See whether what an attempt rests on holds still.

    The client comes last, behind all looks at the clock: a node that is held up at one of these would write
    for a client that closed meanwhile.

    Raises:
        AttemptWithdrawnError: Its time, a drain's grace or a deduplication window is over, its request has
            ended, or its client has gone.
    """
    now = clock.now()
    if now >= attempt.deadline or now > min(attempt.begin_by, attempt.written_by):
        raise AttemptWithdrawnError
    attempt.check_client()
    if attempt.request_ended:
        raise AttemptWithdrawnError
