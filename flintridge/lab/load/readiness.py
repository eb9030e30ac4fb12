"""The load balancer's readiness check of a node, each on a connection of its own."""

import asyncio

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.responses import ResponseParser

CHECK_TIMEOUT_MS = 1000.0  # a paused node does not respond
CLIENT_MACHINE = "c0"  # the checks use the links of this client machine


class ReadinessCheck(asyncio.Protocol):
    """Sends `mn`, and reads the response.

    Attributes:
        is_ready: Completes with True on the response `MN`, with False on anything else.
        transport: The transport of the connection; None until it is open.
    """

    def __init__(self) -> None:
        self.is_ready: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        self._parser = ResponseParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the command."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(b"mn\r\n")

    def data_received(self, data: bytes) -> None:
        """Read the response."""
        for response in self._parser.feed(data):
            self._finish(response.kind == "ready")

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection as not ready."""
        self._finish(is_ready=False)

    def _finish(self, is_ready: bool) -> None:
        if not self.is_ready.done():
            self.is_ready.set_result(is_ready)


async def check_readiness(fabric: Fabric, node: str) -> bool:
    """Return whether a node responds within a second that it is ready."""
    check = ReadinessCheck()
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
            await fabric.connect(CLIENT_MACHINE, node, lambda: check)
            return await check.is_ready
    except OSError:  # includes TimeoutError
        return False
    finally:
        if check.transport is not None:
            check.transport.abort()
