"""The resources that the nodes of a run used, and how well the machine kept up."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ProcessUsage:
    """The resources that the processes of one node used.

    Attributes:
        cpu_s: The CPU time of all processes, in s.
        memory_mb: The peak memory of the largest process, in MiB.
        peak_cores: The highest CPU use in a second, in cores.
        max_saturated_s: The longest period in which a process saturated a core, in s.
        processes: The number of processes.
    """

    cpu_s: float
    memory_mb: float
    peak_cores: float
    max_saturated_s: float
    processes: int


@dataclass(slots=True)
class RunUsage:
    """The resources that the nodes of a run used, as far as the backend knows them.

    Attributes:
        node_cpu_s: The CPU time of all nodes, in s.
        node_memory_mb: The peak memory of the largest process, in MiB.
        counters: The nodes' counters by node and name.
        histograms: The nodes' histograms by node and name.
        nodes: The resources that each node used.
        unexpected_ends: Describes processes that ended without being asked to, or did not end when asked.
        lateness_ms: The lateness of the lab's own timers; see `TimerLateness.summary`.
        lab_problems: Problems of the lab itself.
    """

    node_cpu_s: float = 0.0
    node_memory_mb: float = 0.0
    counters: dict[str, dict[str, int]] = field(default_factory=dict)
    histograms: dict[str, dict[str, dict[str, float]]] = field(default_factory=dict)
    nodes: dict[str, ProcessUsage] = field(default_factory=dict)
    unexpected_ends: list[str] = field(default_factory=list)
    lateness_ms: dict[str, float] = field(default_factory=dict)
    lab_problems: list[str] = field(default_factory=list)
