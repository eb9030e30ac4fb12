"""The scenario format: every name, its unit, its range and its default.

Units are part of the names: `_s` seconds, `_ms` milliseconds, `_mb` megabytes, `_per_s` per second; fractions
are from 0 to 1. A `Span` is a number, or a range `[low, high]` from which a value is drawn by the seed, once
for each server or once for the run.

Fields that exist in `flintridge.api` have the same names here; `rename` maps a field to its key in the file
where the two differ. The JSON Schema that `flintridge check --schema --scenario` prints has the keys, the
names of these classes and the descriptions that `schema_description` gives them.
"""

from typing import Annotated

from msgspec import Meta

from flintridge.config.format_types import Name as Name
from flintridge.config.format_types import schema_description
from flintridge.lab.scenario.fault_base import Amount as Amount
from flintridge.lab.scenario.fault_base import Count as Count
from flintridge.lab.scenario.fault_base import Fault as Fault
from flintridge.lab.scenario.fault_base import Fraction as Fraction
from flintridge.lab.scenario.fault_base import Positive as Positive
from flintridge.lab.scenario.fault_base import Seen as Seen
from flintridge.lab.scenario.fault_base import Span as Span
from flintridge.lab.scenario.fault_base import Table as Table
from flintridge.lab.scenario.fault_base import TimedFault as TimedFault
from flintridge.lab.scenario.faults import AnyFault as AnyFault
from flintridge.lab.scenario.faults import BadClients as BadClients
from flintridge.lab.scenario.faults import Burst as Burst
from flintridge.lab.scenario.faults import Churn as Churn
from flintridge.lab.scenario.faults import Crash as Crash
from flintridge.lab.scenario.faults import Crowding as Crowding
from flintridge.lab.scenario.faults import Cut as Cut
from flintridge.lab.scenario.faults import DiscoveryDown as DiscoveryDown
from flintridge.lab.scenario.faults import DiscoverySlow as DiscoverySlow
from flintridge.lab.scenario.faults import DiscoveryStale as DiscoveryStale
from flintridge.lab.scenario.faults import Drain as Drain
from flintridge.lab.scenario.faults import Flush as Flush
from flintridge.lab.scenario.faults import HotKey as HotKey
from flintridge.lab.scenario.faults import LostAnswers as LostAnswers
from flintridge.lab.scenario.faults import NodeDrain as NodeDrain
from flintridge.lab.scenario.faults import NodeKill as NodeKill
from flintridge.lab.scenario.faults import NodePause as NodePause
from flintridge.lab.scenario.faults import NodeRestart as NodeRestart
from flintridge.lab.scenario.faults import OriginDown as OriginDown
from flintridge.lab.scenario.faults import OriginSlow as OriginSlow
from flintridge.lab.scenario.faults import PeerLink as PeerLink
from flintridge.lab.scenario.faults import QuickErrors as QuickErrors
from flintridge.lab.scenario.faults import Reload as Reload
from flintridge.lab.scenario.faults import Replace as Replace
from flintridge.lab.scenario.faults import Resets as Resets
from flintridge.lab.scenario.faults import ServerFault as ServerFault
from flintridge.lab.scenario.faults import Silence as Silence
from flintridge.lab.scenario.faults import SlowLink as SlowLink
from flintridge.lab.scenario.faults import Slowness as Slowness
from flintridge.lab.scenario.faults import Spoilt as Spoilt
from flintridge.lab.scenario.faults import Stale as Stale
from flintridge.lab.scenario.faults import ZoneLoss as ZoneLoss
from flintridge.lab.scenario.infrastructure import Budgets as Budgets
from flintridge.lab.scenario.infrastructure import Discovery as Discovery
from flintridge.lab.scenario.infrastructure import Group as Group
from flintridge.lab.scenario.infrastructure import Kind as Kind
from flintridge.lab.scenario.infrastructure import Links as Links
from flintridge.lab.scenario.infrastructure import Nodes as Nodes
from flintridge.lab.scenario.infrastructure import Origin as Origin
from flintridge.lab.scenario.infrastructure import Peers as Peers
from flintridge.lab.scenario.platform_terms import Goal as Goal
from flintridge.lab.scenario.platform_terms import Limits as Limits
from flintridge.lab.scenario.platform_terms import Prices as Prices
from flintridge.lab.scenario.platform_terms import Rules as Rules
from flintridge.lab.scenario.system_faults import ClockStep as ClockStep
from flintridge.lab.scenario.system_faults import FolderErrors as FolderErrors
from flintridge.lab.scenario.system_faults import ShortIo as ShortIo
from flintridge.lab.scenario.system_faults import Stall as Stall
from flintridge.lab.scenario.system_faults import SystemCallErrors as SystemCallErrors
from flintridge.lab.scenario.traffic import Clients as Clients
from flintridge.lab.scenario.traffic import Keys as Keys
from flintridge.lab.scenario.traffic import Load as Load
from flintridge.lab.scenario.traffic import RequestClass as RequestClass
from flintridge.lab.scenario.traffic import Tenant as Tenant


@schema_description(
    "Expected results of a run, beside no broken rule; `lab run` exits with 1 if one is unmet."
)
class Expect(Table, kw_only=True, frozen=True):
    """Expected results of a run, beside no broken rule; `lab run` exits with 1 if one is unmet."""

    goodput_at_least: Fraction | None = None
    breaks: tuple[str, ...] = ()  # rules that a run of this scenario must break; exit 1 if one is kept


@schema_description("A scenario: the fleet, its load and the faults of a run.")
class Scenario(Table, kw_only=True, frozen=True):
    """A scenario: the fleet, its load and the faults of a run."""

    name: Name = "unnamed"
    about: str = ""
    length_s: Annotated[float, Meta(ge=1, le=86_400)] = 30.0
    warmup_s: Annotated[float, Meta(ge=0, le=600)] = 5.0  # the same load before the run; it is not measured
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
    peers: Peers | None = None  # None: the nodes do not gossip
    budgets: Budgets | None = None  # None: each node has its even part of each fleet-wide limit
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()
    wall_limit_s: Annotated[float, Meta(gt=0, le=86_400)] = 600.0  # real time after which a run is ended


def records_node_logs(scenario: Scenario) -> bool:
    """Whether the lines of the nodes' logs are recorded: where nodes gossip or a fault has a trigger."""
    return scenario.peers is not None or any(fault.once is not None for fault in scenario.faults)
