"""What a node holds of its fleet's budgets: the ledger's driver, between peers and decisions.

It judges nothing. A request is only counted here, and takes from what the module was last told that is held.
"""

import contextlib
import math
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any

from flintridge import api
from flintridge.config.node_config import BudgetsConfig
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.request import UpstreamAttempt
from flintridge.discovery.endpoint_list import EndpointList, EndpointNotListedError
from flintridge.leases.allocation import LeaseTerms
from flintridge.leases.demand import RecentPeak, RequestRate
from flintridge.leases.lease_manager import COLD, FLOORS, PART, REPEATS, Account, FleetLimit, LeaseManager
from flintridge.membership.driver import MembershipDriver
from flintridge.runtime.clock import NS_PER_MS, Clock, Timer, to_ms
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK = 50.0
NOTICE = 4 * COUNT_INTERVAL_MS  # in which an older process of this node has noticed that another lives
PLACES = {False: "cache places", True: "origin places"}  # by whether at the origin
AT_REPEATS = -1  # where the decisions look for what is held of repeats


class LeaseDriver:
    """One process's part. Times are float milliseconds of `clock`."""

    def __init__(
        self,
        config: BudgetsConfig,
        settings: api.Settings,
        even: dict[int, float],
        peers: MembershipDriver,
        transports: EndpointList,
        core: RequestLifecycle,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
    ) -> None:
        """`even`: what a node holds of each tenant's quota with nobody heard, in requests a second."""
        self.config = config
        self._clock, self._log, self._counters = clock, log, counters
        self._peers, self._transports, self._core = peers, transports, core
        terms = LeaseTerms(PART, max(1, round(config.floor * PART)), config.lease_ms)
        nodes = self._nodes = settings.fleet_size
        self._tenants = {
            i: f"quota {tenant.name}"
            for i, tenant in enumerate(settings.tenants)
            if config.tenants and even.get(i)
        }
        budgets = [
            FleetLimit(name, even[i] * nodes, "requests a second", nodes, terms)
            for i, name in self._tenants.items()
        ]
        for name, on in ((FLOORS, config.floors), (COLD, config.cold)):
            if on:
                budgets.append(FleetLimit(name, float(nodes), "even parts", nodes, terms))
        if config.repeats_per_s:
            budgets.append(FleetLimit(REPEATS, config.repeats_per_s, "repeats a second", nodes, terms))
        now = clock.now()
        # What is out when a loan ends stays out for as long as its client waits.
        keep = max(to_ms(cls.deadline_ns) for cls in settings.classes)
        places = {False: config.cache_places, True: config.origin_places}
        self._places = {
            origin: FleetLimit(PLACES[origin], float(count), "places", nodes, replace(terms, keep=keep))
            for origin, count in places.items()
            if count
        }
        budgets += self._places.values()
        self._out: dict[bool, set[tuple[str, int]]] = {origin: set() for origin in self._places}
        self._levels = {origin: RecentPeak(now) for origin in self._places}
        self._even = even
        self._paces = {i: RequestRate(now) for i in self._tenants}
        self._pace = RequestRate(now)
        names = tuple(name for name, _ in peers.config.known if name != peers.name)
        self.ledger = LeaseManager(
            names, tuple(budgets), config.bytes_per_s, now, Random(entropy(16)), log.event
        )
        for origin, budget in self._places.items():
            self.ledger.uses(budget.name, partial(self._taken, origin))
        peers.failure_detector.register_topic(self.ledger)
        core.on_new_request = self._seen
        if self._places:
            core.on_attempts_changed = self._moved
        self._held: api.AllocationUpdate | None = None
        self._processes = 1
        self._started = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Tell the decisions what is held, from now on at each change."""
        self._started = True
        names = list(self.ledger.accounts)
        self._log.event("budgets", names=names, floor=self.config.floor, lease_ms=self.config.lease_ms)
        self._tick()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def leave(self) -> None:
        """What is borrowed goes back, and others may have this node's part beyond its floor."""
        self.ledger.leave(self._clock.now())
        self._carry()

    def processes(self, count: int) -> None:
        """So many processes of this node live, this one included."""
        now = self._clock.now()
        if count > 1 and self._processes == 1:
            self.ledger.joined(now, 0.0 if self._started else NOTICE)
        elif count == 1 and self._processes > 1:
            self.ledger.parted(now)
        self._processes = count
        if self._started:
            self._tell()

    def _seen(self, tenant: int) -> None:
        self._pace.add()
        if (pace := self._paces.get(tenant)) is not None:
            pace.add()

    def _moved(self, attempt: UpstreamAttempt, by: int) -> None:
        key = attempt.id, attempt.number
        if by < 0:
            for out in self._out.values():
                out.discard(key)
            return
        with contextlib.suppress(
            EndpointNotListedError, KeyError
        ):  # it cannot be sent, or there is no bound on such places
            self._out[self._transports[attempt.server].origin].add(key)

    def _taken(self, origin: bool) -> float:
        """Places taken up at this instant, in even parts."""
        budget = self._places[origin]
        return len(self._out[origin]) * budget.nodes / budget.whole

    def _tick(self) -> None:
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK, self._tick)
        try:
            self._pace.look(now)
            self.ledger.pace = self._pace.per_s
            for i, pace in self._paces.items():
                pace.look(now)
                if not self.ledger.leaving:
                    self.ledger.need(self._tenants[i], pace.per_s / self._even[i])
            for origin, level in self._levels.items():
                level.look(now, self._taken(origin))
                if not self.ledger.leaving:
                    self.ledger.need(PLACES[origin], level.most)
            self.ledger.tick(now)
            self._carry()
            self._tell()
        except Exception as error:  # the node must serve on whatever breaks here
            self._counters.add("budgets_errors")
            self._log.error("budgets_broke", error)

    def _carry(self) -> None:
        table = self._peers.failure_detector.table
        for name, life in self.ledger.waiting():
            one = table.find(name, life)
            if one is None or not one.reachable:
                self.ledger.unheard((name, life))
            else:
                self._peers.send_payloads(one)

    def _tell(self) -> None:
        """What holds now, and what will from the end of the first loan on if nothing is told before."""
        now, ledger = self._clock.now(), self.ledger
        until = ledger.until(now)
        held = self._holdings(lambda name: ledger.usable(name, now))
        if until != float("inf"):
            after = self._holdings(lambda name: ledger.after(name, now))
            held = replace(held, valid_until=int(until * NS_PER_MS), fallback=after)
        if held != self._held:
            self._held = held
            self._core.notify(held)

    def _holdings(self, amount: Callable[[str], float]) -> api.AllocationUpdate:
        parts = {name: amount(name) for name in self.ledger.accounts}
        tenants = {i: parts[name] for i, name in self._tenants.items()}
        caches, origin = (
            math.floor(parts[one.name] * one.whole / one.nodes + 1e-9) if one is not None else math.inf
            for one in (self._places.get(False), self._places.get(True))
        )
        even, share = self.config.repeats_per_s / self._nodes, self.config.repeat_share
        if even:
            tenants[AT_REPEATS] = parts[REPEATS]
        return api.AllocationUpdate(
            tenants,
            parts.get(FLOORS, 1.0),
            parts.get(COLD, 1.0),
            caches,
            origin,
            even,
            share if even else 0.0,
            self.config.strict,
        )

    # For staff

    def said(self) -> tuple[int, dict[str, Any]]:
        """The answer to GET /admin/budgets; amounts in even parts but for `whole`, `even` and `used`."""
        now = self._clock.now()
        reachability = self._peers.reachability
        indices = {name: i for i, name in self._tenants.items()}
        return 200, {
            "name": self._peers.name,
            "life": f"{self._peers.incarnation:x}",
            "alone": self._processes == 1,
            "heard": reachability.reachable,
            "of": reachability.names,
            "lease_ms": self.config.lease_ms,
            "floor": self.config.floor,
            "strict": self.config.strict,
            "budgets": [
                self._said(account, self._used(name, indices.get(name)), now)
                for name, account in self.ledger.accounts.items()
            ],
            "counts": {name: self.ledger.counts[name] for name in sorted(self.ledger.counts)},
        }

    def _used(self, name: str, tenant: int | None) -> float:
        """Of late, in the budget's unit; of those whose need is told by traffic, requests a second."""
        for origin, budget in self._places.items():
            if budget.name == name:
                return float(len(self._out[origin]))
        return self._pace.per_s if tenant is None else self._paces[tenant].per_s

    def _said(self, account: Account, used: float, now: float) -> dict[str, Any]:
        budget, holding = account.budget, account.holding
        return {
            "name": budget.name,
            "whole": round(budget.whole, 3),
            "unit": budget.unit,
            "even": round(budget.whole / budget.nodes, 3),
            "own": holding.own(now) / PART,
            "usable": holding.usable(now) / PART,
            "need": round(account.need / PART, 3),
            "used": round(used, 1),
            "lent": [
                {
                    "to": name,
                    "life": f"{life:x}",
                    "amount": loan.amount / PART,
                    "ends_in_ms": round(loan.until - now),
                }
                for ((name, life), _), loan in holding.lent.items()
                if now < loan.until
            ],
            "borrowed": [
                {"from": name, "amount": loan.amount / PART, "ends_in_ms": round(loan.until - now)}
                for (name, _), loan in holding.borrowed.items()
                if now < loan.until
            ],
        }

    def tell_counters(self) -> None:
        """The ledger's counts into the node's counters."""
        for name, count in self.ledger.counts.items():
            full = f"budgets_{name}"
            self._counters.add(full, count - self._counters[full])
