"""The tables of a scenario for traffic: request classes, tenants, keys, load and clients."""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import REQUEST_CLASS_KEYS, Name, schema_description
from flintridge.lab.scenario.fault_base import Amount, Fraction, Positive, Span, Table


@schema_description(None)
class RequestClass(Table, kw_only=True, frozen=True, rename=REQUEST_CLASS_KEYS):
    """A request class: the work of its requests, their latency objective, deadline and priority."""

    name: Name
    share: Positive = 1.0  # share of the requests, relative to the shares of the other classes
    work_ms: Span = 100.0  # mean work of a request, on a core of speed 1
    spread: Literal["none", "exponential", "lognormal"] = "lognormal"  # distribution of the work
    cv: Amount = 1.0  # coefficient of variation of the work with a lognormal distribution
    latency_objective_ms: Positive = 1200.0
    deadline_ms: Positive = 2500.0  # over all attempts of the client
    priority_weight: Amount = 1.0
    # The fraction of the weight that is credited for a response between the objective and the deadline.
    late_weight_fraction: Fraction = 0.3
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    deduplication_scope: Literal["all", "zone", "cell"] = "all"
    deduplication_window_ms: Amount = 2500.0
    write: bool = False


@schema_description(None)
class Tenant(Table, kw_only=True, frozen=True):
    """A tenant, its traffic and its quota."""

    name: Name
    share: Positive = 1.0
    usage: Amount = 1.0  # the tenant's traffic as a multiple of its share
    quota_per_s: Amount = 0.0  # requests per second over all nodes (0: no quota)
    # The zone whose nodes get all of the tenant's requests; None: distributed like the rest of the load.
    zone: Name | None = None


@schema_description(None)
class Keys(Table, kw_only=True, frozen=True):
    """The keys and their popularity, by Zipf's law."""

    count: Annotated[int, Meta(ge=1, le=10_000_000)] = 5000
    zipf: Annotated[float, Meta(ge=0, le=5)] = 1.0
    offset: Amount = 3.0  # added to the ranks of the keys, which flattens the top of the distribution
    drift_per_s: Amount = 0.0  # exchanges of the popularity ranks of two keys, per second
    size_bytes: Span = 800.0  # mean size of a value
    size_sigma: Annotated[float, Meta(ge=0, le=5)] = 0.5  # standard deviation of the logarithm of the size
    change_per_s: Amount = 0.0  # values per second that change at the origin and are invalidated
    ttl_s: Amount = 0.0  # cached values expire after this time (0: never)


@schema_description(None)
class Load(Table, kw_only=True, frozen=True):
    """The offered load."""

    rate_per_s: Positive = 100.0  # first attempts, over all nodes
    shape: Literal["flat", "wave", "bursty"] = "flat"
    swing: Fraction = 0.3  # maximum deviation from the rate, up and down, as a fraction of it
    period_s: Positive = 20.0
    # The fraction of all traffic that the first zone gets beyond its even fraction: with two zones, 0.4 means
    # nine to one.
    zone_skew: Fraction = 0.0
    hints: Literal["none", "rough", "exact"] = "rough"  # accuracy of the work hints that clients send
    tells_size: bool = True  # whether clients state the size of a value
    # The path of a recorded trace to replay in place of generated load, relative to the scenario's file.
    trace: str = ""


@schema_description(None)
class Clients(Table, kw_only=True, frozen=True):
    """How clients send, retry and disconnect."""

    retries: Annotated[int, Meta(ge=0, le=100)] = 3
    # The timeout of one attempt, as a fraction of the class's deadline.
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.55
    backoff_ms: Span = 100.0
    backoff: Literal["none", "fixed", "jitter"] = "fixed"
    honour: Fraction = 0.5  # fraction of clients that follow Retry-After
    marks_retry: bool = True  # whether a retry is marked as one
    leave_early: Fraction = 0.0  # fraction of requests whose client disconnects before its timeout
    idle_s: Amount = 10.0  # connections of a client's pool are closed after being idle for this time
    pools: Annotated[int, Meta(ge=1, le=10_000)] = 8  # client machines, each with a connection pool per node
    # The fraction of requests on a connection of their own, which stays open but is not used again.
    once: Fraction = 0.0
    pipeline: Annotated[int, Meta(ge=1, le=1024)] = 1  # maximum number of requests in flight on a connection
    notice_s: Span = 1.0  # delay until the load balancer notices that a node has crashed
