"""The scenario format: every name, its unit, its range and its default.

Units are part of the names: `_s` seconds, `_ms` milliseconds, `_mb` megabytes, `_per_s` a second; shares are
from 0 to 1. A `Span` is a number, or `[low, high]` from which each server (or the day) draws one by the seed.
"""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.lab.scenario.fault_base import Amount as Amount
from flintridge.lab.scenario.fault_base import Count as Count
from flintridge.lab.scenario.fault_base import Fault as Fault
from flintridge.lab.scenario.fault_base import Fraction as Fraction
from flintridge.lab.scenario.fault_base import Positive as Positive
from flintridge.lab.scenario.fault_base import Seen as Seen
from flintridge.lab.scenario.fault_base import Table as Table
from flintridge.lab.scenario.fault_base import TimedFault as TimedFault
from flintridge.lab.scenario.system_faults import ClockStep as ClockStep
from flintridge.lab.scenario.system_faults import FolderErrors as FolderErrors
from flintridge.lab.scenario.system_faults import ShortIo as ShortIo
from flintridge.lab.scenario.system_faults import Stall as Stall
from flintridge.lab.scenario.system_faults import SystemCallErrors as SystemCallErrors

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$(?!\n)")]
# Of any length to msgspec: 0.20 to 0.23 read a tuple of fixed length beside a bounded number wrongly.
Span = Amount | Annotated[tuple[Amount, ...], Meta(min_length=2, max_length=2)]


class Links(Table, kw_only=True, frozen=True):
    """Ways between machines, one way, in milliseconds."""

    same_ms: Span = 0.2  # within a zone
    cross_ms: Span = 7.0  # between zones
    client_ms: Span = 0.5  # from a client to its node
    jitter: Fraction = 0.2  # of each passage, drawn up or down
    cut: Fraction = 0.0  # of writes that arrive in two or more pieces


class Nodes(Table, kw_only=True, frozen=True):
    count: Annotated[int, Meta(ge=1, le=1000)] = 2
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65536)] = 192.0
    zones: tuple[Name, ...] = ()  # of the nodes in turn; empty: all zones in turn
    start_ms: Span = 300.0  # from a start to its listener being open


class Peers(Table, kw_only=True, frozen=True):
    """The nodes hear one another (`[peers]` in their own configurations)."""

    bytes_per_s: Annotated[float, Meta(ge=4000, le=1e7)] = 16_000.0  # that a node may send to its peers
    sealed: bool = True  # by a key of the fleet


class Budgets(Table, kw_only=True, frozen=True):
    """Which budgets the nodes lend one another (`[budgets]` in their own configurations)."""

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # what gates let through at the least
    cold: bool = False  # the work that may go to a server that has just started
    cache_places: Count = 0  # attempts that may be out at the caches, over all nodes (0: no such bound)
    origin_places: Count = 0  # and at the origin
    repeats_per_s: Amount = 0.0  # attempts that may follow a failed one, over all nodes (0: no such bound),
    repeat_share: Fraction = 0.1  # and beside these so many for each first attempt
    strict: bool = False  # what is beyond a quota is refused, whatever room there is
    floor: Annotated[float, Meta(ge=0.01, le=1)] = 0.25  # of a node's part, never lent
    lease_ms: Annotated[float, Meta(ge=1500, le=60_000)] = 4000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6)] = 2000.0  # of those of peers


class Kind(Table, kw_only=True, frozen=True):
    """A kind of cache server."""

    name: Name
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: Span = 1.0  # of a core; 1 does a millisecond of work in a millisecond
    speed_cv: Fraction = 0.0  # of the work of single requests, beyond what the hint says
    slots_per_core: Annotated[int, Meta(ge=1, le=1024)] = 1
    queue_per_core: Span = 3.0  # places in the waiting room; beyond it requests are turned away
    crowd_at: Positive = 10.0  # requests held a core, beyond which each further one slows all
    crowd: Fraction = 0.05  # of the speed lost for each of those a core
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.32  # of the capacity at a start
    cold_s: Amount = 9.0  # until all of it
    memory_mb: Positive = 64.0  # of values; beyond it the longest unused go
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1024
    handshake_ms: Amount = 2.0  # of work for a new connection; its first request waits as long
    idle_s: Positive = 5.0  # an idle connection is closed after this
    error_rate: Fraction = 0.0
    pause_every_s: Amount = 0.0  # a pause of the whole process, about as often (0: never)
    pause_ms: Span = 0.0
    drops_cancelled: Literal["queued", "all", "none"] = "queued"  # whose work stops when its connection ends
    miss_work: Fraction = 0.1  # of a request's work that finding nothing costs


class Group(Table, kw_only=True, frozen=True):
    """So many servers of a kind in a zone (every zone in turn where none is named)."""

    kind: Name
    count: Annotated[int, Meta(ge=0, le=20_000)] = 1
    zone: Name | None = None
    weight: Span = 1.0  # as discovery lists it
    cell: Count = 0


