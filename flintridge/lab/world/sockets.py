"""Additions to asyncio's transports."""

import asyncio
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a RST, as the kernel does for a dead process; `abort` alone sends a FIN."""
    virtual_reset = getattr(transport, "reset", None)
    if virtual_reset is not None:
        virtual_reset()
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
