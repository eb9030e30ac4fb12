"""Discovery on its sockets: HTTP/1.1 at one address per node, and the records of all notifications."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

import orjson

from flintridge.lab.fabric import Fabric, Listener
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import EndpointNotified, MalformedMessage
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.call_queue import OK, CallResponse
from flintridge.lab.world.discovery_call import read_target
from flintridge.lab.world.discovery_model import DiscoveryModel, Notification
from flintridge.lab.world.endpoint_encoding import EndpointEncoder, EndpointListBody
from flintridge.lab.world.endpoint_list import Endpoint
from flintridge.lab.world.link import UP
from flintridge.lab.world.sockets import reset

PARTIES = ("discovery", "discovery2")
CHECK_INTERVAL_MS = 100.0  # between two checks for nodes that count as notified by now
OLD_ADDRESS_GRACE_MS = 1500.0  # time until connections at the old address of a node are closed
MAX_RECORDED_TEXT = 200  # characters; the reason of a malformed call is truncated to this length
MALFORMED_BODIES = (
    b"<html><body>upstream error</body></html>",
    b'{"revision":',
    b'{"revision":"many","complete":true,"members":[]}',
    b'{"revision":7,"complete":true,"members":null}',
    b'{"revision":7,"complete":true,"members":[{"id":"","phase":"?"}]}',
    b"\x00\xff\xfe" * 40,
)
UNAVAILABLE_BODY = b'{"error":"unavailable"}'


class Caller(Protocol):
    """A node's connection to discovery.

    Attributes:
        node: Name of the node.
        party: The party at whose address the connection was accepted.
        pending: Key of the call that awaits its response; None if there is none.
        transport: Transport of the connection.
    """

    node: str
    party: str
    pending: int | None
    transport: asyncio.Transport

    def respond(self, status: int, body: bytes) -> None:
        """Write the response to the pending call."""


ConnectionFactory = Callable[["DiscoveryHost", str, str], asyncio.Protocol]
"""Creates a connection from the host, the name of the node and the party that the node connects to."""


class DiscoveryHost:
    """Drives one model for all nodes; each node finds discovery at one of two addresses.

    Attributes:
        model: The model of discovery.
    """

    def __init__(
        self,
        fabric: Fabric,
        log: RecordLog,
        model: DiscoveryModel,
        seeds: Seeds,
        nodes: list[str],
        make_connection: ConnectionFactory,
    ) -> None:
        """Create a host that does not listen yet.

        Args:
            fabric: Clock, addresses, links and listeners.
            log: The log that receives all records.
            model: The model of discovery.
            seeds: Source of its random numbers.
            nodes: Names of the nodes.
            make_connection: Creates its connections.
        """
        self.model = model
        self._fabric = fabric
        self._log = log
        self._nodes = nodes
        self._make_connection = make_connection
        self._encoder = EndpointEncoder(fabric)
        self._rng = seeds.of("discovery/garbage")
        self._party_of = dict.fromkeys(nodes, PARTIES[0])
        self._listeners: dict[str, Listener] = {}
        self._callers: dict[Caller, None] = {}
        self._awaiting: dict[int, Caller] = {}  # callers by the key of their pending call
        self._was_cut_off: dict[str, bool] = {}
        self._last_key = 0
        self._last_now = -1e18
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._check_timer: asyncio.TimerHandle | None = None
        self._closed = False

    # Used by the fleet and the faults

    async def open(self) -> None:
        """Listen for every node.

        Raises:
            OSError: An address is already in use.
        """
        for node in self._nodes:
            await self._listen(node)
        self._check_timer = self._fabric.clock.call_later(CHECK_INTERVAL_MS, self._check_notifications)
        self.update()

    async def close(self) -> None:
        """Close all listeners, cancel the timers and abort all connections."""
        self._closed = True
        for timer in (self._timer, self._check_timer):
            if timer is not None:
                timer.cancel()
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()
        for caller in list(self._callers):
            caller.transport.abort()

    def address(self, node: str) -> str:
        """Return the current address of discovery for the node, as host:port."""
        host, port = self._fabric.address(self._party_of[node], node)
        return f"{host}:{port}"

    def is_cut_off(self, node: str) -> bool:
        """Whether calls of the node currently cannot reach discovery."""
        link = self._fabric.links.link
        party = self._party_of[node]
        return link(node, party).state != UP or link(party, node).state != UP

    def observe(self, endpoint: Endpoint, *, silent: bool = False) -> None:
        """Observe the actual state of an endpoint; `silent`: discovery receives nothing from its machine."""
        self.model.endpoints.observe(self._now(), endpoint, silent)
        self.update()

    def links_changed(self) -> None:
        """Update which nodes are cut off, after a change of links: such a node could not call."""
        for node in self._nodes:
            cut_off = self.is_cut_off(node)
            if cut_off or self._was_cut_off.get(node, False):
                self.model.notifications.unreachable(self._now(), node)
            self._was_cut_off[node] = cut_off

    async def move(self, node: str) -> None:
        """Move discovery to its other address for this node.

        The old address accepts no new connections and closes its open ones after `OLD_ADDRESS_GRACE_MS`.
        """
        old = self._party_of[node]
        self._party_of[node] = PARTIES[1 - PARTIES.index(old)]
        old_listener = self._listeners.pop(node, None)
        if self.model.down != "refuses":
            await self._listen(node)
        if old_listener is not None:
            old_listener.close()
        callers = [caller for caller in self._callers if caller.node == node]
        self._fabric.clock.call_later(OLD_ADDRESS_GRACE_MS, _close_all, callers)

    async def set_down(self, mode: str) -> None:
        """Go down, or come up if `mode` is empty; the modes are those of `DiscoveryModel.down`."""
        before = self.model.down
        if mode == before:
            return
        for response in self.model.set_down(self._now(), mode):
            self._write(response)
        if mode == "refuses":
            for listener in self._listeners.values():
                listener.close()
            self._listeners.clear()
            self._reset(list(self._callers))
        elif before == "refuses":
            for node in self._nodes:
                if node not in self._listeners:
                    await self._listen(node)
        if before == "silent" and mode != "silent":
            # Calls received while silent never get a response: the restarted process does not know them.
            self._reset([caller for caller in self._callers if caller.pending is not None])
        self.update()

    def update(self) -> None:
        """List due changes, write ready responses and set the next timer; called after every change."""
        if self._closed:
            return
        for response in self.model.advance(self._now()):
            self._write(response)
        due = self.model.due()
        if self._timer is not None:
            if self._timer_at == due:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self._fabric.clock.call_at(due, self._on_timer, due)
            self._timer_at = due

    def record(self, notification: Notification | None) -> None:
        """Write the record of a notification, if there is one."""
        if notification is None:
            return
        endpoints = [
            (endpoint.id, endpoint.phase.value, endpoint.started_at) for endpoint in notification.endpoints
        ]
        self._log.add(
            EndpointNotified(
                at_ms=self._now(),
                node=notification.node,
                revision=notification.revision,
                complete=notification.complete,
                endpoints=endpoints,
                assumed=notification.assumed,
            )
        )

    def list_for(self, node: str) -> EndpointListBody:
        """Return the current complete list, with the addresses that this node connects to."""
        endpoints = self.model.endpoints
        return self._encoder.body(node, endpoints.revision, endpoints.snapshot(), complete=True)

    # Used by the connections

    def add_connection(self, caller: Caller) -> None:
        """Add an open connection."""
        self._callers[caller] = None

    def handle_call(self, caller: Caller, target: str) -> None:
        """Pass a complete call to the model.

        Raises:
            MalformedCallError: No correct node makes such a call.
        """
        call = read_target(target)
        self._last_key += 1
        key = self._last_key
        caller.pending = key
        self._awaiting[key] = caller
        response = self.model.call(self._now(), key, caller.node, call.after, call.wait_ms)
        if response is not None:
            self._write(response)
        self.update()

    def record_malformed(self, node: str, text: str) -> None:
        """Record a call that no correct node makes."""
        self._log.add(
            MalformedMessage(at_ms=self._now(), node=node, server="discovery", text=text[:MAX_RECORDED_TEXT])
        )

    def remove_connection(self, caller: Caller, *, broken: bool) -> None:
        """Remove a closed connection and end its pending call; `broken`: it was reset."""
        self._callers.pop(caller, None)
        if caller.pending is not None:
            self._awaiting.pop(caller.pending, None)
            self.model.disconnect(self._now(), caller.pending, broken=broken)
            caller.pending = None

    # Internals

    def _now(self) -> float:
        # Rounding can make a timer fire slightly before its due time. Without a time that never goes back,
        # the timer would then be set for the same due time again and again.
        self._last_now = max(self._last_now, self._fabric.clock.now())
        return self._last_now

    def _on_timer(self, at: float) -> None:
        self._timer = None
        self._last_now = max(self._last_now, at)
        self.update()

    def _check_notifications(self) -> None:
        for notification in self.model.check(self._now()):
            self.record(notification)
        self._check_timer = self._fabric.clock.call_later(CHECK_INTERVAL_MS, self._check_notifications)

    async def _listen(self, node: str) -> None:
        party = self._party_of[node]
        factory = partial(self._make_connection, self, node, party)
        self._listeners[node] = await self._fabric.listen(party, node, factory)

    def _reset(self, callers: list[Caller]) -> None:
        for caller in callers:
            self.remove_connection(caller, broken=True)
            reset(caller.transport)

    def _write(self, response: CallResponse) -> None:
        caller = self._awaiting.pop(response.call.key, None)
        if caller is None:
            return
        caller.pending = None
        link = self._fabric.links.link(caller.party, caller.node)
        delivered = link.state == UP and not caller.transport.is_closing()
        self.record(self.model.responded(self._now(), response, delivered=delivered))
        caller.respond(response.status, self._body(caller.node, response))

    def _body(self, node: str, response: CallResponse) -> bytes:
        if response.malformed:
            return MALFORMED_BODIES[self._rng.randrange(len(MALFORMED_BODIES))]
        if response.status != OK:
            return UNAVAILABLE_BODY
        return orjson.dumps(
            self._encoder.body(node, response.revision, response.changes, complete=response.complete)
        )


def _close_all(callers: list[Caller]) -> None:
    for caller in callers:
        caller.transport.close()
