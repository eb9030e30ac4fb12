"""Datagrams over the links. Each has its own delay, so that they can arrive out of order."""

import asyncio
import errno
import socket
from collections import deque
from contextvars import copy_context
from typing import Any

from flintridge.lab.virtual.addresses import WILDCARD, Address, canonical_ip
from flintridge.lab.virtual.link import LINK_UP, Link
from flintridge.lab.virtual.network import DatagramOutcome, Network
from flintridge.lab.virtual.socket_stand_in import SocketStandIn

MAX_DATAGRAM_BYTES = 65_507


class DatagramTransport(asyncio.DatagramTransport):
    """A datagram transport with asyncio's interface.

    Each socket buffers up to `Network.datagram_buffer` bytes that its process has not read yet; further
    datagrams are dropped.
    """

    def __init__(
        self,
        network: Network,
        protocol: Any,
        local_address: Address | None,
        remote_address: Address | None,
    ) -> None:
        """Create a bound socket for the calling process.

        Args:
            network: The network in which the socket is bound.
            protocol: The protocol that receives the datagrams.
            local_address: The address to bind; port 0 selects the next free one. None binds the next free
                port of the wildcard address.
            remote_address: The only peer to send to and receive from; None means any.

        Raises:
            OSError: If the address is in use (EADDRINUSE).
        """
        super().__init__()
        self._loop = network.loop
        self._network = network
        self._process = network.current_process()
        self._context = copy_context()
        self._protocol = protocol
        self._remote = None if remote_address is None else _canonical(remote_address)
        self._received: deque[tuple[bytes, Address]] = deque()
        self._received_bytes = 0
        self._closing = False
        requested = (WILDCARD, 0) if local_address is None else _canonical(local_address)
        self._address = requested
        if not self._process.dead:
            self._address = network.datagram_sockets.reserve(*requested, self._process.host)
            network.datagram_sockets.bind(self._address, self)
            self._process.datagram_sockets[self] = None
        shown_ip = requested[0] if self._remote is None else self._address[0]
        self._sockname = (shown_ip, self._address[1])

    # Sending

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram immediately; there is no send buffer. Errors are passed to `error_received`."""
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._remote is not None:
            if addr is not None and (canonical_ip(addr[0]), addr[1]) != self._remote:
                raise ValueError(f"Invalid address: must be None or {self._remote}")
            addr = self._remote
        if not data or self._closing or self._process.dead:
            return
        if addr is None:
            raise ValueError("no address to send to")
        if len(data) > MAX_DATAGRAM_BYTES:
            self._protocol.error_received(OSError(errno.EMSGSIZE, "Message too long"))
            return
        faults = self._process.host.system_call_faults
        if faults is not None:
            self._loop.stall_running_process(faults.stall_s())
        self._send(bytes(data), (canonical_ip(addr[0]), int(addr[1])))

    def _send(self, data: bytes, address: Address) -> None:
        host = self._process.host
        target = self._network.addresses.machine_at(address, host)
        if target is None:
            self._loop.call_soon(self._report_refusal, context=self._context)
            return
        link = self._network.link(host.name, target.name)
        for outcome in _datagram_outcomes(link):
            self._network.on_datagram(host.name, target.name, data, outcome)
            if outcome in ("passed", "doubled"):
                now_s = self._loop.now_s + self._loop.lead_s
                when_s = now_s + link.delay(now_s * 1000, len(data)) / 1000
                self._loop.schedule_network_event(when_s, self._arrive, data, address, link)

    def _arrive(self, data: bytes, address: Address, link: Link) -> None:
        """Deliver a datagram to the receiver, unless the link went down while it was in flight."""
        if link.state != LINK_UP:
            return
        receiver = self._network.datagram_sockets.lookup(address, self._process.host)
        if receiver is None:
            self._send_refusal_back(address)
        elif receiver.receives_from(self._address):
            receiver.receive(data, self._address)

    def _send_refusal_back(self, address: Address) -> None:
        host = self._process.host
        target = self._network.addresses.machine_at(address, host)
        if target is None or target.vanished:
            return
        return_link = self._network.link(target.name, host.name)
        if return_link.state == LINK_UP:
            now_s = self._loop.now_s
            when_s = now_s + return_link.delay(now_s * 1000, 0) / 1000
            self._loop.schedule_network_event(when_s, self._refusal_arrived)

    def _refusal_arrived(self) -> None:
        self._loop.call_soon(self._report_refusal, context=self._context)

    def _report_refusal(self) -> None:
        """Report ECONNREFUSED, which only a socket that is connected to one address receives."""
        if self._remote is not None and not self._closing:
            self._protocol.error_received(ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))

    # Receiving

    def receives_from(self, source: Address) -> bool:
        """Whether the socket accepts datagrams from `source`: it is the remote address, or none was set."""
        return self._remote is None or self._remote == source

    def receive(self, data: bytes, source: Address) -> None:
        """Buffer a datagram that arrived; it is dropped if the buffer is full."""
        if self._received_bytes + len(data) > self._network.datagram_buffer:
            return
        self._received.append((data, source))
        self._received_bytes += len(data)
        self._loop.call_soon(self._read_ready, context=self._context)

    def _read_ready(self) -> None:
        if self._closing or not self._received:
            return
        data, source = self._received.popleft()
        self._received_bytes -= len(data)
        self._protocol.datagram_received(data, source)

    # Closing

    def is_closing(self) -> bool:
        """Whether the transport is closed or its process is dead."""
        return self._closing or self._process.dead

    def close(self) -> None:
        """Stop sending and receiving, and report connection_lost to the protocol."""
        if self._closing or self._process.dead:
            return
        self._closing = True
        self.release()
        self._loop.call_soon(self._protocol.connection_lost, None, context=self._context)

    def abort(self) -> None:
        """Same as `close`, since no data is ever waiting to be sent."""
        self.close()

    def release(self) -> None:
        """Unbind the socket, so that its address is free again."""
        self._network.datagram_sockets.release(self._address, self)
        self._process.datagram_sockets.pop(self, None)

    # The rest of asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives the datagrams."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives the datagrams."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_write_buffer_size(self) -> int:
        """Return 0: there is no write buffer."""
        return 0

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return (0, 0): there is no write buffer."""
        return 0, 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return "sockname", "peername", or a stand-in object for "socket"."""
        if name == "sockname":
            return self._sockname
        if name == "peername":
            return self._remote
        if name == "socket":
            return SocketStandIn(self._sockname, self._remote, socket.SOCK_DGRAM)
        return default


def _canonical(address: Address) -> Address:
    return canonical_ip(address[0]), address[1]


def _datagram_outcomes(link: Link) -> tuple[DatagramOutcome, ...]:
    """Determine the outcome of one datagram, and of its duplicate if the link duplicates it."""
    if link.state != LINK_UP:
        return ("cut",)
    lost = getattr(link, "lost", None)
    if lost is not None and lost():
        return ("lost",)
    duplicated = getattr(link, "duplicated", None)
    if duplicated is not None and duplicated():
        return ("passed", "doubled")
    return ("passed",)
