"""`flintridge ring`: what its commands report, as values; their fields are those of the JSON."""

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
    "Not known here: live load and health. A node takes keys from servers that are slow, failing, cold or at "
    "their cap."
)
SKIP_REASONS = (
    (
        "at its cap",
        "the node has 1.5 times its average of requests out there, by weight and health, and 2 at least",
    ),
    (
        "barred",
        "connections to it failed lately; it is asked again after 1 to 16 s, or when no other is left",
    ),
    ("failed the request", "an attempt of this very request failed there"),
    ("draining", "discovery says terminating or terminated: it is off the ring"),
    ("cold", "it started lately and has had as much work as it may get at once"),
    ("slow or failing", "part of its points do not count until it is well again"),
)


JSON_NAMES = {"source": "from", "target": "to"}  # a keyword of Python cannot name a field


@dataclass(frozen=True)
class Report:
    """What a command found."""

    def figures(self) -> dict[str, Any]:
        """The fields by their names in JSON."""
        return asdict(self, dict_factory=_json_object)


@dataclass(frozen=True)
class ServerShares:
    """A server's weight and shares of the keys.

    Attributes:
        id: The server.
        zone: Its zone.
        weight: As the list says; 0 for none.
        points: How many of its points a node counts.
        ring_share: Its share with all points counted.
        key_share: Its share with the points that count.
    """

    id: str
    zone: str
    weight: float
    points: int
    ring_share: float
    key_share: float


@dataclass(frozen=True)
class ZoneShares:
    """The sums over the servers of a zone."""

    servers: int
    ring_share: float
    key_share: float


@dataclass(frozen=True)
class ShareReport(Report):
    """What `ring show` reports; servers with the largest share first, zones by name."""

    file: str
    revision: int
    zone: str | None
    servers: list[ServerShares]
    zones: dict[str, ZoneShares]
    off_ring: dict[str, str]
    not_known: str


@dataclass(frozen=True)
class ServerChange:
    """How a server differs between two lists: it came, left or changed."""

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
    """What `ring diff` reports; moves with the largest share first."""

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
    """A server on the walk from a key; `away` is a share of the ring."""

    step: int
    id: str
    zone: str
    weight: float
    away: float
    passed_for_weight: bool


@dataclass(frozen=True)
class WalkReport(Report):
    """What `ring explain` reports; `place` is the key's position in hexadecimal."""

    key: str
    place: str
    servers: list[WalkStep]
    zone: str | None
    first_in_zone: WalkStep | None
    off_ring: dict[str, str]
    passed_over_when: dict[str, str]
    not_known: str


def share_report(fleet: Fleet, zone: str | None) -> ShareReport:
    """Each server's shares of the keys, on the ring of one zone or of the whole fleet.

    Raises:
        CommandError: No server on the ring is in the zone.
    """
    numbers = ring_shares.server_numbers(fleet)
    # As in a node, a zone's servers are weighed against the heaviest of the whole fleet.
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
    """What a change from one list to another moves, with every server well and warm."""
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
    """The servers clockwise from a key.

    Args:
        fleet: The servers.
        key: The key.
        zone: A zone whose first server is looked for, or None.
        count: How many servers to report.

    Raises:
        CommandError: No server on the ring is in the zone, or the key is not UTF-8 text.
    """
    _caches_of_zone(fleet, zone)
    try:
        position = position_of(key) >> 32
    except UnicodeEncodeError:  # guards against bytes of the command line that are no text
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
    """All servers for no zone. Raises CommandError for a zone that no server on the ring is in."""
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
    """Of servers, as far as the ring and a node's view of them go, by id."""
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
