"""Processes that lease one another fractions of limits, in virtual time: real peers and lease managers on the
links of `machines`, their needs drawn, and the sum of what all may use looked at from outside.

A day is drawn from one seed: links that lose, delay, double, reorder and are cut, one way or both, processes
that are stopped, killed, started anew and leave, clocks that run apart, needs that change.
"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import Any

from flintridge.lab.partial.machines import Link, Machines
from flintridge.leases.allocation import Allocation
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FLOORS, FleetLimit, LeaseTerms
from flintridge.leases.lease_manager import LeaseManager
from flintridge.membership.failure_detector import FailureDetector

LOOK = 20.0  # ms between two looks at the sum
QUOTA = "quota a"
DEEDS = (*["need"] * 6, "pause", "pause", "kill", "kill", "leave", "cut", "one way", "heal", "slow")


class Lender(FailureDetector):
    """A process's peers with its lease manager on them, driven as `leases/driver.py` does it."""

    manager: LeaseManager

    def tick(self, now: float) -> None:
        super().tick(now)
        self.manager.tick(now)
        for receiver in self.manager.receivers():
            one = self.table.find(receiver.name, receiver.incarnation)
            if one is None or not one.reachable:
                self.manager.drop_messages(receiver)
            else:
                self.send_payloads(now, one)


class Lenders(Machines):
    """`count` processes with fleet-wide limits; `need` sets what one needs."""

    def __init__(
        self,
        count: int,
        seed: int,
        terms: LeaseTerms,
        make: type[Allocation] = Allocation,
        bytes_per_s: float = 2_000.0,
        **given: Any,
    ) -> None:
        self.terms = terms
        self._make = make
        self._topic_bytes = bytes_per_s
        self.limits = tuple(
            FleetLimit(name, 100.0 * count, "requests a second", count, terms) for name in (QUOTA, FLOORS)
        )
        self.needs: dict[str, float] = {}
        self.over: list[str] = []  # what was seen over, and when
        self.most: dict[str, float] = {}  # of each limit, the greatest sum seen
        super().__init__(count, seed, build=self._process, **given)
        self.at(0.0, self._look)

    def _process(
        self,
        name: str,
        life: int,
        names: tuple[str, ...],
        wire: Any,
        bytes_per_s: float,
        now: float,
        rng: Random,
    ) -> FailureDetector:
        made = Lender(name, life, names, wire, bytes_per_s, now, rng)
        peers = tuple(one for one in names if one != name)
        made.manager = LeaseManager(
            peers, self.limits, self._topic_bytes, now, Random(rng.random()), make_allocation=self._make
        )
        made.register_topic(made.manager)
        self.need(name, self.needs.get(name, 1.0), made.manager)
        return made

    def need(self, name: str, even_fractions: float, manager: LeaseManager | None = None) -> None:
        """What a node needs of its quota, in even fractions; its request rate goes with it."""
        self.needs[name] = even_fractions
        for one in [manager] if manager is not None else [self.manager(name)] if self.living(name) else []:
            one.set_demand(QUOTA, even_fractions)
            one.requests_per_s = 100.0 * even_fractions

    def manager(self, name: str) -> LeaseManager:
        machine = self.machine(name)
        assert isinstance(machine, Lender)
        return machine.manager

    def usable(self, name: str, limit: str = QUOTA) -> float:
        """By its newest process, in even fractions, by its own clock, whether or not it is stopped."""
        process = self.living(name)[-1]
        return self.manager(name).usable(limit, process.clock(self.now))

    def whole(self, limit: str = QUOTA) -> float:
        return sum(self.usable(name, limit) for name in self.names if self.living(name))

    def _look(self) -> None:
        for one in self.limits:
            whole = self.whole(one.name)
            self.most[one.name] = max(self.most.get(one.name, 0.0), whole)
            if whole > len(self.names) + 1e-9:
                self.over.append(
                    f"at {self.now:.0f} ms {whole:g} of {len(self.names)} even fractions of {one.name}"
                )
        self.at(self.now + LOOK, self._look)

    def leave(self, name: str) -> None:
        for process in self.living(name):
            now = process.clock(self.now)
            assert isinstance(process.machine, Lender)
            process.machine.manager.begin_shutdown(now)
            process.machine.tick(now)
            self._carry(process)
        super().leave(name)


@dataclass(slots=True)
class DayOf:
    """What came of a random day."""

    seed: int
    over: list[str]
    granted: int
    most: float
    deeds: dict[str, int] = field(default_factory=dict)


def random_day(
    seed: int,
    count: int = 20,
    length_ms: float = 30_000.0,
    make: type[Allocation] = Allocation,
    drift: float = 0.02,
) -> DayOf:
    """Faults about every 300 ms, several at once; needs change with them."""
    rng = Random(seed)
    link = Link(
        loss=rng.choice((0.0, 0.05, 0.3)),
        delay=rng.choice((0.3, 5.0, 40.0)),
        jitter=rng.choice((0.2, 20.0, 400.0)),
        double=rng.choice((0.0, 0.1)),
    )
    terms = LeaseTerms(
        EVEN_FRACTION_UNITS, rng.choice((100, 250, 500)), rng.choice((1_500.0, 4_000.0)), drift
    )
    fleet = Lenders(count, seed, terms, make, link=link, drift=drift)
    deeds: dict[str, int] = {}
    granted = 0

    def deed() -> None:
        nonlocal granted
        name = rng.choice(fleet.names)
        alive = fleet.living(name)
        what = rng.choice(DEEDS)
        deeds[what] = deeds.get(what, 0) + 1
        if what == "need":
            for one in rng.sample(fleet.names, max(1, count // 4)):
                fleet.need(one, rng.choice((0.0, 0.2, 1.0, 2.0, 5.0)))
        elif what == "pause" and alive and not alive[-1].paused:
            fleet.pause(name)
            fleet.at(fleet.now + rng.choice((100.0, 1_200.0, 3_000.0, 6_000.0)), lambda: fleet.resume(name))
        elif what in ("kill", "leave") and alive and not alive[-1].paused:
            granted += fleet.manager(name).counts["granted"]
            (fleet.kill if what == "kill" else fleet.leave)(name)
            fleet.at(fleet.now + rng.choice((0.0, 200.0, 2_000.0)), lambda: start(name))
        elif what in ("cut", "one way"):
            group = tuple(rng.sample(fleet.names, rng.randint(1, count // 2)))
            fleet.cut(group, tuple(one for one in fleet.names if one not in group), what == "cut")
        elif what == "slow":
            for one in rng.sample(fleet.names, max(1, count // 3)):
                way = fleet.link(name, one)
                way.delay, way.jitter = rng.choice((500.0, 2_000.0, 6_000.0)), 500.0
        elif what == "heal":
            fleet.heal()
        fleet.at(fleet.now + rng.expovariate(1 / 300.0), deed)

    def start(name: str) -> None:
        if not fleet.living(name):
            fleet.start(name)

    fleet.at(1_000.0, deed)
    fleet.run(length_ms)
    granted += sum(fleet.manager(name).counts["granted"] for name in fleet.names if fleet.living(name))
    return DayOf(seed, fleet.over, granted, max(fleet.most.values(), default=-math.inf), deeds)
