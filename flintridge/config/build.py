"""From the node's own format to what a node is started with."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec

from flintridge import api
from flintridge.config.address import Address, optional_address
from flintridge.config.contradictions import all_parts, contradictions
from flintridge.config.errors import ConfigError
from flintridge.config.faults import ConfigFaults, Fault, decode
from flintridge.config.model import NodeFile, RequestClass
from flintridge.config.node_config import BudgetsConfig, NodeConfig, PeersConfig, StateConfig
from flintridge.config.words import NOTHING

SHORTEST_KEY, LONGEST_KEY = (
    16,
    64,
)  # bytes, as in flintridge/membership/messages.py, which a node without peers lacks
MS, S = 1_000_000, 1_000_000_000  # nanoseconds

# Names in the node's own format, with times in nanoseconds -> names in `flintridge.api`; all others are the
# same.
CLASS_NAMES = {
    "aim_ns": "latency_objective_ns",
    "worth": "priority_weight",
    "late_share": "late_weight_fraction",
    "group": "deduplication_scope",
    "window_ns": "deduplication_window_ns",
    "aim_stretch": "objective_work_factor",
}
RULE_NAMES = {
    "ask_within_ns": "poll_interval_ns",
    "cold_share": "slow_start_fraction",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_multiple",
    "fall_ns": "overload_window_ns",
}
LIMIT_NAMES = {"second_copies": "hedged_requests", "probes": "health_checks", "peers": "peer_messages"}


def read_own(file: str, text: bytes, env: Mapping[str, str]) -> NodeConfig:
    """A node's configuration in its own format. Raises ConfigError; its text has a line for every fault."""
    try:
        return node_config(file, decode(file, text, NodeFile, contradictions), env)
    except ConfigFaults as faults:
        raise ConfigError(str(faults)) from faults


def node_config(file: str, held: NodeFile, env: Mapping[str, str]) -> NodeConfig:
    """What the file leaves out is taken from the environment. Raises ConfigFaults."""
    places: dict[str, Address] = {}
    faults = []
    for part, variable in (("listen", "PROXY_LISTEN"), ("discovery", "PROXY_DISCOVERY")):
        text = getattr(held, part) or env.get(variable)
        try:
            places[part] = Address.parse(text)
        except ValueError:
            reason = f"is missing, and {variable} holds no address either"
            faults.append(
                Fault(file, part, NOTHING if text is None else text, reason, "a numeric address with a port")
            )
    text = held.console or env.get("PROXY_CONSOLE")
    try:
        console = optional_address(text)
    except ValueError:
        faults.append(Fault(file, "console", text, "is no address", "a numeric address with a port"))
    if not faults and console in places.values():
        faults.append(Fault(file, "console", text, "is listen or discovery too", "an address of its own"))
    peers = None if held.peers is None else _peers(file, held, env, faults)
    if held.budgets is not None and not held.name and (name := env.get("PROXY_NAME")):
        faults += [replace(fault, file=file) for fault in all_parts(held, name)]
    if faults:
        raise ConfigFaults(faults)
    return NodeConfig(
        name=held.name or env.get("PROXY_NAME") or "node",
        listen=places["listen"],
        discovery=places["discovery"],
        seed=int(held.seed, 16),
        settings=settings(held),
        zones=held.zones,
        kinds=held.kinds,
        known=None if held.known is None else _known(held),
        sockets=held.machine.sockets,
        memory_mb=held.machine.memory_mb,
        log_level=held.log.level,
        log_repeats_per_s=held.log.repeats_per_s,
        console=console,
        peers=peers,
        budgets=None if held.budgets is None else BudgetsConfig(**msgspec.structs.asdict(held.budgets)),
        state=None if held.state is None else StateConfig(**msgspec.structs.asdict(held.state)),
    )


def _peers(file: str, held: NodeFile, env: Mapping[str, str], faults: list[Fault]) -> PeersConfig | None:
    """None where `faults` has grown."""
    said = held.peers
    assert said is not None
    if not (held.name or env.get("PROXY_NAME")):
        reason = "is missing, and PROXY_NAME is not set: peers know a node by its name"
        faults.append(Fault(file, "name", NOTHING, reason, "a name of its own"))
    key: bytes | None = None
    if said.key_file is not None:
        allowed = f"a file of {SHORTEST_KEY} to {LONGEST_KEY} bytes"
        try:
            with open(said.key_file, "rb") as opened:
                key = opened.read(LONGEST_KEY + 2).strip(b"\r\n")
        except OSError as error:
            faults.append(Fault(file, "peers.key_file", said.key_file, str(error.strerror), allowed))
            return None
        if not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
            faults.append(Fault(file, "peers.key_file", said.key_file, f"must be {allowed}", allowed))
            return None
    known = tuple((name, Address.parse(text)) for name, text in said.known.items())
    return PeersConfig(Address.parse(said.listen), known, said.fleet, key, said.bytes_per_s)


def settings(held: NodeFile) -> api.Settings:
    """What the decision module is told."""
    return api.Settings(
        classes=tuple(map(_request_class, held.classes)),
        tenants=tuple(api.Tenant(one.name, one.quota_per_s, one.share) for one in held.tenants),
        rules=api.Rules(**_renamed(_in_ns(held.rules), RULE_NAMES)),
        limits=api.Limits(**_renamed(_in_ns(held.limits), LIMIT_NAMES)),
        prices=api.Prices(**msgspec.structs.asdict(held.prices)),
        goal=api.Goal(**msgspec.structs.asdict(held.goal)),
        fleet_size=held.fleet_size,
        self_index=held.self_index,
        zone=0 if held.zone is None else held.zones.index(held.zone),
        discovery=api.DiscoveryMode(held.watch),
        mode=api.CacheMode(held.mode),
        origin_kind=-1 if held.origin_kind is None else held.kinds.index(held.origin_kind),
        load_reporting=api.LoadReporting(held.load_reports),
        weight_by_work=held.worth_by == "work",
        over_quota_weight=held.over_share_worth,
    )


def _request_class(held: RequestClass) -> api.RequestClass:
    values = _renamed(_in_ns(held), CLASS_NAMES)
    values["effect"] = api.Effect(held.effect)
    values["deduplication_scope"] = api.DeduplicationScope(held.group)
    return api.RequestClass(**values)


def _renamed(values: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in values.items()}


def _in_ns(part: msgspec.Struct) -> dict[str, Any]:
    """The part's values under the module's names, whose times are whole nanoseconds."""
    values = {}
    for name, value in msgspec.structs.asdict(part).items():
        if name.endswith("_ms"):
            values[f"{name[:-3]}_ns"] = round(value * MS)
        elif name.endswith("_s") and not name.endswith("_per_s"):
            values[f"{name[:-2]}_ns"] = round(value * S)
        else:
            values[name] = value
    return values


def _known(held: NodeFile) -> dict[str, Any]:
    """In discovery's form, with all names: the node reads it as it does discovery's answers."""
    assert held.known is not None
    members = [msgspec.structs.asdict(member) for member in held.known.members]
    return {"revision": held.known.revision, "complete": held.known.complete, "members": members}
