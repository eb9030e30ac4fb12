"""The components of a node that communicate with the fleet's other nodes: membership, leases, replication.

Each is created, and its package imported, only if the configuration enables it, so that a single node uses
little memory.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flintridge.config.node_config import NodeConfig
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.policy.quota import QUOTA_SLACK
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

if TYPE_CHECKING:
    from flintridge.core.admin_routes import Routes
    from flintridge.leases.driver import LeaseDriver
    from flintridge.membership.driver import MembershipDriver
    from flintridge.replication.driver import ReplicationDriver


@dataclass(slots=True, frozen=True)
class FleetContext:
    """What the fleet components need of their node.

    Attributes:
        config: The node's configuration.
        core: Reports requests and attempts, and receives allocations.
        endpoints: Ids and addresses of the servers.
        overrides: Servers that operators have taken out; None if the node has no replica of that state.
        clock: The node's clock, in float milliseconds.
        log: Receives log events.
        counters: The node's counters.
        entropy: Returns the given number of random bytes.
    """

    config: NodeConfig
    core: RequestLifecycle
    endpoints: EndpointList
    overrides: EndpointOverrides | None
    clock: Clock
    log: EventLog
    counters: Counters
    entropy: Callable[[int], bytes]


class Fleet:
    """The fleet components of one node.

    Attributes:
        membership: Gossip with the other nodes; None if the configuration names no peers.
        leases: Allocations of the fleet-wide limits; None if this node uses an even fraction of each limit.
        replication: Replica of the operators' state; None if this node has no replica.
    """

    def __init__(self, context: FleetContext) -> None:
        """Create the components that the configuration enables; nothing is sent before `start_membership`."""
        self.membership = _make_membership(context)
        self.leases = _make_leases(context, self.membership)
        self.replication = _make_replication(context, self.membership)

    async def start_membership(self) -> None:
        """Start to exchange messages with the other nodes."""
        if self.membership is not None:
            await self.membership.start()

    def start(self) -> None:
        """Start leases and replication; call before the first request.

        A process that has just started uses only its floor of each limit.
        """
        if self.leases is not None:
            self.leases.start()
        if self.replication is not None:
            self.replication.start()

    def is_synchronized(self) -> bool:
        """Whether the replica is synchronized with another node's; True without a replica."""
        return self.replication is None or self.replication.is_synchronized()

    def check_process_count_by(self, is_current: Callable[[], bool]) -> None:
        """Set the function that returns whether the number of this node's processes was counted recently."""
        if self.leases is not None:
            self.leases.manager.is_process_count_current = is_current

    def process_count_changed(self, count: int) -> None:
        """Adapt to the current number of processes of this node."""
        if self.leases is not None:
            self.leases.process_count_changed(count)

    def routes(self) -> Routes:
        """Return the admin API routes of the components."""
        routes: Routes = {}
        if self.membership is not None:
            routes[b"/admin/peers"] = {b"GET": self.membership.admin_view}
        if self.leases is not None:
            routes[b"/admin/budgets"] = {b"GET": self.leases.admin_status}
        if self.replication is not None:
            routes.update(self.replication.routes())
        return routes

    def publish_counters(self) -> None:
        """Update the node's counters from those of the components."""
        if self.membership is not None:
            self.membership.publish_counters()
        if self.leases is not None:
            self.leases.publish_counters()
        if self.replication is not None:
            self.replication.publish_counters()

    def begin_shutdown(self) -> None:
        """Release the leases, as the process is about to end."""
        if self.leases is not None:
            self.leases.begin_shutdown()

    def leave(self) -> None:
        """Notify the other nodes that this one leaves the fleet."""
        if self.membership is not None:
            self.membership.leave()

    async def close(self) -> None:
        """Close all components immediately."""
        if self.leases is not None:
            self.leases.close()
        if self.replication is not None:
            await self.replication.close()
        if self.membership is not None:
            await self.membership.close()


def _make_membership(context: FleetContext) -> MembershipDriver | None:
    config = context.config
    if config.peers is None:
        return None
    from flintridge.membership.driver import MembershipDriver

    return MembershipDriver(
        config.name, config.peers, context.clock, context.log, context.counters, context.entropy
    )


def _make_leases(context: FleetContext, membership: MembershipDriver | None) -> LeaseDriver | None:
    config = context.config
    if config.budgets is None or membership is None:
        return None
    from flintridge.leases.driver import LeaseDriver

    settings = config.settings
    even_fraction = QUOTA_SLACK / settings.fleet_size
    even_quotas = {
        position: even_fraction * tenant.quota_per_s for position, tenant in enumerate(settings.tenants)
    }
    return LeaseDriver(
        config.budgets,
        settings,
        even_quotas,
        membership,
        context.endpoints,
        context.core,
        context.clock,
        context.log,
        context.counters,
        context.entropy,
    )


def _make_replication(context: FleetContext, membership: MembershipDriver | None) -> ReplicationDriver | None:
    config = context.config
    if config.state is None or membership is None or context.overrides is None:
        return None
    from flintridge.replication.driver import ReplicationDriver

    return ReplicationDriver(
        config.state,
        membership,
        context.clock,
        context.log,
        context.counters,
        context.entropy,
        context.overrides.take_out,
    )
