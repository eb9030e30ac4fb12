"""Processes in virtual time that lease one another fractions of fleet-wide limits.

The fleet checks, independently of the processes, that the sum of what all may use stays within each limit.
`random_run` draws a run from one seed. Links lose, delay, duplicate and reorder datagrams and are cut in one
or both directions. Processes are paused, killed, restarted, and leave in order. Clocks drift apart, and
demands change.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from flintridge.lab.partial.random_faults import (
    PARTITIONS,
    RunEvent,
    partition_random_group,
    pause_for,
)
from flintridge.lab.partial.virtual_fleet import DetectorArguments, VirtualFleet
from flintridge.lab.partial.virtual_network import Link
from flintridge.leases.allocation import Allocation
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FLOORS, FleetLimit, LeaseTerms
from flintridge.leases.lease_manager import LeaseManager
from flintridge.membership.failure_detector import FailureDetector

CHECK_INTERVAL_MS = 20.0
SUM_TOLERANCE = 1e-9  # in even fractions; allows for rounding
REQUESTS_PER_EVEN_FRACTION = 100.0  # requests per second
QUOTA = "quota a"
EVENT_INTERVAL_MS = 300.0  # average time between two events
FIRST_EVENT_MS = 1_000.0
EVENTS = (
    *[RunEvent.DEMAND] * 6,
    RunEvent.PAUSE,
    RunEvent.PAUSE,
    RunEvent.KILL,
    RunEvent.KILL,
    RunEvent.LEAVE,
    RunEvent.PARTITION,
    RunEvent.ONE_WAY_PARTITION,
    RunEvent.HEAL,
    RunEvent.SLOW_LINKS,
)


class LeaseProcess(FailureDetector):
    """A failure detector with a lease manager, driven in the same way as in `leases/driver.py`."""

    manager: LeaseManager

    def tick(self, now: float) -> None:
        """See `FailureDetector.tick`; also sends the lease manager's messages."""
        super().tick(now)
        self.manager.tick(now)
        for receiver in self.manager.receivers():
            member = self.table.find(receiver.name, receiver.incarnation)
            if member is None or not member.reachable:
                self.manager.drop_messages(receiver)
            else:
                self.send_payloads(now, member)


class LeaseProcesses(VirtualFleet[LeaseProcess]):
    """Nodes that lease one another fractions of fleet-wide limits."""

    def __init__(
        self,
        count: int,
        seed: int,
        terms: LeaseTerms,
        build: type[Allocation] = Allocation,
        topic_bytes_per_s: float = 2_000.0,
        link: Link | None = None,
        drift: float = 0.0,
    ) -> None:
        """Start all nodes with a demand of one even fraction each.

        Args:
            count: The number of nodes.
            seed: The seed of all random draws.
            terms: The terms of all leases.
            build: The type of the allocations; a test passes a defective one here.
            topic_bytes_per_s: The byte rate at which a lease manager may send.
            link: The link of every direction; None for `Link()`.
            drift: The largest fraction by which a clock's rate differs from 1.
        """
        self.terms = terms
        self._allocation_type = build
        self._topic_bytes_per_s = topic_bytes_per_s
        self.limits = tuple(
            FleetLimit(name, REQUESTS_PER_EVEN_FRACTION * count, "requests a second", count, terms)
            for name in (QUOTA, FLOORS)
        )
        self.demands: dict[str, float] = {}
        # One text for each check at which the usable sum exceeded a limit.
        self.violations: list[str] = []
        # By name of the limit: the greatest usable sum so far, in even fractions.
        self.max_usable: dict[str, float] = {}
        super().__init__(count, seed, link=link, drift=drift)
        self.at(0.0, self._check_sums)

    def _build_detector(self, arguments: DetectorArguments) -> LeaseProcess:
        process = arguments.build(LeaseProcess)
        process.manager = LeaseManager(
            arguments.peer_names,
            self.limits,
            self._topic_bytes_per_s,
            arguments.now,
            Random(arguments.rng.random()),
            make_allocation=self._allocation_type,
        )
        process.register_topic(process.manager)
        _set_demand(process.manager, self.demands.setdefault(arguments.name, 1.0))
        return process

    def set_demand(self, name: str, even_fractions: float) -> None:
        """Set a node's demand for the quota, in even fractions, and its request rate accordingly."""
        self.demands[name] = even_fractions
        if self.living(name):
            _set_demand(self.manager(name), even_fractions)

    def manager(self, name: str) -> LeaseManager:
        """Return the lease manager of the node's newest process."""
        return self.detector(name).manager

    def usable(self, name: str, limit: str = QUOTA) -> float:
        """Return how much of a limit a node's newest process may use, in even fractions.

        The process's own clock decides which leases have expired. A paused process counts as well.
        """
        return self.manager(name).usable(limit, self.clock(name))

    def usable_sum(self, limit: str = QUOTA) -> float:
        """Return the sum of what all living nodes may use of a limit, in even fractions."""
        return sum(self.usable(name, limit) for name in self.names if self.living(name))

    def _check_sums(self) -> None:
        for limit in self.limits:
            usable = self.usable_sum(limit.name)
            self.max_usable[limit.name] = max(self.max_usable.get(limit.name, 0.0), usable)
            if usable > len(self.names) + SUM_TOLERANCE:
                self.violations.append(
                    f"at {self.now:.0f} ms {usable:g} even fractions, more than {len(self.names)}, "
                    f"are usable of {limit.name}"
                )
        self.at(self.now + CHECK_INTERVAL_MS, self._check_sums)

    def leave(self, name: str) -> None:
        """See `VirtualFleet.leave`; the node's leases are released first."""
        for process in self.living(name):
            now = process.clock(self.now)
            process.detector.manager.begin_shutdown(now)
            process.detector.tick(now)
            self.send_datagrams(process)
        super().leave(name)


