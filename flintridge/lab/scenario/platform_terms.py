"""The tables of a scenario for the platform's settings: limits, rules, prices and the goal."""

from typing import Annotated

from msgspec import Meta

from flintridge.config.format_types import LIMIT_KEYS, RULE_KEYS, schema_description
from flintridge.lab.scenario.fault_base import Amount, Positive, Table


@schema_description("Limits and permitted features of the nodes; see the settings of the deployment.")
class Limits(Table, kw_only=True, frozen=True, rename=LIMIT_KEYS):
    """Limits and permitted features of the nodes; see the settings of the deployment."""

    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 6
    hedged_requests: bool = True
    cancel: bool = True
    health_checks: bool = False
    peer_messages: bool = False
    retry_after: bool = True
    max_retry_after_ms: Amount = 2000.0
    max_open: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    connect_timeout_ms: Positive = 250.0


@schema_description(None)
class Rules(Table, kw_only=True, frozen=True, rename=RULE_KEYS):
    """Rules of the platform with which servers and nodes comply."""

    answer_slack_ms: Amount = 70.0
    poll_interval_s: Positive = 10.0
    drain_grace_ms: Amount = 2000.0
    overload_multiple: Amount = 3.0
    overload_window_ms: Positive = 1500.0
    slow_start_fraction: Annotated[float, Meta(gt=0, le=1)] = 0.32
    slow_start_s: Amount = 9.0


@schema_description(None)
class Prices(Table, kw_only=True, frozen=True):
    """Penalties that are subtracted from the goal, each multiplied by its fraction or rate."""

    cross_zone: Amount = 0.0
    waste: Amount = 0.0
    late_fail: Amount = 0.0
    probe: Amount = 0.0


@schema_description("The weights of the goodputs that `goal` combines; `goodput` is reported separately.")
class Goal(Table, kw_only=True, frozen=True):
    """The weights of the goodputs that `goal` combines; `goodput` is reported separately."""

    whole: Amount = 1.0
    worst_window: Amount = 0.0
    window_s: Positive = 10.0
    worst_class: Amount = 0.0
    worst_tenant: Amount = 0.0
