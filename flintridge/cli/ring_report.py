"""`flintridge ring`: the reports of its commands; the fields have the names of the JSON."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from itertools import islice
from typing import Any

from flintridge.cli import ring_shares
from flintridge.cli.exits import CommandError
from flintridge.cli.ring_lists import Cache, Fleet
from flintridge.cli.ring_shares import RING_POSITIONS
from flintridge.policy.hash_ring import position_of

NOT_KNOWN = (
    "Not known here: live load and health. A node sends fewer keys to servers that are slow, failing, cold "
    "or at their cap."
)
SKIP_REASONS = (
    (
        "at its cap",
        "the node has 1.5 times the average requests in flight there, by weight and health, and at least 2",
    ),
    (
        "barred",
        "connections to it failed recently; it is tried again after 1 to 16 s, or if no other server is left",
    ),
    ("failed the request", "an attempt of the same request failed there"),
    ("draining", "discovery says terminating or terminated: it is off the ring"),
    ("cold", "it started recently and already has as much work as it may get for now"),
    ("slow or failing", "some of its points do not count until it is healthy again"),
)


JSON_NAMES = {"source": "from", "target": "to"}  # `from` is a Python keyword and cannot be a field name


@dataclass(frozen=True)
class Report:
    """The report of a command."""

    def json_object(self) -> dict[str, Any]:
        """Return the fields of the report under their names in the JSON."""
        return asdict(self, dict_factory=_json_object)


@dataclass(frozen=True)
class ServerShares:
    """A server's weight and shares of the keys.

    Attributes:
        id: The server's id.
        zone: The server's zone.
        weight: The weight in the list; 0 if it has none.
        points: How many of the server's points a node counts.
        ring_share: The server's share if all points are counted.
        key_share: The server's share if only `points` are counted.
    """

    id: str
    zone: str
    weight: float
    points: int
    ring_share: float
    key_share: float


@dataclass(frozen=True)
class ZoneShares:
    """The number of servers in a zone and the sums of their shares."""

    servers: int
    ring_share: float
    key_share: float


@dataclass(frozen=True)
class ShareReport(Report):
    """The report of `ring show`, with servers sorted by share, the largest first, and zones by name."""

    file: str
    revision: int
    zone: str | None
    servers: list[ServerShares]
    zones: dict[str, ZoneShares]
    off_ring: dict[str, str]
    not_known: str


@dataclass(frozen=True)
class ServerChange:
    """How a server differs between two lists; `change` is came, left or changed."""

    id: str
    change: str
    what: str


@dataclass(frozen=True)
class KeyMove:
    """The share of the keys that moves from one server to another; None for no server."""

    source: str | None
    target: str | None
    share: float


@dataclass(frozen=True)
class MoveReport(Report):
    """The report of `ring diff`, with moves sorted by share, the largest first."""

    old: str
    new: str
    servers: list[ServerChange]
    moved: float
    least: float
    least_by_weight: float
    moves: list[KeyMove]
    not_known: str


@dataclass(frozen=True)
class WalkStep:
    """A server on the walk clockwise from a key; `away` is its distance as a fraction of the ring."""

    step: int
    id: str
    zone: str
    weight: float
    away: float
    passed_for_weight: bool


@dataclass(frozen=True)
class WalkReport(Report):
    """The report of `ring explain`; `place` is the key's position in hexadecimal."""

    key: str
    place: str
    servers: list[WalkStep]
    zone: str | None
    first_in_zone: WalkStep | None
    off_ring: dict[str, str]
    passed_over_when: dict[str, str]
    not_known: str


def share_report(fleet: Fleet, zone: str | None) -> ShareReport:
    """Compute each server's shares of the keys, on the ring of one zone or of the whole fleet.

    Raises:
        CommandError: No server on the ring is in the zone.
    """
    numbers = ring_shares.server_numbers(fleet)
    # As in a node, weights in a zone are relative to the largest weight of the whole fleet.
    max_weight = ring_shares.max_weight(fleet)
    caches = _caches_of_zone(fleet, zone)
    ring = ring_shares.arc_lengths(ring_shares.ring_entries(caches, numbers))
    keys = ring_shares.arc_lengths(ring_shares.ring_entries(caches, numbers, max_weight))
    servers = [
        ServerShares(
            id=cache.id,
            zone=cache.zone,
            weight=cache.weight,
            points=ring_shares.counted_points(cache.weight, max_weight),
            ring_share=ring[numbers[cache.id]] / RING_POSITIONS,
            key_share=keys[numbers[cache.id]] / RING_POSITIONS,
        )
        for cache in caches
    ]
    servers.sort(key=lambda server: (-server.key_share, server.id))
    return ShareReport(
        file=fleet.file,
        revision=fleet.revision,
        zone=zone,
        servers=servers,
        zones=_zone_shares(servers),
        off_ring=fleet.off_ring,
        not_known=NOT_KNOWN,
    )


