"""A cache server as a model: cores that are shared, a waiting room, memory, and what goes wrong with it.

It knows no I/O and no clock: times (ms of the day) are passed in and never go back. Work is counted in
milliseconds of a core of speed 1.

All that is served at once advances alike, so `_served` counts the work that each running job got so far, and
a job ends when that reaches a fixed figure: an event costs the same however many jobs run.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from math import inf, sqrt

from flintridge.lab.scenario.model import Kind, Rules
from flintridge.lab.world.draws import draw, scatter
from flintridge.lab.world.offered import Offered
from flintridge.lab.world.store import Store

NEW, WAITING, RUNNING, ENDED = range(4)
REPORT_MS = (100.0, 400.0)  # between two refreshes of the load report
REPORT_NOISE = 0.05  # standard deviation of a figure in it, as a share
MIN_CORES = 0.02  # of the cores, that others leave at least
ERROR_RAN = 0.5  # of the requests that end in an error of the kind's own rate: took effect all the same
ROUNDING = 1e-9  # work-ms


class Job:
    """A request at a server. Its outcome is set when it ends: value, miss, busy or error."""

    __slots__ = ("cost", "key", "outcome", "over_at", "ran", "state", "version", "work", "write")

    def __init__(self, key: str, write: bool, work: float, over_at: float) -> None:
        self.key = key
        self.write = write
        self.work = work  # of a hit
        self.over_at = over_at  # whoever asked waits no longer
        self.cost = -1.0  # what it takes here, by what is stored when it arrives
        self.state = NEW
        self.version = 0  # of the copy that it found; 0: a miss
        self.outcome = ""
        self.ran = False


class Machine:
    """What was drawn for one server: it stays the same over its restarts."""

    __slots__ = ("queue", "speed")

    def __init__(self, kind: Kind, rng: random.Random) -> None:
        self.speed = max(1e-6, draw(rng, kind.speed))
        self.queue = max(0, round(draw(rng, kind.queue_per_core) * kind.cores))  # places in the waiting room


class CacheModel:
    """One life of a server, from a start on.

    `cold` starts at `kind.cold_from` of the capacity and gains evenly over `kind.cold_s`. After `advance` or
    `offer`, `due()` tells when to call `advance` next. `touched` is called before and after a knob that
    changes the speed is turned, for whoever drives the model to bring it up to date.
    """

    __slots__ = (
        "_at",
        "_busy_ms",
        "_chores",
        "_crowd_part",
        "_done",
        "_due",
        "_ended",
        "_found",
        "_heap",
        "_lacked",
        "_offered",
        "_order",
        "_pause_at",
        "_pause_ends",
        "_paused",
        "_rate",
        "_report",
        "_report_at",
        "_report_from",
        "_rng",
        "_room",
        "_rules",
        "_running",
        "_served",
        "_slope",
        "_slots",
        "_slow",
        "_speed",
        "_stale",
        "_stalled",
        "_started",
        "_touched",
        "_waiting",
        "_warm_at",
        "draining",
        "error_part",
        "fallen",
        "kind",
        "lost_part",
        "reset_part",
        "spoilt_part",
        "stale_after_ms",
        "stale_silent",
        "store",
    )

    def __init__(
        self,
        kind: Kind,
        machine: Machine,
        rules: Rules,
        store: Store,
        rng: random.Random,
        now: float,
        cold: bool,
        touched: Callable[[], None] | None = None,
    ) -> None:
        self.kind = kind
        self.store = store
        self.fallen = False  # rule 4: pushed over while cold; whoever drives it must stop it
        # Knobs, to be set at any time
        self.draining = False
        self.error_part = 0.0  # of requests: an error at once
        self.reset_part = 0.0  # the connection is reset once the command arrived (the driver's)
        self.spoilt_part = 0.0  # (the driver's)
        self.lost_part = 0.0  # (the driver's)
        self.stale_after_ms = 0.0  # 0: never (the driver's)
        self.stale_silent = False
        self._slow = 1.0
        self._crowd_part = 0.0
        # What it is
        self._rules = rules
        self._rng = rng
        self._speed = machine.speed
        self._room = machine.queue
        self._slots = kind.cores * kind.slots_per_core
        self._started = now
        cold_ms = kind.cold_s * 1000 if cold else 0.0
        self._warm_at = now + cold_ms if cold_ms else -inf
        self._slope = (1.0 - kind.cold_from) / cold_ms if cold_ms else 0.0
        self._touched = touched
        # What it does
        self._at = now
        self._served = 0.0
        self._rate = 0.0  # of one job when warm, work-ms a ms
        self._stale = True  # rate and due must be reckoned anew
        self._due = inf
        self._heap: list[tuple[float, int, Job | None]] = []  # None: a chore
        self._order = 0
        self._running = 0
        self._chores = 0
        self._waiting: deque[Job] = deque()
        self._stalled: list[Job] = []  # arrived during a pause
        self._done: list[Job] = []
        self._paused = False
        self._pause_at = (
            now + rng.expovariate(1.0 / (kind.pause_every_s * 1000)) if kind.pause_every_s else inf
        )
        self._pause_ends = inf
        self._offered = Offered(rules.overload_window_ms)  # while cold
        # The load report
        self._busy_ms = 0.0
        self._ended = self._found = self._lacked = 0
        self._report = dict.fromkeys(("qps", "util", "x0", "inflight", "queue"), 0.0)
        self._report_from = now
        self._report_at = now + rng.uniform(*REPORT_MS)

    # Knobs that change the speed

    @property
    def slow(self) -> float:
        """All work takes this many times as long."""
        return self._slow

    @slow.setter
    def slow(self, factor: float) -> None:
        self._touch()
        self._slow = max(factor, 1e-6)
        self._stale = True
        self._touch()

    @property
    def crowd_part(self) -> float:
        """Of the cores, what others use."""
        return self._crowd_part

    @crowd_part.setter
    def crowd_part(self, part: float) -> None:
        self._touch()
        self._crowd_part = part
        self._stale = True
        self._touch()

    def _touch(self) -> None:
        if self._touched is not None:
            self._touched()

    def take_knobs(self, other: "CacheModel") -> None:
        """Of an earlier life: a fault outlasts a restart. Whether it drains does not."""
        for name in (
            "error_part",
            "reset_part",
            "spoilt_part",
            "lost_part",
            "stale_after_ms",
            "stale_silent",
        ):
            setattr(self, name, getattr(other, name))
        self._slow = other._slow
        self._crowd_part = other._crowd_part
        self._stale = True

    # What it can do and what it holds

    @property
    def warm_capacity(self) -> float:
        """Work-ms a millisecond when warm and unharmed."""
        return self.kind.cores * self._speed

    def capacity(self, now: float) -> float:
        """Work-ms a millisecond now: colder, slower or crowded."""
        cores = self.kind.cores * max(MIN_CORES, 1.0 - self._crowd_part)
        return cores * self._speed * self._ramp(now) / self._slow

    @property
    def cold_ms(self) -> float:
        """From its start until it is warm; 0 for one that started warm."""
        return max(0.0, self._warm_at - self._started)

    @property
    def inflight(self) -> int:
        """Requests in slots and in the waiting room."""
        return self._running + len(self._waiting) + len(self._stalled)

    @property
    def queue(self) -> int:
        return len(self._waiting)

    def report(self, now: float) -> dict[str, float]:
        """The load as it was at the last refresh, with noise."""
        if now >= self._report_at:
            self._refresh_report(now)
        return self._report

    # What comes in

    def arrive(self, now: float, job: Job) -> float:
        """A command arrived: what it costs here (work-ms). This is the work that rule 4 counts, whether it
        runs or not; while cold it may push the server over (`fallen`)."""
        hit = not job.write and self.store.has(now, job.key)
        job.cost = cost = job.work if hit else job.work * self.kind.miss_work
        if now < self._warm_at:
            self._count_offered(now, cost)
        return cost

    def offer(self, now: float, job: Job) -> str | None:
        """Begin a request or let it wait; what is turned away at once has its outcome as the result."""
        self._run_to(now)
        if job.cost < 0:
            self.arrive(now, job)
        if self._paused:
            job.state = WAITING
            self._stalled.append(job)
            return None
        return self._admit(job)

    def chore(self, now: float, work: float) -> None:
        """Work beside the requests, as of a handshake or a probe: it takes a share of the cores."""
        if work <= 0:
            return
        self._run_to(now)
        self._push(work, None)
        self._chores += 1

    def cancel(self, now: float, job: Job) -> bool:
        """Nobody waits for it any more: whether its work stops."""
        how = self.kind.drops_cancelled
        self._run_to(now)
        if how == "none" or job.state not in (WAITING, RUNNING):
            return False
        if job.state == RUNNING:
            if how != "all":
                return False
            self._running -= 1  # what lies in the heap is passed over
            job.state = ENDED
            self._refill()
        else:
            job.state = ENDED
            (self._stalled if job in self._stalled else self._waiting).remove(job)
        self._stale = True
        return True

    # Time

    def due(self) -> float | None:
        """When to call `advance` next; None while there is nothing to do."""
        if self._done:
            return self._at
        if not (self._running or self._chores or self._stalled):
            return None
        found = self._next()
        return found if found < inf else None

    def advance(self, now: float) -> list[Job]:
        """Go on to `now`: the jobs that ended since the last call, in their order."""
        self._run_to(now)
        done = self._done
        if done:
            self._done = []
        return done

    def _run_to(self, now: float) -> None:
        while (due := self._next()) <= now:
            self._sync(due)
            self._step()
        self._sync(now)
        if now >= self._report_at:
            self._refresh_report(now)

    def _next(self) -> float:
        if self._stale:
            self._reckon()
        return self._due

    def _reckon(self) -> None:
        """The speed of each job as things are, and the next instant at which they change by themselves."""
        self._stale = False
        if self._paused:
            self._due = self._pause_ends
            return
        heap = self._heap
        while heap and (job := heap[0][2]) is not None and job.state == ENDED:
            heapq.heappop(heap)
        if not heap:
            self._served = 0.0  # small figures keep their precision
            self._due = self._pause_at
            return
        kind, busy = self.kind, self._running + self._chores
        cores = kind.cores * max(MIN_CORES, 1.0 - self._crowd_part)
        rate = self._speed / self._slow * min(1.0, cores / busy)
        beyond = (self._running + len(self._waiting)) / kind.cores - kind.crowd_at
        if beyond > 0:
            rate /= 1.0 + kind.crowd * beyond
        self._rate = rate
        self._due = min(self._at + self._time_for((heap[0][0] - self._served) / rate), self._pause_at)

    def _sync(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0:
            return
        if self._stale:
            self._reckon()
        busy = self._running + self._chores
        if busy and not self._paused:
            self._served += self._rate * self._warm_ms(passed)
            self._busy_ms += passed * min(1.0, busy / self.kind.cores)
        self._at = now

    def _step(self) -> None:
        self._stale = True
        if self._paused:
            self._paused = False
            self._pause_at = self._at + self._rng.expovariate(1.0 / (self.kind.pause_every_s * 1000))
            stalled, self._stalled = self._stalled, []
            for job in stalled:
                if self._admit(job) is not None:
                    self._done.append(job)
        elif self._at >= self._pause_at:
            self._paused = True
            self._pause_ends = self._at + draw(self._rng, self.kind.pause_ms)
        else:
            self._end_first()

    def _end_first(self) -> None:
        heap = self._heap
        ends = heap[0][0]
        self._served = max(self._served, ends)
        while heap and heap[0][0] <= ends + ROUNDING:
            job = heapq.heappop(heap)[2]
            if job is None:
                self._chores -= 1
            elif job.state == RUNNING:
                self._finish(job)
        self._refill()

    # Warmth

    def _ramp(self, now: float) -> float:
        if now >= self._warm_at:
            return 1.0
        return 1.0 - self._slope * (self._warm_at - max(now, self._started))

    def _warm_ms(self, passed: float) -> float:
        """What a time from `_at` on would be if it were warm all along."""
        cold = min(passed, self._warm_at - self._at)
        if cold <= 0:
            return passed
        return cold * (self._ramp(self._at) + self._slope * cold / 2) + passed - cold

    def _time_for(self, warm: float) -> float:
        """The reverse of `_warm_ms`."""
        cold = self._warm_at - self._at
        if cold <= 0:
            return max(0.0, warm)
        whole = self._warm_ms(cold)
        if warm >= whole:
            return cold + warm - whole
        start = self._ramp(self._at)
        if not self._slope:
            return max(0.0, warm / start)
        return max(0.0, 2 * warm / (sqrt(start * start + 2 * self._slope * warm) + start))

    # Requests

    def _admit(self, job: Job) -> str | None:
        job.state = ENDED
        if self.draining or self._at > job.over_at:
            job.outcome = "busy"
        elif self.error_part and self._rng.random() < self.error_part:
            job.outcome = "error"
        elif self._running < self._slots:
            self._start(job)
            return None
        elif len(self._waiting) < self._room:
            job.state = WAITING
            self._waiting.append(job)
            self._stale = True  # a fuller room may slow all
            return None
        else:
            job.outcome = "busy"
        return job.outcome

    def _start(self, job: Job) -> None:
        job.version = 0 if job.write else self.store.get(self._at, job.key)
        work = job.work if job.version else job.work * self.kind.miss_work
        if self.kind.speed_cv:
            work *= scatter(self._rng, self.kind.speed_cv)
        job.state = RUNNING
        self._running += 1
        self._push(work, job)

    def _push(self, work: float, job: Job | None) -> None:
        if self._stale:
            self._reckon()
        self._order += 1
        heapq.heappush(self._heap, (self._served + work, self._order, job))
        self._stale = True

    def _refill(self) -> None:
        waiting = self._waiting
        while waiting and self._running < self._slots:
            job = waiting.popleft()
            if self._at > job.over_at:
                job.state, job.outcome = ENDED, "busy"
                self._done.append(job)
            else:
                self._start(job)

    def _finish(self, job: Job) -> None:
        self._running -= 1
        job.state = ENDED
        hit = job.version > 0
        self._ended += 1
        if not job.write:
            self._found += hit
            self._lacked += not hit
        rng, rate = self._rng, self.kind.error_rate
        if rate and rng.random() < rate:
            job.outcome = "error"
            job.ran = hit and rng.random() < ERROR_RAN
        else:
            job.outcome = "value" if hit else "miss"
            job.ran = hit
        self._done.append(job)

    # Rule 4

    def _count_offered(self, now: float, cost: float) -> None:
        """A budget for every window while cold: its own capacity by then, whatever else slows it, since that
        is what the nodes are told of."""
        rules = self._rules
        most = rules.overload_multiple * self.warm_capacity * self._ramp(now) * rules.overload_window_ms
        if self._offered.add(now, cost) > most:
            self.fallen = True

    # The load report

    def _refresh_report(self, now: float) -> None:
        passed = max(1.0, now - self._report_from)
        looked = self._found + self._lacked
        figures = {
            "qps": self._ended / passed * 1000,
            "util": min(1.0, self._busy_ms / passed),
            "x0": self._found / looked if looked else self._report["x0"],
            "inflight": float(self.inflight),
            "queue": float(self.queue),
        }
        noise = self._rng.gauss
        self._report = {name: max(0.0, v * (1 + noise(0, REPORT_NOISE))) for name, v in figures.items()}
        self._busy_ms = 0.0
        self._ended = self._found = self._lacked = 0
        self._report_from = now
        self._report_at = now + self._rng.uniform(*REPORT_MS)
