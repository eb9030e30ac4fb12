"""The load balancer between clients and nodes.

It uses the nodes that it knows to be ready, and learns of a node's death with a delay.
"""

import asyncio
from collections.abc import Iterable, Mapping, Sequence

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.readiness import check_readiness
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import NodeStateChanged
from flintridge.lab.scenario.model import Span
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw

CHECK_INTERVAL_MS = 100.0
# New connections still go to a node this long after SIGTERM, or after a failed readiness check in a drain.
TERMINATION_NOTICE_MS = (200.0, 400.0)
DRAIN_NOTICE_MS = 200.0


class ZonedNodes:
    """Nodes by zone, over which requests are distributed evenly."""

    def __init__(self, nodes: Iterable[str], zones: Mapping[str, str]) -> None:
        self._all = list(nodes)
        self._by_zone: dict[str, list[str]] = {}
        for node in self._all:
            self._by_zone.setdefault(zones.get(node, ""), []).append(node)

    def at(self, zone: str, fraction: float) -> str | None:
        """Return the zone's node at `fraction` (0 to 1), or one of all nodes if the zone has none."""
        nodes = self._by_zone.get(zone) or self._all
        return nodes[int(fraction * len(nodes))] if nodes else None


class LoadBalancer:
    """Chooses the node of a request.

    The runner notifies it of changes of nodes, and it reacts with the delay of a real load balancer: to a
    death after the scenario's `notice_s`, to SIGTERM after 0.2 to 0.4 s, and to a start once the node has
    responded to `mn` with `MN`. After SIGTERM, clients still use connections that stay open, until the
    process is killed or another one starts.
    """

    def __init__(
        self,
        nodes: Sequence[str],
        zones: Mapping[str, str],
        notice_s: Span,
        fabric: Fabric,
        log: RecordLog,
        seeds: Seeds,
    ) -> None:
        """Create a load balancer that uses no node yet.

        Args:
            nodes: Names of all nodes.
            zones: The zone of each node.
            notice_s: The delay until it learns of a death, in seconds.
            fabric: Opens its connections.
            log: Receives the records of nodes that became ready.
            seeds: Random generators by name.
        """
        self._nodes = tuple(nodes)
        self._zones = zones
        self._notice_s = notice_s
        self._fabric = fabric
        self._log = log
        self._rng = seeds.of("load/front")
        self._is_used = dict.fromkeys(nodes, False)
        self._is_ready = dict.fromkeys(nodes, False)
        # Changes with each start and death: a delayed action for an earlier incarnation has no effect.
        self._incarnation = dict.fromkeys(nodes, 0)
        self._deaths = dict.fromkeys(nodes, 0)
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._terminating: dict[str, None] = {}  # after SIGTERM: only open connections are used
        self._for_new_connections = ZonedNodes((), {})
        self._for_open_connections = ZonedNodes((), {})  # includes terminating nodes

    # Notifications from the runner

    def node_started(self, node: str) -> None:
        """Check a node that has started until it is ready."""
        self._incarnation[node] += 1
        self._forget_termination(node)
        self._is_ready[node] = False
        self._stop_check(node)
        self._checks[node] = asyncio.ensure_future(self._check_until_ready(node))

    def node_killed(self, node: str) -> None:
        """Handle the death of a node's process or machine, of which the load balancer learns later."""
        self._incarnation[node] += 1
        self._deaths[node] += 1
        self._forget_termination(node)
        self._is_ready[node] = False
        self._stop_check(node)
        delay_ms = draw(self._rng, self._notice_s) * 1000
        self._fabric.clock.call_later(delay_ms, self._notice_death, node)

    def node_terminating(self, node: str) -> None:
        """Handle SIGTERM of a node: it gets no new connections after a delay."""
        self._stop_check(node)
        delay_ms = draw(self._rng, TERMINATION_NOTICE_MS)
        self._fabric.clock.call_later(delay_ms, self._stop_using, node, self._incarnation[node])

    def node_draining(self, node: str) -> None:
        """Handle a call to drain: send `mn` every 0.1 s until the node is unready, and then ready again."""
        self._stop_check(node)
        self._checks[node] = asyncio.ensure_future(self._check_drain(node))

    # Calls of clients

    def choose(self, zone: str, fraction: float) -> str | None:
        """Choose a node for a new connection; None if no node is in use.

        Args:
            zone: The zone whose nodes are preferred; all nodes count if it has none in use.
            fraction: Random number from 0 to 1 that selects the node.
        """
        return self._for_new_connections.at(zone, fraction)

    def choose_open(self, zone: str, fraction: float) -> str | None:
        """Choose a node, as `choose` does, for an open connection: terminating nodes count as well."""
        return self._for_open_connections.at(zone, fraction)

    def is_terminating(self, node: str) -> bool:
        """Whether a node gets no new connections after SIGTERM, while its open ones are still used."""
        return node in self._terminating

    def deaths(self, node: str) -> int:
        """Return how often a node has died so far.

        A connection that was opened before the last death was not closed by a live node.
        """
        return self._deaths[node]

    async def wait_until_ready(self, timeout_ms: float) -> bool:
        """Wait until all nodes are in use; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while not all(self._is_used.values()):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Cancel all readiness checks."""
        checks = list(self._checks.values())
        for node in self._nodes:
            self._stop_check(node)
        await asyncio.gather(*checks, return_exceptions=True)

    def _set_used(self, node: str, is_used: bool) -> None:
        self._is_used[node] = is_used
        self._update_choices()
        self._changed.set()

    def _update_choices(self) -> None:
        used = [node for node in self._nodes if self._is_used[node]]
        self._for_new_connections = ZonedNodes(used, self._zones)
        reachable = [node for node in self._nodes if self._is_used[node] or node in self._terminating]
        self._for_open_connections = ZonedNodes(reachable, self._zones)

    def _forget_termination(self, node: str) -> None:
        if node in self._terminating:
            del self._terminating[node]
            self._update_choices()

    def _notice_death(self, node: str) -> None:
        if not self._is_ready[node]:  # it may have restarted before its death was noticed
            self._set_used(node, is_used=False)

    def _stop_using(self, node: str, incarnation: int) -> None:
        if self._incarnation[node] == incarnation:
            self._is_ready[node] = False
            self._terminating[node] = None
            self._set_used(node, is_used=False)

    def _stop_check(self, node: str) -> None:
        check = self._checks.pop(node, None)
        if check is not None:
            check.cancel()

    async def _check_until(self, node: str, is_ready: bool) -> None:
        """Check a node every 0.1 s until its readiness is `is_ready`."""
        while True:
            if await check_readiness(self._fabric, node) == is_ready:
                return
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)

    async def _check_until_ready(self, node: str) -> None:
        await self._check_until(node, is_ready=True)
        self._is_ready[node] = True
        self._log.add(NodeStateChanged(at_ms=self._fabric.clock.now(), node=node, state="ready"))
        self._set_used(node, is_used=True)

    async def _check_drain(self, node: str) -> None:
        await self._check_until(node, is_ready=False)
        await asyncio.sleep(DRAIN_NOTICE_MS / 1000)
        self._is_ready[node] = False
        self._set_used(node, is_used=False)
        await self._check_until_ready(node)
