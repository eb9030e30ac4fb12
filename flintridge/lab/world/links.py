"""All ways between machines: how long a passage takes, in how many pieces, and what is cut off now."""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import TypeVar

from flintridge.lab.scenario import model as scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, fixed_share

Key = TypeVar("Key", bound=Hashable)

UP, RESET, SILENT = "up", "reset", "silent"
_RANK = {UP: 0, RESET: 1, SILENT: 2}
_STATES = (UP, RESET, SILENT)
_PRIME = 2_147_483_647
_FACTOR = 48_271
_UNIT = 1.0 / _PRIME
MAX_PIECES = 4


@dataclass(slots=True, frozen=True)
class LinkFault:
    """What is wrong in one direction between two nodes, beside what is wrong between their zones.

    Attributes are those of `flintridge.lab.records.LinkFaultChanged`. What is sent later may arrive earlier:
    `jitter_ms` is drawn for each datagram.
    """

    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    added_delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0


SOUND = LinkFault()


class WorldLink:
    """One direction between two parties; see `flintridge.lab.fabric.Link`.

    It has a small generator of its own (MINSTD), so that traffic on one link never moves the delays of
    another, and thousands of links stay cheap.
    """

    __slots__ = (
        "_base",
        "_cut",
        "_free_at",
        "_jitter",
        "_word",
        "added",
        "peer",
        "source",
        "state",
        "target",
    )

    def __init__(
        self, source: str, target: str, base_ms: float, jitter: float, cut: float, seed: int
    ) -> None:
        self.source = source
        self.target = target
        self.state = UP
        self.added = 0.0
        self.peer = SOUND
        self._free_at = 0.0  # of a slow one
        self._base = base_ms
        self._jitter = jitter
        self._cut = cut
        self._word = seed % (_PRIME - 1) + 1

    @property
    def base_ms(self) -> float:
        """Without jitter and without what was added."""
        return self._base

    def delay(self, now: float, size: int) -> float:
        """Milliseconds; `size` does not matter, as links here have room for all but those made slow."""
        self._word = word = self._word * _FACTOR % _PRIME
        took = self._base * (1.0 + self._jitter * (2.0 * word * _UNIT - 1.0)) + self.added
        return took if self.peer is SOUND else took + self._hindered(now, size)

    def lost(self) -> bool:
        """Asked for each datagram."""
        return self.peer.loss > 0 and self._draw() < self.peer.loss

    def duplicated(self) -> bool:
        """The same."""
        return self.peer.duplication > 0 and self._draw() < self.peer.duplication

    def _hindered(self, now: float, size: int) -> float:
        peer, waits = self.peer, 0.0
        if peer.bytes_per_s:
            self._free_at = max(self._free_at, now) + size / peer.bytes_per_s * 1000
            waits = self._free_at - now
        return waits + peer.added_delay_ms + (peer.jitter_ms * self._draw() if peer.jitter_ms else 0.0)

    def cuts(self, size: int) -> list[int]:
        """One piece, or two to MAX_PIECES for a share of writes."""
        if size < 2 or not self._cut or self._draw() >= self._cut:
            return [size]
        pieces = []
        for left in range(min(size, 2 + int(self._draw() * (MAX_PIECES - 1))) - 1, 0, -1):
            piece = 1 + int(self._draw() * (size - left))  # leaves a byte for each piece that follows
            pieces.append(piece)
            size -= piece
        pieces.append(size)
        return pieces

    def _draw(self) -> float:
        self._word = word = self._word * _FACTOR % _PRIME
        return word * _UNIT