def move_report(old: Fleet, new: Fleet) -> MoveReport:
    """Compute the keys that a change of the list moves, with every server healthy and warmed up."""
    moves = ring_shares.moves(old, new)
    return MoveReport(
        old=old.file,
        new=new.file,
        servers=list(_changes(old, new)),
        moved=moves.moved,
        least=moves.min_by_shares,
        least_by_weight=moves.min_by_weight,
        moves=[KeyMove(pair.source, pair.target, pair.share) for pair in moves.pairs],
        not_known=NOT_KNOWN,
    )


def walk_report(fleet: Fleet, key: str, zone: str | None, count: int) -> WalkReport:
    """List the servers clockwise from a key.

    Args:
        fleet: The servers.
        key: The key.
        zone: A zone whose first server is also reported, or None.
        count: The maximum number of servers to report.

    Raises:
        CommandError: No server on the ring is in the zone, or the key is not UTF-8 text.
    """
    _caches_of_zone(fleet, zone)
    try:
        position = position_of(key) >> 32
    except UnicodeEncodeError:  # command line arguments may be bytes that are not UTF-8
        raise CommandError("KEY is not UTF-8 text") from None
    walk = [
        WalkStep(
            step=number,
            id=step.cache.id,
            zone=step.cache.zone,
            weight=step.cache.weight,
            away=step.away,
            passed_for_weight=step.passed_for_weight,
        )
        for number, step in enumerate(ring_shares.steps(fleet, key), 1)
    ]
    return WalkReport(
        key=key,
        place=f"{position:08x}",
        servers=list(islice(walk, count)),
        zone=zone,
        first_in_zone=_first_in_zone(walk, zone),
        off_ring=fleet.off_ring,
        passed_over_when=dict(SKIP_REASONS),
        not_known=NOT_KNOWN,
    )


def _json_object(fields: list[tuple[str, Any]]) -> dict[str, Any]:
    return {JSON_NAMES.get(name, name): value for name, value in fields}


def _caches_of_zone(fleet: Fleet, zone: str | None) -> list[Cache]:
    """Return the servers of a zone, or all without a zone. Raises CommandError if the zone has no server."""
    if zone is None:
        return list(fleet.caches)
    caches = [cache for cache in fleet.caches if cache.zone == zone]
    if not caches:
        there = ", ".join(map(repr, fleet.zones)) or "none"
        raise CommandError(f"--zone {zone}: no server on the ring of {fleet.file} is in it; there: {there}")
    return caches


def _zone_shares(servers: Iterable[ServerShares]) -> dict[str, ZoneShares]:
    by_zone: dict[str, list[ServerShares]] = {}
    for server in sorted(servers, key=lambda server: server.zone):
        by_zone.setdefault(server.zone, []).append(server)
    return {
        zone: ZoneShares(
            servers=len(members),
            ring_share=sum((server.ring_share for server in members), 0.0),
            key_share=sum((server.key_share for server in members), 0.0),
        )
        for zone, members in by_zone.items()
    }


def _first_in_zone(walk: list[WalkStep], zone: str | None) -> WalkStep | None:
    if zone is None:
        return None
    return next((step for step in walk if step.zone == zone), None)


def _changes(old: Fleet, new: Fleet) -> Iterable[ServerChange]:
    """Yield the differences between the servers on the ring, by id; only fields of `Cache` are compared."""
    before = {cache.id: cache for cache in old.caches}
    after = {cache.id: cache for cache in new.caches}
    for server in sorted(before.keys() | after.keys()):
        if server not in before:
            what = f"was {old.off_ring[server]}" if server in old.off_ring else "was not listed"
            yield ServerChange(server, "came", what)
        elif server not in after:
            what = f"now {new.off_ring[server]}" if server in new.off_ring else "is not listed any more"
            yield ServerChange(server, "left", what)
        elif before[server] != after[server]:
            yield ServerChange(server, "changed", _field_changes(before[server], after[server]))


def _field_changes(before: Cache, after: Cache) -> str:
    new_values = after._asdict()
    changes = [
        f"{name} {value!s} -> {new_values[name]!s}"
        for name, value in before._asdict().items()
        if value != new_values[name]
    ]
    return ", ".join(changes)
