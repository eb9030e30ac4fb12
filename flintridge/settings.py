"""The settings object of an instance, and the configuration file of a real node, as typed values."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from flintridge import api

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}

# Names in the settings -> names in `flintridge.api`; whatever is not named here is skipped.
CLASS_KEYS = {
    "name": "name",
    "sloNs": "latency_objective_ns",
    "hardLimitNs": "deadline_ns",
    "points": "priority_weight",
    "lateShare": "late_weight_fraction",
    "effect": "effect",
    "group": "deduplication_scope",
    "windowNs": "deduplication_window_ns",
    "stream": "stream",
    "aimStretch": "objective_work_factor",
}
TENANT_KEYS = {"name": "name", "quotaPerS": "quota_per_s", "share": "share"}
RULE_KEYS = {
    "answerSlackNs": "answer_slack_ns",
    "askWithinNs": "poll_interval_ns",
    "drainGraceNs": "drain_grace_ns",
    "coldShare": "slow_start_fraction",
    "coldNs": "slow_start_ns",
    "fallMultiple": "overload_multiple",
    "fallNs": "overload_window_ns",
}
LIMIT_KEYS = {
    "attemptsCap": "max_attempts",
    "parallelTries": "hedged_requests",
    "cancel": "cancel",
    "probes": "health_checks",
    "mayTell": "peer_messages",
    "retryAfter": "retry_after",
    "maxRetryAfterNs": "max_retry_after_ns",
    "maxOpen": "max_open",
    "connectTimeoutNs": "connect_timeout_ns",
    "connIdleNs": "conn_idle_ns",
}
PRICE_KEYS = {
    "crossZone": "cross_zone",
    "waste": "waste",
    "lateFail": "late_fail",
    "connection": "connection",
    "handshake": "handshake",
    "origin": "origin",
    "probe": "probe",
    "peer": "peer",
    "moves": "moves",
    "discovery": "discovery",
}
GOAL_KEYS = {
    "whole": "whole",
    "worstWindow": "worst_window",
    "worstClass": "worst_class",
    "worstTenant": "worst_tenant",
    "tail": "tail",
    "tailSlack": "tail_slack",
    "availability": "availability",
    "fullAtNines": "full_at_nines",
}
TOP_KEYS = {
    "fleetSize": "fleet_size",
    "selfIndex": "self_index",
    "zone": "zone",
    "overShareWorth": "over_quota_weight",
}


def _known(source: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {ours: source[theirs] for theirs, ours in names.items() if source.get(theirs) is not None}


def class_from(config: dict[str, Any]) -> api.RequestClass:
    values = _known(config, CLASS_KEYS)
    if "effect" in values:
        values["effect"] = EFFECTS[values["effect"]]
    if "deduplication_scope" in values:
        values["deduplication_scope"] = api.DeduplicationScope(values["deduplication_scope"])
    return api.RequestClass(**values)


def settings_from(config: dict[str, Any]) -> api.Settings:
    """The settings an instance is given; absent keys take the defaults of `flintridge.api`."""
    family = config.get("familyInfo", {})
    values = _known(config, TOP_KEYS)
    if config.get("services"):
        values["classes"] = tuple(class_from(c) for c in config["services"])
    return api.Settings(
        **values,
        tenants=tuple(api.Tenant(**_known(t, TENANT_KEYS)) for t in config.get("tenants") or ()),
        rules=api.Rules(**_known(config.get("rules", {}), RULE_KEYS)),
        limits=api.Limits(**_known(config.get("permissions", {}), LIMIT_KEYS)),
        prices=api.Prices(**_known(config.get("prices", {}), PRICE_KEYS)),
        goal=api.Goal(**_known(config.get("goal", {}), GOAL_KEYS)),
        discovery=api.DiscoveryMode(config.get("discovery", "pushed")),
        mode=api.CacheMode(family.get("mode", "through")),
        origin_kind=family.get("originKind", -1),
        load_reporting=api.LoadReporting(config.get("report", {}).get("how", "none")),
        weight_by_work=config.get("worthBy") == "work",
    )


class ConfigError(ValueError):
    """A configuration that no node can be started with; its text is one line for the operator."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> "Address":
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        try:
            ipaddress.ip_address(host.strip("[]"))  # names cannot be resolved where nodes run
            if not port.isdecimal() or not 0 <= int(port) < 65536:
                raise ValueError("no port")
        except ValueError as error:
            allowed = "a numeric address with a port, as 10.0.0.4:11211"
            raise ValueError(f"{text!r} must be {allowed}") from error
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def optional_address(text: Any) -> Address | None:
    """None where nothing is said. Raises ValueError."""
    return None if text is None or text == "" else Address.parse(text)


# Descriptors for the listener, discovery, the event loop, the log, connections on their way in, and those
# beyond the room that are still read past: in a burst up to 16 are accepted before the first of them is seen.
SPARE = 32
CONSOLE_PLACES = 12  # callers at a time, and descriptors beyond those, where there is a console
PEER_PLACES = 8  # datagrams, exchanges both ways and their listener, where there are peers
# Of the others, for clients: their requests need a third of all, and each of these an attempt or two. What is
# more lets those that never ask wait for their end without taking the place of those that do.
CLIENT_PART = 0.6
LONGEST_MB = 4.0  # of a value
BASE_MB = 24.0  # what a node takes with nothing held: 14 to 17 MB were seen


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """Who the other nodes are; only in the node's own format."""

    listen: Address  # datagrams and exchanges
    known: tuple[tuple[str, Address], ...]  # by name, where this node reaches it; its own is not used
    fleet: str
    key: bytes | None = None  # None: nothing is sealed, and all of it stays on this machine
    bytes_per_s: float = 16_000.0


