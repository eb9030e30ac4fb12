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
from flintridge.core.drivers import Policy
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.discovery.watcher import DiscoveryWatcher, watch_wait_ms
from flintridge.net.delivery import Delivery
from flintridge.net.sender import SenderSide
from flintridge.policy.balancer import QUOTA_SLACK, Balancer
from flintridge.runtime.clock import Clock
from flintridge.runtime.worker_processes import WorkerProcesses
from flintridge.settings import LONGEST_MB, NodeConfig
from flintridge.shutdown import Drain, State
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

if TYPE_CHECKING:
    from flintridge.fronts.console import Routes, Said
    from flintridge.leases.driver import Budgets
    from flintridge.membership.driver import Peers
    from flintridge.net.console import Console
    from flintridge.replication.driver import Replica

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
        self.transports = EndpointList(config.zones, config.kinds, settings, clock)
        self._known = configured_endpoints(config, self.transports)
        self.core = RequestLifecycle(
            policy or Balancer(settings, config.seed), settings, clock, config.held_bytes, log, self.counters
        )
        self.delivery = Delivery(
            self.transports,
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
            self._holds = EndpointOverrides(self.core.notify)
            self._list_told = self._holds.apply
        self.watch = DiscoveryWatcher(
            config.discovery,
            self.transports,
            clock,
            self._list_told,
            log,
            self.counters,
            watch_wait_ms(settings),
        )
        self.core.attach(self.delivery, self.watch)
        self.drain = Drain()
        self.side = SenderSide(
            self.core, settings, self.transports, clock, config.client_sockets, log, self.counters, self.drain
        )
        self.console: Console | None = None
        self.peers: Peers | None = None
        if config.peers is not None:
            from flintridge.membership.driver import Peers  # not held by a node that hears nobody

            self.peers = Peers(config.name, config.peers, clock, log, self.counters, entropy)
        self.budgets: Budgets | None = None
        if config.budgets is not None and self.peers is not None:
            from flintridge.leases.driver import Budgets  # not held by a node that lends nothing

            even = {
                i: QUOTA_SLACK / settings.fleet_size * tenant.quota_per_s
                for i, tenant in enumerate(settings.tenants)
            }
            self.budgets = Budgets(
                config.budgets,
                settings,
                even,
                self.peers,
                self.transports,
                self.core,
                clock,
                log,
                self.counters,
                entropy,
            )
        self.replica: Replica | None = None
        if config.state is not None and self.peers is not None:
            from flintridge.replication.driver import Replica  # not held by a node that holds no state

            self.replica = Replica(
                config.state, self.peers, clock, log, self.counters, entropy, self._holds.take_out
            )
        self.side.ready = self._ready
        self._closed = False
        listen = config.listen
        self._siblings: WorkerProcesses | None = None
        if shared is not None and listen.port:
            folder = os.path.join(shared, f"flintridge-{listen.host.replace(':', '_')}-{listen.port}")
            self._siblings = WorkerProcesses(folder, clock, log, lambda _: self._deal_out())

    async def start(self) -> int:
        """Take the known list in and open the console and the listener; the listener's port.

        Raises ListenError, an OSError, where one of the two can't be opened.
        """
        # Before anything else: what cannot have its console must not have taken a single connection.
        if self.config.console is not None:
            from flintridge.net.console import Console  # not held by a node that has none

            self.console = Console(self._routes(), self.clock, self.log, self.counters)
            port = await self.console.listen(self.config.console)
            self.log.event("console", host=self.config.console.host, port=port)
        if self.peers is not None:
            await self.peers.start()
        if self._siblings is not None:
            self._siblings.start()
        if self.budgets is not None:
            self.budgets.start()  # before the first request: a process that just began holds its floor alone
        if self.replica is not None:
            self.replica.start()
        if self.config.settings.discovery is DiscoveryMode.PUSHED:
            self.watch.begin(self._known)  # a watch is how lists are pushed: it is open from the first moment
        else:
            self._list_told(self._known)
        listen = self.config.listen
        port = await self.side.listen(listen)
        self.log.event("serving", host=listen.host, port=port, members=len(self._known.endpoints))
        return port

    def _ready(self) -> bool:
        """What else has to be before `mn` is answered: a list, and the state of others where it is held."""
        return self.watch.has_list and (self.replica is None or self.replica.caught_up())

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
        if self.watch.discovery != self.config.discovery:
            self.watch.move(self.config.discovery)
        done = Reloaded(tuple(now), tuple(name for name in changed if name not in now))
        self.log.event("reloaded", changed=list(done.changed), until_restart=list(done.until_restart))
        return done

    def _deal_out(self) -> None:
        """What this process may hold: the node's limits, in equal parts while several processes are the node.

        Nothing that is open is closed for it. What is beyond makes place as others come.
        """
        count = 1 if self._siblings is None else self._siblings.count
        config = self.config
        self.core.memory_budget.resize(max(int(LONGEST_MB * 1024 * 1024), config.held_bytes // count))
        self.delivery.room = config.server_sockets // count
        self.side.room = config.client_sockets // count
        if self.budgets is not None:
            self.budgets.processes(count)

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
            **({} if self.peers is None else {b"/admin/peers": {b"GET": self.peers.said}}),
            **({} if self.budgets is None else {b"/admin/budgets": {b"GET": self.budgets.said}}),
            **({} if self.replica is None else self.replica.routes()),
        }

    @property
    def state(self) -> str:
        """`starting`, or as in `drain.State`."""
        if self.drain.state is State.SERVING and not self.side.serving:
            return "starting"
        return self.drain.state.value

    def _health(self) -> Said:
        # A drained process can serve: it is only told not to. One that leaves ends soon.
        able = self.side.serving and self.drain.state is not State.LEAVING
        said = {"state": self.state, "connections": self.side.connections, "requests": self.core.unanswered}
        return 200 if able else 503, said

    def _quiesce(self) -> Said:
        self.quiesce()
        return 200, {"state": self.state}

    def _resume(self) -> Said:
        self.resume()
        return 409 if self.drain.state is State.LEAVING else 200, {"state": self.state}

    def quiesce(self) -> bool:
        """Drain: `mn` is told no, connections end between requests, the process runs on. False: it was told
        before."""
        if not self.drain.quiesce(self.clock.now()):
            return False
        self.counters.add("drains")
        self.log.event("draining", connections=self.side.connections)
        self.side.ending()
        return True

    def resume(self) -> bool:
        """End the drain. False where there was none, or the process leaves."""
        if not self.drain.resume(self.clock.now()):
            return False
        self.counters.add("resumes")
        self.side.resumed()
        self.log.event("resumed", connections=self.side.connections)
        return True

    async def leave(self) -> None:
        """Serve on for 0.7 s, answer all that was taken, then close."""
        other = None if self._siblings is None else self._siblings.place_of_other()
        stepped_aside = other is not None and self.side.step_aside(other)
        self.log.event("leaving", stepped_aside=stepped_aside)
        if self.budgets is not None:
            self.budgets.leave()
        await self.side.leave()
        if self.peers is not None:
            self.peers.leave()
        await self.close()
        self.tell_counters()
        self.log.event("left")

    def tell_counters(self) -> None:
        """Log what was counted, and the histograms where there are any."""
        if self.peers is not None:
            self.peers.tell_counters()
        if self.budgets is not None:
            self.budgets.tell_counters()
        if self.replica is not None:
            self.replica.tell_counters()
        self.log.event("counters", **self.counters.snapshot())
        if histograms := self.counters.histograms():
            self.log.event("histograms", **histograms)

    async def close(self) -> None:
        """End now: nothing stays open or running. A client with a request open sees its connection end."""
        if self._closed:
            return
        self._closed = True
        self.side.close()
        if self.console is not None:
            self.console.close()
        if self._siblings is not None:
            self._siblings.close()
        if self.budgets is not None:
            self.budgets.close()
        if self.replica is not None:
            await self.replica.close()
        if self.peers is not None:
            await self.peers.close()
        await self.watch.close()
        await self.delivery.close()
        self.core.close()
