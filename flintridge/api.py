"""The interface of the decision module: settings, events in, actions out.

A `Balancer` is given one `Settings` and a seed. After that, each call of `handle(now, event)` takes one of
`EVENTS` and returns the actions to carry out, in order. Times are integer nanoseconds; instants are on the
caller's clock, which only moves forward. Server and request ids are opaque text.
"""

import math
from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """What a second run of a request does."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # dropped by the servers of one group, for a while
    UNSAFE = "unsafe"  # harm


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent
    MISS = "miss"  # the server holds no value for the key


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS})


class MemberState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Discovery(Enum):
    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class CacheMode(Enum):
    THROUGH = "through"  # servers fetch what they lack
    ASIDE = "aside"  # the balancer takes misses and writes to the origin


class ReportHow(Enum):
    NONE = "none"
    PROBE = "probe"
    ANSWERS = "answers"


class _Checked:
    """Refuses numbers below zero (durations, counts, prices) and values of the wrong kind, by field name."""

    __slots__ = ()
    _may_be_negative: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        for f in fields(self):  # type: ignore[arg-type]  # of each subclass: they are dataclasses
            value = getattr(self, f.name)
            if isinstance(f.type, type) and issubclass(f.type, Enum):
                if not isinstance(value, f.type):
                    raise ValueError(f"{f.name}: {value!r} is not a {f.type.__name__}")
            elif f.type in (int, float):
                if isinstance(value, bool) or not isinstance(value, (int, float)):
                    raise ValueError(f"{f.name}: {value!r} is not a number")
                if not value >= 0 and f.name not in self._may_be_negative:
                    raise ValueError(f"{f.name}: {value!r} is below zero")


@dataclass(slots=True, frozen=True)
class RequestClass(_Checked):
    name: str = ""
    aim_ns: int = 1_000_000_000  # answered within this: full worth
    deadline_ns: int = 2_000_000_000
    worth: float = 1.0
    late_share: float = 0.0  # of the worth, for an answer between aim and deadline
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ns: int = 0
    stream: bool = False
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work


@dataclass(slots=True, frozen=True)
class Tenant(_Checked):
    name: str = ""
    quota_per_s: float = 0.0  # over all routers; 0: no quota
    share: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules(_Checked):
    answer_slack_ns: int = 0
    ask_within_ns: int = 10_000_000_000  # without a subscription, ask for the list this often
    drain_grace_ns: int = 0
    cold_share: float = 1.0  # a started server can do this share of its work, or more
    cold_ns: int = 0  # and all of it after this
    fall_multiple: float = 0.0  # sent more than this multiple of what it can do (0: no limit)
    fall_ns: int = 0  # for this long, a cold server falls over


@dataclass(slots=True, frozen=True)
class Limits(_Checked):
    max_attempts: int = 3
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_open: int = 20_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 60_000_000_000  # idle connections are closed after this


@dataclass(slots=True, frozen=True)
class Prices(_Checked):
    """Points of service lost, each times its share or rate."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    origin: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    moves: float = 0.0
    discovery: float = 0.0


@dataclass(slots=True, frozen=True)
class Goal(_Checked):
    """Weights of the parts of the result (0: not counted), and the two bounds that are no weights."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0  # by class and span: full worth only while few enough requests miss their aim
    tail_slack: float = 0.01  # the share of misses that costs nothing; at five times it nothing counts
    availability: float = 0.0  # nines: steps of ten that the unserved share lies below the whole
    full_at_nines: float = 3.0  # so many count in full


@dataclass(slots=True, frozen=True)
class Settings(_Checked):
    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = Rules()
    limits: Limits = Limits()
    prices: Prices = Prices()
    goal: Goal = Goal()
    fleet_size: int = 1  # routers like this one
    self_index: int = 0
    zone: int = 0
    discovery: Discovery = Discovery.PUSHED
    mode: CacheMode = CacheMode.THROUGH
    origin_kind: int = -1  # aside: list entries of this kind are the origin
    report: ReportHow = ReportHow.NONE
    worth_by_work: bool = False
    over_share_worth: float = 1.0  # of the worth, for a request beyond its tenant's quota
    _may_be_negative = frozenset({"origin_kind"})


# Events


@dataclass(slots=True, frozen=True)
class Member:
    server: str
    state: MemberState = MemberState.READY
    weight: float = 1.0
    cell: int = 0
    kind: int = 0
    started_at: int = 0  # 0: long ago
    zone: int = 0


@dataclass(slots=True, frozen=True)
class MemberList:
    kind: ListKind
    version: int = 0
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    id: str
    deadline: int  # the client gives this try up then
    cls: int = 0
    key: str | None = None
    write: bool = False
    tenant: int = 0
    retry: bool = False
    work_ns: int | None = None  # expected, roughly
    size: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    id: str
    attempt: int
    server: str
    outcome: Outcome
    latency_ns: int
    final: bool  # the request is finished
    note: int | None = None  # 1 hit, 2 miss or fetched, 3 miss while a fetch is out
    load: dict[str, float] = field(default_factory=dict)
    spoilt: bool = False  # the answer could not be read, or the connection kept for it had ended before


@dataclass(slots=True, frozen=True)
class StreamStarted:
    id: str
    attempt: int
    server: str
    latency_ns: int = 0


@dataclass(slots=True, frozen=True)
class ClientGone:
    id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    server: str
    outcome: Outcome
    latency_ns: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Holdings:
    """What this router may use of budgets whose parts routers lend one another; all of it anew in each event.

    Amounts are in even parts of a budget (1.0 is what a router holds that is never told). From `until` on
    `after` holds by itself: a loan ends by the clock, whether or not anybody is there to tell so.
    """

    tenants: dict[int, float] = field(default_factory=dict)  # of their quotas; one not named: 1.0
    floors: float = 1.0  # of what the gates let through at the least
    cold: float = 1.0  # of the work that may go to a server that has just started
    cache_places: float = math.inf  # attempts that may be out at the caches, and at the origin; no parts
    origin_places: float = math.inf
    repeats_per_s: float = 0.0  # attempts that may follow one that failed (0: as many as the limits allow):
    repeat_share: float = 0.0  # so many a second, of which `tenants[-1]` is held, and so many a first attempt
    strict: bool = False  # what is beyond a quota is refused, whatever room there is
    until: int = 1 << 63
    after: "Holdings | None" = None


Event = (
    MemberList
    | Request
    | AttemptEnded
    | StreamStarted
    | ClientGone
    | TimerFired
    | Probed
    | PeerMessage
    | Holdings
)


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    id: str
    server: str
    timeout_ns: int = 0  # 0: until the client gives up
    # The latest instants at which what the send rests on still holds, where a driver cannot write at once: of
    # its first byte, and of its last (inf: no such limit). What is not begun by then is Outcome.MOOT.
    begin_by: float = math.inf
    written_by: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    id: str
    retry_after_ns: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    at: int
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    pass


@dataclass(slots=True, frozen=True)
class Probe:
    server: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    server: str


@dataclass(slots=True, frozen=True)
class TellPeer:
    to: int | None  # None: every peer
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | FetchList | Probe | CloseIdle | TellPeer | Log