@dataclass(slots=True, frozen=True)
class BudgetsConfig:
    """Which budgets of the fleet are lent between nodes that hear one another; only in the node's own format.

    Each is cut into one even part a node; `floor` is the share of its part that a node never lends.
    """

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # what gates let through at the least
    cold: bool = False  # the work that may go to a server that has just started
    cache_places: int = 0  # attempts that may be out at the caches, over all nodes (0: no such bound)
    origin_places: int = 0  # and at the origin
    repeats_per_s: float = 0.0  # attempts that may follow a failed one, over all nodes (0: no such bound),
    repeat_share: float = 0.1  # and beside these so many for each first attempt
    strict: bool = False  # what is beyond a quota is refused, whatever room there is
    floor: float = 0.25
    lease_ms: float = 4_000.0  # of a loan, by the borrower's clock
    bytes_per_s: float = 2_000.0  # of what is said of budgets; a part of what [peers] allows


@dataclass(slots=True, frozen=True)
class StateConfig:
    """What a node holds of the fleet's state; only in the node's own format."""

    entries: int = 10_000  # those of remembered deletions included
    entry_bytes: int = 512
    remember_s: float = 3_600.0  # deletions, at the least
    wait_ms: float = 10_000.0  # for a peer that has caught up, before `mn` is answered without one
    bytes_per_s: float = 2_000.0  # of what is told in datagrams; a part of what [peers] allows


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """What a real node is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    zones: tuple[str, ...] = ()  # by position, as the module counts them
    kinds: tuple[str, ...] = ()
    known: Any = None  # the list of cache servers as last held, in discovery's form
    sockets: int = 1024
    memory_mb: float = 192.0
    log_level: str = "info"
    log_repeats_per_s: int = 50  # lines of one event; the rest is counted in one
    console: Address | None = None  # for operators; None: no such address
    peers: PeersConfig | None = None  # None: this node hears no other, and holds nothing of that part
    budgets: BudgetsConfig | None = None  # None: an even part of each, as without peers
    state: StateConfig | None = None  # None: nothing is held that others were told

    @property
    def client_sockets(self) -> int:
        return int(CLIENT_PART * (self.sockets - self._spare))

    @property
    def server_sockets(self) -> int:
        return self.sockets - self._spare - self.client_sockets

    @property
    def held_bytes(self) -> int:
        """Room for the values of writes: a third of what a node has beyond its own, but always a longest one.

        Another third is for what is on its way to clients, in short answers and in pieces of long ones.
        """
        return int(max(LONGEST_MB, (self.memory_mb - BASE_MB) / 3) * 1024 * 1024)

    @property
    def _spare(self) -> int:
        spare = SPARE if self.console is None else SPARE + CONSOLE_PLACES
        spare += 0 if self.peers is None else PEER_PLACES
        return spare if self.sockets > 4 * spare else self.sockets // 4


def node_config(config: Any, env: Mapping[str, str]) -> NodeConfig:
    """The configuration's JSON object; what it leaves out is taken from the environment."""
    if not isinstance(config, dict):
        raise ConfigError("the configuration is not a JSON object")
    part = "settings"
    try:
        source = config["settings"]
        if not isinstance(source, dict):
            raise ValueError("not an object")
        settings = settings_from(source)
        zones, kinds = (tuple(map(str, source.get(k) or ())) for k in ("zones", "kinds"))
        part = "listen"
        listen = Address.parse(config.get(part) or env.get("PROXY_LISTEN"))
        part = "discovery"
        discovery = Address.parse(config.get(part) or env.get("PROXY_DISCOVERY"))
        part = "console"
        console = optional_address(config.get(part) or env.get("PROXY_CONSOLE"))
        if console in (listen, discovery):
            raise ValueError(f"{console} is listen or discovery as well; it must be an address of its own")
        part = "seed"
        seed = int(str(config.get(part, "0")), 16)
        part = "limits"
        limits = config.get(part) or {}
        sockets, memory_mb = int(limits.get("sockets", 1024)), float(limits.get("memory_mb", 192))
        if sockets < 32:
            raise ValueError(f"{sockets} sockets are too few")
        if not memory_mb > 0:
            raise ValueError(f"{memory_mb} MB of memory are too few")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{part}: {str(error) or type(error).__name__}") from error
    name = str(config.get("name") or env.get("PROXY_NAME") or "node")
    known = config.get("known")
    return NodeConfig(
        name, listen, discovery, seed, settings, zones, kinds, known, sockets, memory_mb, console=console
    )


def is_own(path: str, config: Any) -> bool:
    """Whether a file is in the node's own format: TOML, or JSON of the same shape, with its `classes`."""
    if path.endswith(".toml"):
        return True
    return isinstance(config, dict) and "classes" in config and "settings" not in config


def load_config(env: Mapping[str, str] = os.environ) -> NodeConfig:
    """The file that PROXY_CONFIG names. Raises ConfigError, which has a line for each fault."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the configuration file")
    try:
        with open(path, "rb") as file:
            text = file.read()
        config = None if is_own(path, None) else orjson.loads(text)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    return _own_config(path, text, env) if is_own(path, config) else node_config(config, env)


def _own_config(path: str, text: bytes, env: Mapping[str, str]) -> NodeConfig:
    # Imported here: it brings a library along, which nodes started by the platform's JSON need not hold.
    try:
        from flintridge.config.build import read_own
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: {error.name} is not installed, which this format needs") from error
    return read_own(path, text, env)
