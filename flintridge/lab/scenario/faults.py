"""The faults of a scenario, but for those of a node's operating system.

A fraction `part` is of what the fault names; `for_s` is how long it lasts.
"""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import Name, schema_description
from flintridge.lab.scenario.fault_base import Amount, Count, Fault, Fraction, Positive, TimedFault
from flintridge.lab.scenario.system_faults import (
    ClockStep,
    FolderErrors,
    ShortIo,
    Stall,
    SystemCallErrors,
)


@schema_description(
    "A fault of servers: those with these ids, or so many (or such a share, at least one) drawn by the seed\n"
    "among those of the zone and the kind."
)
class ServerFault(TimedFault, frozen=True):
    """A fault of servers: by id, or a count or fraction drawn by the seed among those of a zone and kind."""

    ids: tuple[str, ...] = ()
    count: Count = 0
    share: Fraction = 0.0
    zone: str = ""
    kind: str = ""


@schema_description(
    "Processes die: connections reset, new ones refused; after `for_s` they start again, cold and empty\n"
    "(0: never)."
)
class Crash(ServerFault, tag="crash", frozen=True):
    """Processes die, and start again cold and empty after `for_s` (0: never)."""


@schema_description(
    "Machines vanish: connections stay open and silent, new ones never come up; after `for_s` they are back\n"
    "with what they held, and old connections are reset."
)
class Silence(ServerFault, tag="silence", frozen=True):
    """Machines vanish: connections stay open without a response; after `for_s` old ones are reset.

    They are back with what they held.
    """


class Resets(ServerFault, tag="resets", frozen=True):
    """A share of attempts has its connection reset once the command arrived."""

    part: Fraction = 0.3


@schema_description(None)
class QuickErrors(ServerFault, tag="quick_errors", frozen=True):
    """A fraction of attempts fails at once."""

    part: Fraction = 0.5


@schema_description(None)
class Slowness(ServerFault, tag="slowness", frozen=True):
    """Servers are slower by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 10.0


class Spoilt(ServerFault, tag="spoilt", frozen=True):
    """A share of answers is noise, of the wrong length, unending, of another id, or has more behind it."""

    part: Fraction = 0.05


class LostAnswers(ServerFault, tag="lost_answers", frozen=True):
    """A share of answers never leaves its server; the request has run."""

    part: Fraction = 0.02


class Stale(ServerFault, tag="stale", frozen=True):
    """Connections unused for `after_ms` are dropped unseen: what is sent on one gets a reset or nothing."""

    after_ms: Positive = 500.0
    silent: bool = False


class Crowding(ServerFault, tag="crowding", frozen=True):
    """Others use so much of the servers' cores."""

    part: Fraction = 0.5


class Drain(ServerFault, tag="drain", frozen=True):
    """Servers are told to drain, and stop `for_s` later. `back` starts them again after that, cold."""

    back: bool = False


class Replace(ServerFault, tag="replace", frozen=True):
    """Servers stop at once; new ones with new ids start `for_s` later, at the old addresses if so said."""

    same_address: bool = True


class Churn(TimedFault, tag="churn", frozen=True):
    """One server after another is drained and replaced by a new id, every `every_s`."""

    every_s: Positive = 2.0
    same_address: bool = True


class ZoneLoss(TimedFault, tag="zone_loss", kw_only=True, frozen=True):
    """A zone is lost: its machines cut off in silence, its links reset, or its processes dead."""

    zone: Name
    how: Literal["silent", "reset", "die"] = "silent"
    nodes: bool = False  # its nodes too
    cold: bool = True  # its servers come back cold and empty


class Cut(TimedFault, tag="cut", kw_only=True, frozen=True):
    """The links between two zones are cut; machines within each go on."""

    zone: Name
    other: Name
    how: Literal["silent", "reset"] = "silent"


@schema_description(None)
class SlowLink(TimedFault, tag="slow_link", kw_only=True, frozen=True):
    """The links between two zones have `add_ms` more delay."""

    zone: Name
    other: Name
    add_ms: Positive = 50.0


class Flush(Fault, tag="flush", frozen=True):
    """Such a share of keys goes void in every server at once."""

    part: Fraction = 0.8


