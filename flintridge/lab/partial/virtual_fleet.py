"""Failure detectors in virtual time: hundreds of nodes, on links that lose, delay, duplicate and are cut.

All random draws come from one seed. Times are float milliseconds; each process has a clock of its own, which
may start anywhere and drift.
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
    """What a process's failure detector is built from, in the order of `FailureDetector`'s parameters."""

    name: str
    incarnation: int
    names: tuple[str, ...]
    codec: MessageCodec
    bytes_per_s: float
    now: float
    rng: Random

    @property
    def peer_names(self) -> tuple[str, ...]:
        """The other nodes."""
        return tuple(name for name in self.names if name != self.name)

    def build(self, detector_type: type[DetectorT]) -> DetectorT:
        """Build a detector of that type."""
        return detector_type(
            self.name, self.incarnation, self.names, self.codec, self.bytes_per_s, self.now, self.rng
        )


class VirtualFleet(VirtualNetwork, Generic[DetectorT]):
    """Nodes of one fleet, each of which runs in one process at first."""

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
            count: How many nodes; they are called n0, n1 ...
            seed: Of all random draws.
            bytes_per_s: What a process may send in datagrams, and again in table transfers.
            link: What each direction does unless it has a link of its own.
            drift: Fraction by which a clock's rate may differ from 1.
            key: Of the fleet, where its datagrams are sealed.
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
        """Build what a process runs. `arguments.rng` may be drawn from."""

    # Processes

    def start(self, name: str) -> VirtualProcess[DetectorT]:
        """Start a new incarnation of that node."""
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
        """End the node's processes without notice."""
        for process in self.processes[name]:
            process.is_alive = False

    def leave(self, name: str) -> None:
        """End the node's processes in order: they announce it."""
        for process in self.living(name):
            process.detector.leave(process.clock(self.now))
            self.send_datagrams(process)
            process.is_alive = False

    def pause(self, name: str) -> None:
        """Let the node's processes stand still."""
        for process in self.living(name):
            process.is_paused = True

    def resume(self, name: str) -> None:
        """Let the node's processes go on.

        What arrived meanwhile is read before the first tick, as an event loop does it.
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
        """Return the node's processes that have not ended, the newest last."""
        return [process for process in self.processes[name] if process.is_alive]

    def newest(self, name: str) -> VirtualProcess[DetectorT] | None:
        """Return the node's newest process that has not ended; None where there is none."""
        living = self.living(name)
        return living[-1] if living else None

    def detector(self, name: str) -> DetectorT:
        """Return the failure detector of the node's newest process."""
        return self.living(name)[-1].detector

    def clock(self, name: str) -> float:
        """Return what the clock of the node's newest process shows, in ms."""
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
        """Send what the process's detector has to send."""
        for datagram in process.detector.take_datagrams():
            self.datagrams_sent += 1
            second = int(self.now // 1000)
            process.datagram_bytes[second] = process.datagram_bytes.get(second, 0) + len(datagram.data)
            if self.on_send is not None:
                self.on_send(process, datagram.name, datagram.data)
            self.forward(process.name, datagram.name, datagram.data)

    def forward(self, source: str, target: str, data: bytes) -> None:
        """Forward a datagram as its link does now: lost, delayed, duplicated."""
        link = self.current_link(source, target)
        if link.is_cut or self.rng.random() < link.loss:
            return
        arrivals = 2 if self.rng.random() < link.duplication else 1
        for _ in range(arrivals):
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
    """Nodes with failure detectors and nothing else."""

    def _build_detector(self, arguments: DetectorArguments) -> FailureDetector:
        return arguments.build(FailureDetector)
