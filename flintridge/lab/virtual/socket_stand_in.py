"""A stand-in for the socket object that code gets from a transport or server."""

import errno
import socket
from typing import Any


class SocketStandIn:
    """The stand-in in `transport.get_extra_info("socket")` and `server.sockets`."""

    family = socket.AF_INET
    proto = 0

    def __init__(self, sockname: Any, peername: Any = None, kind: int = socket.SOCK_STREAM) -> None:
        self._sockname = sockname
        self._peername = peername
        self.type = kind

    def getsockname(self) -> Any:
        """Return the local address."""
        return self._sockname

    def getpeername(self) -> Any:
        """Return the address of the peer.

        Raises:
            OSError: If the socket is not connected (ENOTCONN).
        """
        if self._peername is None:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")
        return self._peername

    def fileno(self) -> int:
        """Return -1: there is no descriptor."""
        return -1

    def setsockopt(self, *args: Any) -> None:
        """Ignore the option: it has no effect in virtual time."""

    def getsockopt(self, *args: Any) -> int:
        """Return 0: no option is set."""
        return 0
