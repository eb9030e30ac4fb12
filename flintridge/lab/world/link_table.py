"""All links between machines: their delays, their states and their faults."""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import TypeVar

from flintridge.lab.scenario.model import Links, Span
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw, hash_fraction
from flintridge.lab.world.link import MINSTD_MODULUS, NO_FAULT, SILENT, STATES, UP, LinkFault, SimulatedLink

Key = TypeVar("Key", bound=Hashable)
ZonePair = tuple[str, str]

_RANK = {state: rank for rank, state in enumerate(STATES)}


@dataclass(slots=True, frozen=True)
class _Isolation:
    """The isolation of one zone.

    Attributes:
        state: State of the links that cross the border of the zone.
        inside: Whether the links inside the zone have this state too.
        spared: Parties that count as outside the zone.
    """

    state: str
    inside: bool
    spared: tuple[str, ...]


class LinkTable:
    """The links by pairs of parties. The caller notifies the fabric of changed states (`links_changed`).

    A party without a zone, or in zone "", is a client: its delay to every other party is `client_ms`, and it
    is outside every zone. If several states apply to a link, silent overrides reset, and reset overrides up.
    """

    def __init__(self, links: Links, seeds: Seeds) -> None:
        """Create a table in which all links are up.

        Args:
            links: The scenario's settings of the links.
            seeds: Source of their delays.
        """
        self._spec = links
        self._seeds = seeds
        self._zones: dict[str, str] = {}
        self._links: dict[tuple[str, str], SimulatedLink] = {}
        self._links_of_party: dict[str, list[SimulatedLink]] = {}
        # Entries exist only for states other than up, and for faults:
        self._party_states: dict[str, str] = {}
        self._zone_pair_states: dict[ZonePair, str] = {}
        self._isolations: dict[str, _Isolation] = {}
        self._added_ms: dict[ZonePair, float] = {}
        self._faults: dict[tuple[str, str], LinkFault] = {}

    def place(self, party: str, zone: str) -> None:
        """Set the zone of a machine; the delays of its existing links change accordingly."""
        if self._zones.get(party) == zone:
            return
        self._zones[party] = zone
        for link in self._links_of_party.get(party, ()):
            link.base_ms = self._base_ms(link.source, link.target)
            self._refresh(link)

    def zone(self, party: str) -> str:
        """Return the zone of a machine; empty if it is outside every zone."""
        return self._zones.get(party, "")

    def link(self, source: str, target: str) -> SimulatedLink:
        """Return the link from one party to another; it is always the same object for a pair."""
        link = self._links.get((source, target))
        if link is None:
            seed = int(hash_fraction(f"{self._seeds.seed}/passages/{source}/{target}") * MINSTD_MODULUS)
            base_ms = self._base_ms(source, target)
            link = SimulatedLink(source, target, base_ms, self._spec.jitter, self._spec.cut, seed)
            self._links[source, target] = link
            for party in dict.fromkeys((source, target)):
                self._links_of_party.setdefault(party, []).append(link)
            self._refresh(link)
        return link

    # States and faults

    def set_party(self, party: str, state: str) -> None:
        """Set the state of all links from and to a machine.

        Raises:
            KeyError: There is no such state.
        """
        _set_state(self._party_states, party, state)
        for link in self._links_of_party.get(party, ()):
            self._refresh(link)

    def clear_party(self, party: str) -> None:
        """Set all links from and to a machine back to up."""
        self.set_party(party, UP)

    def set_zones(self, zone: str, peer_zone: str, state: str) -> None:
        """Set the state of the links between two zones, in both directions; for equal zones, inside the zone.

        Raises:
            KeyError: There is no such state.
        """
        _set_state(self._zone_pair_states, _pair(zone, peer_zone), state)
        self._refresh_all()

    def clear_zones(self, zone: str, peer_zone: str) -> None:
        """Set the links between two zones back to up."""
        self.set_zones(zone, peer_zone, UP)

    def isolate_zone(self, zone: str, state: str, inside: bool = False, spared: Collection[str] = ()) -> None:
        """Set the state of all links that cross the border of a zone, links to clients included.

        Args:
            zone: The zone.
            state: State of these links.
            inside: Whether the links inside the zone get the state too, as when its machines are lost.
            spared: Parties that count as outside the zone.

        Raises:
            KeyError: There is no such state.
        """
        _RANK[state]  # raises KeyError for an unknown state
        self._isolations.pop(zone, None)
        if state != UP:
            self._isolations[zone] = _Isolation(state, inside, tuple(spared))
        self._refresh_all()

    def clear_zone(self, zone: str) -> None:
        """End the isolation of a zone."""
        self.isolate_zone(zone, UP)

    def add_delay(self, zone: str, peer_zone: str, added_ms: float) -> None:
        """Add a delay (ms) to all links between two zones, in both directions; 0 removes it."""
        self._added_ms[_pair(zone, peer_zone)] = added_ms
        self._refresh_all()

    def clear_delay(self, zone: str, peer_zone: str) -> None:
        """Remove the additional delay between two zones."""
        self.add_delay(zone, peer_zone, 0.0)

    def set_fault(self, source: str, target: str, fault: LinkFault = NO_FAULT) -> None:
        """Set the fault of the link from one node to another; the opposite direction is not affected."""
        self._faults.pop((source, target), None)
        if fault != NO_FAULT:
            self._faults[source, target] = fault
        self._refresh(self.link(source, target))

    # Properties of links

    def _base_ms(self, source: str, target: str) -> float:
        spec = self._spec
        zone = self.zone(source)
        peer_zone = self.zone(target)
        span: Span
        if not zone or not peer_zone:
            span = spec.client_ms
            name = f"link/{source}/{target}"
        elif zone == peer_zone:
            span = spec.same_ms
            name = f"link/{source}/{target}"
        else:  # the delay between two zones is the same for all machines in them
            pair = _pair(zone, peer_zone)
            span = spec.cross_ms
            name = f"zones/{pair[0]}/{pair[1]}"
        return draw(self._seeds.of(name), span) if isinstance(span, tuple) else float(span)

    def _refresh_all(self) -> None:
        for link in self._links.values():
            self._refresh(link)

    def _refresh(self, link: SimulatedLink) -> None:
        """Recompute the state, the added delay and the fault of a link."""
        zone = self.zone(link.source)
        peer_zone = self.zone(link.target)
        pair = _pair(zone, peer_zone)
        rank = max(
            _RANK[self._party_states.get(link.source, UP)],
            _RANK[self._party_states.get(link.target, UP)],
            _RANK[self._zone_pair_states.get(pair, UP)],
        )
        for isolated, isolation in self._isolations.items():
            source_inside = zone == isolated and link.source not in isolation.spared
            target_inside = peer_zone == isolated and link.target not in isolation.spared
            crosses_border = source_inside != target_inside
            if crosses_border or (source_inside and isolation.inside):
                rank = max(rank, _RANK[isolation.state])
        link.fault = self._faults.get((link.source, link.target), NO_FAULT)
        if link.fault.cut:
            rank = max(rank, _RANK[SILENT])
        link.state = STATES[rank]
        link.added_ms = self._added_ms.get(pair, 0.0)


def _pair(zone: str, peer_zone: str) -> ZonePair:
    """Return the pair in sorted order, so that both directions share one key."""
    return (zone, peer_zone) if zone <= peer_zone else (peer_zone, zone)


def _set_state(states: dict[Key, str], key: Key, state: str) -> None:
    _RANK[state]  # raises KeyError for an unknown state
    states.pop(key, None)
    if state != UP:
        states[key] = state
