"""A request as the model of a cache server sees it."""

from enum import Enum, auto

from flintridge.lab.world.outcomes import Outcome


class JobState(Enum):
    """Where a job is."""

    NEW = auto()
    WAITING = auto()
    RUNNING = auto()
    FINISHED = auto()


class Job:
    """A request at a cache server.

    Attributes:
        key: What is read or written.
        write: Whether it is a write.
        work_ms: Work of a hit, in milliseconds of a core of speed 1.
        expires_at: When the caller stops waiting (ms of the run).
        cost_ms: Work that it takes by what was stored when it arrived; negative before its arrival.
        state: Where it is.
        version: Version of the copy that it found; 0 for a miss.
        outcome: How it ended; None before.
        executed: Whether it took effect.
    """

    __slots__ = (
        "cost_ms",
        "executed",
        "expires_at",
        "key",
        "outcome",
        "state",
        "version",
        "work_ms",
        "write",
    )

    def __init__(self, key: str, write: bool, work_ms: float, expires_at: float) -> None:
        """Make a job that has not arrived yet; the arguments are the attributes of the same names."""
        self.key = key
        self.write = write
        self.work_ms = work_ms
        self.expires_at = expires_at
        self.cost_ms = -1.0
        self.state = JobState.NEW
        self.version = 0
        self.outcome: Outcome | None = None
        self.executed = False
