"""The tables of a scenario for traffic: classes of requests, tenants, keys, load, clients."""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import REQUEST_CLASS_KEYS, Name, schema_description
from flintridge.lab.scenario.fault_base import Amount, Fraction, Positive, Span, Table


@schema_description(None)
class RequestClass(Table, kw_only=True, frozen=True, rename=REQUEST_CLASS_KEYS):
    """A class of requests: what they cost, how soon they must be answered, and their priority."""

    name: Name
    share: Positive = 1.0
    work_ms: Span = 100.0  # mean work of a request, on a core of speed 1
    spread: Literal["none", "exponential", "lognormal"] = "lognormal"
    cv: Amount = 1.0
    latency_objective_ms: Positive = 1200.0
    deadline_ms: Positive = 2500.0  # over all attempts of the client
    priority_weight: Amount = 1.0
    late_weight_fraction: Fraction = 0.3  # of the weight, for a response between objective and deadline
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    deduplication_scope: Literal["all", "zone", "cell"] = "all"
    deduplication_window_ms: Amount = 2500.0
    write: bool = False


@schema_description(None)
class Tenant(Table, kw_only=True, frozen=True):
    """A tenant, its traffic and its quota."""

    name: Name
    share: Positive = 1.0
    usage: Amount = 1.0  # what it sends, as a multiple of its share
    quota_per_s: Amount = 0.0  # over all nodes (0: none)
    zone: Name | None = None  # of the nodes that get all its requests; none: as the load's


@schema_description(None)
class Keys(Table, kw_only=True, frozen=True):
    """The keys and their popularity, by Zipf's law."""

    count: Annotated[int, Meta(ge=1, le=10_000_000)] = 5000
    zipf: Annotated[float, Meta(ge=0, le=5)] = 1.0
    offset: Amount = 3.0  # flattens the top of the popularity
    drift_per_s: Amount = 0.0  # keys a second that change places in popularity
    size_bytes: Span = 800.0  # mean
    size_sigma: Annotated[float, Meta(ge=0, le=5)] = 0.5
    change_per_s: Amount = 0.0  # values a second that change at the origin and are invalidated
    ttl_s: Amount = 0.0  # cached values expire after this (0: never)


@schema_description(None)
class Load(Table, kw_only=True, frozen=True):
    """The offered load."""

    rate_per_s: Positive = 100.0  # first attempts, over all nodes
    shape: Literal["flat", "wave", "bursty"] = "flat"
    swing: Fraction = 0.3  # of the rate, up and down
    period_s: Positive = 20.0
    # Of all traffic, what the first zone gets beyond its even fraction: with two zones, 0.4 is nine to one.
    zone_skew: Fraction = 0.0
    hints: Literal["none", "rough", "exact"] = "rough"
    tells_size: bool = True
    trace: str = ""  # a recorded trace to replay in place of all this, relative to the scenario's file


@schema_description(None)
class Clients(Table, kw_only=True, frozen=True):
    """How clients send, retry and disconnect."""

    retries: Annotated[int, Meta(ge=0, le=100)] = 3
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.55  # of a class's deadline that one attempt may take
    backoff_ms: Span = 100.0
    backoff: Literal["none", "fixed", "jitter"] = "fixed"
    honour: Fraction = 0.5  # of clients that follow Retry-After
    marks_retry: bool = True
    leave_early: Fraction = 0.0  # of requests whose client disconnects before its time
    idle_s: Amount = 10.0  # a client's pool closes connections unused for so long
    pools: Annotated[int, Meta(ge=1, le=10_000)] = 8  # client machines, each with a pool a node
    once: Fraction = 0.0  # of requests on a connection of their own, kept open afterwards
    pipeline: Annotated[int, Meta(ge=1, le=1024)] = 1  # requests in flight on a connection at most
    notice_s: Span = 1.0  # until the load balancer notices that a node has died
