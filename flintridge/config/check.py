"""Validation of a node's configuration file in either format, as `flintridge check` does it."""

import os
from collections.abc import Mapping

from flintridge.config.decoding import decode_values, syntax_fault
from flintridge.config.errors import ConfigError
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.loader import is_node_format, load_config
from flintridge.config.model import NodeFile
from flintridge.config.node_config import NodeConfig
from flintridge.config.node_file_validation import validate_node_file
from flintridge.config.platform_model import PlatformFile
from flintridge.config.platform_validation import validate_platform_file
from flintridge.config.syntax import ConfigSyntaxError, parse_json, parse_toml

# A file may leave its addresses to the environment of the node, which is usually another machine than the
# one that checks the file. These values stand in for them.
PLACEHOLDER_ENV: Mapping[str, str] = {"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"}


def check_file(file: str, env: Mapping[str, str] = os.environ) -> str:
    """Validate a configuration file.

    Args:
        file: The path of the file.
        env: Environment variables, which supply addresses and a name that the file omits.

    Returns:
        A one-line summary of what the valid file configures.

    Raises:
        ConfigFaultsError: The file has faults.
        OSError: The file cannot be read.
    """
    with open(file, "rb") as opened:
        text = opened.read()
    try:
        values = parse_toml(text) if file.endswith(".toml") else parse_json(text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    decoded: NodeFile | PlatformFile
    if is_node_format(file, values):
        decoded = decode_values(file, values, NodeFile, validate_node_file)
    else:
        decoded = decode_values(file, values, PlatformFile, validate_platform_file)
    try:
        config = load_config({**PLACEHOLDER_ENV, **env, "PROXY_CONFIG": file})
    except ConfigError as error:  # guards against a fault that only the node's own loading detects
        reason = str(error).removeprefix(f"{file}: ")
        raise ConfigFaultsError([ConfigFault(file, "", UNSET, reason)]) from error
    return _summary(config, decoded)


def _summary(config: NodeConfig, decoded: NodeFile | PlatformFile) -> str:
    listen = decoded.listen or "from the environment"
    discovery = decoded.discovery or "from the environment"
    counts = f"{len(config.settings.classes)} classes, {len(config.settings.tenants)} tenants"
    return f"node {config.name}, listen {listen}, discovery {discovery}, {counts}"
