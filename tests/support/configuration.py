"""Configurations in the node's own format."""

from flintridge.config.node_file import parse_node_file
from support.paths import ROOT

EXAMPLE = (ROOT / "examples" / "node.toml").read_text()
PLAIN = "\n".join(line for line in EXAMPLE.splitlines() if not line.startswith("#"))
THREE = PLAIN.replace('name = "n1"', 'name = "n1"\nfleet_size = 3')
PEERS = """
[peers]
listen = "127.0.0.1:7201"
fleet = "canteens"
known = { n2 = "127.0.0.1:7202", n3 = "127.0.0.1:7203" }
"""


def read(text: str, env=None):
    return parse_node_file("n.toml", text.encode(), env or {})
