"""A request as the model of a cache server sees it."""

from enum import Enum, auto

from flintridge.lab.world.outcomes import Outcome


class JobState(Enum):
    """State of a job at a cache server."""

    NEW = auto()
    WAITING = auto()
    RUNNING = auto()
    FINISHED = auto()


class Job:
    """A request at a cache server.

    Attributes:
        key: The key that is read or written.
        write: Whether it is a write.
        work_ms: Work of a hit, in milliseconds of a core of speed 1.
        expires_at: When the caller stops waiting (ms of the run).
        cost_ms: Work that it takes, as a hit or a miss at its arrival (work-ms); negative before the arrival.
        state: State of the job.
        version: Version of the copy that it found; 0 for a miss.
        outcome: Outcome of the request; None until it ends.
        executed: Whether the request took effect.
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
        """Create a job that has not arrived yet; the arguments are the attributes of the same names."""
        self.key = key
        self.write = write
        self.work_ms = work_ms
        self.expires_at = expires_at
        self.cost_ms = -1.0
        self.state = JobState.NEW
        self.version = 0
        self.outcome: Outcome | None = None
        self.executed = False
