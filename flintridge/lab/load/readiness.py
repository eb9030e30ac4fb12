"""A readiness check of a node, as the load balancer makes it on a connection of its own."""

import asyncio

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.responses import ResponseParser

CHECK_TIMEOUT_MS = 1000.0  # a node that is paused responds to none
CLIENT_MACHINE = "c0"  # whose links the checks go over


class ReadinessCheck(asyncio.Protocol):
    """Sends `mn`.

    Attributes:
        is_ready: Becomes True upon `MN`, False upon anything else.
        transport: Of its connection, once there is one.
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
        """Take the end of the connection for a no."""
        self._finish(is_ready=False)

    def _finish(self, is_ready: bool) -> None:
        if not self.is_ready.done():
            self.is_ready.set_result(is_ready)


async def check_readiness(fabric: Fabric, node: str) -> bool:
    """Whether a node says within a second that it is ready."""
    check = ReadinessCheck()
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
            await fabric.connect(CLIENT_MACHINE, node, lambda: check)
            return await check.is_ready
    except OSError:  # a timeout is one too
        return False
    finally:
        if check.transport is not None:
            check.transport.abort()
