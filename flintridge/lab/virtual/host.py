"""Hosts, whose processes run code, die, stand still and are started anew."""

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
    """The network as its hosts know it."""

    @property
    def loop(self) -> VirtualTimeLoop:
        """Raises RuntimeError before a loop was made on this network."""

    @property
    def addresses(self) -> AddressTable:
        """Which host has which address."""

    @property
    def dead_processes(self) -> list[Process]:
        """Processes that died are added."""

    @property
    def lab(self) -> "Host":
        """The host of code that runs on no other."""


def current_host() -> "Host | None":
    """The host whose code runs; None: the lab's own."""
    process = CURRENT_PROCESS.get()
    if process is None:
        return None
    assert isinstance(process.host, Host)
    return process.host


class Host(Machine):
    """A machine with one process on it. It lives on when the process dies, and may be revived.

    Attributes:
        network: That it is in.
        process: The last one.
    """

    def __init__(self, network: HostNetwork, name: str) -> None:
        super().__init__(name)
        self.network = network
        self.process = Process(self)

    def __repr__(self) -> str:
        return f"<Host {self.name}>"

    @property
    def ip(self) -> str:
        """The source of its connections, and where its wildcard listeners are reached."""
        return self._ip

    @ip.setter
    def ip(self, ip: str) -> None:
        """Also where it is reached at ports that nobody ever bound."""
        self._ip = ip
        self.network.addresses.set_ip(ip, self)

    @property
    def alive(self) -> bool:
        """Whether its process runs or is paused."""
        return not self.process.dead

    @property
    def paused(self) -> bool:
        """Whether its process lives and was paused."""
        return self.process.paused and not self.process.dead

    @property
    def earliest_arrival_s(self) -> float:
        """What its process reads now did not arrive before (s of the loop)."""
        return self.process.earliest_arrival_s(self.network.loop)

    @property
    def open_connections(self) -> int:
        """Sockets: those that connect or wait to be accepted, too."""
        return len(self.process.connections)

    @property
    def out_of_descriptors(self) -> bool:
        """Whether none is left for another connection."""
        return self.process.out_of_descriptors

    @property
    def tasks_alive(self) -> int:
        """Tasks of its process that are not done."""
        return len(self.process.pending())

    def peers(self) -> list[str]:
        """The host at the other end of each connection that takes a descriptor, "" where nobody answers."""
        connections = self.process.connections
        return [connection.peer_host or "" for connection in connections if connection.has_descriptor]

    # Running code

    def run(self, coro: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Start a task on it.

        Raises:
            RuntimeError: If it is dead.
        """
        if not self.alive:
            coro.close()
            raise RuntimeError(f"host {self.name} is not alive")
        return self.network.loop.create_task(coro, context=self.process.context.copy())

    def call(self, fn: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """The result of `fn`, run at once, paused or not.

        Raises:
            RuntimeError: If it is dead.
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
                caller.host.busy_s -= duration_s  # else it would be counted twice

    def signal(self, number: int) -> None:
        """Call the handler that the host's code added for this signal; without one it dies of it."""
        process = self.process
        handler = process.signal_handlers.get(number)
        if process.dead:
            return
        if handler is None or number == signal.SIGKILL:
            self.kill()
        else:
            self.network.loop.call_soon(handler._callback, *handler._args, context=handler._context)

    # Its end, and standing still

    def kill(self) -> None:
        """The process dies: none of its code runs any more, its connections are reset, its ports closed."""
        self._die(vanished=False)

    def vanish(self) -> None:
        """The machine is gone: what is sent to it is lost, and nothing comes from it."""
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
        """Nothing of the process runs any more; its sockets stay as they are."""
        if not self.process.dead:
            self.process.end()
            self.network.dead_processes.append(self.process)

    def pause(self) -> None:
        """Stop the process: its kernel goes on taking connections and bytes, nothing answers."""
        if self is self.network.lab:
            raise RuntimeError("the lab itself cannot be paused")
        if self.alive:
            self.process.halted = True
            self.process.paused = True

    def resume(self) -> None:
        """Go on; what fell due meanwhile runs in its order."""
        if self.paused:
            self.process.paused = False
            self.process.resume_handles(self.network.loop)

    def revive(self) -> "Host":
        """After kill or vanish: the same host, with nothing running.

        Raises:
            RuntimeError: If it is alive.
        """
        if self.alive:
            raise RuntimeError(f"host {self.name} is alive")
        self.vanished = False
        self.process = Process(self)
        return self
