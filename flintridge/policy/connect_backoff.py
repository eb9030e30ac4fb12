"""Connect backoff: how long a server gets no requests after connections to it failed."""

import random
from dataclasses import dataclass

from flintridge.api import Outcome

NS_PER_S = 1_000_000_000
CONNECT_BACKOFF_NS = NS_PER_S  # doubled with each further failure
CONNECT_BACKOFF_MAX_NS = 16 * CONNECT_BACKOFF_NS
MIN_JITTER = 0.5  # the backoff is multiplied by a random factor between this and 1
# Outcomes that do not show whether there was a connection.
INCONCLUSIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.TIMEOUT)


@dataclass(slots=True)
class ConnectBackoff:
    """The exponential backoff with jitter of one server.

    Attributes:
        failures: The number of consecutive failures to connect.
        until: The instant until which the server gets no requests, in nanoseconds.
    """

    failures: int = 0
    until: int = 0

    def record(self, outcome: Outcome, now: int, rng: random.Random) -> None:
        """Record the end of an attempt.

        Args:
            outcome: The outcome of the attempt.
            now: The current instant in nanoseconds.
            rng: The random generator; one number is drawn for each failure to connect.
        """
        if outcome is Outcome.CONNECT_FAILED:
            self.failures += 1
            backoff_ns = min(CONNECT_BACKOFF_NS * 2 ** (self.failures - 1), CONNECT_BACKOFF_MAX_NS)
            self.until = now + int(backoff_ns * rng.uniform(MIN_JITTER, 1))
        elif outcome not in INCONCLUSIVE_OUTCOMES:
            self.failures = 0
            self.until = 0

    def end(self) -> None:
        """End the backoff without resetting the number of failures, which determines the next backoff."""
        self.until = 0
