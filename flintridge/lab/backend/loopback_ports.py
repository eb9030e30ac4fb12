"""Ranges of ports; each run on a machine reserves its own range."""

import errno
import socket
from dataclasses import dataclass

FIRST_PORT = 20_000
LAST_PORT = 32_000  # below the ephemeral ports of the kernel
PORTS_PER_RUN = 8
RESERVATION_HOST = "127.15.255.1"  # a port bound at this address is reserved for one run


@dataclass(slots=True, frozen=True)
class PortRange:
    """The ports of one run.

    Attributes:
        first: The first of `PORTS_PER_RUN` ports.
        reservations: The sockets that reserve the ports.
    """

    first: int
    reservations: list[socket.socket]

    def release(self) -> None:
        """Release the ports, so that other runs can reserve them."""
        for sock in self.reservations:
            sock.close()


def reserve_ports() -> PortRange:
    """Reserve a range of ports that no other run uses.

    Raises:
        OSError: If no range is free.
    """
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_RUN):
        reservations: list[socket.socket] = []
        try:
            for port in range(first, first + PORTS_PER_RUN):
                reservations.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                reservations[-1].bind((RESERVATION_HOST, port))
        except OSError:
            for sock in reservations:
                sock.close()
            continue
        return PortRange(first, reservations)
    raise OSError(errno.EADDRINUSE, f"no ports are free from {FIRST_PORT} to {LAST_PORT}")
