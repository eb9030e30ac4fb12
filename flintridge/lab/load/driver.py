"""The load of a run: requests are started when they are due, and faults change the load."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.arrival_schedule import ArrivalSchedule
from flintridge.lab.load.arrivals import STEP_MS, RateFactor, Slot, baseline, step_of
from flintridge.lab.load.clients import Clients
from flintridge.lab.load.connection_pool import ConnectionPools
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.load_balancer import LoadBalancer
from flintridge.lab.load.malformed_clients import MalformedClientContext, MalformedClients
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth

FINISH_MARGIN_MS = 7_000.0  # beyond the longest deadline, until which a run waits for what is open


class LoadDriver:
    """The clients of a run.

    Faults change the load by `burst`, `hot_key`, `cool` and `bad_clients`.

    Attributes:
        schedule: Which requests come when.
        load_balancer: Which node a request goes to.
    """

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        log: RecordLog,
        ground_truth: GroundTruth,
        fabric: Fabric,
        nodes: Sequence[str],
        node_zones: Mapping[str, str],
        *,
        size_of: Callable[[str], int] | None = None,
        base: Path | None = None,
        on_request: Callable[[GeneratedRequest], object] | None = None,
    ) -> None:
        """Create a driver that sends nothing yet.

        Args:
            scenario: The scenario.
            seeds: Random generators by name.
            log: Where the clients record what they see.
            ground_truth: Where they put what a request is about.
            fabric: What they connect by.
            nodes: All nodes.
            node_zones: Their zones.
            size_of: As for `ArrivalSchedule`.
            base: As for `ArrivalSchedule`.
            on_request: Is notified of each request when it is started, as for a trace.

        Raises:
            OSError: The scenario's trace can't be read.
            ValueError: The trace does not fit the scenario.
        """
        zones = [node_zones.get(node, "") for node in nodes]
        self.schedule = ArrivalSchedule(scenario, seeds, zones, size_of, base)
        settings = scenario.clients
        self.load_balancer = LoadBalancer(nodes, node_zones, settings.notice_s, fabric, log, seeds)
        self._clock = fabric.clock
        max_idle_ms = settings.idle_s * 1000
        self._pools = ConnectionPools(fabric, log, self.load_balancer.deaths, settings.pipeline, max_idle_ms)
        self._clients = Clients(
            scenario, seeds, fabric.clock, log, ground_truth, self.load_balancer, self._pools
        )
        self._malformed = self._malformed_clients(scenario, seeds, fabric, log)
        self._on_request = on_request
        self._finish_limit_ms = max(cls.deadline_ms for cls in scenario.classes) + FINISH_MARGIN_MS
        self._factor: RateFactor = baseline
        self._due: deque[Slot] = deque()
        self._next_step = 0
        self._passed_ms = 0.0  # up to which arrivals have been started, or passed over
        self._timer: asyncio.TimerHandle | None = None
        self._all_started: asyncio.Future[None] | None = None

    def _malformed_clients(
        self, scenario: Scenario, seeds: Seeds, fabric: Fabric, log: RecordLog
    ) -> MalformedClients:
        rng = seeds.of("load/bad")
        generator = self.schedule.generator
        context = MalformedClientContext(
            fabric=fabric,
            load_balancer=self.load_balancer,
            log=log,
            encoder=self._clients.encoder,
            rng=rng,
            generate=lambda at_ms: generator.generate(Slot(at_ms, 0, 0, 0), rng),
            put_facts=self._clients.facts.put,
            machine_count=scenario.clients.pools,
            next_number=self._pools.next_number,
        )
        return MalformedClients(context)

    # The run

    async def start(self) -> None:
        """Get ready to be notified of nodes; nothing is sent yet."""
        self._pools.close_idle()

    async def wait_until_ready(self, timeout_ms: float) -> bool:
        """Wait until all nodes are in use; False where the time ran out."""
        return await self.load_balancer.wait_until_ready(timeout_ms)

    async def run(self) -> None:
        """Run until the last arrival was started and every attempt is over.

        The clients' own deadlines bound that; what is still open some seconds after the longest of them is
        left.
        """
        self._all_started = asyncio.get_running_loop().create_future()
        # What was due before this is passed over: sent all at once, it would be a burst of its own.
        self._passed_ms = max(self._clock.now(), self.schedule.start_ms)
        self._next_step = step_of(self._passed_ms)
        self._schedule_next()
        await self._all_started
        self._malformed.stop()
        try:
            async with asyncio.timeout(self._finish_limit_ms / 1000):
                await self._clients.idle.wait()
                await self._malformed.wait_until_finished()
        except TimeoutError:
            self._clients.stop()

    async def close(self) -> None:
        """Send nothing any more, and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self._clients.stop()
        await self._malformed.close()
        await self.load_balancer.close()
        await self._pools.close()

    @property
    def open_requests(self) -> int:
        """Requests that are not over."""
        return len(self._clients.open)

    # What faults change

    def burst(self, factor: RateFactor) -> None:
        """Let the rate at an instant (ms of the run) be this multiple of the baseline, from now on."""
        self._factor = factor
        if self._all_started is None or self._all_started.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        # What was scheduled under the old factor and is not due yet is scheduled anew; a timer may be late,
        # so some of it may be due.
        now_ms = self._clock.now()
        overdue = [slot for slot in self._due if slot.at_ms <= now_ms]
        self._passed_ms = max(self._passed_ms, now_ms)
        self._due = deque(overdue)
        self._next_step = step_of(self._passed_ms)
        self._schedule_next()

    def hot_key(self, fraction: float) -> str:
        """Let one key, chosen among the less popular half, take this fraction of the reads; its name."""
        return self.schedule.keys.heat(fraction)

    def cool(self) -> None:
        """Let no key be hot any more."""
        self.schedule.keys.cool()

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """Start or stop malformed clients.

        Args:
            per_s: How many a second.
            kinds: Of these kinds; none: of all.
            on: Whether to start.

        Raises:
            ValueError: There is no such kind.
        """
        if on:
            self._malformed.start(per_s, tuple(kinds))
        else:
            self._malformed.stop()

    # Arrivals

    def _schedule_next(self) -> None:
        """Set the timer for the next arrival, or for the next step where this one holds none."""
        assert self._all_started is not None
        if not self._due:
            if self._next_step * STEP_MS >= self.schedule.end_ms:
                self._all_started.set_result(None)
                return
            slots = self.schedule.step(self._next_step, self._factor)
            self._due.extend(slot for slot in slots if slot.at_ms > self._passed_ms)
            self._next_step += 1
        at_ms = self._due[0].at_ms if self._due else self._next_step * STEP_MS
        self._timer = self._clock.call_at(at_ms, self._start_due)

    def _start_due(self) -> None:
        now_ms = self._clock.now()
        while self._due and self._due[0].at_ms <= now_ms:
            slot = self._due.popleft()
            self._passed_ms = max(self._passed_ms, slot.at_ms)
            scheduled = self.schedule.request(slot)
            if self._on_request is not None:
                self._on_request(scheduled.request)
            self._clients.start(scheduled.request, scheduled.rng, counted=slot.at_ms >= 0)
        self._schedule_next()
