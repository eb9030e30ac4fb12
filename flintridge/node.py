"""One node, put together from its parts: start, reload, leave, close. The only module that names all parts.

The daemon (`__main__.py`), the lab and whoever embeds a node use the same object, so that what is measured is
what serves. It reads no file, minds no signal and keeps nothing at module level.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from flintridge.api import DiscoveryMode
from flintridge.config.node_config import NodeConfig
from flintridge.core.drivers import Policy
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.discovery.watcher import DiscoveryWatcher, watch_wait_ms
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
        config: In force; `reload` replaces it.
        clock: Gives the time, in float milliseconds.
        log: Takes the events.
        counters: Takes the counts.
        endpoints: Ids and addresses of the servers.
        core: Takes requests, notifies the policy.
        dispatcher: Carries attempts to servers.
        discovery_watcher: Watches the endpoint list.
        shutdown: The state of the service.
        downstream: The client side.
        admin_api: For operators; None before `start`, or where the configuration names no address for it.
        membership: None: this node reaches no other.
        leases: None: this node has its even fraction of each fleet-wide limit.
        replication: None: this node has no replica of the operators' state.
    """

    def __init__(
        self,
        config: NodeConfig,
        clock: Clock,
        log: EventLog,
        counters: Counters | None = None,
        policy: Policy | None = None,
        shared: str | None = None,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """Put the node together; `start` has it serve.

        Args:
            config: Of the node.
            clock: Gives the time, in float milliseconds.
            log: Takes the events.
            counters: Takes the counts; None: those of its own.
            policy: Stands in for the decision policy, where a trial needs another one.
            shared: The folder in which the processes of one node meet; None: there is only this one.
            entropy: Returns so many random bytes, of which this process's incarnation is made.

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
        self._worker_processes = self._make_worker_processes(shared)

    # Its parts

    def _make_core(self, policy: Policy | None) -> RequestLifecycle:
        config = self.config
        return RequestLifecycle(
            policy or Balancer(config.settings, config.seed),
            config.settings,
            self.clock,
            config.memory_budget_bytes,
            self.log,
            self.counters,
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
        )

    def _make_discovery_watcher(self) -> DiscoveryWatcher:
        return DiscoveryWatcher(
            self.config.discovery,
            self.endpoints,
            self.clock,
            self._apply_list,
            self.log,
            self.counters,
            watch_wait_ms(self.config.settings),
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

    def _make_worker_processes(self, shared: str | None) -> WorkerProcesses | None:
        listen = self.config.listen
        if shared is None or not listen.port:
            return None
        folder = os.path.join(shared, f"flintridge-{listen.host.replace(':', '_')}-{listen.port}")
        return WorkerProcesses(folder, self.clock, self.log, lambda _: self._apply_limits())

    # Start

    async def start(self) -> int:
        """Open the admin API and the listener, and apply the configured endpoint list.

        Returns:
            The listener's port.

        Raises:
            ListenError: One of the two can't be opened.
        """
        # Before anything else: what cannot have its admin API must not have taken a single connection.
        await self._start_admin_api()
        await self._fleet.start_membership()
        if self._worker_processes is not None:
            self._worker_processes.start()
        self._fleet.start()
        self._start_discovery()
        listen = self.config.listen
        port = await self.downstream.listen(listen)
        self.log.event("serving", host=listen.host, port=port, members=len(self._configured_list.endpoints))
        return port

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
        """What else has to be before `mn` is answered: a list, and a replica that is synchronized."""
        return self.discovery_watcher.has_list and self._fleet.is_synchronized()

    # Reload

    def reload(self, new: NodeConfig) -> Reloaded:
        """Take over from `new` what can change in service; no request and no connection is touched."""
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
        """A configuration that cannot be read changes nothing; it is counted and logged."""
        self.counters.add("reloads")
        self.counters.add("reloads_refused")
        self.log.event("reload_refused", error=str(error))

    def _apply_limits(self) -> None:
        """Have this process hold an equal fraction of the node's limits while several processes are the node.

        Nothing that is open is closed for it. What is beyond makes place as others come.
        """
        count = 1 if self._worker_processes is None else self._worker_processes.count
        limits = process_limits(self.config, count)
        self.core.memory_budget.resize(limits.memory_bytes)
        self.dispatcher.pool.max_connections = limits.server_connections
        self.downstream.connections.limit = limits.client_connections
        self._fleet.process_count_changed(count)

    # The service, as operators see it

    @property
    def state(self) -> str:
        """`starting`, or as in `shutdown.ServiceState`."""
        if self.shutdown.state is ServiceState.SERVING and not self.downstream.serving:
            return "starting"
        return self.shutdown.state.value

    @property
    def can_serve(self) -> bool:
        """Whether it can serve. A drained process can: it is only told not to. One that leaves ends soon."""
        return self.downstream.serving and not self.terminating

    @property
    def terminating(self) -> bool:
        """Whether the process is about to end."""
        return self.shutdown.state is ServiceState.TERMINATING

    @property
    def connection_count(self) -> int:
        """Open connections of clients."""
        return self.downstream.connection_count

    @property
    def unanswered(self) -> int:
        """Requests without a final response."""
        return self.core.unanswered

    def quiesce(self) -> bool:
        """Drain: `mn` is told no, connections end between requests, the process runs on.

        Returns:
            False where that had been asked before.
        """
        if not self.shutdown.start_drain(self.clock.now()):
            return False
        self.counters.add("drains")
        self.log.event("draining", connections=self.connection_count)
        self.downstream.start_drain()
        return True

    def resume(self) -> bool:
        """End the drain. False where there was none, or the process leaves."""
        if not self.shutdown.resume():
            return False
        self.counters.add("resumes")
        self.downstream.cancel_drain()
        self.log.event("resumed", connections=self.connection_count)
        return True

    # The end

    async def leave(self) -> None:
        """Serve on for 0.7 s, answer all that was taken, then close."""
        self.log.event("leaving", stepped_aside=self._redirect_new_connections())
        self._fleet.begin_shutdown()
        await self.downstream.leave()
        self._fleet.leave()
        await self.close()
        self.log_counters()
        self.log.event("left")

    def _redirect_new_connections(self) -> bool:
        """Have another process of this node accept new connections; False where there is none."""
        if self._worker_processes is None:
            return False
        position = self._worker_processes.index_of_other()
        return position is not None and self.downstream.redirect_new_connections(position)

    def log_counters(self) -> None:
        """Log what was counted, and the histograms where there are any."""
        self._fleet.publish_counters()
        self.log.event("counters", **self.counters.snapshot())
        histograms = self.counters.histograms()
        if histograms:
            self.log.event("histograms", **histograms)

    async def close(self) -> None:
        """End now: nothing stays open or running. A client with a request open sees its connection end."""
        if self._closed:
            return
        self._closed = True
        self.downstream.close()
        if self.admin_api is not None:
            self.admin_api.close()
        if self._worker_processes is not None:
            self._worker_processes.close()
        await self._fleet.close()
        await self.discovery_watcher.close()
        await self.dispatcher.close()
        self.core.close()
