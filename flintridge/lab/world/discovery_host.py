"""Discovery on its sockets: HTTP/1.1 at an address for each node, and the records of what nodes are told."""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import orjson

from flintridge.lab.fabric import Fabric, Listener
from flintridge.lab.records import EndpointNotified as ToldRecord
from flintridge.lab.records import MalformedMessage, RecordLog
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.discovery import Discovery, Entry, Reply, Told
from flintridge.lab.world.sockets import reset

PARTIES = ("discovery", "discovery2")
PATH = "/api/targets"
DEEM_EVERY_MS = 100.0
MOVED_MS = 1500.0  # after which a left address closes what is open on it
GARBAGE = (
    b"<html><body>upstream error</body></html>",
    b'{"revision":',
    b'{"revision":"many","complete":true,"members":[]}',
    b'{"revision":7,"complete":true,"members":null}',
    b'{"revision":7,"complete":true,"members":[{"id":"","phase":"?"}]}',
    b"\x00\xff\xfe" * 40,
)


class BadCall(ValueError):
    """A request that no sound node makes."""


def read_target(target: str) -> tuple[int, float]:
    """`after` (0: the whole list) and `wait_ms` of a call's target; raises BadCall."""
    parts = urlsplit(target)
    if parts.path != PATH:
        raise BadCall(f"no such path: {parts.path[:100]}")
    values = {"after": 0, "wait_ms": 0}
    for name, text in parse_qsl(parts.query, keep_blank_values=True):
        if name not in values or not text.isascii() or not text.isdecimal() or len(text) > 15:
            raise BadCall(f"unreadable: {name[:40]}={text[:40]}")
        values[name] = int(text)
    return values["after"], float(values["wait_ms"])


