"""The combined effect of the active faults on the links between zones and between nodes."""

from collections.abc import Sequence
from dataclasses import dataclass

from flintridge.lab.faults.active_faults import ActiveFaults, union_fraction
from flintridge.lab.scenario import model as m
from flintridge.lab.world.link import NO_FAULT, LinkFault

UP = "up"
_LINK_STATE_RANKS = {UP: 0, "reset": 1, "silent": 2}


@dataclass(slots=True, frozen=True)
class ZoneIsolation:
    """The isolation of a zone's machines.

    Attributes:
        state: The state of the zone's links.
        spared_nodes: The names of the zone's nodes, which are not isolated.
    """

    state: str
    spared_nodes: tuple[str, ...]


def zone_isolations(active_faults: ActiveFaults) -> dict[str, ZoneIsolation]:
    """Return the isolation of each zone that is isolated while its nodes are not."""
    found: dict[str, ZoneIsolation] = {}
    for active in active_faults.by_number.values():
        fault = active.fault
        if isinstance(fault, m.ZoneLoss) and fault.how != "die" and not fault.nodes:
            before = found.get(fault.zone)
            state = worst_link_state(fault.how, before.state if before else UP)
            found[fault.zone] = ZoneIsolation(state, active.nodes)
    return found


def zone_link_states(active_faults: ActiveFaults, zones: Sequence[str]) -> dict[tuple[str, str], str]:
    """Return the states of the links between zones that are not up, by the sorted pair of zones.

    A zone that is lost with its nodes is isolated from all zones, itself included. Clients still reach its
    nodes, but the nodes cannot serve their requests.

    Args:
        active_faults: The faults that are active.
        zones: All zones.
    """
    found: dict[tuple[str, str], str] = {}
    for active in active_faults.by_number.values():
        fault = active.fault
        if isinstance(fault, m.Cut):
            _worsen(found, zone_pair(fault.zone, fault.other), fault.how)
        elif isinstance(fault, m.ZoneLoss) and fault.how != "die" and fault.nodes:
            for other in zones:
                _worsen(found, zone_pair(fault.zone, other), fault.how)
    return found


def zone_link_delays(active_faults: ActiveFaults) -> dict[tuple[str, str], float]:
    """Return the added delays (ms) between zones, by the sorted pair of zones."""
    found: dict[tuple[str, str], float] = {}
    for fault in active_faults.of_type(m.SlowLink):
        key = zone_pair(fault.zone, fault.other)
        found[key] = found.get(key, 0.0) + fault.add_ms
    return found


def peer_link_faults(active_faults: ActiveFaults) -> dict[tuple[str, str], LinkFault]:
    """Return the faults of the links between nodes, by source and target.

    If several faults affect a link, it is cut if one of them cuts it, fractions and delays are combined, and
    the lowest bandwidth applies.
    """
    found: dict[tuple[str, str], LinkFault] = {}
    for active in active_faults.by_number.values():
        fault = active.fault
        if not isinstance(fault, m.PeerLink):
            continue
        for link in active.links:
            before = found.get(link, NO_FAULT)
            rates = [rate for rate in (before.bytes_per_s, fault.bytes_per_s) if rate]
            found[link] = LinkFault(
                cut=before.cut or fault.cut,
                loss=union_fraction(before.loss, fault.loss),
                duplication=union_fraction(before.duplication, fault.double),
                added_delay_ms=before.added_delay_ms + fault.add_ms,
                jitter_ms=before.jitter_ms + fault.jitter_ms,
                bytes_per_s=min(rates, default=0.0),
            )
    return found


def zone_pair(zone: str, other: str) -> tuple[str, str]:
    """Return two zones in the order of their names."""
    return (zone, other) if zone <= other else (other, zone)


def worst_link_state(first: str, second: str) -> str:
    """Return the worse of two link states."""
    return max(first, second, key=_LINK_STATE_RANKS.__getitem__)


def _worsen(states: dict[tuple[str, str], str], key: tuple[str, str], state: str) -> None:
    states[key] = worst_link_state(state, states.get(key, UP))
