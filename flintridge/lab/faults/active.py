"""What the faults that are on at present make of each part of the world, however they overlap.

Nothing is remembered but which faults are on: a part's state is reckoned from all of them anew, so that the
end of one never undoes another.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from flintridge.lab.faults.injection import CallErrors, FolderState, SystemState
from flintridge.lab.scenario import model as m
from flintridge.lab.world.link import NO_FAULT, LinkFault

F = TypeVar("F", bound=m.Fault)
UP = "up"
_RANK = {UP: 0, "reset": 1, "silent": 2}
_ORIGIN_RANK = ("", "declines", "errors", "silent", "refuses")
_PARTS = (m.QuickErrors, m.Resets, m.Spoilt, m.LostAnswers, m.Crowding)
_DISCOVERY_RANK = ("", "garbage", "errors", "silent", "refuses")


@dataclass(slots=True, frozen=True)
class Knobs:
    """Settings of a cache server, by the names of `flintridge.lab.world.fault_controls.FaultControls`."""

    slowdown: float = 1.0
    error_fraction: float = 0.0
    reset_fraction: float = 0.0
    corrupted_fraction: float = 0.0
    lost_fraction: float = 0.0
    contention_fraction: float = 0.0
    stale_after_ms: float = 0.0
    stale_unresponsive: bool = False


@dataclass(slots=True)
class On:
    """A fault that is on, and what it is about."""

    fault: m.AnyFault
    servers: tuple[str, ...] = ()  # ids
    nodes: tuple[str, ...] = ()
    ways: tuple[tuple[str, str], ...] = ()  # between nodes, from and to
    stopped: bool = False  # of a drain: its servers have stopped
    _asked: frozenset[str] = field(init=False)  # the servers, to be asked by name only

    def __post_init__(self) -> None:
        self._asked = frozenset(self.servers)

    def about(self, server: str) -> bool:
        return server in self._asked


@dataclass(slots=True, frozen=True)
class Isolation:
    state: str
    spared: tuple[str, ...]  # nodes that stand in the zone and are not lost with it


class Active:
    """The faults that are on, by their numbers in the scenario."""

    def __init__(self) -> None:
        self.on: dict[int, On] = {}

    # Servers

    def knobs(self, server: str) -> Knobs:
        slow = 1.0
        parts = dict.fromkeys(_PARTS, 0.0)
        stale: list[tuple[float, bool]] = []
        for on in self._about(server):
            fault = on.fault
            if isinstance(fault, m.Slowness):
                slow *= fault.factor
            elif isinstance(fault, m.Stale):
                stale.append((fault.after_ms, not fault.silent))
            elif isinstance(fault, _PARTS):
                # Of what one leaves whole the next takes its share: shares of the same thing do not add up.
                before = parts[type(fault)]
                parts[type(fault)] = before + fault.part - before * fault.part
        after_ms, loud = min(stale, default=(0.0, True))
        return Knobs(
            slowdown=slow,
            error_fraction=parts[m.QuickErrors],
            reset_fraction=parts[m.Resets],
            corrupted_fraction=parts[m.Spoilt],
            lost_fraction=parts[m.LostAnswers],
            contention_fraction=parts[m.Crowding],
            stale_after_ms=after_ms,
            stale_unresponsive=not loud,
        )

    def down(self, server: str) -> bool:
        """Its process must not run."""
        return any(
            isinstance(on.fault, m.Crash)
            or (isinstance(on.fault, m.ZoneLoss) and on.fault.how == "die")
            or (isinstance(on.fault, m.Drain) and on.stopped)
            for on in self._about(server)
        )

    def draining(self, server: str) -> bool:
        return any(isinstance(on.fault, m.Drain) and not on.stopped for on in self._about(server))

    def vanished(self, server: str) -> bool:
        """Its machine is cut off in silence, by itself."""
        return any(isinstance(on.fault, m.Silence) for on in self._about(server))

    def unheard(self, server: str) -> bool:
        """Discovery hears nothing of it: it vanished, or its zone is cut off."""
        return self.vanished(server) or any(
            isinstance(on.fault, m.ZoneLoss) and on.fault.how != "die" for on in self._about(server)
        )

    # Links

    def isolations(self) -> dict[str, Isolation]:
        """Zones that are cut off without their nodes."""
        found: dict[str, Isolation] = {}
        for on in self.on.values():
            fault = on.fault
            if isinstance(fault, m.ZoneLoss) and fault.how != "die" and not fault.nodes:
                before = found.get(fault.zone)
                state = worst(fault.how, before.state if before else UP)
                found[fault.zone] = Isolation(state, on.nodes)
        return found

    def pairs(self, zones: Sequence[str]) -> dict[tuple[str, str], str]:
        """States of the links between zones that are not up. A zone that is lost with its nodes is cut off
        from all `zones`, itself included; clients still reach its nodes, which can do nothing for them."""
        found: dict[tuple[str, str], str] = {}
        for on in self.on.values():
            fault = on.fault
            if isinstance(fault, m.Cut):
                _worsen(found, pair(fault.zone, fault.other), fault.how)
            elif isinstance(fault, m.ZoneLoss) and fault.how != "die" and fault.nodes:
                for other in zones:
                    _worsen(found, pair(fault.zone, other), fault.how)
        return found

    def delays(self) -> dict[tuple[str, str], float]:
        """Milliseconds added between zones."""
        found: dict[tuple[str, str], float] = {}
        for fault in self._faults(m.SlowLink):
            key = pair(fault.zone, fault.other)
            found[key] = found.get(key, 0.0) + fault.add_ms
        return found

    def peer_faults(self) -> dict[tuple[str, str], LinkFault]:
        """By source and target: where several are on, one that cuts beats all, shares and times add up."""
        found: dict[tuple[str, str], LinkFault] = {}
        for on in self.on.values():
            fault = on.fault
            if not isinstance(fault, m.PeerLink):
                continue
            for a, b in on.ways:
                was = found.get((a, b), NO_FAULT)
                rates = [rate for rate in (was.bytes_per_s, fault.bytes_per_s) if rate]
                found[a, b] = LinkFault(
                    cut=was.cut or fault.cut,
                    loss=was.loss + fault.loss - was.loss * fault.loss,
                    duplication=was.duplication + fault.double - was.duplication * fault.double,
                    added_delay_ms=was.added_delay_ms + fault.add_ms,
                    jitter_ms=was.jitter_ms + fault.jitter_ms,
                    bytes_per_s=min(rates, default=0.0),
                )
        return found

    # Origin and discovery

    def origin_slow(self) -> float:
        return _product(fault.factor for fault in self._faults(m.OriginSlow))

    def origin_down(self, zone: str) -> str:
        """How it is down, the worst of all; it dies with its zone."""
        hows = [fault.how for fault in self._faults(m.OriginDown)]
        return max([*hows, *self._dead(zone)], key=_ORIGIN_RANK.index, default="")

    def discovery_slow(self) -> float:
        return _product(fault.factor for fault in self._faults(m.DiscoverySlow))

    def discovery_down(self, zone: str) -> str:
        hows = [fault.how for fault in self._faults(m.DiscoveryDown)]
        return max([*hows, *self._dead(zone)], key=_DISCOVERY_RANK.index, default="")

    def stale_since(self) -> float | None:
        """Ms of the day."""
        return min((fault.at_s * 1000 for fault in self._faults(m.DiscoveryStale)), default=None)

    # Nodes and clients

    def node_held(self, node: str) -> bool:
        """Its process is down and must stay so."""
        return any(
            node in on.nodes
            and (
                isinstance(on.fault, (m.NodeKill, m.NodeRestart))
                or (isinstance(on.fault, m.ZoneLoss) and on.fault.how == "die" and on.fault.nodes)
            )
            for on in self.on.values()
        )

    def node_paused(self, node: str) -> bool:
        return any(isinstance(on.fault, m.NodePause) and node in on.nodes for on in self.on.values())

    def system(self, node: str) -> SystemState:
        """What is wrong with its operating system."""
        faults = [on.fault for on in self.on.values() if node in on.nodes]
        shorts = [fault for fault in faults if isinstance(fault, m.ShortIo)]
        stalls = [fault for fault in faults if isinstance(fault, m.Stall)]
        return SystemState(
            calls=tuple(
                CallErrors(fault.call, fault.errors, fault.part)
                for fault in faults
                if isinstance(fault, m.SystemCallErrors)
            ),
            short_part=_either(fault.part for fault in shorts),
            short_bytes=min((fault.most_bytes for fault in shorts), default=0),
            stall_part=_either(fault.part for fault in stalls),
            stall_ms=max((fault.most_ms for fault in stalls), default=0.0),
            clock_ms=sum(fault.seconds * 1000 for fault in faults if isinstance(fault, m.ClockStep)),
            folder=tuple(
                FolderState(fault.errors, fault.part, fault.half_written)
                for fault in faults
                if isinstance(fault, m.FolderErrors)
            ),
        )

    def hot_part(self) -> float:
        """Of the hot key that came last; 0 where there is none."""
        parts = [fault.part for fault in self._faults(m.HotKey)]
        return parts[-1] if parts else 0.0

    def bad_clients(self) -> tuple[float, tuple[str, ...]]:
        """So many a second, of these kinds (empty: of all)."""
        faults = self._faults(m.BadClients)
        kinds = [kind for fault in faults for kind in fault.kinds]
        everything = any(not fault.kinds for fault in faults)
        return sum(fault.per_s for fault in faults), () if everything else tuple(dict.fromkeys(kinds))

    # Within

    def _about(self, server: str) -> Iterable[On]:
        return [on for on in self.on.values() if on.about(server)]

    def _faults(self, kind: type[F]) -> list[F]:
        return [on.fault for on in self.on.values() if isinstance(on.fault, kind)]

    def _dead(self, zone: str) -> list[str]:
        lost = [fault for fault in self._faults(m.ZoneLoss) if fault.how == "die" and fault.zone == zone]
        return ["refuses"] * bool(lost)


def pair(zone: str, other: str) -> tuple[str, str]:
    """A way between two zones, whichever way round."""
    return (zone, other) if zone <= other else (other, zone)


def worst(one: str, other: str) -> str:
    return max(one, other, key=_RANK.__getitem__)


def burst_factor(faults: Sequence[m.AnyFault], t: float) -> float:
    """The multiple of the usual rate at an instant (ms): all bursts rise and fall over their ramps."""
    factor = 1.0
    for fault in faults:
        if isinstance(fault, m.Burst):
            factor *= 1.0 + (fault.factor - 1.0) * _height(fault, t)
    return factor


def _height(burst: m.Burst, t: float) -> float:
    """From 0 to 1."""
    since, left = t / 1000 - burst.at_s, burst.at_s + burst.for_s - t / 1000
    if since < 0 or left <= 0:
        return 0.0
    ramp = min(burst.ramp_s, burst.for_s / 2)
    return min(1.0, since / ramp, left / ramp) if ramp else 1.0


def _product(factors: Iterable[float]) -> float:
    whole = 1.0
    for factor in factors:
        whole *= factor
    return whole


def _either(parts: Iterable[float]) -> float:
    """Of what one share leaves whole the next takes its own."""
    whole = 0.0
    for part in parts:
        whole += part - whole * part
    return whole


def _worsen(states: dict[tuple[str, str], str], key: tuple[str, str], state: str) -> None:
    states[key] = worst(state, states.get(key, UP))
