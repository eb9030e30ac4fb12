"""Mapping of the platform's configuration file, a JSON object, to a `NodeConfig`."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from flintridge.config.address import Address, optional_address
from flintridge.config.errors import ConfigError
from flintridge.config.node_config import NodeConfig
from flintridge.config.platform_settings import settings_from

SOCKETS_MIN = 32
# These maximums exceed what any machine has. They guard a reload against values that overflow when they are
# converted or multiplied, after a part of the configuration is already applied.
SOCKETS_MAX = 2**31 - 1
MEMORY_MAX_MB = 1e9


@dataclass(slots=True, frozen=True)
class _Addresses:
    """The addresses that a node listens on and connects to."""

    listen: Address
    discovery: Address
    console: Address | None


@dataclass(slots=True, frozen=True)
class _Resources:
    """Resources of its machine that a node may use."""

    sockets: int
    memory_mb: float


def node_config(config: Any, env: Mapping[str, str]) -> NodeConfig:
    """Build a node's configuration; unknown keys are ignored.

    Args:
        config: The file's decoded JSON.
        env: Environment variables, which supply addresses and a name that the file omits.

    Raises:
        ConfigError: A section is invalid; the message names the first such section.
    """
    if not isinstance(config, dict):
        raise ConfigError("the configuration is not a JSON object")
    with _naming_section("settings"):
        source = config["settings"]
        if not isinstance(source, dict):
            raise ValueError("not an object")
        settings = settings_from(source)
        zones = tuple(map(str, source.get("zones") or ()))
        kinds = tuple(map(str, source.get("kinds") or ()))
    addresses = _addresses(config, env)
    with _naming_section("seed"):
        seed = int(str(config.get("seed", "0")), 16)
    with _naming_section("limits"):
        resources = _resources(config.get("limits") or {})
    return NodeConfig(
        name=str(config.get("name") or env.get("PROXY_NAME") or "node"),
        listen=addresses.listen,
        discovery=addresses.discovery,
        seed=seed,
        settings=settings,
        zones=zones,
        kinds=kinds,
        known=config.get("known"),
        sockets=resources.sockets,
        memory_mb=resources.memory_mb,
        console=addresses.console,
    )


def _addresses(config: dict[str, Any], env: Mapping[str, str]) -> _Addresses:
    with _naming_section("listen"):
        listen = Address.parse(config.get("listen") or env.get("PROXY_LISTEN"))
    with _naming_section("discovery"):
        discovery = Address.parse(config.get("discovery") or env.get("PROXY_DISCOVERY"))
    with _naming_section("console"):
        console = optional_address(config.get("console") or env.get("PROXY_CONSOLE"))
        if console in (listen, discovery):
            raise ValueError(
                f"{console} is also the listen or discovery address; it must be an address of its own"
            )
    return _Addresses(listen, discovery, console)


def _resources(limits: dict[str, Any]) -> _Resources:
    sockets = int(limits.get("sockets", 1024))
    memory_mb = float(limits.get("memory_mb", 192))
    if sockets < SOCKETS_MIN:
        raise ValueError(f"{sockets} sockets are too few")
    if sockets > SOCKETS_MAX:
        raise ValueError(f"{sockets} sockets are too many: at most {SOCKETS_MAX}")
    if not memory_mb > 0:
        raise ValueError(f"{memory_mb} MB of memory is too little")
    if memory_mb > MEMORY_MAX_MB:
        raise ValueError(f"{memory_mb} MB of memory is too much: at most {MEMORY_MAX_MB:.0f}")
    return _Resources(sockets, memory_mb)


@contextmanager
def _naming_section(section: str) -> Iterator[None]:
    """Convert an error in reading a section into a ConfigError that names the section."""
    try:
        yield
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{section}: {str(error) or type(error).__name__}") from error
