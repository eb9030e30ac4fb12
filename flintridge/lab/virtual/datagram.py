"""Datagrams over the links: each on its own, so that what is slower arrives later."""

import asyncio
import errno
import socket
from collections import deque
from contextvars import copy_context
from typing import TYPE_CHECKING, Any

from flintridge.lab.virtual.transport import SocketStandIn, normal

if TYPE_CHECKING:
    from flintridge.lab.virtual.loop import VirtualLoop
    from flintridge.lab.virtual.net import Link, Network

LARGEST = 65_507  # bytes of one datagram


class DatagramTransport(asyncio.DatagramTransport):
    """As asyncio's. What the host's process does not take in time is dropped beyond the network's buffer."""

    def __init__(
        self,
        loop: "VirtualLoop",
        network: "Network",
        protocol: Any,
        local: tuple[str, int] | None,
        remote: tuple[str, int] | None,
    ) -> None:
        super().__init__()
        self._loop = loop
        self._network = network
        self.process = network._process_now()
        self._context = copy_context()
        self._protocol = protocol
        self._remote = (normal(remote[0]), remote[1]) if remote is not None else None
        self._inbox: deque[tuple[bytes, Any]] = deque()
        self._inbox_size = 0
        self._closing = False
        asked = (normal(local[0]), local[1]) if local is not None else ("0.0.0.0", 0)
        self.key = asked
        if not self.process.dead:
            self.key = network._bind(self, *asked)
        self._sockname = (asked[0] if self._remote is None else self.key[0], self.key[1])

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send at once, or drop: no buffer fills. Errors go to the protocol's error_received."""
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._remote is not None:
            if addr is not None and (normal(addr[0]), addr[1]) != self._remote:
                raise ValueError(f"Invalid address: must be None or {self._remote}")
            addr = self._remote
        if not data or self._closing or self.process.dead:
            return
        if addr is None:
            raise ValueError("no address to send to")
        if len(data) > LARGEST:
            self._protocol.error_received(OSError(errno.EMSGSIZE, "Message too long"))
            return
        system = self.process.host.system
        if system is not None:
            self._loop.hold_up(system.stall_s())
        self._send(bytes(data), (normal(addr[0]), int(addr[1])))

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        host = self.process.host
        owner = self._network._owner(address, host)
        if owner is None:
            self._loop.call_soon(self._refused, context=self._context)
            return
        link = self._network.link(host.name, owner.name)
        lost, duplicated = getattr(link, "lost", None), getattr(link, "duplicated", None)
        told, ends = self._network.on_datagram, (host.name, owner.name)
        if link.state != "up" or (lost is not None and lost()):
            told(*ends, data, "cut" if link.state != "up" else "lost")
            return
        fates = ("passed", "doubled") if duplicated is not None and duplicated() else ("passed",)
        for fate in fates:
            told(*ends, data, fate)
            now = self._loop._now + self._loop._ahead
            when = now + link.delay(now * 1000, len(data)) / 1000
            self._loop._kernel_at(when, self._deliver, data, address, link)

    def _deliver(self, data: bytes, address: tuple[str, int], link: "Link") -> None:
        """At the other end; the state of the link counts at this moment too."""
        if link.state != "up":
            return
        host = self.process.host
        target = self._network._bound_at(address, host)
        if target is None:
            owner = self._network._owner(address, host)
            if owner is not None and not owner.silent:
                back = self._network.link(owner.name, host.name)
                if back.state == "up":
                    now = self._loop._now
                    self._loop._kernel_at(now + back.delay(now * 1000, 0) / 1000, self._refusal_comes)
        elif target._remote is None or target._remote == self.key:
            target._take(data, self.key)

    def _refusal_comes(self) -> None:
        self._loop.call_soon(self._refused, context=self._context)

    def _refused(self) -> None:
        """Only a socket that is connected to one address is told."""
        if self._remote is not None and not self._closing:
            self._protocol.error_received(ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))

    def _take(self, data: bytes, source: Any) -> None:
        if self._inbox_size + len(data) > self._network.datagram_buffer:
            return
        self._inbox.append((data, source))
        self._inbox_size += len(data)
        self._loop.call_soon(self._read_ready, context=self._context)

    def _read_ready(self) -> None:
        if self._closing or not self._inbox:
            return
        data, source = self._inbox.popleft()
        self._inbox_size -= len(data)
        self._protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        return self._closing or self.process.dead

    def close(self) -> None:
        if self._closing or self.process.dead:
            return
        self._closing = True
        self._network._unbind(self)
        self._loop.call_soon(self._protocol.connection_lost, None, context=self._context)

    def abort(self) -> None:
        self.close()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_write_buffer_size(self) -> int:
        return 0

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return 0, 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "sockname":
            return self._sockname
        if name == "peername":
            return self._remote
        if name == "socket":
            return SocketStandIn(self._sockname, self._remote, socket.SOCK_DGRAM)
        return default
