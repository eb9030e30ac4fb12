"""One node, put together from its parts: start, reload, leave, close. The only place that names all parts.

The daemon (`__main__.py`), the lab and whoever embeds a node use the same object, so that what is measured is
what serves. It reads no file, minds no signal and keeps nothing at module level.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from typing import TYPE_CHECKING

from flintridge.api import DiscoveryMode, EndpointUpdate
from flintridge.config.node_config import MAX_VALUE_MB, NodeConfig
from flintridge.core.drivers import Policy
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.discovery.watcher import DiscoveryWatcher, watch_wait_ms
from flintridge.downstream.listener import Downstream
from flintridge.policy.balancer import Balancer
from flintridge.policy.quota import QUOTA_SLACK
from flintridge.runtime.clock import Clock
from flintridge.runtime.worker_processes import WorkerProcesses
from flintridge.shutdown import GracefulShutdown, ServiceState, ShutdownTimes
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog
from flintridge.upstream.dispatcher import Dispatcher

if TYPE_CHECKING:
    from flintridge.core.admin_routes import AdminResponse, Routes
    from flintridge.downstream.admin_api import AdminApi
    from flintridge.leases.driver import LeaseDriver
    from flintridge.membership.driver import MembershipDriver
    from flintridge.replication.driver import ReplicationDriver

CHANGEABLE = ("discovery", "sockets", "memory_mb")  # without a restart


@dataclass(slots=True, frozen=True)
class Reloaded:
    """What a new configuration changed, by the names of `NodeConfig`, and what of it waits for a restart."""

    changed: tuple[str, ...]
    until_restart: tuple[str, ...]


class Node:
    """A node in the running event loop.

    `clock` gives its time (float milliseconds), `log` takes its events, `policy` stands in for the decision
    policy where a trial needs another one. Raises ConfigError where the configuration's list is malformed.
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
        """`shared`: the folder in which the processes of one node meet; None where there is only this one.

        `entropy` gives random bytes, of which this process's life among its peers is made.
        """
        self.config = config
        self.clock = clock
        self.log = log
        self.counters = counters or Counters()
        settings = config.settings
        self.endpoints = EndpointList(config.zones, config.kinds, settings, clock)
        self._known = configured_endpoints(config, self.endpoints)
        self.core = RequestLifecycle(
            policy or Balancer(settings, config.seed),
            settings,
            clock,
            config.memory_budget_bytes,
            log,
            self.counters,
        )
        self.dispatcher = Dispatcher(
            self.endpoints,
            settings,
            clock,
            config.server_sockets,
            self.core.attempt_ended,
            log,
            self.counters,
            self.core.start_stream,
        )
        self._list_told: Callable[[EndpointUpdate], None] = self.core.notify
        if config.state is not None:
            self._overrides = EndpointOverrides(self.core.notify)
            self._list_told = self._overrides.apply
        self.discovery_watcher = DiscoveryWatcher(
            config.discovery,
            self.endpoints,
            clock,
            self._list_told,
            log,
            self.counters,
            watch_wait_ms(settings),
        )
        self.core.attach(self.dispatcher, self.discovery_watcher)
        self.shutdown = GracefulShutdown(ShutdownTimes.of(settings))
        self.downstream = Downstream(
            self.core,
            settings,
            self.endpoints,
            clock,
            config.client_sockets,
            log,
            self.counters,
            self.shutdown,
        )
        self.admin_api: AdminApi | None = None
        self.membership: MembershipDriver | None = None
        if config.peers is not None:
            from flintridge.membership.driver import MembershipDriver  # not held by a node that hears nobody

            self.membership = MembershipDriver(config.name, config.peers, clock, log, self.counters, entropy)
        self.leases: LeaseDriver | None = None
        if config.budgets is not None and self.membership is not None:
            from flintridge.leases.driver import LeaseDriver  # not held by a node that lends nothing

            even = {
                i: QUOTA_SLACK / settings.fleet_size * tenant.quota_per_s
                for i, tenant in enumerate(settings.tenants)
            }
            self.leases = LeaseDriver(
                config.budgets,
                settings,
                even,
                self.membership,
                self.endpoints,
                self.core,
                clock,
                log,
                self.counters,
                entropy,
            )
        self.replication: ReplicationDriver | None = None
        if config.state is not None and self.membership is not None:
            from flintridge.replication.driver import (
                ReplicationDriver,  # not held by a node that holds no state
            )

            self.replication = ReplicationDriver(
                config.state, self.membership, clock, log, self.counters, entropy, self._overrides.take_out
            )
        self.downstream.is_ready = self._ready
        self._closed = False
        listen = config.listen
        self._worker_processes: WorkerProcesses | None = None
        if shared is not None and listen.port:
            folder = os.path.join(shared, f"flintridge-{listen.host.replace(':', '_')}-{listen.port}")
            self._worker_processes = WorkerProcesses(folder, clock, log, lambda _: self._deal_out())

    async def start(self) -> int:
        """Take the known list in and open the console and the listener; the listener's port.

        Raises ListenError, an OSError, where one of the two can't be opened.
        """
        # Before anything else: what cannot have its console must not have taken a single connection.
        if self.config.console is not None:
            from flintridge.downstream.admin_api import AdminApi  # not held by a node that has none

            self.admin_api = AdminApi(self._routes(), self.clock, self.log, self.counters)
            port = await self.admin_api.listen(self.config.console)
            self.log.event("admin_api_listening", host=self.config.console.host, port=port)
        if self.membership is not None:
            await self.membership.start()
        if self._worker_processes is not None:
            self._worker_processes.start()
        if self.leases is not None:
            self.leases.start()  # before the first request: a process that just began holds its floor alone
        if self.replication is not None:
            self.replication.start()
        if self.config.settings.discovery is DiscoveryMode.PUSHED:
            self.discovery_watcher.begin(
                self._known
            )  # a watch is how lists are pushed: it is open from the first moment
        else:
            self._list_told(self._known)
        listen = self.config.listen
        port = await self.downstream.listen(listen)
        self.log.event("serving", host=listen.host, port=port, members=len(self._known.endpoints))
        return port

    def _ready(self) -> bool:
        """What else has to be before `mn` is answered: a list, and the state of others where it is held."""
        return self.discovery_watcher.has_list and (
            self.replication is None or self.replication.is_synchronized()
        )

    def reload(self, new: NodeConfig) -> Reloaded:
        """Take over from `new` what can change in service; no request and no connection is touched."""
        self.counters.add("reloads")
        old = self.config
        # The list that the file holds is an old one; this node's own is newer.
        names = [field.name for field in fields(NodeConfig) if field.name != "known"]
        changed = [name for name in names if getattr(new, name) != getattr(old, name)]
        now = {name: getattr(new, name) for name in changed if name in CHANGEABLE}
        self.config = replace(old, **now)  # what holds, whatever else the file says
        self._deal_out()
        if self.discovery_watcher.discovery != self.config.discovery:
            self.discovery_watcher.move(self.config.discovery)
        done = Reloaded(tuple(now), tuple(name for name in changed if name not in now))
        self.log.event("reloaded", changed=list(done.changed), until_restart=list(done.until_restart))
        return done

    def _deal_out(self) -> None:
        """What this process may hold: the node's limits, in equal parts while several processes are the node.

        Nothing that is open is closed for it. What is beyond makes place as others come.
        """
        count = 1 if self._worker_processes is None else self._worker_processes.count
        config = self.config
        self.core.memory_budget.resize(
            max(int(MAX_VALUE_MB * 1024 * 1024), config.memory_budget_bytes // count)
        )
        self.dispatcher.pool.max_connections = config.server_sockets // count
        self.downstream.connection_limit = config.client_sockets // count
        if self.leases is not None:
            self.leases.process_count_changed(count)

    def refuse_reload(self, error: Exception) -> None:
        """A configuration that cannot be read changes nothing; it is counted and told."""
        self.counters.add("reloads")
        self.counters.add("reloads_refused")
        self.log.event("reload_refused", error=str(error))

    # What operators call for

    def _routes(self) -> Routes:
        return {
            b"/admin/health": {b"GET": self._health},
            b"/admin/quiesce": {b"POST": self._quiesce},
            b"/admin/resume": {b"POST": self._resume},
            **({} if self.membership is None else {b"/admin/peers": {b"GET": self.membership.admin_view}}),
            **({} if self.leases is None else {b"/admin/budgets": {b"GET": self.leases.admin_status}}),
            **({} if self.replication is None else self.replication.routes()),
        }

    @property
    def state(self) -> str:
        """`starting`, or as in `shutdown.ServiceState`."""
        if self.shutdown.state is ServiceState.SERVING and not self.downstream.serving:
            return "starting"
        return self.shutdown.state.value

    def _health(self) -> AdminResponse:
        # A drained process can serve: it is only told not to. One that leaves ends soon.
        able = self.downstream.serving and self.shutdown.state is not ServiceState.TERMINATING
        said = {
            "state": self.state,
            "connections": self.downstream.connection_count,
            "requests": self.core.unanswered,
        }
        return 200 if able else 503, said

    def _quiesce(self) -> AdminResponse:
        self.quiesce()
        return 200, {"state": self.state}

    def _resume(self) -> AdminResponse:
        self.resume()
        return 409 if self.shutdown.state is ServiceState.TERMINATING else 200, {"state": self.state}

    def quiesce(self) -> bool:
        """Drain: `mn` is told no, connections end between requests, the process runs on.

        Returns:
            False where that had been asked before.
        """
        if not self.shutdown.start_drain(self.clock.now()):
            return False
        self.counters.add("drains")
        self.log.event("draining", connections=self.downstream.connection_count)
        self.downstream.start_drain()
        return True

    def resume(self) -> bool:
        """End the drain. False where there was none, or the process leaves."""
        if not self.shutdown.resume():
            return False
        self.counters.add("resumes")
        self.downstream.cancel_drain()
        self.log.event("resumed", connections=self.downstream.connection_count)
        return True

    async def leave(self) -> None:
        """Serve on for 0.7 s, answer all that was taken, then close."""
        other = None if self._worker_processes is None else self._worker_processes.index_of_other()
        stepped_aside = other is not None and self.downstream.redirect_new_connections(other)
        self.log.event("leaving", stepped_aside=stepped_aside)
        if self.leases is not None:
            self.leases.begin_shutdown()
        await self.downstream.leave()
        if self.membership is not None:
            self.membership.leave()
        await self.close()
        self.tell_counters()
        self.log.event("left")

    def tell_counters(self) -> None:
        """Log what was counted, and the histograms where there are any."""
        if self.membership is not None:
            self.membership.publish_counters()
        if self.leases is not None:
            self.leases.export_counters()
        if self.replication is not None:
            self.replication.publish_counters()
        self.log.event("counters", **self.counters.snapshot())
        if histograms := self.counters.histograms():
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
        if self.leases is not None:
            self.leases.close()
        if self.replication is not None:
            await self.replication.close()
        if self.membership is not None:
            await self.membership.close()
        await self.discovery_watcher.close()
        await self.dispatcher.close()
        self.core.close()
