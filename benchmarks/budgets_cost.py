"""Measures the cost of leased limits: of the policy and the node's hook per request, and of lease managers.

    python -m benchmarks.budgets_cost

All times are CPU times of this process. The costs of decisions are medians over ROUNDS rounds of REQUESTS
requests, in which rounds with and without allocations alternate. Lease managers run in virtual time on the
links of `flintridge/lab/partial/virtual_fleet.py`; half of the nodes need 1.8 even fractions and half 0.2.
Both results for them, with and without leases, include the cost of the lab itself.
"""

import asyncio
import statistics
import time
from typing import Any

from flintridge import api
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.lab.partial.lease_fleet import LeaseProcesses
from flintridge.lab.partial.virtual_fleet import MembershipFleet, VirtualFleet
from flintridge.leases.configured_limits import ConfiguredLimits
from flintridge.leases.demand_meter import DemandMeter
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, LeaseTerms
from flintridge.policy.balancer import Balancer
from flintridge.runtime.clock import SystemClock

MS = 1_000_000
ROUNDS = 21
REQUESTS = 2_000
SERVERS = 20
TENANTS = 3
UPDATE_INTERVAL_NS = 50 * MS  # between two events that carry allocations
REQUEST_RATES = (100, 1_000)  # requests per second at a node
NODE_COUNTS = (20, 200)
SETTLE_MS = 10_000.0
MEASURED_MS = 10_000.0


class UncheckedLeaseProcesses(LeaseProcesses):
    """Lease processes without the lab's check of the sum of the usable fractions."""

    def _check_sums(self) -> None:
        pass


def settings() -> api.Settings:
    """Settings of tenants with quotas in a fleet of ten nodes."""
    tenants = tuple(api.Tenant(quota_per_s=200.0) for _ in range(TENANTS))
    return api.Settings(tenants=tenants, fleet_size=10)


class MeasuredPolicy:
    """A balancer with a virtual clock, which gets requests one at a time; each is served immediately."""

    def __init__(self, per_s: int, with_updates: bool) -> None:
        """Create the balancer.

        Args:
            per_s: Rate of the requests, per second of virtual time.
            with_updates: Whether the balancer also gets allocations.
        """
        self._balancer = Balancer(settings(), 1)
        self._request_interval_ns = 1000 * MS // per_s
        self._with_updates = with_updates
        self._now_ns = 1000 * MS
        self._request_count = 0
        self._next_update_ns = 0
        members = tuple(api.Endpoint(f"s{i}") for i in range(SERVERS))
        self._balancer.handle(self._now_ns, api.EndpointUpdate(api.UpdateKind.FULL, 1, members))

    def round(self) -> float:
        """Run a round, and return the microseconds per request, including the events with allocations."""
        handle = self._balancer.handle
        now = self._now_ns
        took = 0.0
        for i in range(self._request_count, self._request_count + REQUESTS):
            request_id = f"r{i}"
            now += self._request_interval_ns
            request = api.RequestReceived(
                request_id, now + 1000 * MS, key=f"k{i % 997}", tenant=i % TENANTS, work_ns=20 * MS
            )
            events: list[api.Event] = [request]
            if self._with_updates and now >= self._next_update_ns:
                self._next_update_ns = now + UPDATE_INTERVAL_NS
                fallback = api.AllocationUpdate(dict.fromkeys(range(TENANTS), 1.0))
                allocations = {tenant: 1.5 + i % 2 / 10 for tenant in range(TENANTS)}
                events.insert(
                    0, api.AllocationUpdate(allocations, 1.5, valid_until=now + 2000 * MS, fallback=fallback)
                )
            started_at = time.thread_time()
            for event in events:
                actions = handle(now, event)
            took += time.thread_time() - started_at
            for action in actions:
                if isinstance(action, api.Send):
                    ended = api.AttemptEnded(request_id, 0, action.server, api.Outcome.OK, 20 * MS, True)
                    started_at = time.thread_time()
                    handle(now, ended)
                    took += time.thread_time() - started_at
        self._request_count += REQUESTS
        self._now_ns = now
        return took / REQUESTS * 1e6


def print_decision_cost(per_s: int) -> None:
    """Print the cost of a request's decisions at a rate per second, with and without allocations."""
    off = MeasuredPolicy(per_s, False)
    on = MeasuredPolicy(per_s, True)
    off.round()
    on.round()
    pairs = [(off.round(), on.round()) for _ in range(ROUNDS)]
    without, with_updates = (statistics.median(column) for column in zip(*pairs, strict=True))
    low, ratio, high = statistics.quantiles([b / a for a, b in pairs], n=4)
    costs = f"{without:.2f} us, with allocations {with_updates:.2f}"
    print(f"decisions, {per_s} requests per second: {costs};", end=" ")
    print(f"ratio {ratio:.3f} (quartiles {low:.3f} to {high:.3f})")


async def print_hook_cost() -> None:
    """Print the cost of `RequestLifecycle.on_new_request`, which is called once per new request."""
    limits = ConfiguredLimits({tenant: f"quota {tenant}" for tenant in range(TENANTS)}, (), {})
    endpoints = EndpointList((), (), settings(), SystemClock(asyncio.get_running_loop()))
    costs_ns = []
    for _ in range(ROUNDS):
        count = DemandMeter(limits, {}, endpoints, 0.0).on_new_request
        started_at = time.thread_time()
        for i in range(100_000):
            count(i % TENANTS)
        costs_ns.append((time.thread_time() - started_at) / 100_000 * 1e9)
    print(f"the node's hook: {statistics.median(costs_ns):.0f} ns per request")


def fleet_cost(fleet: VirtualFleet[Any]) -> tuple[float, float]:
    """Bytes sent, and milliseconds of CPU time, both per node and second."""
    fleet.run(SETTLE_MS)
    before = bytes_sent(fleet)
    started_at = time.thread_time()
    fleet.run(MEASURED_MS)
    took = time.thread_time() - started_at
    node_seconds = len(fleet.names) * MEASURED_MS / 1000
    return (bytes_sent(fleet) - before) / node_seconds, took * 1000 / node_seconds


def bytes_sent(fleet: VirtualFleet[Any]) -> int:
    """Bytes that all processes have sent so far."""
    processes = [process for of_node in fleet.processes.values() for process in of_node]
    return sum(
        sum(process.datagram_bytes.values()) + sum(process.transfer_bytes.values()) for process in processes
    )


def print_lease_manager_cost(count: int) -> None:
    """Print the cost of a fleet of `count` nodes with lease managers, and with membership alone."""
    membership = fleet_cost(MembershipFleet(count, 1))
    fleet = UncheckedLeaseProcesses(count, 1, LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_000.0))
    for i, name in enumerate(fleet.names):
        fleet.set_demand(name, 1.8 if i % 2 else 0.2)
    with_leases = fleet_cost(fleet)
    usable = sum(fleet.usable(name) for name in fleet.names[1::2]) / (count / 2)
    for unit, alone, both in zip(("bytes", "ms of CPU"), membership, with_leases, strict=True):
        costs = f"{alone:.4g} of peers alone, {both:.4g} with two limits, ratio {both / alone:.2f}"
        print(f"{count} nodes, {unit} per node and second: {costs}")
    print(f"{count} nodes: those that need 1.8 even fractions may use {usable:.2f}")


def main() -> None:
    """Measure and print all costs."""
    for per_s in REQUEST_RATES:
        print_decision_cost(per_s)
    asyncio.run(print_hook_cost())
    for count in NODE_COUNTS:
        print_lease_manager_cost(count)


if __name__ == "__main__":
    main()
