"""Configurations in the node's own file format, and the errors that invalid files cause."""

import json
import tomllib

import pytest

from flintridge.config.faults import ConfigFaultsError
from flintridge.config.node_file import parse_node_file
from support.paths import ROOT

EXAMPLE = (ROOT / "examples" / "node.toml").read_text()
NODE = tomllib.loads(EXAMPLE)
PLATFORM = json.loads((ROOT / "examples" / "config.json").read_text())
PLATFORM["known"]["members"] = [
    {
        "id": "s1",
        "host_port": "127.0.0.1:7",
        "phase": "in_service",
        "up_since_ms": 0,
        "size": 1.0,
        "flavor": "box",
        "locality": "here",
        "cell": 3,
    }
]
PLAIN = "\n".join(line for line in EXAMPLE.splitlines() if not line.startswith("#"))
THREE = PLAIN.replace('name = "n1"', 'name = "n1"\nfleet_size = 3')
PEERS = """
[peers]
listen = "127.0.0.1:7201"
fleet = "canteens"
known = { n2 = "127.0.0.1:7202", n3 = "127.0.0.1:7203" }
"""


def read(text: str, env=None):
    """Parse the text of a file in the node's own format."""
    return parse_node_file("n.toml", text.encode(), env or {})


def fault_lines(call, *args) -> list[str]:
    """Return the error lines that a call reports; fails if it reports none."""
    with pytest.raises(ConfigFaultsError) as caught:
        call(*args)
    return str(caught.value).splitlines()
