"""The origin as a model: slots, a bounded wait, repeats of keyed writes, and what goes wrong with it.

It knows no I/O and no clock: times (ms of the day) are passed in and never go back.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Origin
from flintridge.lab.world.draws import draw, lognormal
from flintridge.lab.world.offered import Offered

REPEAT_SLACK_MS = 50.0  # on the way, by which a repeat within its window may arrive later
FALLS = 2  # a day
DOWNS = ("", "declines", "errors", "silent", "refuses")


class OriginJob:
    """A request at the origin. Its outcome is set when it ends: value, receipt, busy or error."""

    __slots__ = ("idem", "joined", "key", "leader", "outcome", "over_at", "ran", "time", "window_ms", "write")

    def __init__(self, key: str, write: bool, over_at: float, idem: str = "", window_ms: float = 0.0) -> None:
        self.key = key
        self.write = write
        self.over_at = over_at
        self.idem = idem
        self.window_ms = window_ms  # within which a repeat of `idem` is dropped
        self.time = 0.0  # in a slot, when nothing slows the origin
        self.outcome = ""
        self.ran = False
        self.leader: OriginJob | None = None  # whose answer this one shares: it did nothing itself
        self.joined: list[OriginJob] = []


class OriginModel:
    """Knobs, to be set at any time: `slow` (of what begins from then on), `down`, `zone`.

    `down`: "declines" and "errors" answer so at once; "silent" takes requests and never begins them;
    "refuses" is for the driver. It goes on with what nobody waits for.
    """

    __slots__ = (
        "_done",
        "_down",
        "_fetches",
        "_firsts",
        "_offered",
        "_old_firsts",
        "_order",
        "_read_ms",
        "_rng",
        "_running",
        "_touched",
        "_waiting",
        "_waiting_ms",
        "fallen_until",
        "falls",
        "slow",
        "spec",
        "zone",
    )

    def __init__(self, spec: Origin, rng: random.Random, touched: Callable[[], None] | None = None) -> None:
        self.spec = spec
        self.zone = spec.zone or ""
        self.slow = 1.0
        self.falls = 0
        self.fallen_until = -inf  # it stopped because too much was asked of it
        self._down = ""
        self._touched = touched
        self._rng = rng
        self._read_ms = max(1e-3, draw(rng, spec.read_ms))
        self._running: list[tuple[float, int, OriginJob]] = []
        self._order = 0
        self._waiting: deque[OriginJob] = deque()
        self._waiting_ms = 0.0  # slot time
        self._done: list[OriginJob] = []
        self._fetches: dict[str, OriginJob] = {}  # by key, where reads share them
        self._firsts: dict[str, tuple[float, OriginJob]] = {}  # keyed writes by idempotency key
        self._old_firsts: deque[tuple[float, str]] = deque()
        self._offered = Offered(spec.fall_ms)

    @property
    def down(self) -> str:
        return self._down

    @down.setter
    def down(self, how: str) -> None:
        if how not in DOWNS:
            raise ValueError(f"the origin cannot be {how!r}")
        self._down = how
        if self._touched is not None:
            self._touched()

    @property
    def read_ms(self) -> float:
        """Mean time of a read in a slot."""
        return self._read_ms

    @property
    def capacity(self) -> float:
        """Slot milliseconds a millisecond, unharmed."""
        return float(self.spec.slots)

    @property
    def inflight(self) -> int:
        return len(self._running) + len(self._waiting)

    def report(self) -> dict[str, float]:
        busy = len(self._running) / self.spec.slots
        return {"inflight": float(self.inflight), "queue": float(len(self._waiting)), "util": busy}

    def wait_ms(self) -> float:
        """What a request that comes now would wait for a slot, as far as can be told."""
        if len(self._running) < self.spec.slots:
            return 0.0
        return self._waiting_ms * self._stretch() / self.spec.slots

    def _stretch(self) -> float:
        return self.slow * (1.0 + self.spec.crowd * len(self._waiting) / self.spec.slots)

    # What comes in

    def arrive(self, now: float, job: OriginJob) -> float:
        """A request arrived: the time in a slot that it takes (ms). Whatever becomes of it, this counts as
        asked; too much of it in a window stops the origin (`fallen_until`)."""
        spec = self.spec
        job.time = self._read_ms * lognormal(self._rng, spec.sigma) * (spec.write_times if job.write else 1.0)
        if spec.fall_multiple:
            self._count_offered(now, job.time)
        return job.time

    def offer(self, now: float, job: OriginJob) -> str | None:
        """What is answered at once has its outcome as the result; None: later, or never."""
        self._run_to(now)
        if self._down == "silent":
            return None
        if now > job.over_at or self._down in ("declines", "refuses"):
            job.outcome = "busy"
        elif self._down == "errors":
            job.outcome = "error"
        elif job.idem and (first := self._first(now, job)) is not None:
            return self._join(first, job)
        elif self.spec.shares_fetches and not job.write and job.key in self._fetches:
            return self._join(self._fetches[job.key], job)
        elif self.wait_ms() > self.spec.queue_s * 1000:
            job.outcome = "busy"
        else:
            self._admit(now, job)
            return None
        return job.outcome

    def _join(self, first: OriginJob, job: OriginJob) -> str | None:
        job.leader = first
        if not first.outcome:
            first.joined.append(job)
            return None
        job.outcome, job.ran = first.outcome, True
        return job.outcome

    def _admit(self, now: float, job: OriginJob) -> None:
        if job.idem:
            self._firsts[job.idem] = now, job
            self._old_firsts.append((now + job.window_ms + REPEAT_SLACK_MS, job.idem))
        if self.spec.shares_fetches and not job.write:
            self._fetches[job.key] = job
        if len(self._running) < self.spec.slots:
            self._start(now, job)
        else:
            self._waiting.append(job)
            self._waiting_ms += job.time

    def _start(self, now: float, job: OriginJob) -> None:
        self._order += 1
        heapq.heappush(self._running, (now + job.time * self._stretch(), self._order, job))

    def _first(self, now: float, job: OriginJob) -> OriginJob | None:
        """The write that this one repeats within its window."""
        old = self._old_firsts
        while old and old[0][0] < now:  # a long day must not grow without end
            ends, idem = old.popleft()
            found = self._firsts.get(idem)
            if found is not None and found[0] + found[1].window_ms + REPEAT_SLACK_MS <= ends:
                del self._firsts[idem]
        found = self._firsts.get(job.idem)
        if found is None or now > found[0] + found[1].window_ms + REPEAT_SLACK_MS:
            return None
        return found[1]

    # Time

    def due(self) -> float | None:
        """When to call `advance` next."""
        if self._done:
            return -inf
        return self._running[0][0] if self._running else None

    def advance(self, now: float) -> list[OriginJob]:
        """Go on to `now`: the jobs that ended since the last call; those that share an answer follow the one
        that made it."""
        self._run_to(now)
        done, self._done = self._done, []
        return done

    def _run_to(self, now: float) -> None:
        running = self._running
        while running and running[0][0] <= now:
            at, _, job = heapq.heappop(running)
            self._end(job, "receipt" if job.write else "value", ran=True)
            self._refill(at)

    def _refill(self, now: float) -> None:
        waiting = self._waiting
        while waiting and len(self._running) < self.spec.slots:
            job = waiting.popleft()
            self._waiting_ms = self._waiting_ms - job.time if waiting else 0.0
            if now > job.over_at and not job.joined:
                self._end(job, "busy", ran=False)
            else:
                self._start(now, job)

    def _end(self, job: OriginJob, outcome: str, ran: bool) -> None:
        job.outcome, job.ran = outcome, ran
        if not ran:
            self._forget(job)
        if self._fetches.get(job.key) is job:
            del self._fetches[job.key]
        self._done.append(job)
        for one in job.joined:
            one.outcome, one.ran = outcome, ran
            self._done.append(one)
        job.joined = []

    def _forget(self, job: OriginJob) -> None:
        """It never ran: what repeats it is no repeat."""
        found = self._firsts.get(job.idem)
        if found is not None and found[1] is job:
            del self._firsts[job.idem]

    # Its fall

    def _count_offered(self, now: float, time: float) -> None:
        spec, offered = self.spec, self._offered.add(now, time)
        if self.falls < FALLS and offered > spec.fall_multiple * self.capacity * spec.fall_ms:
            self.falls += 1
            self.fallen_until = now + draw(self._rng, spec.down_s) * 1000
            self.collapse()

    def collapse(self) -> None:
        """All that had not ended is lost and never ran."""
        for job in (*(entry[2] for entry in self._running), *self._waiting):
            self._forget(job)
        self._running.clear()
        self._waiting.clear()
        self._waiting_ms = 0.0
        self._fetches.clear()
        self._offered.clear()
