"""The faults of a scenario, except those of a node's operating system (see `system_faults`).

`part` is the affected fraction of what the fault's description names, and `for_s` the fault's duration in
seconds.
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
    "A fault of the cache servers with these ids, or of a count or share (at least one server) of those of\n"
    "the zone and kind, drawn by the seed."
)
class ServerFault(TimedFault, frozen=True):
    """A fault of cache servers.

    It affects the servers with the given ids, or a count or share (at least one server) of those of the zone
    and kind, drawn by the seed. Without ids, count and share it affects all servers of the zone and kind.
    """

    ids: tuple[str, ...] = ()
    count: Count = 0
    share: Fraction = 0.0
    zone: str = ""
    kind: str = ""


@schema_description(
    "Processes die: connections are reset and new ones refused. After `for_s` the processes start again,\n"
    "cold and empty (0: never)."
)
class Crash(ServerFault, tag="crash", frozen=True):
    """Processes die: connections are reset and new ones refused.

    After `for_s` the processes start again, cold and empty (0: never).
    """


@schema_description(
    "Machines become unreachable: open connections stop responding and new ones are never established.\n"
    "After `for_s` the machines are back with their cached values, and the old connections are reset."
)
class Silence(ServerFault, tag="silence", frozen=True):
    """Machines become unreachable: open connections stop responding and new ones are never established.

    After `for_s` the machines are back with their cached values, and the old connections are reset.
    """


class Resets(ServerFault, tag="resets", frozen=True):
    """For a fraction of attempts, the connection is reset once the command has arrived."""

    part: Fraction = 0.3


@schema_description(None)
class QuickErrors(ServerFault, tag="quick_errors", frozen=True):
    """A fraction of attempts fails immediately."""

    part: Fraction = 0.5


@schema_description(None)
class Slowness(ServerFault, tag="slowness", frozen=True):
    """The servers are slower by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 10.0


class Spoilt(ServerFault, tag="spoilt", frozen=True):
    """A fraction of responses is corrupted.

    Such a response is random bytes, has the wrong length, never ends, carries another request's id, or is
    followed by extra bytes.
    """

    part: Fraction = 0.05


class LostAnswers(ServerFault, tag="lost_answers", frozen=True):
    """A fraction of responses is never sent, although the request was executed."""

    part: Fraction = 0.02


class Stale(ServerFault, tag="stale", frozen=True):
    """The servers drop connections that were idle for `after_ms`, without notice to the node.

    What the node sends on such a connection gets a reset, or no response with `silent`.
    """

    after_ms: Positive = 500.0
    silent: bool = False


class Crowding(ServerFault, tag="crowding", frozen=True):
    """Other processes use this fraction of the servers' cores."""

    part: Fraction = 0.5


class Drain(ServerFault, tag="drain", frozen=True):
    """The servers drain, and stop `for_s` later. With `back` they start again after that, cold."""

    back: bool = False


class Replace(ServerFault, tag="replace", frozen=True):
    """The servers stop immediately, and servers with new ids start `for_s` later.

    With `same_address` the new servers listen at the addresses of the old ones.
    """

    same_address: bool = True


class Churn(TimedFault, tag="churn", frozen=True):
    """Every `every_s` seconds the next server is drained and replaced by one with a new id."""

    every_s: Positive = 2.0
    same_address: bool = True


class ZoneLoss(TimedFault, tag="zone_loss", kw_only=True, frozen=True):
    """A zone fails: its machines become unreachable, its connections are reset, or its processes die."""

    zone: Name
    how: Literal["silent", "reset", "die"] = "silent"
    nodes: bool = False  # whether the zone's nodes fail too
    cold: bool = True  # whether the zone's servers come back cold and empty


class Cut(TimedFault, tag="cut", kw_only=True, frozen=True):
    """The links between two zones are cut; links within each zone still work."""

    zone: Name
    other: Name
    how: Literal["silent", "reset"] = "silent"


