"""Ids of requests that must not be executed twice, remembered for some time after the requests have ended."""

from collections.abc import Iterator
from typing import Protocol

from flintridge.runtime.clock import Clock

# How long an id is remembered. A client that left may send its request again under the same id for as long as
# its own time lasts.
REMEMBERED_MS = 10_000.0
MAX_REMEMBERED_IDS = 1_024


class IdClaims(Protocol):
    """Claims on ids that all processes of a node share."""

    def claim(self, request_id: str) -> bool:
        """Claim an id for this process; False if another process has claimed it."""

    def release(self, request_id: str) -> None:
        """Give up this process's claim on an id."""


class ExecutedIds:
    """The ids of requests that are open or may have been executed.

    Guards against executing a request twice whose client left without a response and sends it again under the
    same id: to this process, or to another process of the node.

    Attributes:
        claims: The claims that other processes of the node see; None while there are no others.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without ids."""
        self.claims: IdClaims | None = None
        self._clock = clock
        self._open: dict[str, None] = {}
        self._remembered: dict[str, float] = {}  # the instant at which each was remembered, the oldest first

    def __iter__(self) -> Iterator[str]:
        """Iterate over all ids."""
        self._expire()
        return iter([*self._open, *self._remembered])

    def try_begin(self, request_id: str) -> bool:
        """Record that a request begins; False if it may have been executed before under the same id."""
        self._expire()
        if request_id in self._remembered or request_id in self._open:
            return False
        if self.claims is not None and not self.claims.claim(request_id):
            return False
        self._open[request_id] = None
        return True

    def end(self, request_id: str, may_have_been_executed: bool) -> None:
        """Record that a request has ended, for which `try_begin` returned True.

        Args:
            request_id: The id of the request.
            may_have_been_executed: Whether a server may have executed it, so that the id is remembered.
        """
        del self._open[request_id]
        if not may_have_been_executed:
            self._release(request_id)
            return
        self._remembered[request_id] = self._clock.now()
        if len(self._remembered) > MAX_REMEMBERED_IDS:
            self._forget_oldest()

    def _expire(self) -> None:
        oldest_kept = self._clock.now() - REMEMBERED_MS
        while self._remembered and next(iter(self._remembered.values())) < oldest_kept:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        request_id = next(iter(self._remembered))
        del self._remembered[request_id]
        self._release(request_id)

    def _release(self, request_id: str) -> None:
        if self.claims is not None:
            self.claims.release(request_id)
