"""The UDP socket of a node's membership, and its handover between two processes of the node in an upgrade.

The process that has bound the configured address forwards a copy of each datagram to the node's other
processes. These register with it from temporary addresses until they can take over the configured one.
"""

import asyncio
import errno
import ipaddress
from collections.abc import Awaitable, Callable
from typing import Any

from flintridge.config.address import Address
from flintridge.membership.messages import MAGIC, VERSION, MessageCodec
from flintridge.runtime.clock import Clock
from flintridge.runtime.listener import ListenError
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

REGISTRATION_INTERVAL_MS = 250.0  # between two registrations of a process without the configured address
REGISTRATION_TTL_MS = 1_000.0  # how long a registration is valid
# A registration consists of `FR`, a version byte and the authentication tag of the port that it is sent from.
REGISTRATION_MAGIC = b"FR"
MAX_SUCCESSORS = 2  # processes that datagrams are forwarded to


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes, Any], None], counters: Counters) -> None:
        self._on_datagram = on_datagram
        self._counters = counters

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        # Either nobody listens there, which the failure detector notices itself, or a buffer is full briefly.
        self._counters.add("peers_send_errors")


class DatagramEndpoint:
    """Sends and receives datagrams at the configured address, or at a temporary one until that is free."""

    def __init__(
        self,
        address: Address,
        codec: MessageCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        on_datagram: Callable[[bytes, Any], None],
        on_claimed: Callable[[], Awaitable[None]],
    ) -> None:
        """Prepare the endpoint; `open` binds it.

        Args:
            address: The configured address.
            codec: Makes the tags that authenticate registrations.
            clock: Clock of this process, in float milliseconds.
            log: Logs which process has the configured address.
            counters: Counts errors.
            on_datagram: Called with each datagram and its source.
            on_claimed: Awaited once the configured address is bound.
        """
        self.address = address
        self.owns_address = False  # False while another process of this node has the address
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._on_datagram = on_datagram
        self._on_claimed = on_claimed
        self._transport: asyncio.DatagramTransport | None = None
        self._next_claim_at = 0.0
        self._claiming = False
        # Addresses of this node's newer processes, and when their registrations expire.
        self._successors: dict[Any, float] = {}

    @property
    def has_successor(self) -> bool:
        """Whether another process of this node is registered."""
        return bool(self._successors)

    async def open(self) -> None:
        """Bind the configured address, or a temporary one while another process of this node has that.

        Raises:
            ListenError: Neither address can be bound.
        """
        if await self._claim():
            return
        host = self.address.host
        try:
            await self._bind(Address(host, 0))
        except OSError as error:
            raise ListenError(f"peers: cannot listen on {host}: {error.strerror}") from error

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, which may be lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    async def _claim(self) -> bool:
        """Bind the configured address. False while another process has it. Raises ListenError."""
        previous = self._transport
        try:
            await self._bind(self.address)
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                return False
            raise ListenError(f"peers: cannot listen on {self.address}: {error.strerror}") from error
        if previous is not None:
            previous.close()
        await self._on_claimed()
        self.owns_address = True
        return True

    async def _bind(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._on_datagram, self._counters),
            local_addr=(address.host, address.port),
        )
        self._transport = transport

    # Without the configured address

    def is_claim_due(self, now: float) -> bool:
        """Whether it is time to register, and to try to bind the configured address again."""
        if self.owns_address or now < self._next_claim_at:
            return False
        self._next_claim_at = now + REGISTRATION_INTERVAL_MS
        return True

    def register(self) -> None:
        """Ask the process that has the configured address to forward a copy of each datagram."""
        assert self._transport is not None
        port = self._transport.get_extra_info("sockname")[1]
        self.send(self._registration(port), (self.address.host, self.address.port))

    async def retry_claim(self) -> None:
        """Take over the configured address if it is free now."""
        if self._claiming:
            return
        self._claiming = True
        try:
            if await self._claim():
                self._log.event("peers_address_taken_over", address=str(self.address))
        except ListenError as error:
            self._log.event("peers_address_lost", error=str(error))
        finally:
            self._claiming = False

    # With the configured address

    def accept_registration(self, data: bytes, source: Any) -> bool:
        """Accept or reject a successor's registration; False if `data` is not a registration.

        Only a few are accepted, and only from the host of the configured address, so that no third party
        obtains a copy of all datagrams.
        """
        if not data.startswith(REGISTRATION_MAGIC):
            return False
        same_host = ipaddress.ip_address(source[0]) == ipaddress.ip_address(self.address.host)
        is_known_or_fits = source in self._successors or len(self._successors) < MAX_SUCCESSORS
        if data == self._registration(source[1]) and same_host and is_known_or_fits:
            self._successors[source] = self._clock.now() + REGISTRATION_TTL_MS
        else:
            self._counters.add("peers_registrations_rejected")
        return True

    def forward(self, data: bytes) -> None:
        """Forward a received datagram to this node's other processes."""
        if not self._successors or not data.startswith(MAGIC):
            return
        now = self._clock.now()
        for successor, expires_at in [*self._successors.items()]:
            if expires_at < now:
                del self._successors[successor]
            else:
                self.send(data, successor)

    def _registration(self, port: int) -> bytes:
        tag = self._codec.tag(b"%d" % port, REGISTRATION_MAGIC)
        return REGISTRATION_MAGIC + bytes([VERSION]) + tag
