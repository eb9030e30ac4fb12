"""Assembles one node from its components, and starts, reloads, shuts down and closes it.

This is the only module that refers to all components. The program (`__main__.py`), the lab and embedding
applications all use this class, so measurements run the same code as production. It reads no files, handles
no signals and has no module-level state.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from flintridge.api import DiscoveryMode
from flintridge.config.node_config import NodeConfig
from flintridge.core.drivers import Policy
from flintridge.core.executed_ids import MEMORY_FRACTION
from flintridge.core.id_sharing import IdSharing
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.memory_monitor import MemoryMonitor
from flintridge.discovery.call import CallTimes
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.discovery.watcher import DiscoveryWatcher
from flintridge.downstream.listener import Downstream
from flintridge.fleet import Fleet, FleetContext
from flintridge.policy.balancer import Balancer
from flintridge.reload import Reloaded, plan_reload, process_limits
from flintridge.runtime.clock import Clock
from flintridge.runtime.worker_processes import WorkerProcesses
from flintridge.shutdown import GracefulShutdown, ServiceState, ShutdownTimes
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog
from flintridge.upstream.dispatcher import Dispatcher

if TYPE_CHECKING:
    from flintridge.core.admin_routes import Routes
    from flintridge.downstream.admin_api import AdminApi


class Node:
    """A node in the running event loop.

    Attributes:
        config: The configuration in force; `reload` replaces it.
        clock: The node's clock, in float milliseconds.
        log: Receives the node's log events.
        counters: The node's counters.
        endpoints: Ids and addresses of the servers.
        core: Accepts requests and passes events to the policy.
        dispatcher: Sends attempts to servers.
        discovery_watcher: Watches the endpoint list.
        shutdown: State of drain and termination.
        downstream: The client side: the listener and its connections.
        admin_api: The operators' HTTP API; None before `start`, or if no address is configured for it.
        membership: Gossip with the other nodes; None if the configuration names no peers.
        leases: Allocations of the fleet-wide limits; None if this node uses an even fraction of each limit.
        replication: Replica of the operators' state; None if this node has no replica.
        memory_monitor: Logs when the memory for clients runs short.
    """

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        log: EventLog,
        counters: Counters | None = None,
        policy: Policy | None = None,
        shared_directory: str | None = None,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """Create the node's components; `start` makes it serve.

        Args:
            config: The node's configuration.
            clock: The node's clock, in float milliseconds.
            log: Receives the node's log events.
            counters: The counters to use; None creates new ones.
            policy: Replaces the decision policy, for experiments; None uses `Balancer`.
            shared_directory: Directory that all processes of this node use to find one another; None if the
                node is a single process.
            entropy: Returns the given number of random bytes; this process's incarnation is made from them.

        Raises:
            ConfigError: The configured endpoint list is malformed.
        """
        self.config = config
        self.clock = clock
        self.log = log
        self.counters = counters or Counters()
        self.endpoints = EndpointList(config.zones, config.kinds, config.settings, clock)
        self._configured_list = configured_endpoints(config, self.endpoints)
        self.core = self._make_core(policy)
        self.dispatcher = self._make_dispatcher()
        self._overrides = None if config.state is None else EndpointOverrides(self.core.notify)
        self._apply_list = self.core.notify if self._overrides is None else self._overrides.apply
        self.discovery_watcher = self._make_discovery_watcher()
        self.core.attach(self.dispatcher, self.discovery_watcher)
        self.shutdown = GracefulShutdown(ShutdownTimes.of(config.settings))
        self.downstream = self._make_downstream()
        self.admin_api: AdminApi | None = None
        self._fleet = self._make_fleet(entropy)
        self.membership = self._fleet.membership
        self.leases = self._fleet.leases
        self.replication = self._fleet.replication
        self.downstream.is_ready = self._is_ready
        self._closed = False
        self._worker_processes = self._make_worker_processes(shared_directory)
        self._id_sharing: IdSharing | None = None
        if self._worker_processes is not None:
            processes = self._worker_processes
            self._fleet.check_process_count_by(lambda: processes.is_count_current)
            self._id_sharing = IdSharing(processes, self.core.executed_ids, self.clock, self.log)
        self.memory_monitor = self._make_memory_monitor()

    # Creation of the components

    def _make_core(self, policy: Policy | None) -> RequestLifecycle:
        config = self.config
        return RequestLifecycle(
            policy or Balancer(config.settings, config.seed),
            config.settings,
            self.clock,
            config.memory_budget_bytes,
            self.log,
            self.counters,
            MemoryBudget(config.process_memory_bytes(), self.clock),
        )

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self.endpoints,
            self.config.settings,
            self.clock,
            self.config.server_sockets,
            self.core.attempt_ended,
            self.log,
            self.counters,
            self.core.start_stream,
            self.config.response_budget_bytes,
            self.core.process_memory,
            lambda: self.core.respond_by,
        )

    def _make_discovery_watcher(self) -> DiscoveryWatcher:
        return DiscoveryWatcher(
            self.config.discovery,
            self.endpoints,
            self.clock,
            self._apply_list,
            self.log,
            self.counters,
            CallTimes.of(self.config.settings),
        )

    def _make_downstream(self) -> Downstream:
        return Downstream(
            self.core,
            self.config.settings,
            self.endpoints,
            self.clock,
            self.config.client_sockets,
            self.log,
            self.counters,
            self.shutdown,
        )

    def _make_fleet(self, entropy: Callable[[int], bytes]) -> Fleet:
        return Fleet(
            FleetContext(
                self.config,
                self.core,
                self.endpoints,
                self._overrides,
                self.clock,
                self.log,
                self.counters,
                entropy,
            )
        )

    def _make_memory_monitor(self) -> MemoryMonitor:
        parts = {
            "connections": self.downstream.connections.memory,
            "requests": self.core.request_memory,
            "written_values": self.core.memory_budget,
            "server_values": self.dispatcher.value_memory,
            "server_connections": self.dispatcher.connection_memory,
            "executed_ids": self.core.executed_ids.memory,
        }
        return MemoryMonitor(self.core.process_memory, parts, self.clock, self.log)

    def _make_worker_processes(self, shared_directory: str | None) -> WorkerProcesses | None:
        listen = self.config.listen
        if shared_directory is None or not listen.port:
            return None
        folder = os.path.join(shared_directory, f"flintridge-{listen.host.replace(':', '_')}-{listen.port}")
        return WorkerProcesses(folder, self.clock, self.log, self._process_count_changed)

    # Start

    async def start(self) -> int:
        """Open the admin API and the listener, and apply the configured endpoint list.

        Returns:
            The listener's port.

        Raises:
            ListenError: The admin API or the listener could not be opened.
        """
        # First of all: a node that cannot open its admin API must not have accepted any connection.
        await self._start_admin_api()
        await self._fleet.start_membership()
        if self._worker_processes is not None:
            self._worker_processes.start()
        if self._id_sharing is not None:
            await self._id_sharing.wait_for_others()
        self._fleet.start()
        self._start_discovery()
        listen = self.config.listen
        port = await self.downstream.listen(listen)
        self.log.event("serving", host=listen.host, port=port, members=len(self._configured_list.endpoints))
        return port

    def _process_count_changed(self, count: int) -> None:
        self._apply_limits()
        assert self._id_sharing is not None
        self._id_sharing.process_count_changed(count)

    async def _start_admin_api(self) -> None:
        address = self.config.console
        if address is None:
            return
        from flintridge.downstream.admin_api import AdminApi

        self.admin_api = AdminApi(self._routes(), self.clock, self.log, self.counters)
        port = await self.admin_api.listen(address)
        self.log.event("admin_api_listening", host=address.host, port=port)

    def _routes(self) -> Routes:
        from flintridge.operator_routes import OperatorRoutes

        return OperatorRoutes(self).routes() | self._fleet.routes()

    def _start_discovery(self) -> None:
        if self.config.settings.discovery is DiscoveryMode.PUSHED:
            # A watch is how lists are pushed: it is open from the first moment.
            self.discovery_watcher.watch_with_fallback(self._configured_list)
        else:
            self._apply_list(self._configured_list)

    def _is_ready(self) -> bool:
        """Whether `mn` may be confirmed: there is an endpoint list, and the replica is synchronized."""
        return self.discovery_watcher.has_list and self._fleet.is_synchronized()

    # Reload

    def reload(self, new: NodeConfig) -> Reloaded:
        """Apply the fields of `new` that can change in service; requests and connections are not affected."""
        self.counters.add("reloads")
        plan = plan_reload(self.config, new)
        self.config = plan.config
        self._apply_limits()
        if self.discovery_watcher.discovery != self.config.discovery:
            self.discovery_watcher.change_address(self.config.discovery)
        reloaded = plan.reloaded
        self.log.event("reloaded", changed=list(reloaded.changed), until_restart=list(reloaded.until_restart))
        return reloaded

    def reject_reload(self, error: Exception) -> None:
        """Count and log a configuration that could not be read; the configuration in force stays."""
        self.counters.add("reloads")
        self.counters.add("reloads_refused")
        self.log.event("reload_refused", error=str(error))

    def _apply_limits(self) -> None:
        """Give this process an equal fraction of the node's limits if the node runs as several processes.

        A lower limit closes nothing at once: connections above it are evicted as new ones arrive.
        """
        count = 1 if self._worker_processes is None else self._worker_processes.count
        limits = process_limits(self.config, count)
        self.core.process_memory.resize(limits.process_memory_bytes)
        half_of_memory = limits.process_memory_bytes // 2
        for part in (
            self.core.request_memory,
            self.downstream.connections.memory,
            self.dispatcher.connection_memory,
        ):
            part.resize(half_of_memory)
        self.core.executed_ids.memory.resize(int(limits.process_memory_bytes * MEMORY_FRACTION))
        self.core.memory_budget.resize(limits.memory_bytes)
        self.dispatcher.value_memory.resize(limits.response_memory_bytes)
        self.dispatcher.pool.max_connections = limits.server_connections
        self.downstream.connections.limit = limits.client_connections
        self._fleet.process_count_changed(count)

    # The service as seen by operators

    @property
    def state(self) -> str:
        """`starting`, or a value of `shutdown.ServiceState`."""
        if self.shutdown.state is ServiceState.SERVING and not self.downstream.serving:
            return "starting"
        return self.shutdown.state.value

    @property
    def can_serve(self) -> bool:
        """Whether requests can be served. True also when draining or drained, False once terminating."""
        return self.downstream.serving and not self.terminating

    @property
    def terminating(self) -> bool:
        """Whether the process is terminating."""
        return self.shutdown.state is ServiceState.TERMINATING

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""
        return self.downstream.connection_count

    @property
    def unanswered(self) -> int:
        """Number of requests without a final response."""
        return self.core.unanswered

    def quiesce(self) -> bool:
        """Start a drain: `mn` is refused, connections are closed between requests, the process keeps running.

        Returns:
            False if the node is draining, drained or terminating already.
        """
        if not self.shutdown.start_drain(self.clock.now()):
            return False
        self.counters.add("drains")
        self.log.event("draining", connections=self.connection_count)
        self.downstream.start_drain()
        return True

    def resume(self) -> bool:
        """End the drain. Returns False if there was none or the process is terminating."""
        if not self.shutdown.resume():
            return False
        self.counters.add("resumes")
        self.downstream.cancel_drain()
        self.log.event("resumed", connections=self.connection_count)
        return True

    # Termination

    async def leave(self) -> None:
        """Keep accepting for 0.7 s, respond to every accepted request, then close."""
        self.log.event("leaving", stepped_aside=self._redirect_new_connections())
        self._fleet.begin_shutdown()
        await self.downstream.leave()
        self._fleet.leave()
        await self.close()
        self.log_counters()
        self.log.event("left")

    def _redirect_new_connections(self) -> bool:
        """Route new connections to another process of this node; False if there is none."""
        if self._worker_processes is None:
            return False
        position = self._worker_processes.index_of_other()
        return position is not None and self.downstream.redirect_new_connections(position)

    def log_counters(self) -> None:
        """Log the counters, and the histograms if there are any."""
        self._fleet.publish_counters()
        self.log.event("counters", **self.counters.snapshot())
        peak_bytes = self.memory_monitor.peak_bytes
        self.log.event("memory", peak=peak_bytes, **self.memory_monitor.usage())
        histograms = self.counters.histograms()
        if histograms:
            self.log.event("histograms", **histograms)

    async def close(self) -> None:
        """Close everything immediately. Clients with an open request see their connection close."""
        if self._closed:
            return
        self._closed = True
        self.memory_monitor.close()
        self.downstream.close()
        if self.admin_api is not None:
            self.admin_api.close()
        if self._worker_processes is not None:
            self._worker_processes.close()
        if self._id_sharing is not None:
            self._id_sharing.close()
        await self._fleet.close()
        await self.discovery_watcher.close()
        await self.dispatcher.close()
        self.core.close()
