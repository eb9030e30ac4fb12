"""The event loop: time stands still while anything can run, then jumps to the next timer."""

import asyncio
import gc
import heapq
import itertools
import signal
import threading
from collections import deque
from collections.abc import Callable, Coroutine, Generator, Iterator
from contextlib import contextmanager, suppress
from contextvars import Context, copy_context
from math import inf
from time import perf_counter
from types import FrameType
from typing import Any, NoReturn, TypeVar

from flintridge.lab.virtual.datagram import DatagramTransport
from flintridge.lab.virtual.net import HOST, Network, Process, VirtualServer

T = TypeVar("T")

TICK = 1e-9  # s; what a pass costs in which a timer ran that was due when it was set
MOVED = 1e-6  # s; time that goes on by less stands still, as far as Stuck is concerned
LAST_HANDLES = 8  # named by Stuck
REARM = 0.25  # s of real time, after which a Stuck that was swallowed is raised again
COLLECT = 200_000  # handles between collections of garbage, all of it each COLLECT_ALL times
COLLECT_ALL = 10


class Deadlock(RuntimeError):
    """Nothing can run and no timer is set, yet what is waited for is not done."""


class Stuck(BaseException):
    """A host runs on and on: handles without time moving, or real time beyond the limit.

    No Exception, so that code which survives its own errors does not survive this.
    """

    def __init__(self, host: str, said: str) -> None:
        super().__init__(f"{host}: {said}")
        self.host = host


class VirtualHandle(asyncio.Handle):
    """As asyncio's, without what its debug mode needs."""

    __slots__ = ()
    _callback: Any
    _context: Context
    _loop: Any

    def __init__(
        self, callback: Callable[..., Any], args: tuple[Any, ...], loop: "VirtualLoop", context: Context
    ) -> None:
        self._callback = callback
        self._args = args
        self._loop = loop
        self._context = context
        self._cancelled = False

    def cancel(self) -> None:
        self._cancelled = True
        self._callback = None
        self._args = ()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {_name(self)}>"


class VirtualTimer(asyncio.TimerHandle):
    __slots__ = ()
    _callback: Any
    _context: Context
    _loop: Any
    _scheduled: bool
    _when: float

    def __init__(
        self,
        when: float,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        loop: "VirtualLoop",
        context: Context,
    ) -> None:
        self._when = when
        self._callback = callback
        self._args = args
        self._loop = loop
        self._context = context
        self._cancelled = False
        self._scheduled = True

    def cancel(self) -> None:
        if not self._cancelled:
            self._cancelled = True
            self._callback = None
            self._args = ()
            if self._scheduled:
                self._loop._timer_cancelled()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} at {self._when} {_name(self)}>"


class KernelEvent:
    """Something of the network that falls due; it belongs to no host, and nobody can cancel it."""

    __slots__ = ("_args", "_callback", "_context")
    _cancelled = False
    _scheduled = False

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context) -> None:
        self._callback = callback
        self._args = args
        self._context = context


