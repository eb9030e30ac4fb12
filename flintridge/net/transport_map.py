"""The TransportMap: discovery's list of cache servers, how it is read, and the watch that keeps it fresh."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import h11
import orjson

from flintridge.api import ListKind, Member, MemberList, MemberState, Settings
from flintridge.net.clock import Clock, OutOfTime, sleep, to_ms, to_ns, within
from flintridge.net.counters import Counters
from flintridge.net.log import EventLog
from flintridge.net.origin import HttpExchange
from flintridge.net.streams import CountingReader, holds_bytes, open_stream, spent
from flintridge.settings import Address, ConfigError, NodeConfig

PHASES = {
    "in_service": MemberState.READY,
    "terminating": MemberState.DRAINING,
    "terminated": MemberState.GONE,
}
WAIT = 4_000.0  # of a watch at the most
LEAST_WAIT = 1_000.0
ANSWER_TIME = 2_000.0  # beyond the wait
LIST_TIME = 3_000.0  # of a call that does not wait
PACE = 100.0  # between the starts of two watch calls; the next must come within 200 ms of an answer
MAX_LIST = 4 * 1024 * 1024


def watch_wait(settings: Settings) -> float:
    """How long a watch call may wait, in ms: short enough that a silent one does not outlast a drain's grace.

    A link that falls silent says nothing, and what it misses counts as told 6 s later. Up to half a second
    of that was gone when the last call began, since its answer may have been on the way; the call is given up
    ANSWER_TIME after its wait, the next one follows within half a second and may take LIST_TIME. Guards
    against a first send after the grace: with 4 s for all, three of six nodes that asked anew together were
    too late.
    """
    return min(WAIT, max(LEAST_WAIT, to_ms(settings.rules.drain_grace_ns)))


@dataclass(slots=True, frozen=True)
class Transport:
    address: Address
    origin: bool


class Unlisted(OSError):
    """There is no way to this server: the list has dropped it."""


class TransportMap:
    """Servers by id; an address is only where one is found at present."""

    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], settings: Settings, clock: Clock
    ) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._origin_kind = settings.origin_kind
        self._clock = clock
        self._transports: dict[str, Transport] = {}
        self._in_service: set[str] = set()
        self.revision = 0

    def __getitem__(self, server: str) -> Transport:
        """Raises Unlisted."""
        if (transport := self._transports.get(server)) is None:
            raise Unlisted(server)
        return transport

    def __len__(self) -> int:
        return len(self._transports)

    @property
    def serving(self) -> bool:
        return bool(self._in_service)

    def read(self, text: bytes) -> MemberList:
        try:
            listed = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            raise ValueError(f"the list is not JSON: {error}") from error
        return self.take(listed)

    def take(self, listed: Any, kind: ListKind | None = None) -> MemberList:
        """A list or a change of it; ValueError, and nothing is changed, if any of it is malformed."""
        try:
            revision, complete = listed["revision"], listed["complete"]
            if not isinstance(revision, int) or not isinstance(complete, bool):
                raise ValueError("revision or complete is of the wrong kind")
            read = [self._member(entry) for entry in listed["members"]]
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"malformed list: {error!r}") from error
        if complete:
            self._in_service.clear()
            # Guards a long day, with new ids all the time, against a growing map. An attempt that is out has
            # its connection already; to one that is not listed the module sends no more.
            self._transports.clear()
        for member, transport in read:
            self._in_service.discard(member.server)
            if member.state is MemberState.READY:
                self._in_service.add(member.server)
            if member.state is MemberState.GONE:
                self._transports.pop(member.server, None)
            elif transport is not None:
                self._transports[member.server] = transport
        self.revision = revision
        kind = kind or (ListKind.FULL if complete else ListKind.DELTA)
        return MemberList(kind, revision, tuple(member for member, _ in read))

    def _member(self, entry: dict[str, Any]) -> tuple[Member, Transport | None]:
        server, state = entry["id"], PHASES[entry["phase"]]
        if not isinstance(server, str) or not server:
            raise ValueError("bad id")
        kind = self._kinds.get(entry.get("flavor", ""), -2)
        gone = state is MemberState.GONE and not entry.get("host_port")
        transport = None if gone else Transport(Address.parse(entry["host_port"]), kind == self._origin_kind)
        up_since, size = entry.get("up_since_ms") or 0, entry.get("size")
        # 0 is long ago, to discovery and to the module alike; the instant of a start is never that.
        started = to_ns(self._clock.from_unix(float(up_since))) or 1 if up_since else 0
        weight = 1.0 if size is None else float(size)
        zone = self._zones.get(entry.get("locality", ""), -1)
        return Member(server, state, weight, int(entry.get("cell") or 0), kind, started, zone), transport


class Holds:
    """The own list, with holds laid over it: a server that is held out is told of as one that drains.

    Only what the list names is ever told; whatever is held, no server comes in by it.
    """

    def __init__(self, tell: Callable[[MemberList], None]) -> None:
        self._tell = tell
        self._listed: dict[str, Member] = {}
        self._version = 0
        self.held: frozenset[str] = frozenset()

    def told(self, members: MemberList) -> None:
        """The list, or a change of it."""
        if members.kind is not ListKind.FAILED:
            if members.kind is not ListKind.DELTA:
                self._listed.clear()
            self._version = members.version
            for member in members.members:
                self._listed[member.server] = member
                if member.state is MemberState.GONE:
                    del self._listed[member.server]
        self._tell(replace(members, members=tuple(map(self._laid, members.members))))

    def hold(self, held: frozenset[str]) -> None:
        """From now on these are held out."""
        changed = [one for server, one in self._listed.items() if (server in held) != (server in self.held)]
        self.held = held
        if changed:
            self._tell(MemberList(ListKind.DELTA, self._version, tuple(map(self._laid, changed))))

    def _laid(self, member: Member) -> Member:
        if member.server in self.held and member.state is MemberState.READY:
            return replace(member, state=MemberState.DRAINING)
        return member


class TransportWatch:
    """Asks discovery; each call's failure is told as such, and when to ask again is the module's decision."""

    def __init__(
        self,
        discovery: Address,
        transports: TransportMap,
        clock: Clock,
        tell: Callable[[MemberList], None],
        log: EventLog,
        counters: Counters,
        wait: float = WAIT,
    ) -> None:
        """`wait`: how long a call may wait for something new, in ms."""
        self._wait = wait
        self.discovery = discovery
        self._transports = transports
        self._clock = clock
        self._tell = tell
        self._log = log
        self._counters = counters
        self._watching: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._anew = False  # the next call takes the whole list: changes since a revision mean nothing
        self._held_back: MemberList | None = None  # a list to go by only if discovery does not answer

    @property
    def listed(self) -> bool:
        """Whether a list to go by has been told."""
        return self._held_back is None

    def begin(self, known: MemberList) -> None:
        """Where lists are pushed: the whole list first, and `known` only if discovery does not answer.

        What is pushed counts as told from the first moment of a process, so a list kept from a life before
        may name servers whose drain is long over.
        """
        self._held_back, self._anew = known, True
        self.watch(True)

    def watch(self, on: bool) -> None:
        """Subscribe, or end the subscription; while one goes on another would be a call too many."""
        running = self._watching is not None and not self._watching.done()
        if on and not running:
            self._watching = asyncio.ensure_future(self._watch())
        elif not on and self._watching is not None:
            self._watching.cancel()

    def move(self, discovery: Address) -> None:
        """Go on at another address, at once and from its whole list: it need not count as the old one did.

        Only calls to the old address end; what they would still have told is in the new whole list.
        """
        self.discovery = discovery
        self._anew = True
        fetching = self._fetching is not None and not self._fetching.done()
        for task in (self._watching, self._fetching):
            if task is not None:
                task.cancel()
        self._watching = asyncio.ensure_future(self._watch())
        if fetching:
            self._fetching = asyncio.ensure_future(self._fetch())

    def fetch(self) -> None:
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch())

    async def close(self) -> None:
        tasks = [task for task in (self._watching, self._fetching) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _fetch(self) -> None:
        call = _Call(self.discovery)
        try:
            self._told(await self._whole(call))
        except (OSError, ValueError, OutOfTime, h11.RemoteProtocolError) as error:
            if asyncio.current_task() is self._fetching:
                self._failed(error)
        finally:
            call.close()

    async def _whole(self, call: "_Call") -> bytes:
        """The whole list, which discovery need not be waited for; how long it took is kept."""
        began = self._clock.now()
        text = await within(self._clock, LIST_TIME, call.get("/api/targets"))
        self._counters.observe("list_ms", self._clock.now() - began)
        return text

    async def _watch(self) -> None:
        call = _Call(self.discovery)
        try:
            while True:
                began = self._clock.now()
                if self._anew:
                    text = await self._whole(call)
                else:
                    target = f"/api/targets?after={self._transports.revision}&wait_ms={self._wait:.0f}"
                    text = await within(self._clock, self._wait + ANSWER_TIME, call.get(target))
                self._told(text)
                self._anew = False
                # Guards discovery against a list that answers at once, time after time.
                pause = began + PACE - self._clock.now()
                if pause > 0:
                    await sleep(self._clock, pause)
        except (OSError, ValueError, OutOfTime, h11.RemoteProtocolError) as error:
            # Guards against a call that ran out of time in the moment of a move: its failure is none any
            # more, and the module would ask for a second watch.
            if asyncio.current_task() is self._watching:
                self._watching = None  # so that the module may ask again at once
                self._failed(error)
        finally:
            call.close()

    def _told(self, text: bytes) -> None:
        members = self._transports.read(text)
        self._counters.add("transport_map_answers")
        if members.members:
            states = {m.server: m.state.value for m in members.members}
            self._log.event(
                "transport_map", kind=members.kind.value, revision=members.version, members=states
            )
        self._held_back = None
        self._tell(members)

    def _failed(self, error: Exception) -> None:
        self._counters.add("transport_map_failures")
        self._log.event("transport_map_failed", error=repr(error))
        if (known := self._held_back) is not None:
            self._held_back = None
            self._tell(known)
        self._tell(MemberList(ListKind.FAILED))


class _Call:
    """GETs on one connection, opened when there is none."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._streams: tuple[CountingReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> bytes:
        if self._streams is not None:
            reader, writer = self._streams
            # Guards against an old list, read as this call's answer: it would undo what came since.
            if spent(reader, writer) or holds_bytes(writer.transport):
                self.close()
        if self._streams is None:
            reader = CountingReader(asyncio.get_running_loop())
            self._streams = reader, await open_stream(reader, self._address.host, self._address.port)
        reader, writer = self._streams
        host = f"{self._address.host}:{self._address.port}".encode()
        exchange = HttpExchange(b"GET", target.encode(), [(b"Host", host)], limit=MAX_LIST)
        writer.writelines(exchange.question())
        await writer.drain()
        while True:
            data = await reader.read(65536)
            if (found := exchange.feed(data)) is not None:
                break
            if not data:
                raise ConnectionResetError("discovery ended the connection")
        if not exchange.reusable:
            self.close()
        response, body = found
        if response.status_code != 200:
            raise ValueError(f"discovery answered {response.status_code}")
        return body

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def known_list(config: NodeConfig, transports: TransportMap) -> MemberList:
    """The list in the configuration, which may be old."""
    if config.known is None:
        return MemberList(ListKind.CACHED)
    try:
        return transports.take(config.known, ListKind.CACHED)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from error
