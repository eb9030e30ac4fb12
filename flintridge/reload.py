"""Reload of the configuration: which fields apply at once, which need a restart, and the resulting limits."""

from dataclasses import dataclass, fields, replace

from flintridge.config.node_config import MAX_VALUE_MB, NodeConfig

CHANGEABLE_FIELDS = ("discovery", "sockets", "memory_mb")  # these apply without a restart
# The endpoint list in the file is older than the one that the node has.
IGNORED_FIELDS = ("known",)
MAX_VALUE_BYTES = int(MAX_VALUE_MB * 1024 * 1024)


@dataclass(slots=True, frozen=True)
class Reloaded:
    """Names of the `NodeConfig` fields in which a new configuration differs.

    Attributes:
        changed: Fields whose new values are in force.
        until_restart: Fields whose new values take effect after a restart.
    """

    changed: tuple[str, ...]
    until_restart: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ReloadPlan:
    """How a serving node applies a new configuration.

    Attributes:
        config: The configuration in force from now on: the current one with the applicable changes.
        reloaded: The fields that differ.
    """

    config: NodeConfig
    reloaded: Reloaded


def plan_reload(current: NodeConfig, new: NodeConfig) -> ReloadPlan:
    """Merge the fields of a new configuration that can change in service into the current one.

    Args:
        current: The configuration in force.
        new: The configuration as read from the file.
    """
    names = [field.name for field in fields(NodeConfig) if field.name not in IGNORED_FIELDS]
    differing = [name for name in names if getattr(new, name) != getattr(current, name)]
    applied = {name: getattr(new, name) for name in differing if name in CHANGEABLE_FIELDS}
    waiting = tuple(name for name in differing if name not in applied)
    return ReloadPlan(replace(current, **applied), Reloaded(tuple(applied), waiting))


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Resource limits of one process of a node.

    Attributes:
        process_memory_bytes: Memory for everything that the process holds for its clients.
        memory_bytes: Memory for the values of writes; always enough for one value of the maximum size.
        response_memory_bytes: Memory for the values that servers send, until they are passed to clients;
            always enough for one value of the maximum size.
        server_connections: Maximum number of open connections to servers.
        client_connections: Maximum number of open client connections.
    """

    process_memory_bytes: int
    memory_bytes: int
    response_memory_bytes: int
    server_connections: int
    client_connections: int


def process_limits(config: NodeConfig, process_count: int) -> ProcessLimits:
    """Return the limits of one process: an equal fraction of the node's limits.

    Args:
        config: The configuration in force.
        process_count: Number of processes of the node.
    """
    return ProcessLimits(
        process_memory_bytes=config.process_memory_bytes(process_count),
        memory_bytes=max(MAX_VALUE_BYTES, config.memory_budget_bytes // process_count),
        response_memory_bytes=max(MAX_VALUE_BYTES, config.response_budget_bytes // process_count),
        server_connections=config.server_sockets // process_count,
        client_connections=config.client_sockets // process_count,
    )