class Origin(Table, kw_only=True, frozen=True):
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    read_ms: Span = 60.0  # mean of a read's time in a slot
    sigma: Amount = 0.4  # of its logarithm
    write_times: Positive = 1.5  # a write takes this many times a read
    queue_s: Amount = 1.0  # it turns away what would wait longer
    crowd: Fraction = 0.0  # of its speed lost for each waiting request a slot
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    fall_multiple: Amount = 0.0  # asked beyond this multiple of its capacity (0: no such limit)
    fall_ms: Amount = 3000.0  # for this long,
    down_s: Span = 5.0  # it stops for so long
    zone: Name | None = None
    shares_fetches: bool = False  # reads of one key join one fetch
    repeats_s: Amount = 0.0  # keyed writes: 0 takes the class's window


class Discovery(Table, kw_only=True, frozen=True):
    notice_s: Span = (0.5, 2.0)  # until it lists a start, a drain or a death
    silent_s: Span = (5.0, 10.0)  # until it lists a machine that fell silent as gone
    call_ms: Span = 20.0  # of its time for a call; calls are handled one after another
    line_ms: Amount = 0.01  # and for each entry that it sends
    timeout_ms: Positive = 3000.0  # a call that waited longer for its turn fails
    zone: Name | None = None


class RequestClass(Table, kw_only=True, frozen=True):
    name: Name
    share: Positive = 1.0
    work_ms: Span = 100.0  # mean work of a request, on a core of speed 1
    spread: Literal["none", "exponential", "lognormal"] = "lognormal"
    cv: Amount = 1.0
    aim_ms: Positive = 1200.0
    deadline_ms: Positive = 2500.0  # over all tries of the client
    worth: Amount = 1.0
    late_share: Fraction = 0.3  # of the worth, for an answer between aim and deadline
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Amount = 2500.0
    write: bool = False


class Tenant(Table, kw_only=True, frozen=True):
    name: Name
    share: Positive = 1.0
    usage: Amount = 1.0  # what it really sends, as a multiple of its share
    quota_per_s: Amount = 0.0  # over all nodes (0: none)
    zone: Name | None = None  # whose nodes all its requests come to; none: as the load's do


class Keys(Table, kw_only=True, frozen=True):
    count: Annotated[int, Meta(ge=1, le=10_000_000)] = 5000
    zipf: Annotated[float, Meta(ge=0, le=5)] = 1.0
    offset: Amount = 3.0  # flattens the top of the popularity
    drift_per_s: Amount = 0.0  # keys a second that take another's place in popularity
    size_bytes: Span = 800.0  # mean
    size_sigma: Annotated[float, Meta(ge=0, le=5)] = 0.5
    change_per_s: Amount = 0.0  # values a second that change at the origin, their copies going void
    ttl_s: Amount = 0.0  # copies go void after this (0: never)


class Load(Table, kw_only=True, frozen=True):
    rate_per_s: Positive = 100.0  # first tries, over all nodes
    shape: Literal["flat", "wave", "bursty"] = "flat"
    swing: Fraction = 0.3  # of the rate, up and down
    period_s: Positive = 20.0
    # Of all traffic, what the first zone gets beyond its even part: of two even zones, 0.4 is nine to one.
    zone_skew: Fraction = 0.0
    hints: Literal["none", "rough", "exact"] = "rough"
    tells_size: bool = True
    trace: str = ""  # a recorded trace to replay in place of all this, relative to the scenario's file


class Clients(Table, kw_only=True, frozen=True):
    retries: Annotated[int, Meta(ge=0, le=100)] = 3
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.55  # of a class's deadline that one try may take
    backoff_ms: Span = 100.0
    backoff: Literal["none", "fixed", "jitter"] = "fixed"
    honour: Fraction = 0.5  # of clients that come again when they were told to
    marks_retry: bool = True
    leave_early: Fraction = 0.0  # of requests whose client goes away before its time
    idle_s: Amount = 10.0  # a client's pool closes connections unused for so long
    pools: Annotated[int, Meta(ge=1, le=10_000)] = 8  # client machines, each with a pool a node
    once: Fraction = 0.0  # of requests on a connection of their own, kept open afterwards
    pipeline: Annotated[int, Meta(ge=1, le=1024)] = 1  # requests out on a connection at the most
    notice_s: Span = 1.0  # until the front notices that a node has died


class Limits(Table, kw_only=True, frozen=True):
    """What the nodes are told they may do; see the settings of the deployment."""

    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 6
    second_copies: bool = True
    cancel: bool = True
    probes: bool = False
    peers: bool = False
    retry_after: bool = True
    max_retry_after_ms: Amount = 2000.0
    max_open: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    connect_timeout_ms: Positive = 250.0


class Rules(Table, kw_only=True, frozen=True):
    answer_slack_ms: Amount = 70.0
    ask_within_s: Positive = 10.0
    drain_grace_ms: Amount = 2000.0
    fall_multiple: Amount = 3.0
    fall_ms: Positive = 1500.0
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.32
    cold_s: Amount = 9.0


