"""A port on loopback for node processes that are started later."""

import contextlib
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"


@contextlib.contextmanager
def reserved_port() -> Iterator[int]:
    """Reserve a port that only listeners with SO_REUSEADDR or SO_REUSEPORT can use, as those of nodes do.

    A port that was free a moment ago may have been given to another socket by the time a node listens on it:
    the kernel selects the ports of outgoing connections from the same range.
    """
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reservation.bind((HOST, 0))
        yield reservation.getsockname()[1]
