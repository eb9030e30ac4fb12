"""What `flintridge check` does with a node's configuration."""

import os
from collections.abc import Mapping

from flintridge.config.contradictions import contradictions
from flintridge.config.errors import ConfigError
from flintridge.config.faults import ConfigFaults, Fault, decode_raw
from flintridge.config.loader import is_own, load_config
from flintridge.config.model import NodeFile
from flintridge.config.node_config import NodeConfig
from flintridge.config.platform import PlatformFile, conflicts
from flintridge.config.syntax import SyntaxFault, parse_json, parse_toml
from flintridge.config.words import NOTHING

# A file may leave its addresses to the environment of the machine that it is for, which is not this one.
ELSEWHERE = {"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"}


def check_file(file: str, env: Mapping[str, str] = os.environ) -> str:
    """What a sound file configures, in a few words. Raises ConfigFaults with every fault, or OSError."""
    with open(file, "rb") as opened:
        text = opened.read()
    try:
        raw = parse_toml(text) if file.endswith(".toml") else parse_json(text)
    except SyntaxFault as error:
        raise ConfigFaults([Fault(file, error.place, NOTHING, error.reason)]) from error
    held: NodeFile | PlatformFile
    if is_own(file, raw):
        held = decode_raw(file, raw, NodeFile, contradictions)
    else:
        held = decode_raw(file, raw, PlatformFile, conflicts)
    try:
        config = load_config({**ELSEWHERE, **env, "PROXY_CONFIG": file})
    except ConfigError as error:  # guards against a fault that only the node sees
        raise ConfigFaults([Fault(file, "", NOTHING, str(error).removeprefix(f"{file}: "))]) from error
    return _summary(config, (held.listen, held.discovery))


def _summary(config: NodeConfig, left: tuple[str | None, str | None]) -> str:
    listen, discovery = (text or "from the environment" for text in left)
    parts = f"{len(config.settings.classes)} classes, {len(config.settings.tenants)} tenants"
    return f"node {config.name}, listen {listen}, discovery {discovery}, {parts}"
