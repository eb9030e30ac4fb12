"""What a node holds of its fleet's budgets: the ledger's driver, between peers and decisions.

It judges nothing. A request is only counted here, and takes from what the module was last told that is held.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from flintridge import api
from flintridge.budgets.holding import Terms
from flintridge.budgets.ledger import FLOORS, PART, Account, Budget, Ledger
from flintridge.budgets.pace import Pace
from flintridge.net.clock import NS, Clock, Timer
from flintridge.net.core import Core
from flintridge.net.counters import Counters
from flintridge.net.log import EventLog
from flintridge.net.peers import Peers
from flintridge.net.siblings import LOOK
from flintridge.settings import BudgetsConfig

TICK = 50.0
NOTICE = 4 * LOOK  # in which an older process of this node has noticed that another lives


class Budgets:
    """One process's part. Times are float milliseconds of `clock`."""

    def __init__(
        self,
        config: BudgetsConfig,
        settings: api.Settings,
        even: dict[int, float],
        peers: Peers,
        core: Core,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
    ) -> None:
        """`even`: what a node holds of each tenant's quota with nobody heard, in requests a second."""
        self.config = config
        self._clock, self._log, self._counters = clock, log, counters
        self._peers, self._core = peers, core
        terms = Terms(PART, max(1, round(config.floor * PART)), config.lease_ms)
        nodes = settings.fleet_size
        self._tenants = {
            i: f"quota {tenant.name}"
            for i, tenant in enumerate(settings.tenants)
            if config.tenants and even.get(i)
        }
        budgets = [
            Budget(name, even[i] * nodes, "requests a second", nodes, terms)
            for i, name in self._tenants.items()
        ]
        if config.floors:
            budgets.append(Budget(FLOORS, float(nodes), "even parts", nodes, terms))
        now = clock.now()
        self._even = even
        self._paces = {i: Pace(now) for i in self._tenants}
        self._pace = Pace(now)
        names = tuple(name for name, _ in peers.config.known if name != peers.name)
        self.ledger = Ledger(names, tuple(budgets), config.bytes_per_s, now, Random(entropy(16)), log.event)
        peers.presence.register(self.ledger)
        core.seen = self._seen
        self._held: api.Holdings | None = None
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
            self.ledger.tick(now)
            self._carry()
            self._tell()
        except Exception as error:  # the node must serve on whatever breaks here
            self._counters.add("budgets_errors")
            self._log.error("budgets_broke", error)

    def _carry(self) -> None:
        table = self._peers.presence.table
        for name, life in self.ledger.waiting():
            one = table.find(name, life)
            if one is None or not one.fresh:
                self.ledger.unheard((name, life))
            else:
                self._peers.tell(one)

    def _tell(self) -> None:
        """What holds now, and what will from the end of the first loan on if nothing is told before."""
        now, ledger = self._clock.now(), self.ledger
        until = ledger.until(now)
        held = self._holdings(lambda name: ledger.usable(name, now))
        if until != float("inf"):
            after = self._holdings(lambda name: ledger.after(name, now))
            held = api.Holdings(held.tenants, held.floors, held.strict, int(until * NS), after)
        if held != self._held:
            self._held = held
            self._core.told(held)

    def _holdings(self, amount: Callable[[str], float]) -> api.Holdings:
        floors = amount(FLOORS) if FLOORS in self.ledger.accounts else 1.0
        return api.Holdings(
            {i: amount(name) for i, name in self._tenants.items()}, floors, self.config.strict
        )

    # For staff

    def said(self) -> tuple[int, dict[str, Any]]:
        """The answer to GET /admin/budgets; amounts in even parts but for `whole`, `even` and `used`."""
        now = self._clock.now()
        heard = self._peers.heard
        indices = {name: i for i, name in self._tenants.items()}
        return 200, {
            "name": self._peers.name,
            "life": f"{self._peers.life:x}",
            "alone": self._processes == 1,
            "heard": heard.heard,
            "of": heard.names,
            "lease_ms": self.config.lease_ms,
            "floor": self.config.floor,
            "strict": self.config.strict,
            "budgets": [
                self._said(account, indices.get(name), now) for name, account in self.ledger.accounts.items()
            ],
            "counts": {name: self.ledger.counts[name] for name in sorted(self.ledger.counts)},
        }

    def _said(self, account: Account, tenant: int | None, now: float) -> dict[str, Any]:
        budget, holding = account.budget, account.holding
        pace = self._pace if tenant is None else self._paces[tenant]
        return {
            "name": budget.name,
            "whole": round(budget.whole, 3),
            "unit": budget.unit,
            "even": round(budget.whole / budget.nodes, 3),
            "own": holding.own(now) / PART,
            "usable": holding.usable(now) / PART,
            "need": round(account.need / PART, 3),
            "used": round(pace.per_s, 1),
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
