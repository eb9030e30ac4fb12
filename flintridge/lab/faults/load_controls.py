"""What the faults need of the clients."""

from collections.abc import Callable, Sequence
from typing import Protocol


class LoadControls(Protocol):
    """Controls of the clients, which follow them from each call on."""

    def burst(self, factor: Callable[[float], float]) -> None:
        """Vary the request rate.

        Args:
            factor: Returns the multiple of the usual rate at a time of the run (ms).
        """

    def hot_key(self, part: float) -> object:
        """Make one unpopular key hot.

        Args:
            part: Fraction of all reads that ask for it.
        """

    def cool(self) -> None:
        """Have no hot key any more."""

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """Start or stop clients that send malformed requests.

        Args:
            per_s: Clients a second.
            kinds: What they send; empty: of all kinds.
            on: Whether they start.
        """
