"""The configuration of a node, with settings like those of a small deployment."""

from typing import Any

MS = 1_000_000  # nanoseconds


def service(name: str, effect: str, deadline_ms: int) -> dict[str, Any]:
    """A request class. Repeats of a `dedup` class are dropped by all servers for 2.5 s."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "windowNs": 2_500 * MS,
        "sloNs": 1_200 * MS,
        "hardLimitNs": deadline_ms * MS,
        "points": 1.0,
        "lateShare": 0.3,
        "stream": False,
    }


def settings(order_effect: str = "dedup") -> dict[str, Any]:
    """The settings: reads that may be repeated, and orders with the given effect; misses go to an origin."""
    return {
        "discovery": "on_request",
        "family": "cache",
        "familyInfo": {"mode": "aside", "originKind": 1},
        "fleetSize": 1,
        "kinds": ["box", "origin"],
        "zones": ["east"],
        "zone": 0,
        "selfIndex": 0,
        "services": [
            service("menu-read", "retryable", 2_500),
            service("place-order", order_effect, 4_000),
        ],
        "tenants": [{"name": "canteen", "quotaPerS": 1_000.0, "share": 1.0}],
        "permissions": {
            "attemptsCap": 6,
            "cancel": True,
            "connIdleNs": 5_000 * MS,
            "connectTimeoutNs": 250 * MS,
            "maxOpen": 20_000,
            "maxRetryAfterNs": 2_000 * MS,
            "parallelTries": True,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 128,
        },
        "report": {"how": "probe", "names": ["qps", "util", "x0"]},
        "rules": {
            "answerSlackNs": 20 * MS,
            "askWithinNs": 10_000 * MS,
            "coldNs": 9_000 * MS,
            "coldShare": 0.32,
            "drainGraceNs": 2_000 * MS,
            "fallMultiple": 3.0,
            "fallNs": 1_500 * MS,
        },
        "weights": "nominal",
        "worthBy": "work",
    }