class HotKey(TimedFault, tag="hot_key", frozen=True):
    """One key, drawn by the seed among the unpopular, takes such a share of all reads."""

    part: Fraction = 0.5


@schema_description(None)
class Burst(TimedFault, tag="burst", frozen=True):
    """The load is multiplied by `factor`, reached within `ramp_s`."""

    factor: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    ramp_s: Amount = 0.5


@schema_description(None)
class OriginSlow(TimedFault, tag="origin_slow", frozen=True):
    """The origin is slower by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 5.0


@schema_description(None)
class OriginDown(TimedFault, tag="origin_down", frozen=True):
    """The origin rejects, fails, vanishes, or refuses connections."""

    how: Literal["declines", "errors", "silent", "refuses"] = "declines"


@schema_description(None)
class DiscoveryDown(TimedFault, tag="discovery_down", frozen=True):
    """Discovery refuses connections, fails, vanishes, or answers what cannot be parsed."""

    how: Literal["refuses", "errors", "silent", "garbage"] = "refuses"


class DiscoveryStale(TimedFault, tag="discovery_stale", frozen=True):
    """It answers, but lists nothing that happened since `at_s`."""


@schema_description(None)
class DiscoverySlow(TimedFault, tag="discovery_slow", frozen=True):
    """Discovery's calls take longer by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 20.0


class NodeKill(TimedFault, tag="node_kill", frozen=True):
    """Nodes are killed outright, and started anew after `for_s` (0: never)."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodeRestart(TimedFault, tag="node_restart", frozen=True):
    """SIGTERM; started anew once ended, `for_s` after the signal at the earliest."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodeDrain(TimedFault, tag="node_drain", frozen=True):
    """Operators drain the node, and end that after `for_s`; the process runs on. In virtual time only."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodePause(TimedFault, tag="node_pause", frozen=True):
    """The process stands still (SIGSTOP) for `for_s`."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class PeerLink(TimedFault, tag="peer_link", kw_only=True, frozen=True):
    """What is wrong on the ways from these nodes to others, each direction of each pair by itself."""

    nodes: Annotated[tuple[Count, ...], Meta(min_length=1)]
    to: tuple[Count, ...] = ()  # empty: all that are not in `nodes`
    both: bool = False  # on the ways back as well
    cut: bool = False  # datagrams are lost; streams stay open and pass nothing
    loss: Fraction = 0.0  # of datagrams
    double: Fraction = 0.0
    add_ms: Amount = 0.0
    jitter_ms: Amount = 0.0  # up to so much more for each, so that they arrive in another order
    bytes_per_s: Amount = 0.0  # 0: no bound


@schema_description(
    "SIGHUP with a configuration that names another address of discovery; the old one accepts no more and\n"
    "closes after 1.5 s."
)
class Reload(Fault, tag="reload", frozen=True):
    """SIGHUP with a configuration that names another address of discovery.

    The old address accepts no more and closes after 1.5 s.
    """

    nodes: tuple[Count, ...] = ()
    count: Count = 0  # 0 with no nodes named: all


@schema_description(None)
class BadClients(TimedFault, tag="bad_clients", frozen=True):
    """Clients that send what cannot be parsed, `per_s` a second."""

    per_s: Positive = 5.0
    kinds: tuple[
        Literal[
            "endless_line",
            "bad_length",
            "huge_value",
            "unknown_class",
            "bad_deadline",
            "no_id",
            "used_id",
            "half_command",
            "flood",
            "silent",
        ],
        ...,
    ] = ()  # empty: all


AnyFault = (
    Crash
    | Silence
    | Resets
    | QuickErrors
    | Slowness
    | Spoilt
    | LostAnswers
    | Stale
    | Crowding
    | Drain
    | Replace
    | Churn
    | ZoneLoss
    | Cut
    | SlowLink
    | Flush
    | HotKey
    | Burst
    | OriginSlow
    | OriginDown
    | DiscoveryDown
    | DiscoveryStale
    | DiscoverySlow
    | NodeKill
    | NodeRestart
    | NodeDrain
    | NodePause
    | PeerLink
    | Reload
    | BadClients
    | SystemCallErrors
    | ShortIo
    | ClockStep
    | Stall
    | FolderErrors
)
