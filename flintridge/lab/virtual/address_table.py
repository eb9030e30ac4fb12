"""Which host has which address, and which socket is bound to it."""

import errno
from collections.abc import Container
from typing import Generic, TypeVar

from flintridge.lab.virtual.addresses import LOOPBACK, WILDCARDS, Address
from flintridge.lab.virtual.machine import Machine

FIRST_LISTENING_PORT = 20_000  # of listeners that ask for none
FIRST_SOURCE_PORT = 32_768  # of connecting sockets
LAST_PORT = 65_535

SocketT = TypeVar("SocketT")


class AddressTable:
    """Addresses are flat: an (ip, port) is of the host that is bound to it, or last was."""

    def __init__(self) -> None:
        self._machines_by_ip: dict[str, Machine] = {}
        self._machines: dict[Address, Machine] = {}
        self._next_ports: dict[str, int] = {}
        self._next_source_ports: dict[str, int] = {}

    def set_ip(self, ip: str, machine: Machine) -> None:
        """Addresses of `ip` that nobody ever bound belong to `machine`."""
        self._machines_by_ip[ip] = machine

    def machine_at(self, address: Address, source: Machine) -> Machine | None:
        """The host that `source` reaches at `address`, if there is one."""
        machine = self._machines.get(address)
        if machine is None and address[0] == LOOPBACK:
            machine = self._machines.get((source.ip, address[1]))
        return machine or self._machines_by_ip.get(address[0])

    def reserve(self, ip: str, port: int, machine: Machine, taken: Container[Address]) -> Address:
        """Give an address to a host.

        Args:
            ip: A wildcard stands for the host's own address.
            port: 0 for the next free one.
            machine: The host.
            taken: Addresses that are bound now.

        Raises:
            OSError: If the address is taken (EADDRINUSE).
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
        """The port of the next connecting socket of `ip`."""
        port = self._next_source_ports.get(ip, FIRST_SOURCE_PORT)
        self._next_source_ports[ip] = port + 1 if port < LAST_PORT else FIRST_SOURCE_PORT
        return port


class Bindings(Generic[SocketT]):
    """The sockets of one protocol that are bound to addresses."""

    def __init__(self, addresses: AddressTable) -> None:
        self._addresses = addresses
        self._sockets: dict[Address, SocketT] = {}

    def reserve(self, ip: str, port: int, machine: Machine) -> Address:
        """An address for a new socket of `machine`; see AddressTable.reserve."""
        return self._addresses.reserve(ip, port, machine, self._sockets)

    def bind(self, address: Address, socket: SocketT) -> None:
        """From now on `socket` is found at a reserved address."""
        self._sockets[address] = socket

    def release(self, address: Address, socket: SocketT) -> None:
        """Undo `bind`, unless another socket is bound there by now."""
        if self._sockets.get(address) is socket:
            del self._sockets[address]

    def lookup(self, address: Address, source: Machine) -> SocketT | None:
        """The socket that `source` reaches at `address`."""
        found = self._sockets.get(address)
        if found is None and address[0] == LOOPBACK:
            found = self._sockets.get((source.ip, address[1]))
        return found
