"""The outcome of one run: what `--json` writes, and what experiments and reports read.

Encoded names (`name`) are read by others and stay; the Python names may change.
"""

from typing import Any

import msgspec
from msgspec import field


class Violation(msgspec.Struct, kw_only=True):
    """A broken rule with what proves it.

    Attributes:
        at_ms: In milliseconds of the run.
        text: One sentence with the figures.
        records: Those that prove it, as JSON lines.
    """

    rule: str
    at_ms: float = field(name="t")
    request_id: str = field(default="", name="uid")
    node: str = ""
    server: str = ""
    text: str = ""
    records: list[str] = field(default_factory=list, name="lines")


class Latency(msgspec.Struct, kw_only=True):
    """Milliseconds from a client's scheduled first attempt to the last byte of the serving response."""

    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    max: float = 0.0
    count: int = 0


class Window(msgspec.Struct, kw_only=True):
    """One second of the run: requests by when they were scheduled, attempts and depths by when seen.

    Attributes:
        offered_weight: Sum of the requests' priority weights.
        achieved_weight: What of it was earned, late responses at their credit.
        in_flight: Mean over the second, by server.
    """

    t_s: float
    requests: int = 0
    served: int = 0
    within_objective: int = field(default=0, name="in_aim")
    rejected: int = field(default=0, name="deferred")
    failed: int = 0
    offered_weight: float = field(default=0.0, name="asked_worth")
    achieved_weight: float = field(default=0.0, name="got_worth")
    p50: float = 0.0
    p99: float = 0.0
    attempts: int = 0
    origin_attempts: int = 0
    in_flight: dict[str, float] = {}


class Result(msgspec.Struct, kw_only=True):
    """The figures of a run and the rules that it broke.

    Attributes:
        requests: First attempts of clients.
        rejected: Of these, those whose last response was a rejection.
        rules: Every rule by name, with its count of violations.
        attempts_per_request: At cache servers and the origin.
        goodput: Achieved weight, late responses at their credit, over offered weight.
        goodput_within_objective: Achieved weight without late responses, over offered weight.
        goal: The scenario's mix of goodput, its lowest window, class and tenant, less prices.
        hit_fraction: Of reads at cache servers.
        client_attempts_per_request: Of the clients themselves.
        malformed_unanswered: Clients that sent what cannot be parsed and got nothing in time.
        wasted_fraction: Of the work done, what no client got.
        cross_zone_fraction: Of attempts.
        peak_memory_mb: Of the lab's process.
        violations: The first few of each rule.
        faults: Name, from and to (seconds).
        counters: By node, for reading only: the judge never sees them.
        histograms: By node and name, of its last process.
        end_reason: `whole`, or why the run was cut short: wall limit, stuck node, dead process.
        lab_problems: Of the lab itself: why a run in real time cannot be judged by.
        lateness_ms: Of the lab's own timers, in real time.
        expectation: What the scenario expects and did not see.
    """

    scenario: str
    seed: int
    backend: str
    requests: int = 0
    served: int = 0
    served_within_objective: int = field(default=0, name="served_in_aim")
    rejected: int = field(default=0, name="deferred")
    failed: int = 0
    rules: dict[str, int] = {}
    latency_ms: Latency = field(default_factory=Latency)
    attempts_per_request: float = 0.0
    origin_per_request: float = 0.0
    goodput: float = 0.0
    goodput_within_objective: float = field(default=0.0, name="in_aim")
    goal: float = 0.0
    goodput_by_class: dict[str, float] = {}
    goodput_by_tenant: dict[str, float] = {}
    min_window_goodput: float = field(default=0.0, name="worst_window")
    hit_fraction: float = field(default=0.0, name="hits")
    client_attempts_per_request: float = field(default=0.0, name="tries_per_request")
    malformed_unanswered: int = field(default=0, name="bad_unanswered")
    wasted_fraction: float = field(default=0.0, name="wasted")
    cross_zone_fraction: float = field(default=0.0, name="cross_zone")
    digest: str = ""
    records: int = 0
    wall_s: float = 0.0
    lab_cpu_s: float = 0.0
    node_cpu_s: float = 0.0
    node_memory_mb: float = 0.0
    peak_memory_mb: float = 0.0
    violations: list[Violation] = field(default_factory=list, name="breaches")
    windows: list[Window] = []
    faults: list[tuple[str, float, float]] = []
    counters: dict[str, dict[str, int]] = {}
    histograms: dict[str, dict[str, dict[str, float]]] = {}
    end_reason: str = field(default="whole", name="ended")
    lab_problems: list[str] = field(default_factory=list, name="troubles")
    lateness_ms: dict[str, float] = {}
    expectation: str = ""

    @property
    def violation_count(self) -> int:
        """Over all rules."""
        return sum(self.rules.values())


def as_json(result: Result) -> dict[str, Any]:
    """Plain values, ready for a JSON file."""
    built: dict[str, Any] = msgspec.to_builtins(result)
    return built
