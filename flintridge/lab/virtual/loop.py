"""The event loop in virtual time: asyncio's interface over the modelled network."""

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

MAX_HANDLES_AT_ONCE = 1_000_000  # handles that may run while virtual time stands still
START_S = 1000.0


class VirtualLoop(UnsupportedOperations, ProcessHandlers, VirtualTimeLoop):
    """An event loop in virtual time; see the package documentation.

    Attributes:
        network: The network over which its connections run.
    """

    def __init__(
        self,
        network: Network | None = None,
        *,
        max_handles_at_once: int = MAX_HANDLES_AT_ONCE,
        start_s: float = START_S,
    ) -> None:
        """Create a loop.

        Args:
            network: The network to attach to; it belongs to this loop from then on. None creates a new one.
            max_handles_at_once: LivelockError is raised if more handles run while virtual time stands still.
            start_s: The virtual time at the start, in s.
        """
        self.network = Network() if network is None else network
        super().__init__(self.network.lab.process, max_handles_at_once, start_s)
        self.network.attach(self)

    def waiting_tasks(self) -> list[str]:
        """Return the pending tasks of all hosts, in the order of the hosts."""
        waiting: list[str] = []
        for host in self.network.hosts:
            state = " (paused)" if host.paused else ""
            waiting.extend(f"{host.name}: {task_name(task)}{state}" for task in host.process.pending())
        return waiting

    # The network

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **ignored: Any
    ) -> tuple[Any, Any]:
        """Open a connection; waits forever if the other side does not answer.

        Returns:
            The transport and the protocol.

        Raises:
            OSError: If the connection is refused or reset, or a system call fails.
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
        """Create a server with a listening socket for each address.

        Raises:
            OSError: If an address is in use on any host (EADDRINUSE).
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
        """Create a bound datagram socket.

        Returns:
            The transport and the protocol.

        Raises:
            OSError: If the address is in use (EADDRINUSE).
        """
        reject_options(ignored, "sock")
        protocol = protocol_factory()
        transport = DatagramTransport(self.network, protocol, local_addr, remote_addr)
        protocol.connection_made(transport)
        return transport, protocol

    # Running and closing

    def close(self) -> None:
        """Close the loop, and the abandoned tasks of dead processes, which can no longer affect anything."""
        if self.is_running():
            raise RuntimeError("Cannot close a running event loop")
        if self._closed:
            return
        for host in self.network.hosts:
            host.end_process()
        outer_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)  # coroutines that are closed may ask for the running loop
        try:
            for process in self.network.take_dead_processes():
                self.running_process = process
                process.close_abandoned_tasks()
        finally:
            self.running_process = None
            asyncio._set_running_loop(outer_loop)
        super().close()

    def run(self, main: Coroutine[Any, Any, T], *, wall_limit_s: float | None = None) -> T:
        """Run `main`, stop all hosts without a clean shutdown, close the loop, and return the result.

        Args:
            main: The coroutine; it runs as the lab's own code, on no other host.
            wall_limit_s: The limit of real time, in s; None means no limit.

        Raises:
            DeadlockError: If nothing can run and no timer is set.
            LivelockError: If virtual time does not advance, or the limit of real time is exceeded.
        """
        with ExitStack() as cleanup:
            if wall_limit_s is not None:
                self._livelock.wall_deadline_s = perf_counter() + wall_limit_s
                cleanup.enter_context(alarm_after(wall_limit_s, self._wall_limit_exceeded))
            cleanup.enter_context(self._collector.replacing_automatic_collection())
            can_run_tasks = False
            try:
                result = self.run_until_complete(main)
                can_run_tasks = True
                return result
            except Exception:
                can_run_tasks = True
                raise
            finally:
                self._shut_down(await_lab_tasks=can_run_tasks)

    def _shut_down(self, *, await_lab_tasks: bool) -> None:
        """Stop all hosts; optionally cancel the lab's own tasks and await them, as asyncio.run does."""
        lab = self.network.lab
        for host in self.network.hosts:
            if host is not lab:
                host.end_process()
        try:
            if await_lab_tasks:
                lab_tasks = lab.process.pending()
                for task in lab_tasks:
                    task.cancel()
                with suppress(DeadlockError):  # a task may suppress its cancellation and wait forever
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
    """Call `VirtualLoop.run` on a new loop."""
    loop = VirtualLoop(network, max_handles_at_once=max_handles_at_once, start_s=start_s)
    return loop.run(main, wall_limit_s=wall_limit_s)
