"""The combined effect of the active faults on each part of the fleet.

Only the faults themselves are stored. Each effect is computed from all active faults, so that the end of one
fault never undoes another that overlaps with it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from flintridge.lab.faults.injection import CallErrors, FolderState, SystemState
from flintridge.lab.scenario import model as m

F = TypeVar("F", bound=m.Fault)
_ORIGIN_FAILURES = ("", "declines", "errors", "silent", "refuses")  # in order of severity, the worst last
_DISCOVERY_FAILURES = ("", "garbage", "errors", "silent", "refuses")
_FRACTION_FAULTS = (m.QuickErrors, m.Resets, m.Spoilt, m.LostAnswers, m.Crowding)


@dataclass(slots=True, frozen=True)
class ServerImpairments:
    """The effect of the active faults on a running cache server.

    Attributes:
        slowdown: Factor by which service times are longer than usual.
        error_fraction: Fraction of requests that immediately get an error.
        reset_fraction: Fraction of requests whose connection is reset.
        corrupted_fraction: Fraction of responses that are corrupted.
        lost_fraction: Fraction of responses that are never sent.
        contention_fraction: Fraction of the cores that other programs use.
        stale_after_ms: Idle time after which a connection is closed on the server's side; 0: never.
        stale_unresponsive: Whether such a connection is not closed but stops responding.
    """

    slowdown: float = 1.0
    error_fraction: float = 0.0
    reset_fraction: float = 0.0
    corrupted_fraction: float = 0.0
    lost_fraction: float = 0.0
    contention_fraction: float = 0.0
    stale_after_ms: float = 0.0
    stale_unresponsive: bool = False


@dataclass(slots=True)
class ActiveFault:
    """An active fault and its targets.

    Attributes:
        fault: The fault as the scenario defines it.
        servers: The ids of the affected cache servers.
        nodes: The names of the affected nodes.
        links: The source and target of each affected link between nodes.
        servers_stopped: Whether the servers affected by a drain have stopped.
    """

    fault: m.AnyFault
    servers: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    links: tuple[tuple[str, str], ...] = ()
    servers_stopped: bool = False
    _server_set: frozenset[str] = field(init=False)  # a set, as it is searched for each server at each change

    def __post_init__(self) -> None:
        """Build the set that `affects` searches."""
        self._server_set = frozenset(self.servers)

    def affects(self, server: str) -> bool:
        """Whether a cache server is among the targets.

        Args:
            server: The server's id.
        """
        return server in self._server_set


@dataclass(slots=True, frozen=True)
class MalformedClientLoad:
    """The rate and kinds of clients that send malformed requests.

    Attributes:
        per_s: Clients that start per second.
        kinds: The kinds of malformed requests that they send; empty: all kinds.
    """

    per_s: float = 0.0
    kinds: tuple[str, ...] = ()


class ActiveFaults:
    """The faults that are active.

    Attributes:
        by_number: The faults by their numbers in the scenario, in the order of their starts.
    """

    def __init__(self) -> None:
        """Create an instance without active faults."""
        self.by_number: dict[int, ActiveFault] = {}

    # Servers

    def server_impairments(self, server: str) -> ServerImpairments:
        """The effect of the active faults on a server while it runs."""
        slowdown = 1.0
        fractions = dict.fromkeys(_FRACTION_FAULTS, 0.0)
        stale: list[tuple[float, bool]] = []  # idle time in ms, and whether the server closes the connection
        for active in self._affecting(server):
            fault = active.fault
            if isinstance(fault, m.Slowness):
                slowdown *= fault.factor
            elif isinstance(fault, m.Stale):
                stale.append((fault.after_ms, not fault.silent))
            elif isinstance(fault, _FRACTION_FAULTS):
                before = fractions[type(fault)]
                fractions[type(fault)] = union_fraction(before, fault.part)
        stale_after_ms, closes = min(stale, default=(0.0, True))
        return ServerImpairments(
            slowdown=slowdown,
            error_fraction=fractions[m.QuickErrors],
            reset_fraction=fractions[m.Resets],
            corrupted_fraction=fractions[m.Spoilt],
            lost_fraction=fractions[m.LostAnswers],
            contention_fraction=fractions[m.Crowding],
            stale_after_ms=stale_after_ms,
            stale_unresponsive=not closes,
        )

    def server_down(self, server: str) -> bool:
        """Whether a fault keeps a server's process stopped."""
        return any(
            isinstance(active.fault, m.Crash)
            or (isinstance(active.fault, m.ZoneLoss) and active.fault.how == "die")
            or (isinstance(active.fault, m.Drain) and active.servers_stopped)
            for active in self._affecting(server)
        )

    def server_draining(self, server: str) -> bool:
        """Whether a fault drains a server."""
        return any(
            isinstance(active.fault, m.Drain) and not active.servers_stopped
            for active in self._affecting(server)
        )

    def server_unreachable(self, server: str) -> bool:
        """Whether a fault makes a server's machine alone unreachable: its links lose everything silently."""
        return any(isinstance(active.fault, m.Silence) for active in self._affecting(server))

    def server_unobserved(self, server: str) -> bool:
        """Whether discovery cannot observe a server, because its machine or its zone is unreachable."""
        return self.server_unreachable(server) or any(
            isinstance(active.fault, m.ZoneLoss) and active.fault.how != "die"
            for active in self._affecting(server)
        )

    # Origin and discovery

    def origin_slowdown(self) -> float:
        """The factor by which the origin's service times are longer than usual."""
        return _product(fault.factor for fault in self.of_type(m.OriginSlow))

    def origin_failure(self, zone: str) -> str:
        """Return the most severe failure of the origin; the death of its zone counts as one.

        Args:
            zone: The zone of the origin.

        Returns:
            One of the values of `OriginDown.how`, or an empty string if the origin does not fail.
        """
        failures = [fault.how for fault in self.of_type(m.OriginDown)]
        return max([*failures, *self._zone_deaths(zone)], key=_ORIGIN_FAILURES.index, default="")

    def discovery_slowdown(self) -> float:
        """The factor by which discovery's service times are longer than usual."""
        return _product(fault.factor for fault in self.of_type(m.DiscoverySlow))

    def discovery_failure(self, zone: str) -> str:
        """Return the most severe failure of discovery; the death of its zone counts as one.

        Args:
            zone: The zone of discovery.

        Returns:
            One of the values of `DiscoveryDown.how`, or an empty string if discovery does not fail.
        """
        failures = [fault.how for fault in self.of_type(m.DiscoveryDown)]
        return max([*failures, *self._zone_deaths(zone)], key=_DISCOVERY_FAILURES.index, default="")

    def discovery_stale_since(self) -> float | None:
        """The time of the run (ms) since which discovery's list is stale; None: it is not stale."""
        return min((fault.at_s * 1000 for fault in self.of_type(m.DiscoveryStale)), default=None)

    # Nodes and clients

    def node_down(self, node: str) -> bool:
        """Whether a fault keeps a node's process stopped."""
        return any(
            node in active.nodes
            and (
                isinstance(active.fault, (m.NodeKill, m.NodeRestart))
                or (isinstance(active.fault, m.ZoneLoss) and active.fault.how == "die" and active.fault.nodes)
            )
            for active in self.by_number.values()
        )

    def node_paused(self, node: str) -> bool:
        """Whether a fault pauses a node's process."""
        return any(
            isinstance(active.fault, m.NodePause) and node in active.nodes
            for active in self.by_number.values()
        )

    def system_state(self, node: str) -> SystemState:
        """The effect of the active faults on a node's operating system."""
        faults = [active.fault for active in self.by_number.values() if node in active.nodes]
        shorts = [fault for fault in faults if isinstance(fault, m.ShortIo)]
        stalls = [fault for fault in faults if isinstance(fault, m.Stall)]
        return SystemState(
            calls=tuple(
                CallErrors(fault.call, fault.errors, fault.part)
                for fault in faults
                if isinstance(fault, m.SystemCallErrors)
            ),
            short_io_fraction=_union_of(fault.part for fault in shorts),
            short_io_bytes=min((fault.most_bytes for fault in shorts), default=0),
            stall_fraction=_union_of(fault.part for fault in stalls),
            max_stall_ms=max((fault.most_ms for fault in stalls), default=0.0),
            clock_offset_ms=sum(fault.seconds * 1000 for fault in faults if isinstance(fault, m.ClockStep)),
            folder=tuple(
                FolderState(fault.errors, fault.part, fault.half_written)
                for fault in faults
                if isinstance(fault, m.FolderErrors)
            ),
        )

    def hot_key_fraction(self) -> float:
        """The fraction of reads for the hot key of the fault that started last; 0 without a hot key."""
        fractions = [fault.part for fault in self.of_type(m.HotKey)]
        return fractions[-1] if fractions else 0.0

    def malformed_clients(self) -> MalformedClientLoad:
        """The malformed clients of all active faults together."""
        faults = self.of_type(m.BadClients)
        kinds = [kind for fault in faults for kind in fault.kinds]
        if any(not fault.kinds for fault in faults):
            kinds = []
        return MalformedClientLoad(sum(fault.per_s for fault in faults), tuple(dict.fromkeys(kinds)))

    # Helpers

    def _affecting(self, server: str) -> list[ActiveFault]:
        return [active for active in self.by_number.values() if active.affects(server)]

    def of_type(self, fault_type: type[F]) -> list[F]:
        """The active faults of a type, in the order of their starts."""
        return [active.fault for active in self.by_number.values() if isinstance(active.fault, fault_type)]

    def _zone_deaths(self, zone: str) -> list[str]:
        """The failure of a service in a zone, once for each fault that kills the zone's processes."""
        deaths = [fault for fault in self.of_type(m.ZoneLoss) if fault.how == "die" and fault.zone == zone]
        return ["refuses" for _ in deaths]


def _product(factors: Iterable[float]) -> float:
    product = 1.0
    for factor in factors:
        product *= factor
    return product


def union_fraction(first: float, second: float) -> float:
    """Return the fraction that is affected by at least one of two independent faults."""
    return first + second - first * second


def _union_of(fractions: Iterable[float]) -> float:
    combined = 0.0
    for fraction in fractions:
        combined += fraction - combined * fraction
    return combined
