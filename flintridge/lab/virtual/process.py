"""A process on a host: its tasks and sockets, and whether its handles may run."""

import asyncio
import weakref
from collections import deque
from collections.abc import Callable, Iterable
from contextvars import Context, ContextVar
from typing import Any, Protocol

from flintridge.lab.virtual.machine import Machine

SAME_MOMENT_S = 1e-6  # virtual times that differ by less count as equal
MIN_TASKS_BEFORE_PRUNING = 64
MAX_AWAITS_IN_FINALLY = 10  # attempts to close a coroutine; each `await` in its cleanup code uses one


class HandleScheduler(Protocol):
    """The interface of the loop that processes use."""

    now_s: float

    def time(self) -> float:
        """The time of the process whose handle is running, in s."""

    def schedule_network_event(self, when_s: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` at `when_s`, even if the process is halted or dead by then."""

    def requeue(self, handles: Iterable[Any]) -> None:
        """Run handles after those that are ready."""


class Connection(Protocol):
    """The interface of a connection's socket that its process and the network use."""

    @property
    def peer_host(self) -> str | None:
        """The name of the host at the other end; None if no host has the address."""

    @property
    def lossy(self) -> bool:
        """Whether the connection lost bytes."""

    @property
    def unsent(self) -> bytearray:
        """Data that does not fit into the window yet."""

    @property
    def has_descriptor(self) -> bool:
        """Whether the socket uses a file descriptor: not while it waits to be accepted."""

    def process_died(self, vanished: bool) -> None:
        """Handle the end of its process; `vanished` means that the machine is gone too."""

    def cut_off(self) -> None:
        """Reset the connection because the link broke it."""

    def probe(self) -> None:
        """Try to send again."""


class BoundSocket(Protocol):
    """The interface of a listening or datagram socket that its process uses."""

    def release(self) -> None:
        """Unbind the socket, so that nothing arrives at it any more."""


class Process:
    """A process on a host; a host that is revived gets a new one.

    Attributes:
        host: The machine it runs on.
        context: The context in which its code starts.
        halted: Whether none of its handles may run, because it is paused, stalled or dead.
        paused: Whether it was paused, as by SIGSTOP.
        dead: Whether it has ended.
        suspended_handles: Handles that became due while it was halted.
        connections: The sockets of its connections.
        datagram_sockets: Its datagram sockets.
        listening_sockets: Its listening sockets.
        unaccepted: The number of its connections that wait to be accepted and do not use a descriptor yet.
        abandoned_tasks: Tasks that were pending when the process died.
        signal_handlers: Handles by signal number.
        exception_handler: The process's own handler, as of an event loop; None means that of the loop.
    """

    def __init__(self, host: Machine) -> None:
        self.host = host
        self.context = Context()
        self.context.run(CURRENT_PROCESS.set, self)
        self.halted = False
        self.paused = False
        self._stalled_until_s = 0.0
        self._stalled_since_s = 0.0
        self.dead = False
        self.suspended_handles: deque[Any] = deque()
        # Dicts serve as ordered sets, so that the order does not depend on memory addresses.
        self.connections: dict[Connection, None] = {}
        self.datagram_sockets: dict[BoundSocket, None] = {}
        self.listening_sockets: dict[BoundSocket, None] = {}
        self.unaccepted = 0
        # Weak references while the process lives: as on any loop, an exception that is never retrieved is
        # reported when its task is collected.
        self._tasks: list[weakref.ref[asyncio.Task[Any]]] = []
        self._prune_at = MIN_TASKS_BEFORE_PRUNING
        self.abandoned_tasks: list[asyncio.Task[Any]] = []
        self.signal_handlers: dict[int, Any] = {}
        self.exception_handler: Callable[[Any, dict[str, Any]], object] | None = None

    @property
    def out_of_descriptors(self) -> bool:
        """Whether the process has reached its limit of open connections."""
        limit = self.host.max_connections
        return limit is not None and len(self.connections) - self.unaccepted >= limit

    def adopt(self, task: "asyncio.Task[Any]") -> None:
        """Track a task that its code created, so that the task ends with the process."""
        if self.dead:
            _unregister(task)
            self.abandoned_tasks.append(task)
            return
        self._tasks.append(weakref.ref(task))
        if len(self._tasks) >= self._prune_at:
            self._tasks = [ref for ref in self._tasks if (live := ref()) is not None and not live.done()]
            self._prune_at = max(MIN_TASKS_BEFORE_PRUNING, 2 * len(self._tasks))

    def pending(self) -> "list[asyncio.Task[Any]]":
        """Return its tasks that are not done, oldest first."""
        return [task for ref in self._tasks if (task := ref()) is not None and not task.done()]

    # Stalls and pauses

    def stall(self, scheduler: HandleScheduler, until_s: float) -> None:
        """Suspend all its handles until `until_s`."""
        if not self._is_end_of_stall(scheduler.now_s):  # otherwise it has read nothing between the two stalls
            self._stalled_since_s = scheduler.now_s
        self.halted = True
        self._stalled_until_s = until_s
        scheduler.schedule_network_event(until_s, self._stall_over, scheduler)

    def _is_end_of_stall(self, now_s: float) -> bool:
        """Whether the handles that run now became ready or due by the end of a stall."""
        return abs(now_s - self._stalled_until_s) < SAME_MOMENT_S

    def earliest_arrival_s(self, scheduler: HandleScheduler) -> float:
        """Return the earliest time at which data read now can have arrived.

        After a stall this is the start of the stall, since the process read nothing during it. A real event
        loop can tell the same from its selector.
        """
        if self._is_end_of_stall(scheduler.now_s):
            return self._stalled_since_s
        return scheduler.time()

    def _stall_over(self, scheduler: HandleScheduler) -> None:
        """Resume the process, with timers last.

        An event loop does the same in the iteration after a long one: it reads the data that has arrived
        before it runs its timers.
        """
        if scheduler.now_s >= self._stalled_until_s:
            ordered = sorted(
                self.suspended_handles, key=lambda handle: isinstance(handle, asyncio.TimerHandle)
            )
            self.suspended_handles = deque(ordered)
            self.resume_handles(scheduler)

    def resume_handles(self, scheduler: HandleScheduler) -> None:
        """Run the suspended handles in their order, unless the process is still paused, stalled or dead."""
        if self.dead or self.paused or not self.halted or scheduler.now_s < self._stalled_until_s:
            return
        self.halted = False
        scheduler.requeue(self.suspended_handles)
        self.suspended_handles.clear()

    # Death

    def end(self) -> None:
        """Stop the process for good. Its sockets are left to the caller."""
        self.dead = True
        self.halted = True
        # Keeps the tasks alive: a coroutine without references is closed, and a dead process must not run the
        # code in its `finally` blocks.
        self.abandoned_tasks = self.pending()
        self._tasks = []
        self.suspended_handles.clear()
        self.signal_handlers.clear()
        for task in self.abandoned_tasks:
            _unregister(task)

    def close_abandoned_tasks(self) -> None:
        """Close the abandoned tasks; otherwise the garbage collector does it at any time, with a warning."""
        while self.abandoned_tasks:  # tasks that they create while closing are appended
            self._close_coroutine(self.abandoned_tasks.pop())

    def _close_coroutine(self, task: "asyncio.Task[Any]") -> None:
        coroutine: Any = task.get_coro()
        for _ in range(MAX_AWAITS_IN_FINALLY):
            try:
                self.context.copy().run(coroutine.close)
                return
            except (SystemExit, KeyboardInterrupt):
                raise
            except BaseException as error:
                if isinstance(error, ValueError):
                    return  # the coroutine is running: its own code closes the loop


CURRENT_PROCESS: ContextVar[Process | None] = ContextVar("CURRENT_PROCESS", default=None)


def _unregister(task: "asyncio.Task[Any]") -> None:
    """Unregister a task from asyncio, so that it is not waited for and its destruction is not reported."""
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    asyncio.tasks._unregister_task(task)