class LinkTable:
    """The links by pairs of parties. After any change of states tell the fabric (`links_changed`).

    A party that was not placed, or placed in zone "", is a client: it is `client_ms` from everyone, and
    outside of every zone. Of all that applies to a link, silent beats reset, and reset beats up.
    """

    def __init__(self, links: scenario.Links, seeds: Seeds) -> None:
        self._spec = links
        self._seeds = seeds
        self._zones: dict[str, str] = {}
        self._links: dict[tuple[str, str], WorldLink] = {}
        self._by_party: dict[str, list[WorldLink]] = {}
        self._parties: dict[str, str] = {}  # states that are not up
        self._pairs: dict[tuple[str, str], str] = {}
        self._isolated: dict[str, tuple[str, bool, tuple[str, ...]]] = {}
        self._added: dict[tuple[str, str], float] = {}
        self._peers: dict[tuple[str, str], LinkFault] = {}

    def place(self, party: str, zone: str) -> None:
        """Say where a machine stands; links that exist already are measured anew."""
        if self._zones.get(party) == zone:
            return
        self._zones[party] = zone
        for link in self._by_party.get(party, ()):
            link._base = self._base_ms(link.source, link.target)
            self._refresh(link)

    def zone(self, party: str) -> str:
        return self._zones.get(party, "")

    def link(self, source: str, target: str) -> WorldLink:
        """Always the same object for a pair."""
        found = self._links.get((source, target))
        if found is None:
            seed = int(fixed_share(f"{self._seeds.seed}/passages/{source}/{target}") * _PRIME)
            base = self._base_ms(source, target)
            found = WorldLink(source, target, base, self._spec.jitter, self._spec.cut, seed)
            self._links[source, target] = found
            for party in dict.fromkeys((source, target)):
                self._by_party.setdefault(party, []).append(found)
            self._refresh(found)
        return found

    # What is cut off

    def set_party(self, party: str, state: str) -> None:
        """All links from and to a machine."""
        _put(self._parties, party, state)
        for link in self._by_party.get(party, ()):
            self._refresh(link)

    def clear_party(self, party: str) -> None:
        self.set_party(party, UP)

    def set_zones(self, zone: str, other: str, state: str) -> None:
        """The links between two zones, both ways; of a zone with itself: those inside it."""
        _put(self._pairs, _pair(zone, other), state)
        self._refresh_all()

    def clear_zones(self, zone: str, other: str) -> None:
        self.set_zones(zone, other, UP)

    def isolate_zone(self, zone: str, state: str, inside: bool = False, spared: Collection[str] = ()) -> None:
        """All links that cross the zone's border, to clients too; those inside it as well where its machines
        themselves are lost. Parties that are `spared` count as outside of the zone."""
        _RANK[state]  # KeyError on an unknown one
        self._isolated.pop(zone, None)
        if state != UP:
            self._isolated[zone] = state, inside, tuple(spared)
        self._refresh_all()

    def clear_zone(self, zone: str) -> None:
        """End `isolate_zone`."""
        self.isolate_zone(zone, UP)

    def add_delay(self, zone: str, other: str, ms: float) -> None:
        """Each passage between two zones takes so much longer, both ways; 0 ends it."""
        self._added[_pair(zone, other)] = ms
        self._refresh_all()

    def clear_delay(self, zone: str, other: str) -> None:
        self.add_delay(zone, other, 0.0)

    def set_peer(self, source: str, target: str, fault: LinkFault = SOUND) -> None:
        """What is wrong on the way from one node to another, in this direction alone."""
        self._peers.pop((source, target), None)
        if fault != SOUND:
            self._peers[source, target] = fault
        self._refresh(self.link(source, target))

    # What a link is

    def _base_ms(self, source: str, target: str) -> float:
        spec, zone, other = self._spec, self.zone(source), self.zone(target)
        if not zone or not other:
            span, name = spec.client_ms, f"link/{source}/{target}"
        elif zone == other:
            span, name = spec.same_ms, f"link/{source}/{target}"
        else:  # the distance of two zones is the same for all machines in them
            first, second = _pair(zone, other)
            span, name = spec.cross_ms, f"zones/{first}/{second}"
        return draw(self._seeds.of(name), span) if isinstance(span, tuple) else float(span)

    def _refresh_all(self) -> None:
        for link in self._links.values():
            self._refresh(link)

    def _refresh(self, link: WorldLink) -> None:
        zone, other = self.zone(link.source), self.zone(link.target)
        pair = _pair(zone, other)
        rank = max(
            _RANK[self._parties.get(link.source, UP)],
            _RANK[self._parties.get(link.target, UP)],
            _RANK[self._pairs.get(pair, UP)],
        )
        for lost, (state, inside, spared) in self._isolated.items():
            ends = (zone == lost and link.source not in spared) + (
                other == lost and link.target not in spared
            )
            if ends == 1 or (ends == 2 and inside):
                rank = max(rank, _RANK[state])
        link.peer = self._peers.get((link.source, link.target), SOUND)
        link.state = _STATES[max(rank, _RANK[SILENT] if link.peer.cut else 0)]
        link.added = self._added.get(pair, 0.0)


def _pair(zone: str, other: str) -> tuple[str, str]:
    return (zone, other) if zone <= other else (other, zone)


def _put(table: dict[Key, str], key: Key, state: str) -> None:
    _RANK[state]  # KeyError on an unknown one
    table.pop(key, None)
    if state != UP:
        table[key] = state