def _name(handle: Any) -> str:
    """Without addresses in memory: the same in each run."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return _task_name(owner)
    return str(getattr(callback, "__qualname__", type(callback).__name__))


def _task_name(task: "asyncio.Task[Any]") -> str:
    coroutine = task.get_coro()
    return f"task {getattr(coroutine, '__qualname__', type(coroutine).__name__)}"


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop in virtual time; see the package.

    `time()` is virtual seconds, beginning at `start_s`. More than `max_turns_at_once` handles without time
    moving raise Stuck; nothing to run and no timer raise Deadlock.
    """

    _ready: deque[Any]
    _scheduled: list[tuple[float, int, Any]]
    _stopping: bool
    _closed: bool

    def __init__(
        self, network: Network | None = None, *, max_turns_at_once: int = 1_000_000, start_s: float = 1000.0
    ) -> None:
        super().__init__()
        self.network = Network() if network is None else network
        self.network._attach(self)
        self._now = start_s
        self._sequence = itertools.count()
        self._cancelled_timers = 0
        self._kernel = Context()
        self._max_turns = max_turns_at_once
        self._turns = 0  # since time moved
        self._turns_at = start_s
        self._last: deque[str] = deque(maxlen=LAST_HANDLES)
        self._ahead = 0.0  # s; the process whose handle runs was held up for so long in it
        self._running: Process | None = None  # whose handle runs
        self._running_handle: Any = None
        self._stuck: Stuck | None = None
        self._wall_until = inf
        self._collects = False
        self._until_collect = COLLECT
        self._collections = 0

    def time(self) -> float:
        return self._now + self._ahead

    def hold_up(self, seconds: float) -> None:
        """Time moves on for the process whose handle runs: what it still does in it is later by so much, and
        nothing else of it runs before then. To the rest of the world time stands still meanwhile."""
        process = HOST.get()
        if process is None or process.dead or seconds <= 0:
            return
        self._ahead += seconds
        process.stall(self._now + self._ahead)

    # Setting things up to run

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        if self._closed:
            raise RuntimeError("Event loop is closed")
        handle = VirtualHandle(callback, args, self, copy_context() if context is None else context)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        """From another thread the moment is not determined, and an idle loop is not woken: Deadlock."""
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualTimer:
        return self.call_at(self._now + self._ahead + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualTimer:
        if self._closed:
            raise RuntimeError("Event loop is closed")
        if when != when:  # NaN would spoil the order of the heap without a word
            raise ValueError("a timer at NaN")
        timer = VirtualTimer(when, callback, args, self, copy_context() if context is None else context)
        heapq.heappush(self._scheduled, (when, next(self._sequence), timer))
        return timer

    def _kernel_at(self, when: float, callback: Callable[..., Any], *args: Any) -> None:
        event = KernelEvent(callback, args, self._kernel)
        heapq.heappush(self._scheduled, (when, next(self._sequence), event))

    def _timer_cancelled(self) -> None:
        """Guards the heap against timers that are set for long and nearly always cancelled."""
        self._cancelled_timers += 1
        if self._cancelled_timers > 64 and self._cancelled_timers * 2 > len(self._scheduled):
            self._scheduled[:] = [entry for entry in self._scheduled if not entry[2]._cancelled]
            heapq.heapify(self._scheduled)
            self._cancelled_timers = 0

    def create_task(  # type: ignore[override]
        self, coro: Any, *, name: str | None = None, context: Context | None = None
    ) -> "asyncio.Task[Any]":
        if self._closed:
            raise RuntimeError("Event loop is closed")
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        process = HOST.get() if context is None else context.get(HOST)
        (process or self.network.lab._process).adopt(task)
        return task

    # Running

    def _run_once(self) -> None:
        """Passes over what is ready until the loop is stopped: this is the body of run_forever."""
        ready, timers = self._ready, self._scheduled
        take, pop, get_host = ready.popleft, heapq.heappop, HOST
        lab, kernel = self.network.lab._process, self._kernel
        stuck_errors = (SystemExit, KeyboardInterrupt, Stuck)
        try:
            while True:
                if timers:
                    if not ready:
                        self._jump()
                    elif timers[0][0] <= self._now:
                        # Guards what waits for a moment that rounding puts just ahead of now: it would set
                        # its timer again and again, and time would never get there.
                        self._now += TICK
                    now = self._now
                    while timers and timers[0][0] <= now:
                        handle = pop(timers)[2]
                        if handle._cancelled:
                            self._cancelled_timers -= 1
                        else:
                            if handle._scheduled:
                                handle._scheduled = False
                            ready.append(handle)
                elif not ready:
                    self._deadlock()
                count = len(ready)
                self._turns += count
                slow = self._turns + LAST_HANDLES > self._max_turns
                for _ in range(count):
                    handle = take()
                    if handle._cancelled:
                        continue
                    context = handle._context
                    if context is kernel:  # an error there is the lab's own, and ends the run
                        handle._callback(*handle._args)
                        continue
                    process = context.get(get_host) or lab
                    if process.stopped:
                        if not process.dead:
                            process.parked.append(handle)
                        continue
                    if slow:
                        self._note_turn(handle, process)
                    self._running = process
                    self._running_handle = handle
                    begun = perf_counter()
                    try:
                        context.run(handle._callback, *handle._args)
                    except stuck_errors:
                        raise
                    except BaseException as error:
                        self._broke(handle, error)
                    self._ahead = 0.0
                    ended = perf_counter()
                    process.host.busy_s += ended - begun
                    if ended > self._wall_until:
                        self._expire(None)
                    if self._stuck is not None:  # a task keeps what was raised in it to itself
                        raise self._stuck
                if self._collects:
                    self._until_collect -= count
                    if self._until_collect <= 0:
                        self._collect()
                if self._stopping:
                    return
        finally:
            self._running = self._running_handle = None

    def _jump(self) -> None:
        """To the next timer that still holds."""
        timers = self._scheduled
        while timers and timers[0][2]._cancelled:
            heapq.heappop(timers)
            self._cancelled_timers -= 1
        if not timers or timers[0][0] == inf:
            self._deadlock()
        when = timers[0][0]
        if when <= self._now:
            self._now += TICK
            return
        self._now = when
        if when - self._turns_at >= MOVED:
            self._turns_at = when
            self._turns = 0
            self._last.clear()

    def _collect(self) -> None:
        """At moments that the program alone decides: finalizers close connections, as StreamWriter's does."""
        self._until_collect = COLLECT
        self._collections += 1
        gc.collect(2 if self._collections % COLLECT_ALL == 0 else 1)

    def _broke(self, handle: Any, error: BaseException) -> None:
        said = {"message": f"Exception in callback {_name(handle)}", "exception": error, "handle": handle}
        handle._context.run(self.call_exception_handler, said)

    def _note_turn(self, handle: Any, process: Process) -> None:
        """So many handles ran in no time that the last ones are worth a note."""
        self._last.append(f"{process.host.name}: {_name(handle)}")
        if self._turns > self._max_turns:
            last = ", ".join(self._last)
            self._stuck = Stuck(
                process.host.name, f"{self._max_turns} handles ran while time stood still; the last: {last}"
            )
            raise self._stuck

    def _expire(self, frame: FrameType | None) -> None:
        """Real time is over. Raises Stuck, unless nothing runs just now: then the loop does it."""
        process, handle = self._running, self._running_handle
        if self._stuck is None:
            host = "lab" if process is None else process.host.name
            where = f" at {frame.f_code.co_filename}:{frame.f_lineno}" if frame is not None else ""
            what = "between handles" if handle is None else _name(handle)
            self._stuck = Stuck(host, f"the limit of real time is over: {what}{where}")
        if process is not None:
            raise self._stuck

    def _deadlock(self) -> NoReturn:
        waiting = [
            f"{host.name}: {_task_name(task)}" + (" (paused)" if host.paused else "")
            for host in self.network.hosts
            for task in host._process.pending()
        ]
        more = f" and {len(waiting) - 20} more" if len(waiting) > 20 else ""
        raise Deadlock(f"nothing can run and no timer is set; waiting: {', '.join(waiting[:20])}{more}")

    # Errors and signals, each host's own

    def set_exception_handler(self, handler: Callable[[Any, dict[str, Any]], object] | None) -> None:
        """For this host; outside of one, for all that have none."""
        process = HOST.get()
        if process is None:
            super().set_exception_handler(handler)
        elif handler is not None and not callable(handler):
            raise TypeError(f"A callable object or None is expected, got {handler!r}")
        else:
            process.exception_handler = handler

    def get_exception_handler(self) -> Callable[[Any, dict[str, Any]], object] | None:
        process = HOST.get()
        return super().get_exception_handler() if process is None else process.exception_handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if isinstance(context.get("exception"), Stuck):
            return  # told by the loop itself
        process = HOST.get()
        if process is None:
            super().call_exception_handler(context)
        elif process.dead:
            return
        elif process.exception_handler is None:
            super().call_exception_handler(context)
        else:
            try:
                process.exception_handler(self, context)
            except Exception as error:
                said = {"message": "Unhandled error in exception handler", "exception": error}
                super().call_exception_handler(said | {"context": context})

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Called by `Host.signal`; no real signal comes here."""
        process = HOST.get()
        if process is None:
            raise NotImplementedError("signal handlers belong to hosts: see Host.signal")
        process.signals[sig] = VirtualHandle(callback, args, self, copy_context())

    def remove_signal_handler(self, sig: int) -> bool:
        process = HOST.get()
        return process is not None and process.signals.pop(sig, None) is not None

    # The network

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **ignored: Any
    ) -> tuple[Any, Any]:
        """Raises ConnectionRefusedError, ConnectionResetError; waits for ever where nothing answers."""
        _unsupported(ignored, "ssl", "sock")
        if host is None or port is None:
            raise ValueError("host and port were not specified")
        endpoint = self.network._connect(host, port)
        assert endpoint.connected is not None
        try:
            await endpoint.connected
            protocol = protocol_factory()
        except BaseException:
            endpoint._give_up()
            raise
        endpoint._attach(protocol)
        return endpoint, protocol

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
        """Raises OSError (EADDRINUSE) where somebody listens already, on whichever host."""
        _unsupported(ignored, "ssl", "sock")
        names = [host] if host is None or isinstance(host, str) else list(host)
        server = self.network._listen(names, port or 0, protocol_factory, backlog)
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
        """Raises OSError (EADDRINUSE) where the address is taken."""
        _unsupported(ignored, "sock")
        protocol = protocol_factory()
        transport = DatagramTransport(self, self.network, protocol, local_addr, remote_addr)
        protocol.connection_made(transport)
        return transport, protocol

    # What there is none of here

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> NoReturn:  # type: ignore[override]
        raise NotImplementedError("a virtual loop has no executors: threads know no virtual time")

    async def getaddrinfo(self, host: Any, port: Any, **ignored: Any) -> NoReturn:
        raise NotImplementedError("a virtual network has no names: connect by the address as it is")

    async def getnameinfo(self, sockaddr: Any, flags: int = 0) -> NoReturn:
        raise NotImplementedError("a virtual network has no names")

    async def subprocess_exec(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual loop starts no programs: run code on a Host")

    subprocess_shell = subprocess_exec

    async def start_tls(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual network has no TLS")

    async def connect_accepted_socket(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual loop takes no real sockets")

    async def connect_read_pipe(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual loop takes no real pipes")

    async def connect_write_pipe(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual loop takes no real pipes")

    async def sendfile(self, *args: Any, **kwargs: Any) -> NoReturn:
        raise NotImplementedError("a virtual loop sends no real files")

    # The end

    def close(self) -> None:
        """Also ends the code of hosts that died, which by now has no effect on anything."""
        if self.is_running():
            raise RuntimeError("Cannot close a running event loop")
        if self._closed:
            return
        for host in self.network.hosts:
            host._process.end()
        outer = asyncio._get_running_loop()
        asyncio._set_running_loop(self)  # what the code asks for as it ends
        try:
            for process in self.network._take_graves():
                self._running = process
                self._bury(process)
        finally:
            self._running = None
            asyncio._set_running_loop(outer)
        super().close()

    @staticmethod
    def _bury(process: Process) -> None:
        """Guards against coroutines that the collector of garbage closes, at any time, with a warning."""
        while process.buried:  # what they set up as they end is added to it
            task = process.buried.pop()
            for _ in range(10):  # each `await` in a `finally` on the way takes one
                try:
                    process.context.copy().run(task.get_coro().close)
                    break
                except (SystemExit, KeyboardInterrupt):
                    raise
                except BaseException as error:
                    if isinstance(error, ValueError):
                        break  # it runs: its own code closes the loop

    def run(self, main: Coroutine[Any, Any, T], *, wall_limit_s: float | None = None) -> T:
        """The result of `main`; then the loop is closed, and hosts that still run just vanish.

        Raises Deadlock, and Stuck by turns without time moving or after `wall_limit_s` of real time.
        """
        with _wall_limit(self, wall_limit_s), _own_collections(self):
            sane = False
            try:
                result = self.run_until_complete(main)
                sane = True
                return result
            except Exception:
                sane = True
                raise
            finally:
                self._wind_up(run=sane)

    def _wind_up(self, *, run: bool) -> None:
        """Hosts vanish; with `run` the lab's own tasks are cancelled and end as they do in asyncio.run."""
        for host in self.network.hosts:
            if host is not self.network.lab:
                host._process.end()
        try:
            if run:
                mine = self.network.lab._process.pending()
                for task in mine:
                    task.cancel()
                with suppress(Deadlock):  # a task that waits on, though cancelled, for what cannot come
                    if mine:
                        self.run_until_complete(asyncio.gather(*mine, return_exceptions=True))
                    self.run_until_complete(self.shutdown_asyncgens())
        finally:
            self.close()


def _unsupported(options: dict[str, Any], *names: str) -> None:
    for name in names:
        if options.get(name):
            raise NotImplementedError(f"a virtual network does not know {name}")


def run(
    main: Coroutine[Any, Any, T],
    network: Network | None = None,
    *,
    wall_limit_s: float | None = None,
    max_turns_at_once: int = 1_000_000,
    start_s: float = 1000.0,
) -> T:
    """`VirtualLoop.run` on a new loop."""
    loop = VirtualLoop(network, max_turns_at_once=max_turns_at_once, start_s=start_s)
    return loop.run(main, wall_limit_s=wall_limit_s)


@contextmanager
def _wall_limit(loop: VirtualLoop, limit_s: float | None) -> Iterator[None]:
    if limit_s is None:
        yield
        return
    loop._wall_until = perf_counter() + limit_s
    if threading.current_thread() is not threading.main_thread():
        yield  # only between handles: signals come to the main thread
        return
    before = signal.signal(signal.SIGALRM, lambda _, frame: loop._expire(frame))
    timer_before = signal.setitimer(signal.ITIMER_REAL, limit_s, REARM)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)
        if timer_before[0]:
            signal.setitimer(signal.ITIMER_REAL, *timer_before)


@contextmanager
def _own_collections(loop: VirtualLoop) -> Generator[None, None, None]:
    enabled = gc.isenabled()
    gc.disable()
    loop._collects = True
    try:
        yield
    finally:
        if enabled:
            gc.enable()
