"""The parts of a node that know of the fleet's other nodes: membership, leases, replication.

Each is there only where the configuration asks for it, and is imported then: a node alone stays small.
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
    """What the parts need of their node.

    Attributes:
        config: Of the node.
        core: Reports requests and attempts, takes allocations.
        endpoints: Ids and addresses of the servers.
        overrides: Which servers operators took out; None: this node has no replica of that.
        clock: Gives the time, in float milliseconds.
        log: Takes the events.
        counters: Takes the counts.
        entropy: Returns so many random bytes.
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
    """A node's place in its fleet.

    Attributes:
        membership: None: this node reaches no other.
        leases: None: this node has its even fraction of each fleet-wide limit.
        replication: None: this node has no replica of the operators' state.
    """

    def __init__(self, context: FleetContext) -> None:
        """Make the parts that the configuration asks for; nothing is sent before `start_membership`."""
        self.membership = _make_membership(context)
        self.leases = _make_leases(context, self.membership)
        self.replication = _make_replication(context, self.membership)

    async def start_membership(self) -> None:
        """Begin to exchange messages with the other nodes."""
        if self.membership is not None:
            await self.membership.start()

    def start(self) -> None:
        """Begin with leases and replication; before the first request.

        A process that just began holds its floor of each limit alone.
        """
        if self.leases is not None:
            self.leases.start()
        if self.replication is not None:
            self.replication.start()

    def is_synchronized(self) -> bool:
        """Whether the replica, if there is one, is synchronized with another node's."""
        return self.replication is None or self.replication.is_synchronized()

    def process_count_changed(self, count: int) -> None:
        """So many processes are the node now."""
        if self.leases is not None:
            self.leases.process_count_changed(count)

    def routes(self) -> Routes:
        """The admin API's routes of the parts."""
        routes: Routes = {}
        if self.membership is not None:
            routes[b"/admin/peers"] = {b"GET": self.membership.admin_view}
        if self.leases is not None:
            routes[b"/admin/budgets"] = {b"GET": self.leases.admin_status}
        if self.replication is not None:
            routes.update(self.replication.routes())
        return routes

    def publish_counters(self) -> None:
        """Bring the node's counters up to those of the parts."""
        if self.membership is not None:
            self.membership.publish_counters()
        if self.leases is not None:
            self.leases.publish_counters()
        if self.replication is not None:
            self.replication.publish_counters()

    def begin_shutdown(self) -> None:
        """The process is about to end: release what is leased."""
        if self.leases is not None:
            self.leases.begin_shutdown()

    def leave(self) -> None:
        """Tell the other nodes that this one leaves."""
        if self.membership is not None:
            self.membership.leave()

    async def close(self) -> None:
        """End all parts at once."""
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
