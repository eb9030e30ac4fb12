"""The scheduler of virtual time: time stands still while handles are ready, then jumps to the next timer."""

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from contextvars import Context, copy_context
from math import inf
from time import perf_counter
from types import FrameType
from typing import Any, NoReturn

from flintridge.lab.virtual.errors import DeadlockError, LivelockError
from flintridge.lab.virtual.garbage_collection import HandleCountCollector
from flintridge.lab.virtual.handles import NetworkEvent, VirtualHandle, VirtualTimer, handle_name
from flintridge.lab.virtual.livelock import LivelockDetector
from flintridge.lab.virtual.process import CURRENT_PROCESS, Process

TICK_S = 1e-9  # how far time advances in a pass that runs timers already due
MIN_CANCELLED_TO_PURGE = 64  # cancelled timers that stay in the heap before it is purged
MAX_WAITING_LISTED = 20  # number of tasks that a DeadlockError names


class VirtualTimeLoop(asyncio.BaseEventLoop):
    """An event loop in virtual time that runs the handles of many processes.

    Attributes:
        now_s: The virtual time of the network, in s.
        lead_s: How far the running process is ahead of `now_s`, in s, because it was stalled in the handle
            that is running.
        running_process: The process whose handle is running, if any.
        requeue_one: Runs a handle after those that are ready; the handle may have run before.
    """

    _ready: deque[Any]
    _scheduled: list[tuple[float, int, Any]]
    _stopping: bool
    _closed: bool

    def __init__(self, lab_process: Process, max_handles_at_once: int, start_s: float) -> None:
        """Create a loop whose time begins at `start_s`.

        Args:
            lab_process: The process for code that runs on no host.
            max_handles_at_once: More handles than this while virtual time stands still are a livelock.
            start_s: The virtual time at the start, in s.
        """
        super().__init__()
        self.now_s = start_s
        self.lead_s = 0.0
        self.running_process: Process | None = None
        self.requeue_one: Callable[[Any], None] = self._ready.append
        self._running_handle: Any = None
        self._lab_process = lab_process
        self._sequence = itertools.count()
        self._cancelled_timers = 0
        self._network_context = Context()
        self._livelock = LivelockDetector(max_handles_at_once, start_s)
        self._collector = HandleCountCollector()

    def time(self) -> float:
        """Return the virtual time of the running process, in s."""
        return self.now_s + self.lead_s

    def stall_running_process(self, seconds: float) -> None:
        """Advance the time of the process whose handle is running, as a blocking call does.

        The rest of the handle runs `seconds` later, and no other handle of the process runs before that. Time
        does not advance for other processes.
        """
        process = CURRENT_PROCESS.get()
        if process is None or process.dead or seconds <= 0:
            return
        self.lead_s += seconds
        process.stall(self, self.now_s + self.lead_s)

    def waiting_tasks(self) -> list[str]:
        """Return the names of the pending tasks, for the message of a DeadlockError."""
        return []

    # Scheduling

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        """Run a callback after the handles that are ready."""
        if self._closed:
            raise RuntimeError("Event loop is closed")
        handle = VirtualHandle(callback, args, self, copy_context() if context is None else context)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        """Same as `call_soon`.

        A call from another thread runs at no determined time and does not wake an idle loop, which raises
        DeadlockError.
        """
        return self.call_soon(callback, *args, context=context)

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualTimer:
        """Run a callback after `delay` seconds, from the time of the running process."""
        return self.call_at(self.now_s + self.lead_s + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> VirtualTimer:
        """Run a callback at the virtual time `when`, in s.

        Raises:
            ValueError: If the time is NaN, which would silently corrupt the order of the heap.
        """
        if self._closed:
            raise RuntimeError("Event loop is closed")
        if when != when:
            raise ValueError("the time of a timer is NaN")
        timer = VirtualTimer(when, callback, args, self, copy_context() if context is None else context)
        heapq.heappush(self._scheduled, (when, next(self._sequence), timer))
        return timer

    def schedule_network_event(self, when_s: float, callback: Callable[..., Any], *args: Any) -> None:
        """Run a callback at `when_s`, on behalf of no process; an exception in it ends the run."""
        event = NetworkEvent(callback, args, self._network_context)
        heapq.heappush(self._scheduled, (when_s, next(self._sequence), event))

    def requeue(self, handles: Iterable[Any]) -> None:
        """Run handles after those that are ready."""
        self._ready.extend(handles)

    def timer_cancelled(self) -> None:
        """Remove cancelled timers from the heap once they are more than half of it.

        Long timeouts that are nearly always cancelled would otherwise fill the heap.
        """
        self._cancelled_timers += 1
        if self._cancelled_timers <= MIN_CANCELLED_TO_PURGE:
            return
        if self._cancelled_timers * 2 > len(self._scheduled):
            self._scheduled[:] = [entry for entry in self._scheduled if not entry[2]._cancelled]
            heapq.heapify(self._scheduled)
            self._cancelled_timers = 0

    def create_task(  # type: ignore[override]
        self, coro: Any, *, name: str | None = None, context: Context | None = None
    ) -> "asyncio.Task[Any]":
        """Create a task that belongs to the process of its context."""
        if self._closed:
            raise RuntimeError("Event loop is closed")
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        (process or self._lab_process).adopt(task)
        return task

    # Running

    def _run_once(self) -> None:
        """Run ready handles in passes until the loop is stopped: this is the whole body of run_forever."""
        ready = self._ready
        timers = self._scheduled
        collector = self._collector
        try:
            while True:
                if not ready or (timers and timers[0][0] <= self.now_s):
                    self._move_due_timers()
                count = len(ready)
                self._run_handles(count)
                if collector.active:
                    collector.handles_until_next -= count
                    if collector.handles_until_next <= 0:
                        collector.collect()
                if self._stopping:
                    return
        finally:
            self.running_process = None
            self._running_handle = None

    def _move_due_timers(self) -> None:
        """Make timers ready that are due; if nothing else is ready, first advance time to the next timer."""
        ready = self._ready
        timers = self._scheduled
        if not ready:
            self._advance_to_next_timer()
        else:
            # Code may wait for a time that rounding puts just ahead of now: without this step it would set
            # its timer again and again, and time would never reach it.
            self.now_s += TICK_S
        now_s = self.now_s
        pop = heapq.heappop
        while timers and timers[0][0] <= now_s:
            handle = pop(timers)[2]
            if handle._cancelled:
                self._cancelled_timers -= 1
            else:
                if handle._scheduled:
                    handle._scheduled = False
                ready.append(handle)

    def _advance_to_next_timer(self) -> None:
        """Advance time to the next timer that was not cancelled."""
        timers = self._scheduled
        while timers and timers[0][2]._cancelled:
            heapq.heappop(timers)
            self._cancelled_timers -= 1
        if not timers or timers[0][0] == inf:
            self._deadlock()
        when_s = timers[0][0]
        if when_s <= self.now_s:
            self.now_s += TICK_S
            return
        self.now_s = when_s
        self._livelock.time_advanced(when_s)

    def _run_handles(self, count: int) -> None:
        """Run `count` ready handles; those of halted processes are suspended, those of dead ones dropped."""
        take = self._ready.popleft
        detector = self._livelock
        detector.handles += count
        near_livelock = detector.handles > detector.note_threshold
        network_context = self._network_context
        for _ in range(count):
            handle = take()
            if handle._cancelled:
                continue
            context = handle._context
            if context is network_context:  # an exception there is a bug of the lab, and ends the run
                handle._callback(*handle._args)
                continue
            process = context.get(CURRENT_PROCESS) or self._lab_process
            if process.halted:
                if not process.dead:
                    process.suspended_handles.append(handle)
                continue
            if near_livelock:
                detector.note(handle, process.host.name)
            self.running_process = process
            self._running_handle = handle
            started = perf_counter()
            try:
                context.run(handle._callback, *handle._args)
            except (SystemExit, KeyboardInterrupt, LivelockError):
                raise
            except BaseException as error:
                self._report_callback_error(handle, error)
            self.lead_s = 0.0
            finished = perf_counter()
            process.host.busy_s += finished - started
            if finished > detector.wall_deadline_s:
                self._wall_limit_exceeded(None)
            if detector.error is not None:  # a task stores exceptions raised in it, so raise it here
                raise detector.error

    def _report_callback_error(self, handle: Any, error: BaseException) -> None:
        report = {
            "message": f"Exception in callback {handle_name(handle)}",
            "exception": error,
            "handle": handle,
        }
        handle._context.run(self.call_exception_handler, report)

    def _wall_limit_exceeded(self, frame: FrameType | None) -> None:
        process = self.running_process
        host = None if process is None else process.host.name
        self._livelock.wall_limit_exceeded(host, self._running_handle, frame)

    def _deadlock(self) -> NoReturn:
        waiting = self.waiting_tasks()
        listed = ", ".join(waiting[:MAX_WAITING_LISTED])
        unlisted = len(waiting) - MAX_WAITING_LISTED
        more = f" and {unlisted} more" if unlisted > 0 else ""
        raise DeadlockError(f"nothing can run and no timer is set; waiting: {listed}{more}")
