"""Ids of requests that must not be executed twice, remembered for some time after the requests have ended."""

import enum
from collections import deque
from collections.abc import Iterator
from typing import Protocol

from flintridge.core.memory_budget import MemoryBudget, unlimited_memory
from flintridge.runtime.clock import Clock
from flintridge.runtime.shared_ids import digest_of

# How long an id is remembered. A client that left may send its request again under the same id for as long as
# its own time lasts.
REMEMBERED_MS = 10_000.0
# What an open or a remembered id uses, with its share of the containers.
ID_BYTES = 256
# The fraction of the process's memory for its clients that ids may use.
MEMORY_FRACTION = 1 / 4


class IdClaims(Protocol):
    """Claims on ids that all processes of a node share. Ids are given by their digests."""

    def claim(self, digest: bytes) -> bool:
        """Claim an id for this process; False if another process has claimed it."""

    def release(self, digest: bytes) -> None:
        """Give up this process's claim on an id."""


class BeginResult(enum.Enum):
    """Whether a request may begin under its id."""

    BEGUN = enum.auto()
    IN_USE = enum.auto()  # a request with this id is open, or may have been executed
    NO_MEMORY = enum.auto()  # the id could not be remembered


class ExecutedIds:
    """The ids of requests that are open or may have been executed.

    Guards against executing a request twice whose client left without a response and sends it again under the
    same id: to this process, or to another process of the node. No id is forgotten before its time: a request
    whose id could not be remembered does not begin.

    Attributes:
        claims: The claims that other processes of the node see; None while there are no others.
        memory: Memory for the ids, a part of the process's memory for its clients.
    """

    def __init__(self, clock: Clock, process_memory: MemoryBudget | None = None) -> None:
        """Start without ids.

        Args:
            clock: The node's clock.
            process_memory: Memory for everything that the process holds for its clients; None: no limit.
        """
        process_memory = process_memory or unlimited_memory(clock)
        self.claims: IdClaims | None = None
        self.memory = MemoryBudget(int(process_memory.total * MEMORY_FRACTION), clock, process_memory)
        self._clock = clock
        self._open: set[bytes] = set()
        self._remembered: set[bytes] = set()
        self._ends: deque[tuple[float, bytes]] = deque()  # when each remembered one ended, the oldest first

    def open_digests(self) -> Iterator[bytes]:
        """Iterate over the ids of open requests."""
        return iter(self._open)

    def remembered_digests(self) -> Iterator[bytes]:
        """Iterate over the ids of requests that have ended and may have been executed."""
        self._expire()
        return iter(self._remembered)

    def try_begin(self, request_id: str) -> BeginResult:
        """Record that a request begins, unless it may have been executed before under the same id."""
        self._expire()
        digest = digest_of(request_id)
        if digest in self._remembered or digest in self._open:
            return BeginResult.IN_USE
        if not self.memory.try_reserve(ID_BYTES):
            return BeginResult.NO_MEMORY
        if self.claims is not None and not self.claims.claim(digest):
            self.memory.release(ID_BYTES)
            return BeginResult.IN_USE
        self._open.add(digest)
        return BeginResult.BEGUN

    def end(self, request_id: str, may_have_been_executed: bool) -> None:
        """Record that a request has ended which has begun.

        Args:
            request_id: The id of the request.
            may_have_been_executed: Whether a server may have executed it, so that the id is remembered.
        """
        digest = digest_of(request_id)
        self._open.remove(digest)
        if may_have_been_executed:
            self._remembered.add(digest)
            self._ends.append((self._clock.now(), digest))
        else:
            self._release(digest)

    def _expire(self) -> None:
        oldest_kept = self._clock.now() - REMEMBERED_MS
        while self._ends and self._ends[0][0] < oldest_kept:
            _, digest = self._ends.popleft()
            self._remembered.remove(digest)
            self._release(digest)

    def _release(self, digest: bytes) -> None:
        self.memory.release(ID_BYTES)
        if self.claims is not None:
            self.claims.release(digest)
