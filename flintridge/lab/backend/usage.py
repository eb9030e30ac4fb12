"""What the nodes of a run used, and how well the machine kept up."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ProcessUsage:
    """What the processes of one node used.

    Attributes:
        cpu_s: CPU time of all of them.
        memory_mb: The most memory that one of them held.
        peak_cores: The most CPU used in a second, in cores.
        max_saturated_s: The longest time in which a core was used wholly.
        processes: How many there were.
    """

    cpu_s: float
    memory_mb: float
    peak_cores: float
    max_saturated_s: float
    processes: int


@dataclass(slots=True)
class RunUsage:
    """What the nodes of a run used, where the backend knows it.

    Attributes:
        node_cpu_s: CPU time of all nodes.
        node_memory_mb: The most memory that one process held.
        counters: The nodes' counters by node and name.
        histograms: The nodes' histograms by node and name.
        nodes: What each node used.
        unexpected_ends: Processes that ended without being asked to, or that did not end when asked.
        lateness_ms: How late the lab's own timers were.
        lab_problems: What went wrong in the lab itself.
    """

    node_cpu_s: float = 0.0
    node_memory_mb: float = 0.0
    counters: dict[str, dict[str, int]] = field(default_factory=dict)
    histograms: dict[str, dict[str, dict[str, float]]] = field(default_factory=dict)
    nodes: dict[str, ProcessUsage] = field(default_factory=dict)
    unexpected_ends: list[str] = field(default_factory=list)
    lateness_ms: dict[str, float] = field(default_factory=dict)
    lab_problems: list[str] = field(default_factory=list)
