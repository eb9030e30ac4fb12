"""The recorded starts, ends and pauses of the nodes' processes."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintridge.lab.records import NodeStateChanged

PAUSE_RECOVERY_MS = 200.0  # after a pause, a process first reads the input that arrived during it
TERMINATION_ACCEPT_MS = 700.0  # a request that arrives within this time after SIGTERM must get a response


class Pause(NamedTuple):
    """A span in which a process was paused; `end_ms` is infinite if no end was recorded."""

    start_ms: float
    end_ms: float


@dataclass(slots=True)
class ProcessLifetime:
    """One process of a node, from its start to its end.

    Attributes:
        node: The node's name.
        started_ms: When it started; minus infinity if no start was recorded.
        termination: The record of its SIGTERM; None if it got none before its end.
        end: The first record that it was killed, exited or stuck; None if there is none.
        pauses: Its pauses that have ended.
        paused_since_ms: The start of a pause that has not ended; None if there is none.
    """

    node: str
    started_ms: float
    termination: NodeStateChanged | None = None
    end: NodeStateChanged | None = None
    pauses: list[Pause] = field(default_factory=list)
    paused_since_ms: float | None = None

    @property
    def all_pauses(self) -> list[Pause]:
        """All pauses, including one that has not ended."""
        if self.paused_since_ms is None:
            return list(self.pauses)
        return [*self.pauses, Pause(self.paused_since_ms, math.inf)]

    def was_paused(self, since_ms: float, until_ms: float) -> bool:
        """Whether the process was paused, or recovering from a pause, at any time of this span."""
        if not self.pauses and self.paused_since_ms is None:
            return False
        return any(
            pause.start_ms <= until_ms and since_ms <= pause.end_ms + PAUSE_RECOVERY_MS
            for pause in self.all_pauses
        )

    def observe(self, record: NodeStateChanged) -> None:
        """Apply a record about this process."""
        match record.state:
            case "term" if self.termination is None and self.end is None:
                self.termination = record
            case "killed" | "exited" | "stuck" if self.end is None:
                self.end = record
            case "paused" if self.paused_since_ms is None:
                self.paused_since_ms = record.at_ms
            case "resumed" if self.paused_since_ms is not None:
                self.pauses.append(Pause(self.paused_since_ms, record.at_ms))
                self.paused_since_ms = None


class ProcessHistory:
    """The processes of all nodes.

    Attributes:
        by_node: The processes of each node, in the order of their starts.
    """

    def __init__(self, records: Iterable[NodeStateChanged]) -> None:
        self.by_node: dict[str, list[ProcessLifetime]] = {}
        for record in records:
            lifetimes = self.by_node.setdefault(record.node, [])
            if record.state == "started":
                lifetimes.append(ProcessLifetime(record.node, record.at_ms))
            elif not lifetimes:
                lifetimes.append(ProcessLifetime(record.node, -math.inf))
            lifetimes[-1].observe(record)

    def at(self, node: str, at_ms: float) -> ProcessLifetime:
        """Return the process of a node that had started last by `at_ms`.

        Before the first start it is the first process; for a node without records, one that has neither start
        nor end.
        """
        lifetimes = self.by_node.setdefault(node, [ProcessLifetime(node, -math.inf)])
        found = lifetimes[0]
        for lifetime in lifetimes:
            if lifetime.started_ms <= at_ms:
                found = lifetime
        return found
