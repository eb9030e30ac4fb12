"""Failure detectors of hundreds of nodes in virtual time.

Links lose, delay and duplicate datagrams, and can be cut. All random draws come from one seed. Times are
float milliseconds. Each process has its own clock, which starts at a random offset and may drift.
"""

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Generic

from flintridge.lab.partial.table_transfer import TableTransfer
from flintridge.lab.partial.virtual_network import TICK_MS, Link, VirtualNetwork
from flintridge.lab.partial.virtual_process import DetectorT, VirtualProcess
from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import MessageCodec

MAX_CLOCK_OFFSET_MS = 1e9
DEFAULT_BYTES_PER_S = 8_000.0


@dataclass(slots=True, frozen=True)
class DetectorArguments:
    """The arguments of a process's failure detector, in the order of `FailureDetector`'s parameters."""

    name: str
    incarnation: int
    names: tuple[str, ...]
    codec: MessageCodec
    bytes_per_s: float
    now: float
    rng: Random

    @property
    def peer_names(self) -> tuple[str, ...]:
        """The names of the other nodes."""
        return tuple(name for name in self.names if name != self.name)

    def build(self, detector_type: type[DetectorT]) -> DetectorT:
        """Build a detector of type `detector_type`."""
        return detector_type(
            self.name, self.incarnation, self.names, self.codec, self.bytes_per_s, self.now, self.rng
        )


class VirtualFleet(VirtualNetwork, Generic[DetectorT]):
    """The nodes of one fleet, each of which initially runs in one process."""

    def __init__(
        self,
        count: int,
        seed: int,
        bytes_per_s: float = DEFAULT_BYTES_PER_S,
        link: Link | None = None,
        drift: float = 0.0,
        key: bytes | None = None,
    ) -> None:
        """Start all nodes.

        Args:
            count: The number of nodes; their names are n0, n1 ...
            seed: The seed of all random draws.
            bytes_per_s: A process's byte rate for datagrams; table transfers have the same rate in addition.
            link: The link of each direction that has none of its own; None for `Link()`.
            drift: The largest fraction by which a clock's rate differs from 1.
            key: The fleet's key; None if datagrams are not sealed.
        """
        super().__init__(tuple(f"n{i}" for i in range(count)), seed, link or Link())
        self.processes: dict[str, list[VirtualProcess[DetectorT]]] = {name: [] for name in self.names}
        self.datagrams_sent = 0
        self.on_send: Callable[[VirtualProcess[DetectorT], str, bytes], None] | None = None
        self._bytes_per_s = bytes_per_s
        self._drift = drift
        self._codec = MessageCodec("fleet", key)
        for name in self.names:
            self.start(name)

    @abstractmethod
    def _build_detector(self, arguments: DetectorArguments) -> DetectorT:
        """Build the failure detector that a process runs; may draw from `arguments.rng`."""

    # Processes

    def start(self, name: str) -> VirtualProcess[DetectorT]:
        """Start a new incarnation of the node `name`."""
        clock_offset = self.rng.uniform(0, MAX_CLOCK_OFFSET_MS)
        clock_rate = 1 + self._drift * self.rng.uniform(-1, 1)
        incarnation = self.rng.getrandbits(62) + 1
        detector_rng = Random(self.rng.getrandbits(60))
        detector = self._build_detector(
            DetectorArguments(
                name,
                incarnation,
                self.names,
                self._codec,
                self._bytes_per_s,
                clock_offset,
                detector_rng,
            )
        )
        process = VirtualProcess(
            name,
            detector,
            clock_offset,
            clock_rate,
            self.now,
            transfer_budget=ByteBudget(self._bytes_per_s),
        )
        self.processes[name].append(process)
        self.at(self.now + self.rng.uniform(0, TICK_MS), lambda: self._tick(process))
        return process

    def kill(self, name: str) -> None:
        """End the node's processes without notice to their peers."""
        for process in self.processes[name]:
            process.is_alive = False

    def leave(self, name: str) -> None:
        """End the node's processes in order; they announce it to their peers."""
        for process in self.living(name):
            process.detector.leave(process.clock(self.now))
            self.send_datagrams(process)
            process.is_alive = False

    def pause(self, name: str) -> None:
        """Pause the node's processes, as SIGSTOP would."""
        for process in self.living(name):
            process.is_paused = True

    def resume(self, name: str) -> None:
        """Resume the node's processes.

        Datagrams that arrived during the pause are read before the first tick, as an event loop would do it.
        """
        for process in self.living(name):
            process.is_paused = False
            datagrams = process.receive_queue
            process.receive_queue = []
            for data in datagrams:
                process.detector.receive(process.clock(self.now), data)
            self.send_datagrams(process)
            self._tick(process)

    def living(self, name: str) -> list[VirtualProcess[DetectorT]]:
        """Return the node's processes that have not ended, oldest first."""
        return [process for process in self.processes[name] if process.is_alive]

    def newest(self, name: str) -> VirtualProcess[DetectorT] | None:
        """Return the node's newest process that has not ended; None if all have."""
        living = self.living(name)
        return living[-1] if living else None

    def detector(self, name: str) -> DetectorT:
        """Return the failure detector of the node's newest living process."""
        return self.living(name)[-1].detector

    def clock(self, name: str) -> float:
        """Return the time by the clock of the node's newest living process, in ms."""
        return self.living(name)[-1].clock(self.now)

    def _tick(self, process: VirtualProcess[DetectorT]) -> None:
        if not process.is_running:
            return
        process.detector.tick(process.clock(self.now))
        self.send_datagrams(process)
        source = process.detector.next_sync_source(process.clock(self.now))
        if source is not None:
            TableTransfer(self, process, source, lambda: self.newest(source)).request()
        self.at(self.now + TICK_MS, lambda: self._tick(process))

    # Datagrams

    def send_datagrams(self, process: VirtualProcess[DetectorT]) -> None:
        """Send the datagrams that the process's detector has queued."""
        for datagram in process.detector.take_datagrams():
            self.datagrams_sent += 1
            second = int(self.now // 1000)
            process.datagram_bytes[second] = process.datagram_bytes.get(second, 0) + len(datagram.data)
            if self.on_send is not None:
                self.on_send(process, datagram.name, datagram.data)
            self.forward(process.name, datagram.name, datagram.data)

    def forward(self, source: str, target: str, data: bytes) -> None:
        """Lose, delay or duplicate a datagram as its link does now."""
        link = self.current_link(source, target)
        if link.is_cut or self.rng.random() < link.loss:
            return
        copies = 2 if self.rng.random() < link.duplication else 1
        for _ in range(copies):
            when = self.now + link.delay_ms + self.rng.random() * link.jitter_ms
            self.at(when, lambda: self._deliver(target, data))

    def _deliver(self, target: str, data: bytes) -> None:
        for process in self.living(target):
            if process.is_paused:
                process.receive_queue.append(data)
                continue
            process.detector.receive(process.clock(self.now), data)
            self.send_datagrams(process)


class MembershipFleet(VirtualFleet[FailureDetector]):
    """Nodes that run failure detectors only."""

    def _build_detector(self, arguments: DetectorArguments) -> FailureDetector:
        return arguments.build(FailureDetector)
