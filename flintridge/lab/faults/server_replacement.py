"""Faults that replace servers: several at the same time, or one after another (churn)."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from flintridge.lab.fabric import RunClock
from flintridge.lab.faults.step_queue import StepPhase, StepQueue
from flintridge.lab.scenario import model as m
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.fleet_plan import ServerPlan

# Time that a server under churn drains in addition to discovery's delay and the nodes' drain grace.
DRAIN_MARGIN_MS = 500.0


@dataclass(slots=True, frozen=True)
class _RemovedServer:
    plan: ServerPlan
    address_of: str  # the party at whose address the server listened


@dataclass(slots=True)
class _ChurnRun:
    fault: m.Churn
    rng: random.Random
    remaining: list[str] = field(default_factory=list)  # servers still to drain, the next one last


class ServerReplacement:
    """Removes servers and starts new ones in their place, optionally at the same addresses."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        clock: RunClock,
        steps: StepQueue,
        apply: Callable[[], Awaitable[None]],
        record_end: Callable[[int], None],
    ) -> None:
        """Prepare to replace servers of a fleet.

        Args:
            fleet: The fleet.
            clock: The run's clock.
            steps: The queue in which later steps are scheduled.
            apply: Applies the effects of the active faults to the fleet.
            record_end: Records the end of the fault with a number.
        """
        self._fleet = fleet
        self._clock = clock
        self._steps = steps
        self._apply = apply
        self._record_end = record_end
        self._removed: dict[int, list[_RemovedServer]] = {}  # removed servers by the number of their fault

    async def start_replacement(self, number: int, servers: Sequence[str], fault: m.Replace) -> None:
        """Remove servers immediately, and schedule the start of their replacements.

        Args:
            number: The fault's number in the scenario.
            servers: The ids of the servers.
            fault: The fault.
        """
        # All addresses are read before the first server is removed.
        addresses = [self._fleet.servers[server].party for server in servers]
        self._removed[number] = [
            _RemovedServer(self._fleet.remove(server), address)
            for server, address in zip(servers, addresses, strict=True)
        ]
        await self._apply()
        end_ms = fault.at_s * 1000 + fault.for_s * 1000
        self._steps.add(end_ms, StepPhase.END, partial(self._end_replacement, number, fault.same_address))

    async def _end_replacement(self, number: int, same_address: bool) -> None:
        for removed in self._removed.pop(number):
            await self._fleet.replace(removed.plan, removed.address_of if same_address else None)
        self._record_end(number)
        await self._apply()

    def start_churn(self, fault: m.Churn, rng: random.Random) -> None:
        """Schedule the drains of one server after another.

        Args:
            fault: The fault; the caller schedules its end.
            rng: The fault's own random generator.
        """
        start_ms = fault.at_s * 1000
        interval_ms = fault.every_s * 1000
        churn = _ChurnRun(fault, rng)
        count = int(fault.for_s * 1000 / interval_ms + 1e-9)
        for index in range(max(1, count)):
            step = partial(self._drain_next, churn)
            self._steps.add(start_ms + index * interval_ms, StepPhase.START, step)

    async def _drain_next(self, churn: _ChurnRun) -> None:
        """Drain the next server: each server once in random order, then their replacements."""
        servers = self._fleet.servers
        for _ in range(2):
            while churn.remaining:
                server = churn.remaining.pop()
                if server in servers and servers[server].up and not servers[server].model.draining:
                    self._fleet.drain(server)
                    at_ms = self._clock.now() + self._drain_ms()
                    self._steps.add(at_ms, StepPhase.END, partial(self._replace_drained, churn.fault, server))
                    return
            churn.remaining.extend(churn.rng.sample(list(servers), len(servers)))

    async def _replace_drained(self, fault: m.Churn, server: str) -> None:
        host = self._fleet.servers.get(server)
        if host is None:  # another fault has replaced the server in the meantime
            return
        address_of = host.party if fault.same_address else None
        await self._fleet.replace(self._fleet.remove(server), address_of)
        await self._apply()

    def _drain_ms(self) -> float:
        """Return a drain time (ms) in which every node is notified and ends its attempts at the server."""
        scenario = self._fleet.scenario
        notice = scenario.discovery.notice_s
        max_notice_s = max(notice) if isinstance(notice, tuple) else notice
        return max_notice_s * 1000 + scenario.rules.drain_grace_ms + DRAIN_MARGIN_MS
