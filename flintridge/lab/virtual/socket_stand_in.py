"""What stands for a socket object where code asks a transport or server for one."""

import errno
import socket
from typing import Any


class SocketStandIn:
    """What code may ask of `transport.get_extra_info("socket")` or of `server.sockets`."""

    family = socket.AF_INET
    proto = 0

    def __init__(self, sockname: Any, peername: Any = None, kind: int = socket.SOCK_STREAM) -> None:
        self._sockname = sockname
        self._peername = peername
        self.type = kind

    def getsockname(self) -> Any:
        """The local address."""
        return self._sockname

    def getpeername(self) -> Any:
        """The address of the other end.

        Raises:
            OSError: If it is not connected (ENOTCONN).
        """
        if self._peername is None:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")
        return self._peername

    def fileno(self) -> int:
        """None: -1."""
        return -1

    def setsockopt(self, *args: Any) -> None:
        """Options change nothing here."""

    def getsockopt(self, *args: Any) -> int:
        """No option is set: 0."""
        return 0
