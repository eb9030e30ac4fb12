"""What shared budgets cost: the policy and the node's hook a request, and the lease managers a second.

    python -m benchmarks.budgets_cost

All times are CPU of this process. Of the decisions: medians over ROUNDS rounds of REQUESTS requests, with and
without in turn. Lease managers run in virtual time on the links of `flintridge/lab/partial/virtual_fleet.py`,
half of the nodes needing 1.8 parts and half 0.2; what the lab itself takes for them is in both figures.
"""

import statistics
import time
from typing import Any

from flintridge import api
from flintridge.lab.partial.lease_fleet import LeaseProcesses
from flintridge.lab.partial.virtual_fleet import MembershipFleet, VirtualFleet
from flintridge.leases.demand import RequestRate
from flintridge.leases.driver import LeaseDriver
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, LeaseTerms
from flintridge.policy.balancer import Balancer

MS = 1_000_000
ROUNDS = 21
REQUESTS = 2_000
SERVERS = 20
TENANTS = 3
EVERY = 50 * MS  # ns between two events that carry holdings
PACES = (100, 1_000)  # requests a second at a node
COUNTS = (20, 200)
SETTLE_MS = 10_000.0
MEASURED_MS = 10_000.0


class Quiet(LeaseProcesses):
    """Without the lab's own look at the sum."""

    def _check_sums(self) -> None:
        pass


def settings() -> api.Settings:
    """Tenants with quotas in a fleet of ten."""
    tenants = tuple(api.Tenant(quota_per_s=200.0) for _ in range(TENANTS))
    return api.Settings(tenants=tenants, fleet_size=10)


class Played:
    """A module with its own time (ns), to which requests come one by one; each is served at once."""

    def __init__(self, per_s: int, told: bool) -> None:
        self._module = Balancer(settings(), 1)
        self._step = 1000 * MS // per_s
        self._told = told
        self._now = 1000 * MS
        self._number = 0
        self._next = 0
        members = tuple(api.Endpoint(f"s{i}") for i in range(SERVERS))
        self._module.handle(self._now, api.EndpointUpdate(api.UpdateKind.FULL, 1, members))

    def round(self) -> float:
        """Microseconds a request, the events with holdings among them."""
        handle = self._module.handle
        now = self._now
        took = 0.0
        for i in range(self._number, self._number + REQUESTS):
            uid = f"r{i}"
            now += self._step
            request = api.RequestReceived(
                uid, now + 1000 * MS, key=f"k{i % 997}", tenant=i % TENANTS, work_ns=20 * MS
            )
            events: list[api.Event] = [request]
            if self._told and now >= self._next:
                self._next = now + EVERY
                after = api.AllocationUpdate(dict.fromkeys(range(TENANTS), 1.0))
                parts = {tenant: 1.5 + i % 2 / 10 for tenant in range(TENANTS)}
                events.insert(
                    0, api.AllocationUpdate(parts, 1.5, valid_until=now + 2000 * MS, fallback=after)
                )
            began = time.thread_time()
            for event in events:
                actions = handle(now, event)
            took += time.thread_time() - began
            for action in actions:
                if isinstance(action, api.Send):
                    ended = api.AttemptEnded(uid, 0, action.server, api.Outcome.OK, 20 * MS, True)
                    began = time.thread_time()
                    handle(now, ended)
                    took += time.thread_time() - began
        self._number += REQUESTS
        self._now = now
        return took / REQUESTS * 1e6


def module(per_s: int) -> None:
    """Print the cost of the decisions of a request at so many a second, with and without allocations."""
    off = Played(per_s, False)
    on = Played(per_s, True)
    off.round()
    on.round()
    pairs = [(off.round(), on.round()) for _ in range(ROUNDS)]
    without, told = (statistics.median(column) for column in zip(*pairs, strict=True))
    low, ratio, high = statistics.quantiles([b / a for a, b in pairs], n=4)
    print(f"decisions, {per_s} requests a second: {without:.2f} us, told of holdings {told:.2f};", end=" ")
    print(f"ratio {ratio:.3f} (quartiles {low:.3f} to {high:.3f})")


def hook() -> None:
    """`RequestLifecycle.on_new_request`: one call a new request."""
    made: Any = LeaseDriver.__new__(LeaseDriver)
    made._request_rate = RequestRate(0.0)
    made._tenant_rates = {tenant: RequestRate(0.0) for tenant in range(TENANTS)}
    found = []
    for _ in range(ROUNDS):
        seen = made._on_new_request
        began = time.thread_time()
        for i in range(100_000):
            seen(i % TENANTS)
        found.append((time.thread_time() - began) / 100_000 * 1e9)
    print(f"the node's hook: {statistics.median(found):.0f} ns a request")


def fleet(fleet: VirtualFleet[Any]) -> tuple[float, float]:
    """Bytes a node a second, and milliseconds of CPU a node a second."""
    fleet.run(SETTLE_MS)
    before = sent(fleet)
    began = time.thread_time()
    fleet.run(MEASURED_MS)
    took = time.thread_time() - began
    each = len(fleet.names) * MEASURED_MS / 1000
    return (sent(fleet) - before) / each, took * 1000 / each


def sent(fleet: VirtualFleet[Any]) -> int:
    """Bytes that all processes have sent."""
    processes = [process for found in fleet.processes.values() for process in found]
    return sum(sum(one.datagram_bytes.values()) + sum(one.transfer_bytes.values()) for one in processes)


def lease_managers(count: int) -> None:
    """Print what lease managers cost so many nodes, beside peers alone."""
    alone = fleet(MembershipFleet(count, 1))
    lenders = Quiet(count, 1, LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_000.0))
    for i, name in enumerate(lenders.names):
        lenders.set_demand(name, 1.8 if i % 2 else 0.2)
    both = fleet(lenders)
    held = sum(lenders.usable(name) for name in lenders.names[1::2]) / (count / 2)
    for what, alike, more in zip(("bytes", "ms of CPU"), alone, both, strict=True):
        said = f"{alike:.4g} of peers alone, {more:.4g} with two budgets, ratio {more / alike:.2f}"
        print(f"{count} nodes, {what} a node a second: {said}")
    print(f"{count} nodes: who needs 1.8 parts has {held:.2f}")


def main() -> None:
    """Play what the arguments ask for and print it."""
    for per_s in PACES:
        module(per_s)
    hook()
    for count in COUNTS:
        lease_managers(count)


if __name__ == "__main__":
    main()
