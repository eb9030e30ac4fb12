"""Days of other customers, drawn by seed: classes of each effect, zones, tenants, rules, limits, troubles."""

import random

import msgspec

from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Scenario

SPAN = 9.0  # s that a day lasts


def _classes(draw: random.Random) -> list[dict]:
    classes = []
    for number, effect in enumerate(["safe", "keyed", "unsafe", draw.choice(["safe", "keyed"])]):
        deadline = draw.uniform(300, 3000)
        write = effect != "safe" or (number == 3 and draw.random() < 0.3)
        classes.append(
            {
                "name": f"{draw.choice(['ask', 'put', 'weigh', 'sign'])}-{number}",
                "share": draw.uniform(0.1, 1.0) if number else 2.0,
                "work_ms": draw.uniform(5, 30),
                "aim_ms": deadline * draw.uniform(0.3, 0.9),
                "deadline_ms": deadline,
                "worth": draw.uniform(0.5, 10),
                "late_share": draw.choice([0.0, 0.3]),
                "effect": effect,
                "group": draw.choice(["all", "all", "zone", "cell"]),
                "window_ms": deadline * draw.uniform(0.2, 1.2),
                "write": write,
            }
        )
    return classes


def _faults(draw: random.Random, zones: list[str]) -> list[dict]:
    some = {"share": draw.uniform(0.1, 0.4)}
    every: list[dict] = [
        {"what": "crash", **some},
        {"what": "silence", **some},
        {"what": "resets", **some, "part": 0.2},
        {"what": "quick_errors", **some},
        {"what": "spoilt", "share": 1.0, "part": 0.1},
        {"what": "lost_answers", "share": 1.0, "part": 0.1},
        {"what": "stale", "share": 1.0, "after_ms": 300.0, "silent": draw.random() < 0.5},
        {"what": "drain", **some, "back": draw.random() < 0.5},
        {"what": "replace", **some},
        {"what": "churn", "every_s": 1.0},
        {"what": "flush"},
        {"what": "burst", "factor": 2.5},
        {"what": "origin_slow"},
        {"what": "origin_down", "how": draw.choice(["declines", "errors", "silent", "refuses"])},
        {"what": "discovery_down", "how": draw.choice(["refuses", "errors", "silent", "garbage"])},
        {"what": "discovery_slow"},
        {"what": "node_kill"},
        {"what": "node_restart", "count": 2},
        {"what": "node_drain"},
        {"what": "reload"},
        {"what": "bad_clients", "per_s": 10.0},
    ]
    if len(zones) > 1:
        every += [
            {"what": "zone_loss", "zone": zones[0], "how": draw.choice(["silent", "reset", "die"])},
            {"what": "cut", "zone": zones[0], "other": zones[1], "how": draw.choice(["silent", "reset"])},
        ]
    chosen = [dict(trouble) for trouble in draw.sample(every, 6)]
    for trouble in chosen:
        trouble["at_s"] = round(draw.uniform(0.5, SPAN - 3), 3)
        if trouble["what"] not in ("flush", "reload"):
            trouble["for_s"] = round(draw.uniform(0.5, 3.0), 3)
    return chosen


def generated_scenario(seed: int) -> Scenario:
    """The day of a seed; the same at each call."""
    draw = random.Random(seed)
    zones = ["north", "south", "west"][: draw.randint(1, 3)]
    calm = msgspec.to_builtins(load("calm"))
    for name in ("expect", "servers", "tenants", "origin"):
        calm.pop(name, None)
    kinds = [kind["name"] for kind in calm["kinds"]]
    plan = calm | {
        "name": f"generated-{seed}",
        "length_s": SPAN,
        "warmup_s": 1.5,
        "zones": zones,
        "nodes": {"count": draw.randint(1, 4), "sockets": draw.choice([128, 256, 512]), "zones": zones},
        "servers": [
            {"kind": kind, "count": draw.randint(1, 3), "weight": draw.uniform(0.5, 3), "cell": number}
            for number, kind in enumerate(kinds)
        ],
        "origin": {"slots": draw.randint(4, 8), "read_ms": draw.uniform(20, 60), "queue_s": 0.6},
        "classes": _classes(draw),
        "tenants": [
            {"name": f"house-{i}", "share": draw.uniform(0.2, 1), "quota_per_s": draw.choice([0, 30, 60])}
            for i in range(draw.randint(0, 3))
        ],
        "load": {"rate_per_s": draw.uniform(40, 160), "hints": draw.choice(["none", "rough"])},
        "clients": {
            "retries": draw.randint(0, 3),
            "backoff_ms": draw.uniform(20, 200),
            "leave_early": draw.choice([0.0, 0.1]),
            "pipeline": draw.choice([1, 1, 4]),
            "marks_retry": draw.random() < 0.5,
        },
        "limits": {
            "max_attempts": draw.randint(1, 6),
            "second_copies": False,
            "retry_after": draw.random() < 0.5,
            "connect_timeout_ms": draw.uniform(100, 1500),
        },
        "rules": {
            "drain_grace_ms": draw.uniform(400, 2000),
            "fall_multiple": draw.uniform(3, 4),
            "fall_ms": draw.uniform(1000, 2000),
            "cold_share": 0.32,
            "cold_s": draw.uniform(4, 9),
        },
        "faults": _faults(draw, zones),
    }
    return msgspec.convert(plan, Scenario)
