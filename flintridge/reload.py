"""A new configuration in service: what of it is applied, what waits for a restart, which limits it gives."""

from dataclasses import dataclass, fields, replace

from flintridge.config.node_config import MAX_VALUE_MB, NodeConfig

CHANGEABLE_FIELDS = ("discovery", "sockets", "memory_mb")  # without a restart
# The list that the file holds is an old one; the node's own is newer.
IGNORED_FIELDS = ("known",)
MAX_VALUE_BYTES = int(MAX_VALUE_MB * 1024 * 1024)


@dataclass(slots=True, frozen=True)
class Reloaded:
    """What a new configuration changed, by the names of `NodeConfig`.

    Attributes:
        changed: What is in force now.
        until_restart: What waits for a restart.
    """

    changed: tuple[str, ...]
    until_restart: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ReloadPlan:
    """What a new configuration means for a node in service.

    Attributes:
        config: In force from now on, whatever else the new one says.
        reloaded: What differs.
    """

    config: NodeConfig
    reloaded: Reloaded


def plan_reload(current: NodeConfig, new: NodeConfig) -> ReloadPlan:
    """Take over from a new configuration what can change in service.

    Args:
        current: In force.
        new: As it was read.
    """
    names = [field.name for field in fields(NodeConfig) if field.name not in IGNORED_FIELDS]
    differing = [name for name in names if getattr(new, name) != getattr(current, name)]
    applied = {name: getattr(new, name) for name in differing if name in CHANGEABLE_FIELDS}
    waiting = tuple(name for name in differing if name not in applied)
    return ReloadPlan(replace(current, **applied), Reloaded(tuple(applied), waiting))


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """What one process of a node may hold.

    Attributes:
        memory_bytes: For the values of writes; one of the largest always.
        server_connections: Open connections to servers.
        client_connections: Open connections of clients.
    """

    memory_bytes: int
    server_connections: int
    client_connections: int


def process_limits(config: NodeConfig, process_count: int) -> ProcessLimits:
    """A process's equal fraction of its node's limits.

    Args:
        config: In force.
        process_count: So many processes are the node.
    """
    return ProcessLimits(
        memory_bytes=max(MAX_VALUE_BYTES, config.memory_budget_bytes // process_count),
        server_connections=config.server_sockets // process_count,
        client_connections=config.client_sockets // process_count,
    )
