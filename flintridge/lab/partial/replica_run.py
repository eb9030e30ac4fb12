"""Random runs of replicating processes, checked for acknowledged writes that are lost or undone."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from flintridge.lab.partial.random_faults import (
    PARTITIONS,
    RunEvent,
    partition_random_group,
    pause_for,
)
from flintridge.lab.partial.replica_fleet import ReplicaProcesses
from flintridge.lab.partial.virtual_network import Link
from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Dot, Key
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica
from flintridge.replication.value_types import encode_body

BODY = encode_body("note", {"text": "x"})
ACKNOWLEDGING_HOLDERS = 2  # number of nodes that hold a write when it counts as acknowledged
DELETION_PROBABILITY = 0.3
STEP_MS = 300.0
START_LIMIT_MS = 30_000.0  # for the first synchronization of all nodes
CONVERGENCE_LIMIT_MS = 120_000.0
AFTER_PAUSE_MS = 3_100.0  # longer than any pause
EVENTS = (
    RunEvent.KILL,
    RunEvent.PARTITION,
    RunEvent.ONE_WAY_PARTITION,
    RunEvent.HEAL,
    RunEvent.PAUSE,
    *[None] * 12,
)


@dataclass(slots=True)
class TrackedWrite:
    """What the checker knows of a write, which is no more than an operator can know.

    Attributes:
        key: The key of the entry.
        node: The node at which it was written.
        dot: The dot of the version.
        is_deletion: Whether it deleted the entry.
        holders: The nodes known at `node` to hold the write, from their acknowledgements; `node` included.
        failed_holders: The holders that were killed after the write.
    """

    key: Key
    node: str
    dot: Dot
    is_deletion: bool
    holders: set[str] = field(default_factory=set)
    failed_holders: set[str] = field(default_factory=set)

    @property
    def is_durable(self) -> bool:
        """Whether the write was acknowledged and at least one of its holders was not killed."""
        is_acknowledged = len(self.holders) >= ACKNOWLEDGING_HOLDERS
        return is_acknowledged and len(self.failed_holders) < len(self.holders)


@dataclass(slots=True)
class ReplicaRun:
    """The result of a random run.

    Attributes:
        seed: The seed of the run.
        violations: Writes that were lost, deletions that were undone, or replicas that differ; empty if none.
        write_count: The number of writes, deletions included.
        acknowledged_count: How many of the writes were durable at the end.
        kill_count: How many processes were killed.
        partition_count: How many partitions there were.
        convergence_ms: Time from the end of all faults until all nodes had synchronized and held the same
            active versions, in ms.
    """

    seed: int
    violations: list[str]
    write_count: int
    acknowledged_count: int
    kill_count: int
    partition_count: int
    convergence_ms: float


class WriteChecker:
    """Checks that an acknowledged write is lost only if all its holders were killed.

    Every key is written once by one node, and deleted at most once by a node that holds it.
    """

    def __init__(self, fleet: ReplicaProcesses) -> None:
        """Create a checker of the writes to `fleet`."""
        self._fleet = fleet
        self.writes: list[TrackedWrite] = []

    def write(self, node: str, rng: Random) -> None:
        """Write a new entry at `node`, or delete one that it holds."""
        process = self._fleet.detector(node)
        now = self._fleet.clock(node)
        replica = process.replica
        deleted = self._deleted_keys()
        deletable = sorted(
            key
            for key in replica.entries
            if key not in deleted and replica.active_version(key, now) is not None
        )
        is_deletion = bool(deletable) and rng.random() < DELETION_PROBABILITY
        key = rng.choice(deletable) if is_deletion else ("note", f"{node}-{len(self.writes)}")
        dot = replica.write(now, key, BODY, "ann", "a day", deleted=is_deletion).dot
        process.spreader.acknowledgements.track(dot)
        self.writes.append(TrackedWrite(key, node, dot, is_deletion, {node}))

    def _deleted_keys(self) -> set[Key]:
        return {write.key for write in self.writes if write.is_deletion}

    def update_holders(self) -> None:
        """Record which nodes hold each write, as far as the writing node knows from acknowledgements."""
        for write in self.writes:
            if self._fleet.living(write.node) and not write.failed_holders:
                acknowledgements = self._fleet.detector(write.node).spreader.acknowledgements
                write.holders |= acknowledgements.holders(write.dot)

    def record_kill(self, node: str) -> None:
        """Record that the node is killed now; acknowledgements that arrived before count."""
        self.update_holders()
        for write in self.writes:
            if node in write.holders:
                write.failed_holders.add(node)

    def violations(self) -> list[str]:
        """Return the lost writes and the undone deletions; called once all replicas are equal."""
        name = self._fleet.names[0]
        replica = self._fleet.replica(name)
        now = self._fleet.clock(name)
        deleted = self._deleted_keys()
        lost = [
            f"{write.key[1]}, written by {write.node} and held by {len(write.holders)} nodes, is lost"
            for write in self.writes
            if not write.is_deletion
            and write.is_durable
            and write.key not in deleted
            and replica.active_version(write.key, now) is None
        ]
        returned = [
            f"the deletion of {write.key[1]} by {write.node}, held by {len(write.holders)} nodes, is undone"
            for write in self.writes
            if write.is_deletion and write.is_durable and replica.active_version(write.key, now) is not None
        ]
        return lost + returned


class RandomRun:
    """A run with a write or a deletion every `STEP_MS` and a fault about every second."""

    def __init__(self, fleet: ReplicaProcesses, rng: Random) -> None:
        """Prepare a run.

        Args:
            fleet: The nodes.
            rng: Draws the writes and the faults.
        """
        self._fleet = fleet
        self._rng = rng
        self._killed: str | None = None  # the node that was killed last, until it has synchronized again
        self.checker = WriteChecker(fleet)
        self.kill_count = 0
        self.partition_count = 0

    def is_synchronized(self, name: str) -> bool:
        """Whether the node is alive and has synchronized."""
        if not self._fleet.living(name):
            return False
        return self._fleet.replica(name).sync_state is SyncState.SYNCHRONIZED

    def are_all_synchronized(self) -> bool:
        """Whether all nodes are alive and have synchronized."""
        return all(map(self.is_synchronized, self._fleet.names))

    def play(self, length_ms: float) -> None:
        """Wait until all nodes have synchronized, then write and inject faults for `length_ms`."""
        fleet = self._fleet
        fleet.run(START_LIMIT_MS, self.are_all_synchronized)
        end = fleet.now + length_ms
        while fleet.now < end:
            fleet.run(STEP_MS)
            self.checker.update_holders()
            synchronized = [name for name in fleet.names if self.is_synchronized(name)]
            if synchronized:
                self.checker.write(self._rng.choice(synchronized), self._rng)
            self._restart_killed()
            self._draw_fault(synchronized)
        self.checker.update_holders()

    def _restart_killed(self) -> None:
        if self._killed is None:
            return
        if not self._fleet.living(self._killed):
            self._fleet.start(self._killed)
        elif self.is_synchronized(self._killed):
            self._killed = None

    def _draw_fault(self, synchronized: list[str]) -> None:
        fleet = self._fleet
        rng = self._rng
        event = rng.choice(EVENTS)
        if event is RunEvent.KILL and len(synchronized) == len(fleet.names):
            self._killed = rng.choice(synchronized)
            self.checker.record_kill(self._killed)
            fleet.kill(self._killed)
            self.kill_count += 1
        elif event in PARTITIONS:
            partition_random_group(fleet, rng, event)
            self.partition_count += 1
        elif event is RunEvent.HEAL:
            fleet.heal()
        elif event is RunEvent.PAUSE and synchronized:
            name = rng.choice(synchronized)
            pause_for(fleet, name, rng.choice((200.0, 3_000.0)))
            fleet.run(AFTER_PAUSE_MS)

    def converge(self) -> float:
        """End all faults, and run until the replicas are equal.

        The wait for equal active versions and the wait for equal replicas each last at most
        `CONVERGENCE_LIMIT_MS`.

        Returns:
            The time until all nodes had synchronized and held the same active versions, in ms.
        """
        fleet = self._fleet
        fleet.heal()
        fleet.default_link.loss = 0.0
        for name in fleet.names:
            if not fleet.living(name):
                fleet.start(name)
        healed_at = fleet.now
        fleet.run(
            CONVERGENCE_LIMIT_MS,
            lambda: self.are_all_synchronized() and fleet.have_equal_active_versions(),
        )
        convergence_ms = fleet.now - healed_at
        fleet.run(CONVERGENCE_LIMIT_MS, fleet.have_equal_roots)
        return convergence_ms


def random_run(
    seed: int, count: int = 5, length_ms: float = 60_000.0, build: Callable[..., Replica] = Replica
) -> ReplicaRun:
    """Play a random run in which tombstones are kept for only 5 s.

    Args:
        seed: The seed of all random draws.
        count: The number of nodes.
        length_ms: The duration of the writes and faults, in ms of virtual time.
        build: Builds each node's replica; a test passes a defective type here.
    """
    rng = Random(seed)
    loss = rng.choice((0.0, 0.05, 0.3))
    jitter_ms = rng.choice((0.2, 20.0, 400.0))
    link = Link(loss=loss, jitter_ms=jitter_ms, duplication=0.1)
    limits = ReplicaLimits(tombstone_ms=5_000.0, sync_wait_ms=4_000.0)
    fleet = ReplicaProcesses(count, seed, limits, build=build, link=link, drift=0.02)
    run = RandomRun(fleet, rng)
    run.play(length_ms)
    convergence_ms = run.converge()
    checker = run.checker
    if fleet.have_equal_roots():
        violations = checker.violations()
    else:
        violations = ["the replicas still differ at the end of the convergence period, without any fault"]
    return ReplicaRun(
        seed,
        violations,
        len(checker.writes),
        sum(write.is_durable for write in checker.writes),
        run.kill_count,
        run.partition_count,
        convergence_ms,
    )
