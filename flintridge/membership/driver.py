"""Runs a node's membership: its sockets and timers around the I/O-free failure detector."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from flintridge.config.node_config import PeersConfig
from flintridge.core.admin_routes import AdminResponse
from flintridge.membership.admin_view import membership_view
from flintridge.membership.datagram_endpoint import DatagramEndpoint
from flintridge.membership.exchange_service import ExchangeHandler, ExchangeService
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import Member
from flintridge.membership.member_sync import MEMBERS_TOPIC, MemberSync
from flintridge.membership.messages import MessageCodec, ProcessId
from flintridge.membership.reachability import Reachability
from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK_MS = 50.0
INCARNATION_BITS = 62


class MembershipDriver:
    """The membership of one process of a node in the fleet. Times are float milliseconds of the clock.

    Attributes:
        name: Name of this node.
        incarnation: Incarnation of this process.
        config: Configuration of the node's `[peers]` table.
        failure_detector: Failure detector of this process.
    """

    def __init__(
        self,
        name: str,
        config: PeersConfig,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """Prepare the membership; `start` begins it.

        Args:
            name: Name of this node.
            config: Configuration of the node's `[peers]` table.
            clock: Clock of this process.
            log: Logs events for operators.
            counters: Counters of the node.
            entropy: Returns the given number of random bytes.
        """
        rng = Random(entropy(16))
        self.name = name
        self.incarnation = rng.getrandbits(INCARNATION_BITS) + 1
        self.config = config
        self._clock = clock
        self._log = log
        self._counters = counters
        self._addresses = {peer: address for peer, address in config.known if peer != name}
        codec = MessageCodec(config.fleet, config.key)
        bytes_per_s = config.bytes_per_s / 2  # half for datagrams, half for exchanges
        peers = tuple(self._addresses)
        self.failure_detector = FailureDetector(
            name, self.incarnation, peers, codec, bytes_per_s, clock.now(), rng, log.event
        )
        self._tasks: dict[asyncio.Task[Any], None] = {}
        process = ProcessId(name, self.incarnation)
        self._exchanges = ExchangeService(
            process, codec, bytes_per_s, clock, log, counters, entropy, self._tasks
        )
        self._member_sync = MemberSync(self.failure_detector, self.exchange, clock, log, counters)
        self._exchanges.register(MEMBERS_TOPIC, self._member_sync.serve)
        self._endpoint = DatagramEndpoint(
            config.listen, codec, clock, log, counters, self._on_datagram, self._on_address_claimed
        )
        self._timer: Timer | None = None
        self._closed = False

    @property
    def reachability(self) -> Reachability:
        """How much of the fleet is reachable at this moment."""
        self.failure_detector.refresh(self._clock.now())
        return self.failure_detector.reachability

    def register_exchange(self, topic: str, handler: ExchangeHandler) -> None:
        """Serve a topic's exchanges from now on.

        Raises:
            ValueError: The topic has a handler already.
        """
        self._exchanges.register(topic, handler)

    async def start(self) -> None:
        """Begin to send and receive.

        Raises:
            ListenError: The address cannot be bound, and not because another process of this node has it.
        """
        await self._endpoint.open()
        self._log.event(
            "peers",
            address=str(self.config.listen),
            holds=self._endpoint.owns_address,
            life=f"{self.incarnation:x}",
            known=len(self._addresses),
        )
        self._tick()

    def leave(self) -> None:
        """Notify a few peers that this process ends in order. No datagrams are sent after that."""
        if not self._closed:
            self.failure_detector.leave(self._clock.now())
            self._send_datagrams()

    async def close(self) -> None:
        """End all exchanges and timers, and close the sockets."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._exchanges.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._endpoint.close()

    def send_payloads(self, member: Member) -> None:
        """Send a member the topics' payloads now."""
        if not self._closed:
            self.failure_detector.send_payloads(self._clock.now(), member)
            self._send_datagrams()

    async def exchange(self, peer: str, topic: str, query: bytes) -> list[bytes]:
        """Send a query to a peer and return the chunks of the whole response.

        Raises:
            KeyError: The peer's name is not configured.
            OSError: The connection could not be opened, or it broke.
            DeadlineExceededError: The exchange took too long.
            MessageDroppedError: The received bytes are not a valid response.
            ExchangeRejectedError: The peer rejected the query.
        """
        return await self._exchanges.request(self._addresses[peer], topic, query)

    def admin_view(self) -> AdminResponse:
        """The response to GET /admin/peers."""
        now = self._clock.now()
        self.failure_detector.refresh(now)
        fields = membership_view(self.config, self.failure_detector, self._endpoint.owns_address, now)
        return AdminResponse(200, fields)

    def publish_counters(self) -> None:
        """Copy the failure detector's counters into the node's, which are printed with the others."""
        for name, count in self.failure_detector.counters.items():
            full_name = f"peers_{name}"
            self._counters.add(full_name, count - self._counters[full_name])

    # Datagrams

    def _tick(self) -> None:
        if self._closed:
            return
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK_MS, self._tick)
        try:
            self.failure_detector.tick(now)
            self._send_datagrams()
            if self._endpoint.is_claim_due(now):
                self._endpoint.register()
                self._start_task(self._endpoint.retry_claim())
            self._sync_if_due()
        except Exception as error:  # the node must keep serving whatever fails here
            self._record_failure(error)

    def _on_datagram(self, data: bytes, source: Any) -> None:
        if self._closed:
            return
        try:
            if self._endpoint.accept_registration(data, source):
                return
            self._endpoint.forward(data)
            self.failure_detector.has_successor = self._endpoint.has_successor
            self.failure_detector.receive(self._clock.now(), data)
            self._send_datagrams()
        except Exception as error:  # the node must keep serving whatever fails here
            self._record_failure(error)

    def _send_datagrams(self) -> None:
        for datagram in self.failure_detector.take_datagrams():
            address = self._addresses[datagram.name]
            self._endpoint.send(datagram.data, (address.host, address.port))

    async def _on_address_claimed(self) -> None:
        await self._exchanges.listen(self.config.listen)

    def _record_failure(self, error: Exception) -> None:
        self._counters.add("peers_errors")
        self._log.error("peers_failed", error)

    def _sync_if_due(self) -> None:
        peer = self.failure_detector.next_sync_source(self._clock.now())
        if peer is not None:
            self._start_task(self._member_sync.pull(peer))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