class DiscoveryHost:
    """Drives one Discovery for all nodes, each at the address where it finds discovery at present."""

    def __init__(
        self, fabric: Fabric, log: RecordLog, model: Discovery, seeds: Seeds, nodes: list[str]
    ) -> None:
        self.model = model
        self._fabric, self._log = fabric, log
        self._nodes = nodes
        self._rng = seeds.of("discovery/garbage")
        self._party = dict.fromkeys(nodes, PARTIES[0])
        self._listeners: dict[str, Listener] = {}
        self._callers: dict[Caller, None] = {}
        self._waiting: dict[int, Caller] = {}  # by the key of their call
        self._was_cut: dict[str, bool] = {}
        self._keys = 0
        self._last = -1e18
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._deemer: asyncio.TimerHandle | None = None
        self._closed = False

    # For the world and the faults

    async def open(self) -> None:
        """Listen for every node. Raises OSError."""
        for node in self._nodes:
            await self._listen(node)
        self._deemer = self._fabric.clock.call_later(DEEM_EVERY_MS, self._deem)
        self.poke()

    async def close(self) -> None:
        """Nothing listens, and nothing is open, any more."""
        self._closed = True
        for timer in (self._timer, self._deemer):
            if timer is not None:
                timer.cancel()
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()
        for caller in list(self._callers):
            caller.transport.abort()

    def address(self, node: str) -> str:
        """Where the node finds discovery at present, as host:port."""
        host, port = self._fabric.address(self._party[node], node)
        return f"{host}:{port}"

    def cut(self, node: str) -> bool:
        """No call of the node can come through at present."""
        link, party = self._fabric.links.link, self._party[node]
        return link(node, party).state != "up" or link(party, node).state != "up"

    def truth(self, entry: Entry, silent: bool = False) -> None:
        """What a server really is from now on."""
        self.model.roll.truth(self._now(), entry, silent)
        self.poke()

    def links_changed(self) -> None:
        """Links are cut, or no more: a node behind one could not ask."""
        for node in self._nodes:
            cut = self.cut(node)
            if cut or self._was_cut.get(node, False):
                self.model.deemed.unreachable(self._now(), node)
            self._was_cut[node] = cut

    async def move(self, node: str) -> None:
        """The node finds discovery at the other address from now on; the old one takes nothing new and closes
        what is open on it after 1.5 s."""
        old = self._party[node]
        self._party[node] = PARTIES[1 - PARTIES.index(old)]
        left = self._listeners.pop(node, None)
        if self.model.down != "refuses":
            await self._listen(node)
        if left is not None:
            left.close()
        there = [caller for caller in self._callers if caller.node == node]
        self._fabric.clock.call_later(MOVED_MS, _close_all, there)

    async def set_down(self, how: str) -> None:
        """ "" or refuses, errors, silent, garbage."""
        if how == self.model.down:
            return
        was = self.model.down
        for reply in self.model.set_down(self._now(), how):
            self._write(reply)
        if how == "refuses":
            for listener in self._listeners.values():
                listener.close()
            self._listeners.clear()
            self._reset(list(self._callers))
        elif was == "refuses":
            for node in self._nodes:
                if node not in self._listeners:
                    await self._listen(node)
        if was == "silent" and how != "silent":
            # What was asked meanwhile is never answered; the process that comes up knows nothing of it.
            self._reset([caller for caller in self._callers if caller.pending is not None])
        self.poke()

    def poke(self) -> None:
        """After any change: list what is due, write what is ready, and set the next time to look."""
        if self._closed:
            return
        for reply in self.model.advance(self._now()):
            self._write(reply)
        due = self.model.due()
        if self._timer is not None:
            if self._timer_at == due:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer, self._timer_at = self._fabric.clock.call_at(due, self._tick, due), due

    def tell(self, told: Told | None) -> None:
        """Record what a node is told."""
        if told is not None:
            members = [(entry.id, entry.phase, entry.started_at) for entry in told.entries]
            self._log.add(
                ToldRecord(
                    at_ms=self._now(),
                    node=told.node,
                    revision=told.revision,
                    complete=told.complete,
                    endpoints=members,
                    assumed=told.deemed,
                )
            )

    def list_for(self, node: str) -> dict[str, Any]:
        """The whole list as it is listed now, with the addresses of this node."""
        entries = [change.entry for change in self.model.roll.whole()]
        return self._list(node, self.model.roll.revision, True, entries)

    # For its connections

    def called(self, caller: "Caller", target: str) -> None:
        """A whole request came; raises BadCall."""
        after, wait_ms = read_target(target)
        self._keys += 1
        caller.pending = self._keys
        self._waiting[self._keys] = caller
        reply = self.model.call(self._now(), self._keys, caller.node, after, wait_ms)
        if reply is not None:
            self._write(reply)
        self.poke()

    def malformed(self, node: str, text: str) -> None:
        self._log.add(MalformedMessage(at_ms=self._now(), node=node, server="discovery", text=text[:200]))

    def opened(self, caller: "Caller") -> None:
        self._callers[caller] = None

    def lost(self, caller: "Caller", broken: bool) -> None:
        self._callers.pop(caller, None)
        if caller.pending is not None:
            self._waiting.pop(caller.pending, None)
            self.model.hang_up(self._now(), caller.pending, broken)
            caller.pending = None

    # Within

    def _now(self) -> float:
        # Guards against a timer that fires a hair before the time it was set for, in floating point: it would
        # be set anew for the same instant without end.
        self._last = max(self._last, self._fabric.clock.now())
        return self._last

    def _tick(self, at: float) -> None:
        self._timer = None
        self._last = max(self._last, at)
        self.poke()

    def _deem(self) -> None:
        for told in self.model.check(self._now()):
            self.tell(told)
        self._deemer = self._fabric.clock.call_later(DEEM_EVERY_MS, self._deem)

    async def _listen(self, node: str) -> None:
        party = self._party[node]
        factory = _factory(self, node, party)
        self._listeners[node] = await self._fabric.listen(party, node, factory)

    def _reset(self, callers: "list[Caller]") -> None:
        for caller in callers:
            self.lost(caller, broken=True)
            reset(caller.transport)

    def _write(self, reply: Reply) -> None:
        caller = self._waiting.pop(reply.call.key, None)
        if caller is None:
            return
        caller.pending = None
        left = (
            self._fabric.links.link(caller.party, caller.node).state == "up"
            and not caller.transport.is_closing()
        )
        self.tell(self.model.written(self._now(), reply, left))
        if reply.garbage:
            body = GARBAGE[self._rng.randrange(len(GARBAGE))]
        elif reply.status == 200:
            entries = [change.entry for change in reply.changes]
            body = orjson.dumps(self._list(caller.node, reply.revision, reply.complete, entries))
        else:
            body = b'{"error":"unavailable"}'
        caller.answer(reply.status, body)

    def _list(self, node: str, revision: int, complete: bool, entries: list[Entry]) -> dict[str, Any]:
        members = [self._entry(node, entry) for entry in entries]
        return {"revision": revision, "complete": complete, "members": members}

    def _entry(self, node: str, entry: Entry) -> dict[str, Any]:
        host, port = self._fabric.address(entry.at, node)
        started = entry.started_at
        return {
            "id": entry.id,
            "host_port": f"{host}:{port}",
            "locality": entry.zone,
            "flavor": entry.kind,
            "cell": entry.cell,
            "phase": entry.phase,
            "size": entry.weight,
            "up_since_ms": round(self._fabric.clock.unix_ms(started)) if started else 0,
        }


class Caller(asyncio.Protocol):
    """A node's connection to discovery: one request after another."""

    transport: asyncio.Transport

    def __init__(self, host: DiscoveryHost, node: str, party: str) -> None:
        self.node, self.party = node, party
        self.pending: int | None = None  # the key of the call that awaits its answer
        self._host = host
        self._http = h11.Connection(h11.SERVER)
        self._target = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._host.opened(self)

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.lost(self, exc is not None)

    def answer(self, status: int, body: bytes) -> None:
        """Write the answer to the request that awaits one, and go on with the next."""
        if self.transport.is_closing():
            return
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self.transport.write(head + body)
        if self._http.our_state is h11.MUST_CLOSE:
            self.transport.close()
        else:
            self._http.start_next_cycle()
            self._read()

    def _read(self) -> None:
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Request):
                    if event.method != b"GET":
                        raise BadCall(f"method {event.method.decode('ascii', 'replace')}")
                    self._target = event.target.decode("ascii", "replace")
                elif isinstance(event, h11.EndOfMessage):
                    self._host.called(self, self._target)
                    return
                elif not isinstance(event, h11.Data):
                    return
        except (h11.RemoteProtocolError, BadCall) as error:
            self._refuse(str(error))

    def _refuse(self, reason: str) -> None:
        self._host.malformed(self.node, reason)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self.transport.write(self._http.send(h11.Response(status_code=400, headers=headers)) or b"")
        self.transport.close()


def _factory(host: DiscoveryHost, node: str, party: str) -> Callable[[], asyncio.Protocol]:
    return lambda: Caller(host, node, party)


def _close_all(callers: list[Caller]) -> None:
    for caller in callers:
        caller.transport.close()
