"""The interface through which faults control the clients."""

from collections.abc import Callable, Sequence
from typing import Protocol


class LoadControls(Protocol):
    """Controls of the clients; each call takes effect immediately."""

    def burst(self, factor: Callable[[float], float]) -> None:
        """Vary the request rate.

        Args:
            factor: Returns the factor by which the usual rate is multiplied at a time of the run (ms).
        """

    def hot_key(self, fraction: float) -> object:
        """Make one unpopular key hot.

        Args:
            fraction: The fraction of all reads that request the hot key.
        """

    def cool(self) -> None:
        """End the hot key."""

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """Start or stop clients that send malformed requests.

        Args:
            per_s: Clients that start per second.
            kinds: The kinds of malformed requests that they send; empty: all kinds.
            on: Whether to start rather than to stop them.
        """
