"""The load of a day: requests come when they are due, and clients go through with them."""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path

from flintridge.lab.fabric import Fabric
from flintridge.lab.load import trace
from flintridge.lab.load.arrivals import STEP_MS, Arrivals, Factor, Slot, step_of, stream, usual
from flintridge.lab.load.bad import BadClients
from flintridge.lab.load.client import Clients
from flintridge.lab.load.front import Front
from flintridge.lab.load.keys import Keys
from flintridge.lab.load.pool import Pools
from flintridge.lab.load.requests import Drawing, Drawn
from flintridge.lab.records import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.objects import Objects

SLACK_MS = 7_000.0  # beyond the longest deadline, until which a run waits for what is open


class Plan:
    """What comes over the day, whatever the nodes do: the slots step by step, and the request at each."""

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        node_zones: Sequence[str],
        size_of: Callable[[str], int] | None = None,
        base: Path | None = None,
    ) -> None:
        """`size_of` tells the bytes of a key's value (by default as the world has it); a trace is looked for
        relative to `base`. Raises OSError and ValueError where the trace can't be read."""
        size_of = size_of or Objects(scenario, seeds).size
        self.begin, self.end = -scenario.warmup_s * 1000, scenario.length_s * 1000
        self.keys = Keys(scenario.keys, seeds, self.begin)
        self.drawing = Drawing(scenario, seeds, self.keys, size_of, node_zones)
        self._source: Arrivals | trace.Replay
        self._draws: Drawing | trace.Replay
        if scenario.load.trace:
            asked = trace.read((base or Path()) / scenario.load.trace, scenario)
            replay = trace.Replay(asked, seeds, self.keys, size_of, self.begin, self.end)
            self._source = self._draws = replay
        else:
            self._source = Arrivals(scenario.load, seeds, self.begin, self.end)
            self._draws = self.drawing

    def step(self, number: int, factor: Factor = usual) -> list[Slot]:
        """The slots of a step, in order of time."""
        return self._source.step(number, factor)

    def request(self, slot: Slot) -> tuple[Drawn, random.Random]:
        """The request at a slot, and the stream of all that its tries draw. Slots must come in order."""
        rng = stream(slot)
        return self._draws.draw(slot, rng), rng

    def all(self) -> Iterator[Drawn]:
        """The whole day, without faults."""
        for number in range(step_of(self.begin), math.ceil(self.end / STEP_MS)):
            for slot in self.step(number):
                yield self.request(slot)[0]


class Load:
    """The clients of a day. It is also what the faults turn: `burst`, `hot_key`, `cool`, `bad_clients`."""

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        log: RecordLog,
        truth: GroundTruth,
        fabric: Fabric,
        nodes: Sequence[str],
        node_zones: Mapping[str, str],
        *,
        size_of: Callable[[str], int] | None = None,
        base: Path | None = None,
        on_request: Callable[[Drawn], object] | None = None,
    ) -> None:
        """`size_of` and `base` as for Plan; `on_request` is told each first try when it is asked, as for a
        trace. Raises OSError and ValueError where the scenario's trace can't be read."""
        self.plan = Plan(scenario, seeds, [node_zones.get(node, "") for node in nodes], size_of, base)
        habits = scenario.clients
        self.front = Front(nodes, node_zones, habits.notice_s, fabric, log, seeds)
        self._clock = fabric.clock
        self._pools = Pools(fabric, log, self.front.deaths, habits.pipeline, habits.idle_s * 1000)
        self._clients = Clients(scenario, seeds, fabric.clock, log, truth, self.front, self._pools)
        bad = seeds.of("load/bad")
        self._bad = BadClients(
            fabric,
            self.front,
            log,
            self._clients.writer,
            bad,
            lambda t: self.plan.drawing.draw(Slot(t, 0, 0, 0), bad),
            self._clients.write_down,
            habits.pools,
            self._pools.next_number,
        )
        self._on_request = on_request
        self._bound_ms = max(cls.deadline_ms for cls in scenario.classes) + SLACK_MS
        self._factor: Factor = usual
        self._due: deque[Slot] = deque()
        self._step = 0  # the next one to be planned
        self._last = 0.0  # up to which arrivals have been asked, or passed over
        self._timer: asyncio.TimerHandle | None = None
        self._all_asked: asyncio.Future[None] | None = None

    # The day

    async def start(self) -> None:
        """Ready for nodes to be told of; nothing is asked yet."""
        self._pools.sweep()

    async def ready(self, limit_ms: float) -> bool:
        """Wait until all nodes are in use; False where `limit_ms` ran out."""
        return await self.front.ready(limit_ms)

    async def run(self) -> None:
        """Until the last arrival of the day was asked and every try is over, which the clients' own deadlines
        bound; what is still open some seconds after the longest of them is left."""
        self._all_asked = asyncio.get_running_loop().create_future()
        # What was due before this is passed over: asked all at once, it would be a burst of its own.
        self._last = max(self._clock.now(), self.plan.begin)
        self._step = step_of(self._last)
        self._next()
        await self._all_asked
        self._bad.switch(0.0, (), False)
        try:
            async with asyncio.timeout(self._bound_ms / 1000):
                await self._clients.idle.wait()
                await self._bad.finished()
        except TimeoutError:
            self._clients.stop()

    async def close(self) -> None:
        """Nothing is asked any more, no connection stays open."""
        if self._timer is not None:
            self._timer.cancel()
        self._clients.stop()
        await self._bad.close()
        await self.front.close()
        await self._pools.close()

    @property
    def open(self) -> int:
        """Requests that are not over."""
        return len(self._clients.open)

    # What the faults turn

    def burst(self, factor: Factor) -> None:
        """The rate at an instant (ms of the day) is this multiple of the usual one, from now on."""
        self._factor = factor
        if self._all_asked is None or self._all_asked.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        # What was planned under the old factor and is not due yet is planned anew; a timer may be late, so
        # some of it may be due.
        now = self._clock.now()
        late = [slot for slot in self._due if slot.t <= now]
        self._last = max(self._last, now)
        self._due = deque(late)
        self._step = step_of(self._last)
        self._next()

    def hot_key(self, part: float) -> str:
        """One key, drawn among the less popular half, takes this share of the reads; its name."""
        return self.plan.keys.heat(part)

    def cool(self) -> None:
        """No key is hot any more."""
        self.plan.keys.cool()

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """So many clients a second that send what cannot be read, of these kinds (none: all), or no more.
        Raises ValueError for a kind that there is none of."""
        self._bad.switch(per_s, tuple(kinds), on)

    # Arrivals

    def _next(self) -> None:
        """Set the timer for the next arrival, or for the next step where this one holds none."""
        assert self._all_asked is not None
        if not self._due:
            if self._step * STEP_MS >= self.plan.end:
                self._all_asked.set_result(None)
                return
            self._due.extend(s for s in self.plan.step(self._step, self._factor) if s.t > self._last)
            self._step += 1
        at = self._due[0].t if self._due else self._step * STEP_MS
        self._timer = self._clock.call_at(at, self._arrive)

    def _arrive(self) -> None:
        now = self._clock.now()
        while self._due and self._due[0].t <= now:
            slot = self._due.popleft()
            self._last = max(self._last, slot.t)
            drawn, rng = self.plan.request(slot)
            if self._on_request is not None:
                self._on_request(drawn)
            self._clients.ask(drawn, rng, counted=slot.t >= 0)
        self._next()
