"""Discovery's desk: one call after another, and watches that wait until there is something newer."""

import heapq
from collections import deque
from dataclasses import dataclass

from flintridge.lab.world.discovery_list import Change, Roll

MAX_WAIT_MS = 60_000.0
OK, UNAVAILABLE = 200, 503


@dataclass(slots=True)
class Call:
    key: int  # the caller's own name for it
    node: str
    after: int  # 0: the whole list is asked for
    watches: bool  # it may wait for something newer,
    until: float  # until then (ms of the day)
    queued: float  # when it last began to wait for its turn
    paid: bool = False  # its turn was taken; only its answer is left to write
    gone: bool = False  # nobody waits for the answer any more


@dataclass(slots=True, frozen=True)
class Reply:
    """What to write to a call; `changes` are the entries of a list (or of a change of it) at `revision`."""

    call: Call
    status: int
    revision: int = 0
    complete: bool = False
    changes: tuple[Change, ...] = ()
    garbage: bool = False


class Desk:
    """Calls in their order. Whoever drives it calls `advance` when `due` has come, and after each change."""

    def __init__(self, roll: Roll, call_ms: float, line_ms: float, timeout_ms: float) -> None:
        self.slow = 1.0
        self.down = ""  # refuses, errors, silent, garbage
        self._roll = roll
        self._call_ms, self._line_ms, self._timeout_ms = call_ms, line_ms, timeout_ms
        self._open: dict[int, Call] = {}
        self._queue: deque[Call] = deque()
        self._parked: dict[int, Call] = {}
        self._ends: list[tuple[float, int]] = []  # of parked calls, some of them answered by now
        self._serving: tuple[float, Call, Reply | None] | None = None  # done at, call, answer
        self._seen = roll.revision

    def arrive(
        self, now: float, key: int, node: str, after: int, wait_ms: float
    ) -> tuple[Call, Reply | None]:
        """Take a call in, or answer it at once where discovery is down and says so."""
        wait = min(wait_ms, MAX_WAIT_MS) if after > 0 else 0.0
        call = Call(key, node, after, wait > 0, now + wait, now)
        if self.down:
            return call, self._refusal(call)
        self._open[key] = call
        self._queue.append(call)
        return call, None

    def leave(self, key: int) -> Call | None:
        """The caller is gone; the call, if it was still open."""
        call = self._open.pop(key, None)
        if call is not None:
            call.gone = True
            self._parked.pop(key, None)
        return call

    def set_down(self, how: str) -> tuple[list[Call], list[Reply]]:
        """Go down, or come up with "": the calls that this ends, and what is written to those that get to
        know of it."""
        if how == self.down:
            return [], []
        self.down = how
        if not how:
            return [], []
        ended = list(self._open.values())
        for call in ended:
            call.gone = True
        self._open.clear()
        self._queue.clear()
        self._parked.clear()
        self._ends.clear()
        self._serving = None
        return ended, [reply for call in ended if (reply := self._refusal(call)) is not None]

    def due(self) -> float | None:
        """When something happens next (ms of the day), if nothing changes."""
        times: list[float] = []
        if self._serving is not None:
            times.append(self._serving[0])
        elif self._queue:
            return self._queue[0].queued
        if self._queue:
            times.append(self._queue[0].queued + self._timeout_ms)
        while self._ends and self._ends[0][1] not in self._parked:
            heapq.heappop(self._ends)
        if self._ends:
            times.append(self._ends[0][0])
        return min(times) if times else None

    def advance(self, now: float) -> list[Reply]:
        """All answers that are ready by `now`, in their order."""
        if self.down:
            return []
        self._wake(now)
        replies: list[Reply] = []
        while True:
            self._time_out(now, replies)
            if self._serving is not None:
                if self._serving[0] > now:
                    return replies
                self._finish(now, replies)
            elif self._queue:
                self._begin(now)
            else:
                return replies

    # The steps of a call

    def _wake(self, now: float) -> None:
        """Parked calls go back into the queue once there is something newer, or their wait is over."""
        if self._roll.revision != self._seen:
            self._seen = self._roll.revision
            woken = list(self._parked)
        else:
            woken = []
            while self._ends and self._ends[0][0] <= now:
                _, key = heapq.heappop(self._ends)
                if key in self._parked and self._parked[key].until <= now:
                    woken.append(key)
        for key in woken:
            call = self._parked.pop(key)
            call.queued = now
            self._queue.append(call)

    def _time_out(self, now: float, replies: list[Reply]) -> None:
        while self._queue and (self._queue[0].gone or self._queue[0].queued + self._timeout_ms <= now):
            call = self._queue.popleft()
            if not call.gone:
                del self._open[call.key]
                replies.append(Reply(call, UNAVAILABLE))

    def _begin(self, now: float) -> None:
        call = self._queue.popleft()
        reply = self._answer(now, call)
        cost = 0.0 if call.paid else self._call_ms
        if reply is not None:
            cost += self._line_ms * len(reply.changes)
        call.paid = True
        self._serving = (now + cost * self.slow, call, reply)

    def _finish(self, now: float, replies: list[Reply]) -> None:
        assert self._serving is not None
        _, call, reply = self._serving
        self._serving = None
        if call.gone:
            return
        if reply is None and (reply := self._answer(now, call)) is not None and reply.changes:
            # Something became listed while the call was looked at: its lines are still to be paid.
            call.queued = now
            self._queue.append(call)
        elif reply is None:
            self._parked[call.key] = call
            heapq.heappush(self._ends, (call.until, call.key))
        else:
            del self._open[call.key]
            replies.append(reply)

    def _answer(self, now: float, call: Call) -> Reply | None:
        """None: nothing newer, and it may still wait."""
        changes = self._roll.since(call.after)
        if changes is None:
            return Reply(call, OK, self._roll.revision, True, tuple(self._roll.whole()))
        if not changes and call.until > now:
            return None
        return Reply(call, OK, self._roll.revision, False, tuple(changes))

    def _refusal(self, call: Call) -> Reply | None:
        if self.down == "errors":
            return Reply(call, UNAVAILABLE)
        if self.down == "garbage":
            return Reply(call, OK, garbage=True)
        return None
