"""The endpoint list: discovery's list of servers, how it is parsed, and the address of each server."""

from dataclasses import dataclass, replace
from typing import Any

import orjson

from flintridge.api import Endpoint, EndpointState, EndpointUpdate, Settings, UpdateKind
from flintridge.config.address import Address
from flintridge.config.errors import ConfigError
from flintridge.config.node_config import NodeConfig
from flintridge.discovery.server_starts import ListArrival, ReportedStart, ServerStarts
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, to_ns

PHASES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
UNKNOWN_KIND = -2  # a kind that the settings do not name; -1 stands for no kind at all
UNKNOWN_ZONE = -1
MAX_WEIGHT = 1e9  # sums of weights stay finite


class EndpointNotListedError(FlintridgeError, OSError):
    """The server is not on the list any more, so no address is known for it."""


class MalformedListError(FlintridgeError, ValueError):
    """Discovery's list, or a change to it, cannot be parsed."""


class RevisionWentBackError(MalformedListError):
    """A change has a lower revision than the list that it should change: it belongs to another list."""


class OvertakenListError(FlintridgeError, ValueError):
    """The list, or the change, is older than the one that was applied after it was requested."""


@dataclass(slots=True, frozen=True)
class EndpointAddress:
    """The address of a server, and whether the server is the origin."""

    address: Address
    origin: bool

    @property
    def host_header(self) -> str:
        """The value of an HTTP request's Host header."""
        return f"{self.address.host}:{self.address.port}"


@dataclass(slots=True, frozen=True)
class _ListEntry:
    endpoint: Endpoint  # `started_at` is not set yet
    address: EndpointAddress | None
    up_since_ms: float


