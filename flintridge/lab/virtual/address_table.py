"""Maps addresses to hosts and to the sockets that are bound to them."""

import errno
from collections.abc import Container
from typing import Generic, TypeVar

from flintridge.lab.virtual.addresses import LOOPBACK, WILDCARDS, Address
from flintridge.lab.virtual.machine import Machine

FIRST_LISTENING_PORT = 20_000  # first port for sockets that are bound to port 0
FIRST_SOURCE_PORT = 32_768  # first port for connecting sockets
LAST_PORT = 65_535

SocketT = TypeVar("SocketT")


class AddressTable:
    """Maps each address to a machine.

    The address space is flat, without routing: an (ip, port) pair belongs to the machine that is bound to it
    or was bound to it last.
    """

    def __init__(self) -> None:
        self._machines_by_ip: dict[str, Machine] = {}
        self._machines: dict[Address, Machine] = {}
        self._next_ports: dict[str, int] = {}
        self._next_source_ports: dict[str, int] = {}

    def set_ip(self, ip: str, machine: Machine) -> None:
        """Assign `ip` to `machine`: this decides for ports of `ip` that were never bound."""
        self._machines_by_ip[ip] = machine

    def machine_at(self, address: Address, source: Machine) -> Machine | None:
        """Return the machine that `source` reaches at `address`, or None if there is none."""
        machine = self._machines.get(address)
        if machine is None and address[0] == LOOPBACK:
            machine = self._machines.get((source.ip, address[1]))
        return machine or self._machines_by_ip.get(address[0])

    def reserve(self, ip: str, port: int, machine: Machine, taken: Container[Address]) -> Address:
        """Reserve an address for a machine.

        Args:
            ip: The IP address; a wildcard is replaced by the machine's own address.
            port: The port; 0 selects the next free one.
            machine: The machine that gets the address.
            taken: The addresses that are currently bound.

        Raises:
            OSError: If the address is in use (EADDRINUSE).
        """
        if ip in WILDCARDS:
            ip = machine.ip
        if not port:
            port = self._next_ports.get(ip, FIRST_LISTENING_PORT)
            while (ip, port) in taken or self._machines.get((ip, port), machine) is not machine:
                port += 1
            self._next_ports[ip] = port + 1
        elif (ip, port) in taken:
            raise OSError(errno.EADDRINUSE, f"error while attempting to bind on address {(ip, port)!r}")
        self._machines[ip, port] = machine
        return ip, port

    def next_source_port(self, ip: str) -> int:
        """Return the port for the next connecting socket of `ip`."""
        port = self._next_source_ports.get(ip, FIRST_SOURCE_PORT)
        self._next_source_ports[ip] = port + 1 if port < LAST_PORT else FIRST_SOURCE_PORT
        return port


class Bindings(Generic[SocketT]):
    """The sockets of one protocol that are bound to addresses."""

    def __init__(self, addresses: AddressTable) -> None:
        self._addresses = addresses
        self._sockets: dict[Address, SocketT] = {}

    def reserve(self, ip: str, port: int, machine: Machine) -> Address:
        """Reserve an address for a new socket of `machine`; see AddressTable.reserve."""
        return self._addresses.reserve(ip, port, machine, self._sockets)

    def bind(self, address: Address, socket: SocketT) -> None:
        """Bind `socket` to a reserved address, so that `lookup` finds it there."""
        self._sockets[address] = socket

    def release(self, address: Address, socket: SocketT) -> None:
        """Unbind `socket`, unless another socket has been bound to the address since."""
        if self._sockets.get(address) is socket:
            del self._sockets[address]

    def lookup(self, address: Address, source: Machine) -> SocketT | None:
        """Return the socket that `source` reaches at `address`, or None if there is none."""
        found = self._sockets.get(address)
        if found is None and address[0] == LOOPBACK:
            found = self._sockets.get((source.ip, address[1]))
        return found