def _set_demand(manager: LeaseManager, even_fractions: float) -> None:
    manager.set_demand(QUOTA, even_fractions)
    manager.requests_per_s = REQUESTS_PER_EVEN_FRACTION * even_fractions


@dataclass(slots=True)
class LeaseRun:
    """The result of a random run.

    Attributes:
        seed: The seed of the run.
        violations: One text for each check at which the usable sum exceeded a limit.
        granted_count: How many leases were granted.
        max_usable: The greatest usable sum of any limit, in even fractions.
        event_counts: How often each event was drawn.
    """

    seed: int
    violations: list[str]
    granted_count: int
    max_usable: float
    event_counts: Counter[str] = field(default_factory=Counter)


class RandomEvents:
    """Draws the events of a random run and applies them to the fleet."""

    def __init__(self, fleet: LeaseProcesses, rng: Random) -> None:
        """Schedule the first event.

        Args:
            fleet: The fleet that the events affect.
            rng: Draws the events.
        """
        self._fleet = fleet
        self._rng = rng
        self.counts: Counter[str] = Counter()
        self.granted_by_stopped = 0  # number of leases granted by processes that were killed or have left
        fleet.at(FIRST_EVENT_MS, self._apply_next)

    def _apply_next(self) -> None:
        fleet = self._fleet
        rng = self._rng
        name = rng.choice(fleet.names)
        event = rng.choice(EVENTS)
        self.counts[event.value] += 1
        living = fleet.living(name)
        is_running = bool(living) and not living[-1].is_paused
        if event is RunEvent.DEMAND:
            self._change_demands()
        elif event is RunEvent.PAUSE and is_running:
            pause_for(fleet, name, rng.choice((100.0, 1_200.0, 3_000.0, 6_000.0)))
        elif event in (RunEvent.KILL, RunEvent.LEAVE) and is_running:
            self._restart(name, event)
        elif event in PARTITIONS:
            partition_random_group(fleet, rng, event)
        elif event is RunEvent.SLOW_LINKS:
            self._slow_links(name)
        elif event is RunEvent.HEAL:
            fleet.heal()
        fleet.at(fleet.now + rng.expovariate(1 / EVENT_INTERVAL_MS), self._apply_next)

    def _change_demands(self) -> None:
        for name in self._rng.sample(self._fleet.names, max(1, len(self._fleet.names) // 4)):
            self._fleet.set_demand(name, self._rng.choice((0.0, 0.2, 1.0, 2.0, 5.0)))

    def _restart(self, name: str, event: RunEvent) -> None:
        fleet = self._fleet
        self.granted_by_stopped += fleet.manager(name).counts["granted"]
        if event is RunEvent.KILL:
            fleet.kill(name)
        else:
            fleet.leave(name)
        fleet.at(fleet.now + self._rng.choice((0.0, 200.0, 2_000.0)), lambda: self._start(name))

    def _start(self, name: str) -> None:
        if not self._fleet.living(name):
            self._fleet.start(name)

    def _slow_links(self, source: str) -> None:
        for target in self._rng.sample(self._fleet.names, max(1, len(self._fleet.names) // 3)):
            link = self._fleet.link(source, target)
            link.delay_ms = self._rng.choice((500.0, 2_000.0, 6_000.0))
            link.jitter_ms = 500.0


def random_run(
    seed: int,
    count: int = 20,
    length_ms: float = 30_000.0,
    build: type[Allocation] = Allocation,
    drift: float = 0.02,
) -> LeaseRun:
    """Play a run with an event about every 300 ms; faults overlap, and demands change during faults.

    Args:
        seed: The seed of all random draws.
        count: The number of nodes.
        length_ms: The length of the run, in ms of virtual time.
        build: The type of the allocations; a test passes a defective one here.
        drift: The largest fraction by which a clock's rate differs from 1.
    """
    rng = Random(seed)
    link = Link(
        loss=rng.choice((0.0, 0.05, 0.3)),
        delay_ms=rng.choice((0.3, 5.0, 40.0)),
        jitter_ms=rng.choice((0.2, 20.0, 400.0)),
        duplication=rng.choice((0.0, 0.1)),
    )
    floor = rng.choice((100, 250, 500))
    lease_ms = rng.choice((1_500.0, 4_000.0))
    terms = LeaseTerms(EVEN_FRACTION_UNITS, floor, lease_ms, drift)
    fleet = LeaseProcesses(count, seed, terms, build, link=link, drift=drift)
    events = RandomEvents(fleet, rng)
    fleet.run(length_ms)
    granted_by_living = sum(
        fleet.manager(name).counts["granted"] for name in fleet.names if fleet.living(name)
    )
    return LeaseRun(
        seed,
        fleet.violations,
        events.granted_by_stopped + granted_by_living,
        max(fleet.max_usable.values(), default=-math.inf),
        events.counts,
    )
