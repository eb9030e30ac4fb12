"""Loading of the configuration file that PROXY_CONFIG names."""

import os
from collections.abc import Mapping
from typing import Any

import orjson

from flintridge.config.errors import ConfigError
from flintridge.config.node_config import NodeConfig
from flintridge.config.platform_config import node_config


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
