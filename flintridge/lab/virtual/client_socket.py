"""The client's end of a connection."""

import asyncio
import errno

from flintridge.lab.virtual.addresses import Address
from flintridge.lab.virtual.process import Process
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.tcp_socket import TcpSocket


class ClientSocket(TcpSocket):
    """A socket that opens a connection.

    Attributes:
        connected: Completes when the connection is established or the attempt fails.
    """

    opened = True

    def __init__(
        self,
        loop: VirtualTimeLoop,
        process: Process,
        window: int,
        local_address: Address,
        peer_address: Address,
    ) -> None:
        super().__init__(loop, process, window, local_address, peer_address)
        self.connected: asyncio.Future[None] = loop.create_future()

    def syn_ack_arrived(self) -> None:
        """Handle the SYN-ACK that the server's kernel sent."""
        if not self.link_delivers():
            return
        if self.closed or self.process.dead:
            if not self.process.host.vanished:
                self.send_reset()
        elif not self.connected.done():
            self.connected.set_result(None)

    def connect_refused(self) -> None:
        """Fail the connect because no socket listens at the address."""
        self._connect_failed(ConnectionRefusedError(errno.ECONNREFUSED, self._connect_failed_text()))

    def _reset_while_connecting(self) -> None:
        self._connect_failed(ConnectionResetError(errno.ECONNRESET, self._connect_failed_text()))

    def _connect_failed(self, error: OSError) -> None:
        if not self.connected.done() and not self.process.dead:
            self.connected.set_exception(error)

    def _connect_failed_text(self) -> str:
        return f"Connect call failed {self.peer_address}"

    def abandon_connect(self) -> None:
        """Close the socket because the caller was cancelled or failed; the connect may still be pending."""
        if self.closed or self.process.dead:
            return
        connected = self.connected
        if connected.done() and not connected.cancelled() and connected.exception() is None:
            self.close()
            return
        self.closed = True
        self.process.connections.pop(self, None)