class EndpointList:
    """The listed servers by ID, with the address that each has at present.

    Attributes:
        revision: Discovery's revision of the list or change that was last applied.
        starts: When the servers started.
    """

    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], settings: Settings, clock: Clock
    ) -> None:
        """Create an empty list.

        Args:
            zones: Names of the zones; the position of a name is the policy's number of the zone.
            kinds: Names of the kinds of servers; the position of a name is the number of the kind.
            settings: Settings of the policy, which name the origin's kind.
            clock: Clock of the process.
        """
        self.revision = 0
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._origin_kind = settings.origin_kind
        self._clock = clock
        self.starts = ServerStarts(clock.from_unix)
        self._addresses: dict[str, EndpointAddress] = {}
        self._listed: dict[str, Endpoint] = {}  # endpoints as they were last reported
        self._ready: set[str] = set()

    def __getitem__(self, server: str) -> EndpointAddress:
        """The address of a server.

        Raises:
            EndpointNotListedError: The server is not on the list.
        """
        address = self._addresses.get(server)
        if address is None:
            raise EndpointNotListedError(server)
        return address

    def __len__(self) -> int:
        return len(self._addresses)

    @property
    def any_ready(self) -> bool:
        """Whether any server is in service."""
        return bool(self._ready)

    def is_in_service(self, server: str) -> bool:
        """Whether a server is listed and in service."""
        return server in self._ready

    def apply_json(
        self,
        text: bytes,
        date_ms: float | None = None,
        *,
        is_overtaken: bool = False,
        requested_at: float | None = None,
    ) -> EndpointUpdate:
        """Parse and apply discovery's JSON.

        Args:
            text: The JSON text, which arrived just now.
            date_ms: Unix time of the response's `Date` header in milliseconds, if it has one.
            is_overtaken: Whether another response of the same discovery was applied after this one was
                requested; a lower revision is an older state then, and not that of another list.
            requested_at: When an overdue response was requested (ms of the clock), as it may show the state
                of that instant; None for other responses.

        Raises:
            MalformedListError: The list cannot be parsed, or is a change to another list; nothing is changed.
            OvertakenListError: The response is older than the one that overtook it; nothing is changed.
        """
        try:
            listed = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            raise MalformedListError(f"the list is not JSON: {error}") from error
        if is_overtaken and isinstance(listed, dict):
            revision = listed.get("revision")
            if isinstance(revision, int) and revision < self.revision:
                raise OvertakenListError(f"revision {revision} came after revision {self.revision}")
        return self.apply(listed, date_ms=date_ms, requested_at=requested_at)

    def apply(
        self,
        listed: Any,
        kind: UpdateKind | None = None,
        date_ms: float | None = None,
        requested_at: float | None = None,
    ) -> EndpointUpdate:
        """Apply a list or a change to it, in discovery's format.

        Args:
            listed: Discovery's JSON, decoded.
            kind: Kind of the returned update; None: full or delta, as the list states.
            date_ms: Unix time of the response's `Date` header in milliseconds, if it has one.
            requested_at: See `apply_json`.

        Returns:
            The servers that the list names, and those whose starts are corrected by what it reports.

        Raises:
            MalformedListError: The list cannot be parsed, or is a change to another list; nothing is changed.
        """
        try:
            revision = listed["revision"]
            complete = listed["complete"]
            if not isinstance(revision, int) or not isinstance(complete, bool):
                raise ValueError("revision or complete has the wrong type")
            entries = [self._parse_entry(entry) for entry in listed["members"]]
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise MalformedListError(f"malformed list: {error!r}") from error
        if not complete and revision < self.revision:
            raise RevisionWentBackError(f"change to revision {revision} of a list of {self.revision}")
        if complete:
            self._ready.clear()
            self._listed.clear()
            # Keeps the map from growing over a long time with ever new IDs. An attempt in flight has its
            # connection already, and the policy sends no more attempts to a server that is not listed.
            self._addresses.clear()
        is_live = kind is not UpdateKind.CACHED
        arrival = ListArrival(self._clock.now(), complete, is_live, date_ms, requested_at)
        starts_changed = self.starts.record_list(arrival, map(_reported_start, entries))
        endpoints = [self._apply_entry(entry) for entry in entries]
        if starts_changed:
            endpoints += self._corrected_starts()
        self.revision = revision
        kind = kind or (UpdateKind.FULL if complete else UpdateKind.DELTA)
        return EndpointUpdate(kind, revision, tuple(endpoints))

    def _apply_entry(self, entry: _ListEntry) -> Endpoint:
        server = entry.endpoint.server
        endpoint = replace(entry.endpoint, started_at=self.starts.started_at(server))
        self._ready.discard(server)
        if endpoint.state is EndpointState.READY:
            self._ready.add(server)
        if endpoint.state is EndpointState.GONE:
            self._addresses.pop(server, None)
            self._listed.pop(server, None)
            return endpoint
        self._listed[server] = endpoint
        if entry.address is not None:
            self._addresses[server] = entry.address
        return endpoint

    def _corrected_starts(self) -> list[Endpoint]:
        """The listed servers whose starts differ from those last reported, with the new starts."""
        changed = []
        for server, endpoint in self._listed.items():
            started_at = self.starts.started_at(server)
            if started_at != endpoint.started_at:
                changed.append(replace(endpoint, started_at=started_at))
        self._listed.update((endpoint.server, endpoint) for endpoint in changed)
        return changed

    def _parse_entry(self, entry: dict[str, Any]) -> _ListEntry:
        server = entry["id"]
        state = PHASES[entry["phase"]]
        if not isinstance(server, str) or not server:
            raise ValueError("id must be a non-empty string")
        kind = self._kinds.get(entry.get("flavor", ""), UNKNOWN_KIND)
        address = None
        if state is not EndpointState.GONE or entry.get("host_port"):
            address = EndpointAddress(Address.parse(entry["host_port"]), kind == self._origin_kind)
        size = entry.get("size")
        endpoint = Endpoint(
            server=server,
            state=state,
            weight=1.0 if size is None else min(float(size), MAX_WEIGHT),
            cell=int(entry.get("cell") or 0),
            kind=kind,
            zone=self._zones.get(entry.get("locality", ""), UNKNOWN_ZONE),
        )
        return _ListEntry(endpoint, address, self._parse_start(entry.get("up_since_ms")))

    def _parse_start(self, up_since_ms: Any) -> float:
        """Unix time in milliseconds, 0 for long ago. Raises an error if the value is not a valid time."""
        if not up_since_ms:
            return 0.0
        unix_ms = float(up_since_ms)
        to_ns(self._clock.from_unix(unix_ms))
        return unix_ms


def _reported_start(entry: _ListEntry) -> ReportedStart:
    endpoint = entry.endpoint
    return ReportedStart(endpoint.server, entry.up_since_ms, endpoint.state is EndpointState.GONE)


def configured_endpoints(config: NodeConfig, endpoints: EndpointList) -> EndpointUpdate:
    """Apply the list in the configuration, which may be outdated.

    Raises:
        ConfigError: The list cannot be parsed.
    """
    if config.known is None:
        return EndpointUpdate(UpdateKind.CACHED)
    try:
        return endpoints.apply(config.known, UpdateKind.CACHED)
    except MalformedListError as error:
        raise ConfigError(f"known: {error}") from error
