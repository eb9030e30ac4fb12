"""Processes that replicate state, in virtual time: failure detectors, replicas and rumor spreading.

A process sends the chunks of its snapshot exchanges one after another, at its byte rate for exchanges. An
exchange fails if a link between the two processes is cut or one of them ends.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from flintridge.lab.partial.virtual_fleet import (
    DEFAULT_BYTES_PER_S,
    DetectorArguments,
    VirtualFleet,
)
from flintridge.lab.partial.virtual_network import Link
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import Member
from flintridge.replication.entry import Writer
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.messages import decode_chunk, decode_request, encode_chunk, encode_request
from flintridge.replication.replica import CHUNK_BYTES, Replica

INITIAL_UNIX_MS = 1.7e12  # time of day at the start of virtual time, in ms since the start of 1970
EXCHANGE_TIMEOUT_MS = 10_000.0
CHUNK_INTERVAL_MS = 50.0
BUCKETS_PER_TICK = 8  # buckets checked for expired entries; the same as in flintridge/replication/driver.py
RUMOR_LIFETIME_MS = 1e6  # a rumor is no longer spread after this time
UNLIMITED_BYTES = 1 << 30


class CountingRumorSpreader(RumorSpreader):
    """A rumor spreader that counts the bytes of its payloads."""

    bytes_sent = 0

    def payload_for(self, now: float, to: Member, room: int) -> bytes | None:
        """See `RumorSpreader.payload_for`."""
        payload = super().payload_for(now, to, room)
        self.bytes_sent += len(payload or b"")
        return payload


class ReplicaProcess(FailureDetector):
    """A failure detector with a replica, driven in the same way as in `flintridge/replication/driver.py`."""

    replica: Replica
    spreader: CountingRumorSpreader
    fleet: ReplicaProcesses
    is_synchronizing = False
    upload_free_at = 0.0  # in ms of virtual time: when the chunks sent so far will have been transmitted
    exchange_bytes = 0  # sent in snapshot exchanges, requests included

    def tick(self, now: float) -> None:
        """See `FailureDetector.tick`; also sends urgent rumors and starts a comparison if one is due."""
        super().tick(now)
        self.replica.expire(now, BUCKETS_PER_TICK)
        reachable = [
            (member.name, member.incarnation)
            for member in self.table
            if member.reachable and member.name != self.table.local_name
        ]
        for name, incarnation in self.spreader.urgent_targets(now, reachable):
            member = self.table.find(name, incarnation)
            if member is not None:
                self.send_payloads(now, member)
        if self.is_synchronizing:
            return
        source = self.spreader.comparisons.choose_source(now, reachable)
        if source is not None:
            self.is_synchronizing = True
            SnapshotExchange(self.fleet, self, source).request()


class ReplicaProcesses(VirtualFleet[ReplicaProcess]):
    """Nodes that replicate the same state."""

    def __init__(
        self,
        count: int,
        seed: int,
        limits: ReplicaLimits | None = None,
        topic_bytes_per_s: float = 2_000.0,
        build: Callable[..., Replica] = Replica,
        bytes_per_s: float = DEFAULT_BYTES_PER_S,
        link: Link | None = None,
        drift: float = 0.0,
    ) -> None:
        """Start all nodes with empty replicas.

        Args:
            count: The number of nodes.
            seed: The seed of all random draws.
            limits: The limits of the replicas.
            topic_bytes_per_s: The byte rate at which a rumor spreader may send.
            build: Builds each node's replica; a test passes a defective type here.
            bytes_per_s: A process's byte rate for datagrams; exchanges have the same rate in addition.
            link: The link of every direction; None for `Link()`.
            drift: The largest fraction by which a clock's rate differs from 1.
        """
        self.limits = limits or ReplicaLimits()
        self._topic_bytes_per_s = topic_bytes_per_s
        self._build_replica = build
        self.exchange_bytes_per_s = bytes_per_s
        super().__init__(count, seed, bytes_per_s, link, drift)

    def _build_detector(self, arguments: DetectorArguments) -> ReplicaProcess:
        now = arguments.now
        process = arguments.build(ReplicaProcess)
        process.fleet = self
        process.replica = self._build_replica(
            (arguments.name, arguments.incarnation), self.limits, now, INITIAL_UNIX_MS + self.now - now
        )
        process.spreader = CountingRumorSpreader(
            process.replica, arguments.peer_names, self._topic_bytes_per_s, Random(arguments.rng.random())
        )
        process.register_topic(process.spreader)
        return process

    def replica(self, name: str) -> Replica:
        """Return the replica of the node's newest process."""
        return self.detector(name).replica

    def have_equal_roots(self) -> bool:
        """Whether the replicas of all living nodes have the same root digest."""
        return len({self.replica(name).root() for name in self.names if self.living(name)}) == 1

    def have_equal_active_versions(self) -> bool:
        """Whether all living nodes hold the same active versions; tombstones and vectors may differ."""
        distinct = set()
        for name in self.names:
            if not self.living(name):
                continue
            replica = self.replica(name)
            now = self.clock(name)
            versions = (replica.active_version(key, now) for key in replica.entries)
            distinct.add(frozenset(version.dot for version in versions if version is not None))
        return len(distinct) == 1

    def initialize(self, write: Callable[[Replica, float], None]) -> None:
        """Give all replicas the same initial entries, and mark them as synchronized.

        Args:
            write: Writes the entries to the first node's replica; called with the replica and with the time
                by that node's clock, in ms.
        """
        first_name = self.names[0]
        first = self.replica(first_name)
        write(first, self.clock(first_name))
        first.mark_synchronized()
        for name in self.names[1:]:
            now = self.clock(name)
            replica = self.replica(name)
            replica.mark_synchronized()
            chunk = first.make_chunk(replica.next_request(first.writer), max_bytes=UNLIMITED_BYTES)
            response = decode_chunk(encode_chunk(first.writer, chunk, self.clock(first_name)), now)
            assert response is not None
            is_complete = replica.apply_chunk(now, response.source, response.chunk)
            assert is_complete
            self.detector(name).spreader.urgent_targets(now + RUMOR_LIFETIME_MS, [])


