"""The result of one run, which `--json` writes and which experiments and reports read.

Encoded names (`name`) are a file format and must not change; the Python names may.
"""

from typing import Any

import msgspec
from msgspec import field


class Violation(msgspec.Struct, kw_only=True):
    """A violation of a rule, with its evidence.

    Attributes:
        at_ms: The time of the run, in milliseconds.
        text: A sentence that states the violation with its figures.
        records: The records that prove the violation, as JSON lines.
    """

    rule: str
    at_ms: float = field(name="t")
    request_id: str = field(default="", name="uid")
    node: str = ""
    server: str = ""
    text: str = ""
    records: list[str] = field(default_factory=list, name="lines")


class Latency(msgspec.Struct, kw_only=True):
    """Latencies (ms) from a client's scheduled first attempt to the last byte of the serving response."""

    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    max: float = 0.0
    count: int = 0


class Window(msgspec.Struct, kw_only=True):
    """Figures of one second of the run.

    Requests belong to the second in which they were scheduled, attempts to the one in which they arrived.

    Attributes:
        offered_weight: The sum of the requests' priority weights.
        achieved_weight: The part of it that served requests earned; late responses earn a fraction.
        in_flight: The mean number of attempts in flight during the second, by server.
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
        requests: The number of requests, counted by their first attempts.
        rejected: The number of requests whose last response was a rejection.
        rules: The number of violations of each rule, by the rule's name.
        attempts_per_request: Attempts at cache servers and the origin, per request.
        goodput: Achieved weight divided by offered weight; late responses earn a fraction of their weight.
        goodput_within_objective: Achieved weight without late responses, divided by offered weight.
        goal: The scenario's weighted mean of the goodput and of the lowest goodput of a window, a class and a
            tenant, minus the scenario's prices.
        hit_fraction: The fraction of reads at cache servers that found the value.
        client_attempts_per_request: Attempts of the clients, per request.
        malformed_unanswered: The number of clients that sent a malformed request and got no response in time.
        wasted_fraction: The fraction of the work done for which no client got the response.
        cross_zone_fraction: The fraction of attempts that crossed zones.
        peak_memory_mb: The peak memory of the lab's process.
        violations: The first few violations of each rule.
        faults: The name, start and end (seconds of the run) of each fault.
        counters: The nodes' counters by node; for information only, the judge does not use them.
        histograms: The histograms of each node's last process, by node and name.
        end_reason: `whole`, or why the run ended early: wall limit, stuck node or dead process.
        lab_problems: Problems of the lab itself, because of which a run in real time must not be judged.
        lateness_ms: The lateness of the lab's own timers, in real time.
        expectation: The expectations of the scenario that the run did not meet.
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
        """The number of violations of all rules."""
        return sum(self.rules.values())


def as_json(result: Result) -> dict[str, Any]:
    """Return the result as plain values that can be encoded as JSON."""
    built: dict[str, Any] = msgspec.to_builtins(result)
    return built
