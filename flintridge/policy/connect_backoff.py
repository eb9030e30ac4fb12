"""Connect backoff: for how long a server that could not be connected to gets no requests."""

import random
from dataclasses import dataclass

from flintridge.api import Outcome

NS_PER_S = 1_000_000_000
CONNECT_BACKOFF_NS = NS_PER_S  # after the first failure
CONNECT_BACKOFF_MAX_NS = 16 * CONNECT_BACKOFF_NS
MIN_JITTER = 0.5  # the backoff is this to 1 times its length
INCONCLUSIVE_OUTCOMES = (
    Outcome.CANCELLED,
    Outcome.WITHDRAWN,
    Outcome.TIMEOUT,
)  # of whether there was a connection


@dataclass(slots=True)
class ConnectBackoff:
    """The exponential backoff, with jitter, of one server.

    Attributes:
        failures: Failures to connect, in a row.
        until: The server is backed off from until this instant, in nanoseconds.
    """

    failures: int = 0
    until: int = 0

    def record(self, outcome: Outcome, now: int, rng: random.Random) -> None:
        """Take in how an attempt ended.

        Args:
            outcome: Of the attempt.
            now: In nanoseconds.
            rng: Drawn from once for a failure to connect.
        """
        if outcome is Outcome.CONNECT_FAILED:
            self.failures += 1
            backoff_ns = min(CONNECT_BACKOFF_NS * 2 ** (self.failures - 1), CONNECT_BACKOFF_MAX_NS)
            self.until = now + int(backoff_ns * rng.uniform(MIN_JITTER, 1))
        elif outcome not in INCONCLUSIVE_OUTCOMES:
            self.failures = 0
            self.until = 0

    def end(self) -> None:
        """Let requests go to the server again; the next backoff is as long as it would have been."""
        self.until = 0
