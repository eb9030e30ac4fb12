"""The lives of the nodes' processes, as their starts, ends and pauses were seen."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintridge.lab.records import NodeStateChanged

RECOVERY_MS = 200.0  # after a pause: what was delivered meanwhile is read first
SERVES_ON_MS = 700.0  # after SIGTERM: what arrives within this must be answered


@dataclass(slots=True)
class ProcessLifetime:
    """One process of a node, from its start to its end."""

    node: str
    started: float
    term: NodeStateChanged | None = None
    end: NodeStateChanged | None = None  # killed, exited or stuck, whichever came first
    pauses: list[tuple[float, float]] = field(default_factory=list)
    paused_at: float | None = None

    def paused(self, since: float, until: float) -> bool:
        """Whether it stood still, or was only just going on, at any time between these."""
        if not self.pauses and self.paused_at is None:
            return False
        spans = list(self.pauses)
        if self.paused_at is not None:
            spans.append((self.paused_at, math.inf))
        return any(a <= until and since <= b + RECOVERY_MS for a, b in spans)

    def note(self, said: NodeStateChanged) -> None:
        """Take in what was said of this process."""
        match said.state:
            case "term" if self.term is None and self.end is None:
                self.term = said
            case "killed" | "exited" | "stuck" if self.end is None:
                self.end = said
            case "paused" if self.paused_at is None:
                self.paused_at = said.at_ms
            case "resumed" if self.paused_at is not None:
                self.pauses.append((self.paused_at, said.at_ms))
                self.paused_at = None


class ProcessHistory:
    """All processes by node, in the order of their starts."""

    def __init__(self, said: Iterable[NodeStateChanged]) -> None:
        self.by_node: dict[str, list[ProcessLifetime]] = {}
        for record in said:
            lives = self.by_node.setdefault(record.node, [])
            if record.state == "started" or not lives:
                lives.append(
                    ProcessLifetime(record.node, record.at_ms if record.state == "started" else -math.inf)
                )
            lives[-1].note(record)

    def at(self, node: str, t: float) -> ProcessLifetime:
        """The process that was there at `t`, or else the last one before; one without end if none was."""
        lives = self.by_node.setdefault(node, [ProcessLifetime(node, -math.inf)])
        found = lives[0]
        for life in lives:
            if life.started <= t:
                found = life
        return found
