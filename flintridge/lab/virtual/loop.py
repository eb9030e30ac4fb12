"""The event loop of virtual time: asyncio's interface over the modelled network."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import ExitStack, suppress
from contextvars import copy_context
from time import perf_counter
from typing import Any, TypeVar

from flintridge.lab.virtual.connect import connect
from flintridge.lab.virtual.datagram_transport import DatagramTransport
from flintridge.lab.virtual.errors import DeadlockError
from flintridge.lab.virtual.handles import task_name
from flintridge.lab.virtual.livelock import alarm_after
from flintridge.lab.virtual.network import Network
from flintridge.lab.virtual.process_handlers import ProcessHandlers
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.server import VirtualServer, listen
from flintridge.lab.virtual.stream_transport import StreamTransport
from flintridge.lab.virtual.unsupported import UnsupportedOperations, reject_options

T = TypeVar("T")

MAX_HANDLES_AT_ONCE = 1_000_000  # without time advancing
START_S = 1000.0


class VirtualLoop(UnsupportedOperations, ProcessHandlers, VirtualTimeLoop):
    """An event loop in virtual time; see the package.

    Attributes:
        network: The network that its connections go over.
    """

    def __init__(
        self,
        network: Network | None = None,
        *,
        max_handles_at_once: int = MAX_HANDLES_AT_ONCE,
        start_s: float = START_S,
    ) -> None:
        """A loop on `network`, or on a new one.

        Args:
            network: It belongs to this loop from now on.
            max_handles_at_once: More handles without time advancing raise LivelockError.
            start_s: The first time, in s.
        """
        self.network = Network() if network is None else network
        super().__init__(self.network.lab.process, max_handles_at_once, start_s)
        self.network.attach(self)

    def waiting_tasks(self) -> list[str]:
        """Of all hosts, in their order."""
        waiting: list[str] = []
        for host in self.network.hosts:
            state = " (paused)" if host.paused else ""
            waiting.extend(f"{host.name}: {task_name(task)}{state}" for task in host.process.pending())
        return waiting

    # The network

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **ignored: Any
    ) -> tuple[Any, Any]:
        """Connect; waits for ever where nobody answers.

        Returns:
            The transport and the protocol.

        Raises:
            OSError: If the connection is refused, reset, or a system call fails.
        """
        reject_options(ignored, "ssl", "sock")
        if host is None or port is None:
            raise ValueError("host and port were not specified")
        socket = connect(self.network, host, port)
        context = copy_context()
        try:
            await socket.connected
            protocol = protocol_factory()
        except BaseException:
            socket.abandon_connect()
            raise
        transport = StreamTransport(self, socket, context)
        transport.attach(protocol)
        return transport, protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: Any = None,
        port: Any = None,
        *,
        backlog: int = 100,
        start_serving: bool = True,
        **ignored: Any,
    ) -> VirtualServer:
        """Listen.

        Raises:
            OSError: If somebody listens there already, on whichever host (EADDRINUSE).
        """
        reject_options(ignored, "ssl", "sock")
        names = [host] if host is None or isinstance(host, str) else list(host)
        server = listen(self.network, names, port or 0, protocol_factory, backlog)
        if start_serving:
            await server.start_serving()
        return server

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        local_addr: tuple[str, int] | None = None,
        remote_addr: tuple[str, int] | None = None,
        **ignored: Any,
    ) -> tuple[Any, Any]:
        """Bind a datagram socket.

        Returns:
            The transport and the protocol.

        Raises:
            OSError: If the address is taken (EADDRINUSE).
        """
        reject_options(ignored, "sock")
        protocol = protocol_factory()
        transport = DatagramTransport(self.network, protocol, local_addr, remote_addr)
        protocol.connection_made(transport)
        return transport, protocol

    # The end

    def close(self) -> None:
        """Also ends the code of processes that died, which by now has no effect on anything."""
        if self.is_running():
            raise RuntimeError("Cannot close a running event loop")
        if self._closed:
            return
        for host in self.network.hosts:
            host.end_process()
        outer_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)  # which the code asks for as it ends
        try:
            for process in self.network.take_dead_processes():
                self.running_process = process
                process.close_abandoned_tasks()
        finally:
            self.running_process = None
            asyncio._set_running_loop(outer_loop)
        super().close()

    def run(self, main: Coroutine[Any, Any, T], *, wall_limit_s: float | None = None) -> T:
        """The result of `main`; then the loop is closed, and hosts that still run just vanish.

        Args:
            main: Runs on no host.
            wall_limit_s: Real time it may take.

        Raises:
            DeadlockError: If nothing can run.
            LivelockError: If time does not advance, or real time is over.
        """
        with ExitStack() as cleanup:
            if wall_limit_s is not None:
                self._livelock.wall_deadline_s = perf_counter() + wall_limit_s
                cleanup.enter_context(alarm_after(wall_limit_s, self._wall_limit_exceeded))
            cleanup.enter_context(self._collector.replacing_automatic_collection())
            usable = False
            try:
                result = self.run_until_complete(main)
                usable = True
                return result
            except Exception:
                usable = True
                raise
            finally:
                self._shut_down(run_on=usable)

    def _shut_down(self, *, run_on: bool) -> None:
        """Hosts vanish; with `run_on` the lab's own tasks are cancelled and end as they do in asyncio.run."""
        lab = self.network.lab
        for host in self.network.hosts:
            if host is not lab:
                host.end_process()
        try:
            if run_on:
                lab_tasks = lab.process.pending()
                for task in lab_tasks:
                    task.cancel()
                with suppress(DeadlockError):  # a task that waits on, though cancelled, for what cannot come
                    if lab_tasks:
                        self.run_until_complete(asyncio.gather(*lab_tasks, return_exceptions=True))
                    self.run_until_complete(self.shutdown_asyncgens())
        finally:
            self.close()


def run(
    main: Coroutine[Any, Any, T],
    network: Network | None = None,
    *,
    wall_limit_s: float | None = None,
    max_handles_at_once: int = MAX_HANDLES_AT_ONCE,
    start_s: float = START_S,
) -> T:
    """`VirtualLoop.run` on a new loop."""
    loop = VirtualLoop(network, max_handles_at_once=max_handles_at_once, start_s=start_s)
    return loop.run(main, wall_limit_s=wall_limit_s)
