"""The platform's configuration, a JSON object, as the configuration of a node."""

from collections.abc import Mapping
from typing import Any

from flintridge.config.address import Address, optional_address
from flintridge.config.errors import ConfigError
from flintridge.config.node_config import NodeConfig
from flintridge.config.platform_settings import settings_from


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
