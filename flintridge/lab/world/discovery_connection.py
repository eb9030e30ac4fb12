"""A node's connection to discovery: HTTP/1.1, one call at a time."""

import asyncio

import h11

from flintridge.lab.world.discovery_call import MalformedCallError
from flintridge.lab.world.discovery_host import DiscoveryHost


class DiscoveryConnection(asyncio.Protocol):
    """Reads calls and writes their responses.

    Attributes:
        node: Name of the node.
        party: The party at whose address the connection was accepted.
        pending: Key of the call that awaits its response; None if there is none.
        transport: Transport of the connection.
    """

    transport: asyncio.Transport

    def __init__(self, host: DiscoveryHost, node: str, party: str) -> None:
        """Create the connection from `node` to `host` at the address of `party`."""
        self.node = node
        self.party = party
        self.pending: int | None = None
        self._host = host
        self._http = h11.Connection(h11.SERVER)
        self._target = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the host."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._host.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Pass a call to the host once it is complete."""
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> bool:
        """Let the transport close."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the host."""
        self._host.remove_connection(self, broken=exc is not None)

    def respond(self, status: int, body: bytes) -> None:
        """Write the response to the pending call, then read the next call."""
        if self.transport.is_closing():
            return
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        head = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self.transport.write(head + body)
        if self._http.our_state is h11.MUST_CLOSE:
            self.transport.close()
        else:
            self._http.start_next_cycle()
            self._read()

    def _read(self) -> None:
        try:
            self._read_events()
        except (h11.RemoteProtocolError, MalformedCallError) as error:
            self._reject(str(error))

    def _read_events(self) -> None:
        """Read HTTP events until a call is complete or more bytes are needed."""
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                if event.method != b"GET":
                    raise MalformedCallError(f"method {event.method.decode('ascii', 'replace')}")
                self._target = event.target.decode("ascii", "replace")
            elif isinstance(event, h11.EndOfMessage):
                self._host.handle_call(self, self._target)
                return
            elif not isinstance(event, h11.Data):
                return

    def _reject(self, reason: str) -> None:
        self._host.record_malformed(self.node, reason)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self.transport.write(self._http.send(h11.Response(status_code=400, headers=headers)) or b"")
        self.transport.close()
