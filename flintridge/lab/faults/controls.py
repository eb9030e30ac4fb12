"""What the faults need of the clients."""

from collections.abc import Callable, Sequence
from typing import Protocol


class LoadControls(Protocol):
    """Turned by the timeline, and read by the clients from then on."""

    def burst(self, factor: Callable[[float], float]) -> None:
        """The rate at an instant (ms of the day) is this multiple of the usual one, from now on."""

    def hot_key(self, fraction: float) -> object:
        """One unpopular key takes such a share of all reads."""

    def cool(self) -> None:
        """No key is hot any more."""

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """So many clients a second of these kinds (empty: of all) begin, or end, to send what cannot be
        read."""
