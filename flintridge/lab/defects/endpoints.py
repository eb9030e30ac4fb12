"""Planted defects in how a node treats the servers of the fleet."""

from collections.abc import Callable

from flintridge import api
from flintridge.lab.defects.interception import balancer_of, replace_attribute
from flintridge.node import Node
from flintridge.policy.balancer import Balancer
from flintridge.policy.endpoint_state import Server
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.slow_start import WarmUpUse, weight_root
from flintridge.upstream.connection import UpstreamConnection

DRAIN_NOTICE_DELAY_MS = 4000.0

WarmUpBudgetCheck = Callable[[api.Endpoint, WarmUpUse, float, int], bool]


def fresh_work_3s_after_drain(node: Node) -> None:
    """Endpoint updates in which a server is not ready, as during a drain, are applied 4 s late.

    The check before the first byte, which would withdraw the attempts, takes every server as in service.
    """
    notify = node.discovery_watcher._notify

    def notify_late(update: api.EndpointUpdate) -> None:
        if any(endpoint.state is not api.EndpointState.READY for endpoint in update.endpoints):
            node.clock.call_at(node.clock.now() + DRAIN_NOTICE_DELAY_MS, notify, update)
        else:
            notify(update)

    replace_attribute(node.discovery_watcher, "_notify", notify_late)
    replace_attribute(node.endpoints, "is_in_service", lambda _server: True)


def cold_budget_ignored(node: Node) -> None:
    """A server in slow start is treated as warm, and preferred to all other servers."""
    balancer = balancer_of(node)

    def is_within_budget(endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> bool:
        return True

    def warmth(endpoint: api.Endpoint, now: int) -> float:
        return 1.0

    def fraction(server: Server, now: int) -> float:
        root = weight_root(server.endpoint.weight, balancer.table.max_weight)
        return balancer.outliers.health(server, now) * root

    replace_attribute(balancer.slow_start, "is_within_budget", is_within_budget)
    replace_attribute(balancer.slow_start, "warmth", warmth)
    replace_attribute(balancer.outliers, "fraction", fraction)
    _prefer_warming_servers(balancer, is_within_budget)


def cold_budget_not_divided(node: Node) -> None:
    """Each node sends a server in slow start as much work as the whole fleet may send it."""
    balancer = balancer_of(node)
    node_work = balancer.slow_start.node_work
    replace_attribute(balancer.slow_start, "node_work", lambda: balancer.settings.fleet_size * node_work())
    _prefer_warming_servers(balancer, balancer.slow_start.is_within_budget)


def _prefer_warming_servers(balancer: Balancer, is_within_budget: WarmUpBudgetCheck) -> None:
    """Pick a server in slow start before all others while its warm-up budget is not used up."""
    pick = balancer.selection.pick

    def pick_warming(request: OpenRequest, now: int) -> str | None:
        slow_start_ns = balancer.settings.rules.slow_start_ns
        for name in balancer.ready:
            server = balancer.servers[name]
            started_at = server.endpoint.started_at
            is_warming = started_at != 0 and now - started_at < slow_start_ns
            if not is_warming or name in request.failed_servers:
                continue
            if is_within_budget(server.endpoint, server.warm_up, request.work, now):
                return name
        return pick(request, now)

    replace_attribute(balancer.selection, "pick", pick_warming)


def connection_leak(node: Node) -> None:
    """Connections to servers are neither reused nor closed after a request, and no longer counted as open."""
    leaked: list[UpstreamConnection] = []

    def leak(server: str, connection: UpstreamConnection, names_request: bool = True) -> None:
        leaked.append(connection)
        node.dispatcher.pool.open_count -= 1

    replace_attribute(node.dispatcher.pool, "release", leak)