@schema_description(None)
class SlowLink(TimedFault, tag="slow_link", kw_only=True, frozen=True):
    """The links between two zones have `add_ms` milliseconds of additional delay."""

    zone: Name
    other: Name
    add_ms: Positive = 50.0


class Flush(Fault, tag="flush", frozen=True):
    """A fraction of the keys is invalidated in all servers at the same time."""

    part: Fraction = 0.8


class HotKey(TimedFault, tag="hot_key", frozen=True):
    """One unpopular key, drawn by the seed, gets this fraction of all reads."""

    part: Fraction = 0.5


@schema_description(None)
class Burst(TimedFault, tag="burst", frozen=True):
    """The request rate is multiplied by `factor`; it rises and falls over `ramp_s` seconds."""

    factor: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    ramp_s: Amount = 0.5


@schema_description(None)
class OriginSlow(TimedFault, tag="origin_slow", frozen=True):
    """The origin is slower by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 5.0


@schema_description(None)
class OriginDown(TimedFault, tag="origin_down", frozen=True):
    """The origin rejects requests, responds with errors, stops responding, or refuses connections."""

    how: Literal["declines", "errors", "silent", "refuses"] = "declines"


@schema_description(None)
class DiscoveryDown(TimedFault, tag="discovery_down", frozen=True):
    """Discovery refuses connections, responds with errors, stops responding, or sends malformed responses."""

    how: Literal["refuses", "errors", "silent", "garbage"] = "refuses"


class DiscoveryStale(TimedFault, tag="discovery_stale", frozen=True):
    """Discovery responds, but its list shows no change since `at_s`."""


@schema_description(None)
class DiscoverySlow(TimedFault, tag="discovery_slow", frozen=True):
    """Calls to discovery take longer by a factor."""

    factor: Annotated[float, Meta(ge=1, le=1e6)] = 20.0


class NodeKill(TimedFault, tag="node_kill", frozen=True):
    """Nodes are killed (SIGKILL), and started again after `for_s` (0: never)."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodeRestart(TimedFault, tag="node_restart", frozen=True):
    """Nodes get SIGTERM and start again once they have ended, `for_s` after the signal at the earliest."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodeDrain(TimedFault, tag="node_drain", frozen=True):
    """Operators drain the nodes and end the drain after `for_s`; the processes keep running.

    Supported on the virtual backend only.
    """

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class NodePause(TimedFault, tag="node_pause", frozen=True):
    """The processes of the nodes are paused (SIGSTOP) for `for_s`."""

    nodes: tuple[Count, ...] = ()
    count: Count = 1


class PeerLink(TimedFault, tag="peer_link", kw_only=True, frozen=True):
    """The links from `nodes` to `to` are impaired, each direction of each pair of nodes independently."""

    nodes: Annotated[tuple[Count, ...], Meta(min_length=1)]
    to: tuple[Count, ...] = ()  # empty: all nodes that are not in `nodes`
    both: bool = False  # whether the links in the other direction are impaired as well
    cut: bool = False  # all datagrams are lost; streams stay open but carry nothing
    loss: Fraction = 0.0  # fraction of datagrams that are lost
    double: Fraction = 0.0  # fraction of datagrams that arrive twice
    add_ms: Amount = 0.0  # additional delay
    jitter_ms: Amount = 0.0  # maximum random delay added to each datagram, so that datagrams are reordered
    bytes_per_s: Amount = 0.0  # bandwidth (0: no limit)


@schema_description(
    "Nodes get SIGHUP with a configuration that names another address of discovery. The old address accepts\n"
    "no new connections, and its open connections are closed after 1.5 s."
)
class Reload(Fault, tag="reload", frozen=True):
    """Nodes get SIGHUP with a configuration that names another address of discovery.

    The old address accepts no new connections, and its open connections are closed after 1.5 s.
    """

    nodes: tuple[Count, ...] = ()
    count: Count = 0  # 0 with empty `nodes`: all nodes


@schema_description(None)
class BadClients(TimedFault, tag="bad_clients", frozen=True):
    """Clients that send malformed requests; `per_s` of them start each second."""

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
    ] = ()  # empty: all kinds


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