class SnapshotExchange:
    """One exchange in which a process synchronizes its replica with that of a source, chunk by chunk."""

    def __init__(self, fleet: ReplicaProcesses, requester: ReplicaProcess, source: Writer) -> None:
        """Prepare an exchange.

        Args:
            fleet: The fleet of both processes.
            requester: The process whose replica is synchronized.
            source: The process whose replica it is compared with.
        """
        self._fleet = fleet
        self._requester = requester
        self._source = source
        self._requester_process = next(
            process
            for process in fleet.processes[requester.table.local_name]
            if process.detector is requester
        )
        source_name, incarnation = source
        self._source_process = next(
            (
                process
                for process in fleet.living(source_name)
                if process.detector.table.incarnation == incarnation
            ),
            None,
        )
        self._requested_at = fleet.now
        self._initial_root = requester.replica.root()

    def request(self) -> None:
        """Request the next chunk, and schedule its arrival or, without a connection, the timeout."""
        fleet = self._fleet
        requester = self._requester
        self._requested_at = fleet.now
        encoded = encode_request(requester.replica.next_request(self._source))
        requester.exchange_bytes += len(encoded)
        if not self._is_connected():
            fleet.at(fleet.now + EXCHANGE_TIMEOUT_MS, self._finish)
            return
        request = decode_request(encoded)
        source_process = self._source_process
        assert request is not None
        assert source_process is not None
        source = source_process.detector
        chunk = source.replica.make_chunk(request, CHUNK_BYTES)
        frames = encode_chunk(source.replica.writer, chunk, source_process.clock(fleet.now))
        size = sum(map(len, frames))
        source.exchange_bytes += size
        sending_ms = size / fleet.exchange_bytes_per_s * 1000.0
        source.upload_free_at = max(fleet.now, source.upload_free_at) + sending_ms
        fleet.at(source.upload_free_at + 2 * fleet.default_link.delay_ms, lambda: self._receive(frames))

    def _receive(self, frames: list[bytes]) -> None:
        fleet = self._fleet
        process = self._requester_process
        response = decode_chunk(frames, process.clock(self._requested_at))
        if not self._is_connected() or response is None:
            fleet.at(max(fleet.now, self._requested_at + EXCHANGE_TIMEOUT_MS), self._finish)
        elif self._requester.replica.apply_chunk(process.clock(fleet.now), response.source, response.chunk):
            self._finish()
        else:
            fleet.at(fleet.now + CHUNK_INTERVAL_MS, self.request)

    def _is_connected(self) -> bool:
        source = self._source_process
        if source is None or not source.is_running or not self._requester_process.is_alive:
            return False
        names = (self._requester_process.name, source.name)
        request_link = self._fleet.current_link(names[0], names[1])
        response_link = self._fleet.current_link(names[1], names[0])
        return not request_link.is_cut and not response_link.is_cut

    def _finish(self) -> None:
        requester = self._requester
        requester.is_synchronizing = False
        requester.replica.abandon_comparison(self._source)
        has_changed = requester.replica.root() != self._initial_root
        now = self._requester_process.clock(self._fleet.now)
        requester.spreader.comparisons.finish(now, self._source, has_changed)
