"""What the request lifecycle needs of the policy above it and the drivers below it."""

from typing import Protocol

from flintridge import api
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult


class Policy(Protocol):
    """Decides: which server, whether again, what to reject."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at the instant `now` (nanoseconds); the actions to carry out, in order.

        Not re-entrant.
        """


class HealthCheckCallback(Protocol):
    """Called once with the result of a health check."""

    def __call__(self, result: AttemptResult) -> None:
        """Take the result."""


class UpstreamDriver(Protocol):
    """Carries attempts to servers."""

    def start(self, attempt: UpstreamAttempt) -> None:
        """Make an attempt; `RequestLifecycle.attempt_ended` is called once for it."""

    def check_health(self, server: str, done: HealthCheckCallback) -> None:
        """Send a health check."""

    def close_idle_connections(self, server: str) -> None:
        """Close the connections to a server that carry no attempt."""


class DiscoveryDriver(Protocol):
    """Asks discovery for the endpoint list."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes, or end the subscription."""

    def fetch(self) -> None:
        """Ask for the list once."""
