"""Interfaces of the policy and the drivers that the request lifecycle uses."""

from typing import Protocol

from flintridge import api
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult


class Policy(Protocol):
    """Decides which server gets a request, whether to retry it and what to reject."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event. Not re-entrant.

        Args:
            now: The current instant, in nanoseconds.
            event: What happened.

        Returns:
            The actions to carry out, in order.
        """


class HealthCheckCallback(Protocol):
    """Called once with the result of a health check."""

    def __call__(self, result: AttemptResult) -> None:
        """Receive the result."""


class UpstreamDriver(Protocol):
    """Sends attempts to servers."""

    def start(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt; `RequestLifecycle.attempt_ended` is called once for it."""

    def check_health(self, server: str, done: HealthCheckCallback) -> None:
        """Send a health check; `done` is called with its result."""

    def close_idle_connections(self, server: str) -> None:
        """Close the connections to a server that carry no attempt."""


class DiscoveryDriver(Protocol):
    """Requests the endpoint list from discovery."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes, or end the subscription."""

    def fetch(self) -> None:
        """Request the list once."""
