"""Hosts, whose processes run code and can be killed, paused, signalled and restarted."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from time import perf_counter
from typing import Any, ParamSpec, Protocol, TypeVar

from flintridge.lab.virtual.address_table import AddressTable
from flintridge.lab.virtual.machine import Machine
from flintridge.lab.virtual.process import CURRENT_PROCESS, Process
from flintridge.lab.virtual.scheduler import VirtualTimeLoop

T = TypeVar("T")
P = ParamSpec("P")


class HostNetwork(Protocol):
    """The interface of the network that hosts use."""

    @property
    def loop(self) -> VirtualTimeLoop:
        """The event loop; raises RuntimeError until one is attached to this network."""

    @property
    def addresses(self) -> AddressTable:
        """The table of host addresses."""

    @property
    def dead_processes(self) -> list[Process]:
        """The dead processes whose tasks are not closed yet; hosts append to it."""

    @property
    def lab(self) -> "Host":
        """The host for code that runs on no other host."""


def current_host() -> "Host | None":
    """Return the host whose code is running, or None for the lab's own code."""
    process = CURRENT_PROCESS.get()
    if process is None:
        return None
    assert isinstance(process.host, Host)
    return process.host


class Host(Machine):
    """A machine that runs one process. It outlives the process and can be revived with a new one.

    Attributes:
        network: The network that the host belongs to.
        process: The current process, or the last one if it is dead.
    """

    def __init__(self, network: HostNetwork, name: str) -> None:
        super().__init__(name)
        self.network = network
        self.process = Process(self)

    def __repr__(self) -> str:
        return f"<Host {self.name}>"

    @property
    def ip(self) -> str:
        """The source address of its connections, and the address of its wildcard listeners."""
        return self._ip

    @ip.setter
    def ip(self, ip: str) -> None:
        """Set the address, which also reaches this host at ports that were never bound."""
        self._ip = ip
        self.network.addresses.set_ip(ip, self)

    @property
    def alive(self) -> bool:
        """Whether its process is running or paused, and not dead."""
        return not self.process.dead

    @property
    def paused(self) -> bool:
        """Whether its process is alive and paused."""
        return self.process.paused and not self.process.dead

    @property
    def earliest_arrival_s(self) -> float:
        """The earliest time (s of the loop) at which the data that its process reads now can have arrived."""
        return self.process.earliest_arrival_s(self.network.loop)

    @property
    def open_connections(self) -> int:
        """The number of connections, including those still connecting or waiting to be accepted."""
        return len(self.process.connections)

    @property
    def out_of_descriptors(self) -> bool:
        """Whether the process has reached its limit of open connections."""
        return self.process.out_of_descriptors

    @property
    def tasks_alive(self) -> int:
        """The number of tasks of its process that are not done."""
        return len(self.process.pending())

    def peers(self) -> list[str]:
        """Return the peer host of each connection that has a descriptor; "" if no host has the address."""
        connections = self.process.connections
        return [connection.peer_host or "" for connection in connections if connection.has_descriptor]

    # Running code

    def run(self, coro: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Start a task on this host.

        Raises:
            RuntimeError: If the host is dead.
        """
        if not self.alive:
            coro.close()
            raise RuntimeError(f"host {self.name} is not alive")
        return self.network.loop.create_task(coro, context=self.process.context.copy())

    def call(self, fn: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Call `fn` immediately on this host, even if it is paused, and return the result.

        Raises:
            RuntimeError: If the host is dead.
        """
        if not self.alive:
            raise RuntimeError(f"host {self.name} is not alive")
        caller = self.network.loop.running_process
        started = perf_counter()
        try:
            return self.process.context.copy().run(fn, *args, **kwargs)
        finally:
            duration_s = perf_counter() - started
            self.busy_s += duration_s
            if caller is not None:
                caller.host.busy_s -= duration_s  # otherwise the time would be counted for both hosts

    def signal(self, number: int) -> None:
        """Call the handler that the host's code registered for the signal, or kill the host without one."""
        process = self.process
        handler = process.signal_handlers.get(number)
        if process.dead:
            return
        if handler is None or number == signal.SIGKILL:
            self.kill()
        else:
            self.network.loop.call_soon(handler._callback, *handler._args, context=handler._context)

    # Killing, pausing and reviving

    def kill(self) -> None:
        """Kill the process: its code stops, its connections are reset, and its ports are closed."""
        self._die(vanished=False)

    def vanish(self) -> None:
        """Remove the machine without notice: data sent to it is lost, and it does not even send resets."""
        self._die(vanished=True)

    def _die(self, vanished: bool) -> None:
        if self is self.network.lab:
            raise RuntimeError("the lab itself cannot die")
        self.vanished = self.vanished or vanished
        process = self.process
        if process.dead:
            return
        self.end_process()
        for listening in list(process.listening_sockets):
            listening.release()
        for datagram_socket in list(process.datagram_sockets):
            datagram_socket.release()
        for connection in list(process.connections):
            connection.process_died(vanished)
        process.connections.clear()

    def end_process(self) -> None:
        """Stop the process, but leave its sockets as they are."""
        if not self.process.dead:
            self.process.end()
            self.network.dead_processes.append(self.process)

    def pause(self) -> None:
        """Pause the process: its kernel still takes connections and data, but no code responds."""
        if self is self.network.lab:
            raise RuntimeError("the lab itself cannot be paused")
        if self.alive:
            self.process.halted = True
            self.process.paused = True

    def resume(self) -> None:
        """Resume the process; handles that became due during the pause run in their original order."""
        if self.paused:
            self.process.paused = False
            self.process.resume_handles(self.network.loop)

    def revive(self) -> "Host":
        """Start a new, empty process on a host that was killed or has vanished.

        Returns:
            The same host.

        Raises:
            RuntimeError: If the host is alive.
        """
        if self.alive:
            raise RuntimeError(f"host {self.name} is alive")
        self.vanished = False
        self.process = Process(self)
        return self
