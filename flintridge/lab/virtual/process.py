"""A process on a host: its tasks, its sockets, and whether its handles may run."""

import asyncio
import weakref
from collections import deque
from collections.abc import Callable, Iterable
from contextvars import Context, ContextVar
from typing import Any, Protocol

from flintridge.lab.virtual.machine import Machine

SAME_MOMENT_S = 1e-6  # time that advances by less stands still
MIN_TASKS_BEFORE_PRUNING = 64
MAX_AWAITS_IN_FINALLY = 10  # each `await` on the way of a coroutine that is closed takes one


class HandleScheduler(Protocol):
    """The loop as processes know it."""

    now_s: float

    def time(self) -> float:
        """The time of the process whose handle runs, in s."""

    def schedule_network_event(self, when_s: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call at a time, whatever becomes of the process."""

    def requeue(self, handles: Iterable[Any]) -> None:
        """Run handles behind those that are ready."""


class Connection(Protocol):
    """A connection's socket as its process and the network know it."""

    @property
    def peer_host(self) -> str | None:
        """The name of the host at the other end; None where nobody answers."""

    @property
    def lossy(self) -> bool:
        """Whether bytes were lost."""

    @property
    def unsent(self) -> bytearray:
        """What waits for the window."""

    @property
    def has_descriptor(self) -> bool:
        """Whether the process has it: not while it waits to be accepted."""

    def process_died(self, vanished: bool) -> None:
        """Its process is gone; `vanished`: and the machine too."""

    def cut_off(self) -> None:
        """The link broke it."""

    def probe(self) -> None:
        """Try again to send."""


class BoundSocket(Protocol):
    """A listening or datagram socket as its process knows it."""

    def release(self) -> None:
        """Nothing arrives there any more."""


class Process:
    """What runs on a host until it dies: a host that is revived has a new one.

    Attributes:
        host: The machine it runs on.
        context: The context in which its code starts.
        halted: Paused, stalled or dead: none of its handles may run.
        paused: An operator stopped it.
        dead: It ended.
        suspended_handles: What fell due while it was halted.
        connections: Its connections' sockets.
        datagram_sockets: Its datagram sockets.
        listening_sockets: Its listening sockets.
        unaccepted: How many of its connections wait to be accepted: they take no descriptor yet.
        abandoned_tasks: Of a dead one: tasks that never end.
        signal_handlers: Handles by the number of the signal.
        exception_handler: Its own, as of an event loop.
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
        # Dicts are used as sets that keep their order: addresses in memory must decide nothing.
        self.connections: dict[Connection, None] = {}
        self.datagram_sockets: dict[BoundSocket, None] = {}
        self.listening_sockets: dict[BoundSocket, None] = {}
        self.unaccepted = 0
        # Weak while it lives: an error that nobody fetches is reported when its task goes, as on any loop.
        self._tasks: list[weakref.ref[asyncio.Task[Any]]] = []
        self._prune_at = MIN_TASKS_BEFORE_PRUNING
        self.abandoned_tasks: list[asyncio.Task[Any]] = []
        self.signal_handlers: dict[int, Any] = {}
        self.exception_handler: Callable[[Any, dict[str, Any]], object] | None = None

    @property
    def out_of_descriptors(self) -> bool:
        """Whether none is left for another connection."""
        limit = self.host.max_connections
        return limit is not None and len(self.connections) - self.unaccepted >= limit

    def adopt(self, task: "asyncio.Task[Any]") -> None:
        """A task was created by its code, and ends with it."""
        if self.dead:
            _forget(task)
            self.abandoned_tasks.append(task)
            return
        self._tasks.append(weakref.ref(task))
        if len(self._tasks) >= self._prune_at:
            self._tasks = [ref for ref in self._tasks if (live := ref()) is not None and not live.done()]
            self._prune_at = max(MIN_TASKS_BEFORE_PRUNING, 2 * len(self._tasks))

    def pending(self) -> "list[asyncio.Task[Any]]":
        """Its tasks that are not done, oldest first."""
        return [task for ref in self._tasks if (task := ref()) is not None and not task.done()]

    # Standing still

    def stall(self, scheduler: HandleScheduler, until_s: float) -> None:
        """None of its handles may run before `until_s`."""
        if not self._is_end_of_stall(scheduler.now_s):  # else it read nothing between the two
            self._stalled_since_s = scheduler.now_s
        self.halted = True
        self._stalled_until_s = until_s
        scheduler.schedule_network_event(until_s, self._stall_over, scheduler)

    def _is_end_of_stall(self, now_s: float) -> bool:
        """Whether what runs now was ready, or fell due, by the end of a stall."""
        return abs(now_s - self._stalled_until_s) < SAME_MOMENT_S

    def earliest_arrival_s(self, scheduler: HandleScheduler) -> float:
        """What is read now did not arrive before, as the selector of the program's event loop would know."""
        if self._is_end_of_stall(scheduler.now_s):
            return self._stalled_since_s
        return scheduler.time()

    def _stall_over(self, scheduler: HandleScheduler) -> None:
        """Timers come last.

        As in the iteration of an event loop that follows on one that took long: what has arrived is read
        before them.
        """
        if scheduler.now_s >= self._stalled_until_s:
            ordered = sorted(
                self.suspended_handles, key=lambda handle: isinstance(handle, asyncio.TimerHandle)
            )
            self.suspended_handles = deque(ordered)
            self.resume_handles(scheduler)

    def resume_handles(self, scheduler: HandleScheduler) -> None:
        """Run what fell due meanwhile, in its order, unless something still halts it."""
        if self.dead or self.paused or not self.halted or scheduler.now_s < self._stalled_until_s:
            return
        self.halted = False
        scheduler.requeue(self.suspended_handles)
        self.suspended_handles.clear()

    # The end

    def end(self) -> None:
        """Nothing of it runs any more. The caller ends its sockets, or nobody."""
        self.dead = True
        self.halted = True
        # Kept: a coroutine that nobody holds is closed, and what it does in `finally` would be an effect.
        self.abandoned_tasks = self.pending()
        self._tasks = []
        self.suspended_handles.clear()
        self.signal_handlers.clear()
        for task in self.abandoned_tasks:
            _forget(task)

    def close_abandoned_tasks(self) -> None:
        """Guards against coroutines that the garbage collector closes, at any time, with a warning."""
        while self.abandoned_tasks:  # what they create as they end is added to it
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
                    return  # it runs: its own code closes the loop


CURRENT_PROCESS: ContextVar[Process | None] = ContextVar("CURRENT_PROCESS", default=None)


def _forget(task: "asyncio.Task[Any]") -> None:
    """So that nobody complains of its end, nor waits for it."""
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    asyncio.tasks._unregister_task(task)