class Prices(Table, kw_only=True, frozen=True):
    cross_zone: Amount = 0.0
    waste: Amount = 0.0
    late_fail: Amount = 0.0
    probe: Amount = 0.0


class Goal(Table, kw_only=True, frozen=True):
    """What `goal` in the result mixes, beside the plain `goodput`."""

    whole: Amount = 1.0
    worst_window: Amount = 0.0
    window_s: Positive = 10.0
    worst_class: Amount = 0.0
    worst_tenant: Amount = 0.0


# Faults


class ServerFault(TimedFault, frozen=True):
    """A fault of servers: those with these ids, or so many (or such a share, at least one) drawn by the seed
    among those of the zone and the kind."""

    ids: tuple[str, ...] = ()
    count: Count = 0
    share: Fraction = 0.0
    zone: str = ""
    kind: str = ""


class Crash(ServerFault, tag="crash", frozen=True):
    """Processes die: connections reset, new ones refused; after `for_s` they start again, cold and empty
    (0: never)."""


class Silence(ServerFault, tag="silence", frozen=True):
    """Machines vanish: connections stay open and silent, new ones never come up; after `for_s` they are back
    with what they held, and old connections are reset."""


class Resets(ServerFault, tag="resets", frozen=True):
    """A share of attempts has its connection reset once the command arrived."""

    part: Fraction = 0.3


class QuickErrors(ServerFault, tag="quick_errors", frozen=True):
    part: Fraction = 0.5


class Slowness(ServerFault, tag="slowness", frozen=True):
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


class SlowLink(TimedFault, tag="slow_link", kw_only=True, frozen=True):
    zone: Name
    other: Name
    add_ms: Positive = 50.0


class Flush(Fault, tag="flush", frozen=True):
    """Such a share of keys goes void in every server at once."""

    part: Fraction = 0.8


class HotKey(TimedFault, tag="hot_key", frozen=True):
    """One key, drawn by the seed among the unpopular, takes such a share of all reads."""

    part: Fraction = 0.5


class Burst(TimedFault, tag="burst", frozen=True):
    factor: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    ramp_s: Amount = 0.5


class OriginSlow(TimedFault, tag="origin_slow", frozen=True):
    factor: Annotated[float, Meta(ge=1, le=1e6)] = 5.0


class OriginDown(TimedFault, tag="origin_down", frozen=True):
    how: Literal["declines", "errors", "silent", "refuses"] = "declines"


class DiscoveryDown(TimedFault, tag="discovery_down", frozen=True):
    how: Literal["refuses", "errors", "silent", "garbage"] = "refuses"


class DiscoveryStale(TimedFault, tag="discovery_stale", frozen=True):
    """It answers, but lists nothing that happened since `at_s`."""


class DiscoverySlow(TimedFault, tag="discovery_slow", frozen=True):
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


class Reload(Fault, tag="reload", frozen=True):
    """SIGHUP with a configuration that names another address of discovery; the old one accepts no more and
    closes after 1.5 s."""

    nodes: tuple[Count, ...] = ()
    count: Count = 0  # 0 with no nodes named: all


class BadClients(TimedFault, tag="bad_clients", frozen=True):
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


class Expect(Table, kw_only=True, frozen=True):
    """What a run must show, beside no broken rule; `lab run` exits with 1 where it does not."""

    goodput_at_least: Fraction | None = None
    breaks: tuple[str, ...] = ()  # rules that this scenario is known to break: exit 1 when they hold


class Scenario(Table, kw_only=True, frozen=True):
    """A day."""

    name: Name = "unnamed"
    about: str = ""
    length_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0
    warmup_s: Annotated[float, Meta(ge=0, le=600)] = 5.0  # of the same load before the day; it does not count
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=64)] = ("east",)
    nodes: Nodes = Nodes()
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)] = (Kind(name="box"),)
    servers: Annotated[tuple[Group, ...], Meta(min_length=1)] = (Group(kind="box", count=8),)
    origin: Origin = Origin()
    discovery: Discovery = Discovery()
    links: Links = Links()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (RequestClass(name="read"),)
    tenants: tuple[Tenant, ...] = ()
    keys: Keys = Keys()
    load: Load = Load()
    clients: Clients = Clients()
    limits: Limits = Limits()
    rules: Rules = Rules()
    prices: Prices = Prices()
    goal: Goal = Goal()
    peers: Peers | None = None  # none: the nodes hear nobody
    budgets: Budgets | None = None  # none: each node holds its even part
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()
    wall_limit_s: Annotated[float, Meta(gt=0, le=86_400)] = 600.0  # of real time; a run beyond it is ended


def keeps_lines(scenario: Scenario) -> bool:
    """Whether the nodes' own logs belong to what is seen of the day."""
    return scenario.peers is not None or any(fault.once is not None for fault in scenario.faults)
