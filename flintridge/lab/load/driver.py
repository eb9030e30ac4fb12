"""The load of a run: starts requests at their scheduled times, and changes the load as faults require."""

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

FINISH_MARGIN_MS = 7_000.0  # a run waits for open requests this much longer than the longest deadline


class LoadDriver:
    """The clients of a run.

    Faults change the load by `burst`, `hot_key`, `cool` and `bad_clients`.

    Attributes:
        schedule: The requests and their arrival times.
        load_balancer: Chooses the node of a request.
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
            log: Receives the clients' records.
            ground_truth: Receives the facts about each attempt.
            fabric: Opens the clients' connections.
            nodes: Names of all nodes.
            node_zones: The zone of each node.
            size_of: As for `ArrivalSchedule`.
            base: As for `ArrivalSchedule`.
            on_request: Called with each request when it is started, for example to write a trace.

        Raises:
            OSError: The scenario's trace can't be read.
            ValueError: The trace does not match the scenario.
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
        self._handled_until_ms = 0.0  # arrivals up to this time have been started or skipped
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
        """Start the regular closing of idle connections; nothing is sent yet."""
        self._pools.close_idle()

    async def wait_until_ready(self, timeout_ms: float) -> bool:
        """Wait until all nodes are in use; return False on a timeout."""
        return await self.load_balancer.wait_until_ready(timeout_ms)

    async def run(self) -> None:
        """Run until the last arrival was started and every request has ended.

        The clients' own deadlines bound that time. Requests that are still open FINISH_MARGIN_MS after the
        longest deadline are dropped.
        """
        self._all_started = asyncio.get_running_loop().create_future()
        # Arrivals before this time are skipped: sent all at once, they would be a burst of their own.
        self._handled_until_ms = max(self._clock.now(), self.schedule.start_ms)
        self._next_step = step_of(self._handled_until_ms)
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
        """Stop sending, and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        self._clients.stop()
        await self._malformed.close()
        await self.load_balancer.close()
        await self._pools.close()

    @property
    def open_requests(self) -> int:
        """The number of requests that have not ended."""
        return len(self._clients.open)

    # Controls for faults, see LoadControls

    def burst(self, factor: RateFactor) -> None:
        """Set the rate from now on.

        Args:
            factor: Returns the multiple of the baseline rate at a time of the run (ms).
        """
        self._factor = factor
        if self._all_started is None or self._all_started.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        # Arrivals that the old factor scheduled and that are not due yet are scheduled again. The timer may
        # be late, so some arrivals may be due; these are kept.
        now_ms = self._clock.now()
        overdue = [slot for slot in self._due if slot.at_ms <= now_ms]
        self._handled_until_ms = max(self._handled_until_ms, now_ms)
        self._due = deque(overdue)
        self._next_step = step_of(self._handled_until_ms)
        self._schedule_next()

    def hot_key(self, fraction: float) -> str:
        """Direct this fraction of the reads to one key of the less popular half; return its name."""
        return self.schedule.keys.set_hot_key(fraction)

    def cool(self) -> None:
        """End the effect of `hot_key`."""
        self.schedule.keys.clear_hot_key()

    def bad_clients(self, per_s: float, kinds: Sequence[str], on: bool) -> None:
        """Start or stop malformed clients.

        Args:
            per_s: Malformed clients a second.
            kinds: Their kinds; empty: all kinds.
            on: Whether to start them; False stops them.

        Raises:
            ValueError: A kind is unknown.
        """
        if on:
            self._malformed.start(per_s, tuple(kinds))
        else:
            self._malformed.stop()

    # Arrivals

    def _schedule_next(self) -> None:
        """Set the timer for the next arrival, or for the next step if this one has no further arrivals."""
        assert self._all_started is not None
        if not self._due:
            if self._next_step * STEP_MS >= self.schedule.end_ms:
                self._all_started.set_result(None)
                return
            slots = self.schedule.step(self._next_step, self._factor)
            self._due.extend(slot for slot in slots if slot.at_ms > self._handled_until_ms)
            self._next_step += 1
        at_ms = self._due[0].at_ms if self._due else self._next_step * STEP_MS
        self._timer = self._clock.call_at(at_ms, self._start_due)

    def _start_due(self) -> None:
        now_ms = self._clock.now()
        while self._due and self._due[0].at_ms <= now_ms:
            slot = self._due.popleft()
            self._handled_until_ms = max(self._handled_until_ms, slot.at_ms)
            scheduled = self.schedule.request(slot)
            if self._on_request is not None:
                self._on_request(scheduled.request)
            self._clients.start(scheduled.request, scheduled.rng, counted=slot.at_ms >= 0)
        self._schedule_next()
