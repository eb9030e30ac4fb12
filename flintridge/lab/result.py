"""The outcome of one run: what `--json` writes, and what experiments and reports read."""

from typing import Any

import msgspec


class Breach(msgspec.Struct, kw_only=True):
    """A broken rule with what proves it."""

    rule: str
    t: float  # ms of the day
    uid: str = ""
    node: str = ""
    server: str = ""
    text: str = ""  # one sentence with the figures
    lines: list[str] = []  # the records that prove it, as JSON lines


class Latency(msgspec.Struct, kw_only=True):
    """Milliseconds from the intended sending of the first try to the last byte of the answer that served."""

    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    max: float = 0.0
    count: int = 0


class Window(msgspec.Struct, kw_only=True):
    """One second of the day, by when first tries were due; attempts and depths by when they were seen."""

    t_s: float
    requests: int = 0
    served: int = 0
    in_aim: int = 0
    deferred: int = 0
    failed: int = 0
    asked_worth: float = 0.0
    got_worth: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    attempts: int = 0
    origin_attempts: int = 0
    in_flight: dict[str, float] = {}  # mean over the second, by server


class Result(msgspec.Struct, kw_only=True):
    scenario: str
    seed: int
    backend: str
    requests: int = 0  # first tries
    served: int = 0
    served_in_aim: int = 0
    deferred: int = 0  # of first tries: the last word the client got was a refusal
    failed: int = 0
    rules: dict[str, int] = {}  # every rule by name, with the count of its breaches
    latency_ms: Latency = msgspec.field(default_factory=Latency)
    attempts_per_request: float = 0.0  # at cache servers and the origin, over first tries
    origin_per_request: float = 0.0
    goodput: float = 0.0  # worth got (late answers at their share) over worth asked
    in_aim: float = 0.0  # worth got within the aim over worth asked
    goal: float = 0.0  # the scenario's mix of goodput, its worst window, class and tenant, less prices
    goodput_by_class: dict[str, float] = {}
    goodput_by_tenant: dict[str, float] = {}
    worst_window: float = 0.0
    hits: float = 0.0  # of reads at cache servers
    tries_per_request: float = 0.0  # of the clients
    bad_unanswered: int = 0  # clients that sent what cannot be read and got nothing in time
    wasted: float = 0.0  # of the work done, what no client got
    cross_zone: float = 0.0  # of attempts
    digest: str = ""
    records: int = 0
    wall_s: float = 0.0
    lab_cpu_s: float = 0.0
    node_cpu_s: float = 0.0
    node_memory_mb: float = 0.0
    peak_memory_mb: float = 0.0  # of the lab's process
    breaches: list[Breach] = []  # the first few of each rule
    windows: list[Window] = []
    faults: list[tuple[str, float, float]] = []  # name, from, to (s)
    counters: dict[str, dict[str, int]] = {}  # by node, for reading only: the judge never sees them
    histograms: dict[str, dict[str, dict[str, float]]] = {}  # by node and name, of its last process
    ended: str = "whole"  # whole, or why it was cut short: wall limit, stuck node, dead process
    troubles: list[str] = []  # of the lab itself: why a run in real time cannot be judged by
    lateness_ms: dict[str, float] = {}  # of the lab's own timers, in real time
    expectation: str = ""  # what the scenario expects and did not see

    @property
    def broken(self) -> int:
        return sum(self.rules.values())


def as_json(result: Result) -> dict[str, Any]:
    """Plain values, ready for a JSON file."""
    built: dict[str, Any] = msgspec.to_builtins(result)
    return built
