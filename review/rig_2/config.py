"""Configuration files of small deployments: the platform's JSON, and the node's own format."""

import json
from pathlib import Path

from review.rig_2.network import HOST

NS_PER_MS = 1_000_000


def write_platform_file(
    path: Path, name: str, port: int, discovery: int, classes: list[dict[str, object]]
) -> None:
    """Write a configuration in the platform's JSON."""
    settings = {
        "discovery": "on_request",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "kinds": ["box", "origin"],
        "zones": ["here"],
        "zone": 0,
        "fleetSize": 1,
        "services": classes,
        "tenants": [],
        "permissions": {
            "attemptsCap": 6,
            "cancel": True,
            "connIdleNs": 5000 * NS_PER_MS,
            "connectTimeoutNs": 250 * NS_PER_MS,
            "retryAfter": True,
            "maxRetryAfterNs": 2000 * NS_PER_MS,
        },
        "rules": {
            "answerSlackNs": 20 * NS_PER_MS,
            "askWithinNs": 10_000 * NS_PER_MS,
            "drainGraceNs": 2000 * NS_PER_MS,
        },
    }
    config = {
        "name": name,
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": settings,
    }
    path.write_text(json.dumps(config))


NODE_FILE = """
name = "{name}"
listen = "{host}:{port}"
discovery = "{host}:{discovery}"
seed = "8c1f30d27a5be964"
fleet_size = {fleet_size}
zones = ["here"]
kinds = ["box", "origin"]
mode = "aside"
origin_kind = "origin"
watch = "on_request"

[machine]
sockets = 1024
memory_mb = 192

[[classes]]
name = "read"
effect = "safe"
aim_ms = 1200
deadline_ms = 2500
late_share = 0.3

[[classes]]
name = "put"
effect = "keyed"
group = "all"
window_ms = 2500
aim_ms = 1200
deadline_ms = 4000
late_share = 0.25

[[tenants]]
name = "acme"
quota_per_s = {quota}
share = 1

[limits]
max_attempts = 6
cancel = true
conn_idle_s = 5
connect_timeout_ms = 250
retry_after = true
max_retry_after_ms = 2000

[rules]
answer_slack_ms = 20
ask_within_s = 10
drain_grace_ms = 2000

[peers]
listen = "{host}:{peer_port}"
fleet = "review"
known = {{ {known} }}

{tables}

[known]
revision = 0
complete = true
"""


def write_node_file(
    path: Path,
    name: str,
    port: int,
    discovery: int,
    peer_ports: dict[str, int],
    tables: str,
    quota: int = 1000,
) -> None:
    """Write a configuration in the node's own format, with peers; `tables` has further tables."""
    known = ", ".join(f'{peer} = "{HOST}:{peer_port}"' for peer, peer_port in peer_ports.items())
    text = NODE_FILE.format(
        name=name,
        host=HOST,
        port=port,
        discovery=discovery,
        fleet_size=len(peer_ports),
        quota=quota,
        peer_port=peer_ports[name],
        known=known,
        tables=tables,
    )
    path.write_text(text)
