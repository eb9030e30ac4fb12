"""Loading of the configuration file that PROXY_CONFIG names, in either format."""

import os
from collections.abc import Mapping
from typing import Any

import orjson

from flintridge.config.errors import ConfigError
from flintridge.config.node_config import NodeConfig
from flintridge.config.platform_config import node_config


def load_config(env: Mapping[str, str] = os.environ) -> NodeConfig:
    """Load the file that PROXY_CONFIG names.

    Raises:
        ConfigError: The file is missing, cannot be read or is not valid; the message has one line for each
            fault.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it must name the configuration file")
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    if is_node_format(path, None):
        return _load_node_format(path, text, env)
    try:
        config = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if is_node_format(path, config):
        return _load_node_format(path, text, env)
    return node_config(config, env)


def is_node_format(path: str, config: Any) -> bool:
    """Whether a file is in the node's own format: TOML, or JSON of the same structure with a key `classes`.

    Args:
        path: The file's path.
        config: The file's decoded JSON; not used for TOML.
    """
    if path.endswith(".toml"):
        return True
    return isinstance(config, dict) and "classes" in config and "settings" not in config


def _load_node_format(path: str, text: bytes, env: Mapping[str, str]) -> NodeConfig:
    # Imported only here: it imports msgspec, which a node started with the platform's JSON does not need.
    try:
        from flintridge.config.node_file import parse_node_file
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: this format needs {error.name}, which is not installed") from error
    return parse_node_file(path, text, env)
