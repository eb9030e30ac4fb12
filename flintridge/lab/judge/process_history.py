"""The processes of the nodes, as their starts, ends and pauses were seen."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintridge.lab.records import NodeStateChanged

PAUSE_RECOVERY_MS = 200.0  # after a pause: what was delivered meanwhile is read first
TERMINATION_ACCEPT_MS = 700.0  # after SIGTERM: what arrives within this must be responded to


class Pause(NamedTuple):
    """A time in which a process stood still; infinite where no end was seen."""

    start_ms: float
    end_ms: float


@dataclass(slots=True)
class ProcessLifetime:
    """One process of a node, from its start to its end.

    Attributes:
        node: The node.
        started_ms: When it started; minus infinity where no start was seen.
        termination: Its SIGTERM, if it got one before its end.
        end: Killed, exited or stuck, whichever came first.
        pauses: Those that have ended.
        paused_since_ms: The start of a pause without an end.
    """

    node: str
    started_ms: float
    termination: NodeStateChanged | None = None
    end: NodeStateChanged | None = None
    pauses: list[Pause] = field(default_factory=list)
    paused_since_ms: float | None = None

    @property
    def all_pauses(self) -> list[Pause]:
        """Also one without an end."""
        if self.paused_since_ms is None:
            return list(self.pauses)
        return [*self.pauses, Pause(self.paused_since_ms, math.inf)]

    def was_paused(self, since_ms: float, until_ms: float) -> bool:
        """Whether it stood still, or had only just gone on, at any time between these."""
        if not self.pauses and self.paused_since_ms is None:
            return False
        return any(
            pause.start_ms <= until_ms and since_ms <= pause.end_ms + PAUSE_RECOVERY_MS
            for pause in self.all_pauses
        )

    def observe(self, record: NodeStateChanged) -> None:
        """Take in what was seen of this process."""
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
    """All processes.

    Attributes:
        by_node: Those of each node, in the order of their starts.
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
        """The process that was there at an instant, or else the last one before.

        One without an end if none was.
        """
        lifetimes = self.by_node.setdefault(node, [ProcessLifetime(node, -math.inf)])
        found = lifetimes[0]
        for lifetime in lifetimes:
            if lifetime.started_ms <= at_ms:
                found = lifetime
        return found
