"""Handles: callbacks that the loop runs now or at a time."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any, Protocol


class TimerHeap(Protocol):
    """The loop as its timers know it."""

    def timer_cancelled(self) -> None:
        """A timer that is still scheduled was cancelled."""


class VirtualHandle(asyncio.Handle):
    """As asyncio's, without what its debug mode needs."""

    __slots__ = ()
    _callback: Any
    _context: Context
    _loop: Any

    def __init__(
        self, callback: Callable[..., Any], args: tuple[Any, ...], loop: object, context: Context
    ) -> None:
        self._callback = callback
        self._args = args
        self._loop = loop
        self._context = context
        self._cancelled = False

    def cancel(self) -> None:
        """The callback is not run."""
        self._cancelled = True
        self._callback = None
        self._args = ()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {handle_name(self)}>"


class VirtualTimer(asyncio.TimerHandle):
    """As asyncio's, without what its debug mode needs."""

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
        loop: TimerHeap,
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
        """The callback is not run."""
        if not self._cancelled:
            self._cancelled = True
            self._callback = None
            self._args = ()
            if self._scheduled:
                self._loop.timer_cancelled()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} at {self._when} {handle_name(self)}>"


class NetworkEvent:
    """Something of the network that falls due; it belongs to no host, and nobody can cancel it."""

    __slots__ = ("_args", "_callback", "_context")
    _cancelled = False
    _scheduled = False

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context) -> None:
        self._callback = callback
        self._args = args
        self._context = context


def handle_name(handle: Any) -> str:
    """What a handle runs, without addresses in memory: the same in each run."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return task_name(owner)
    return str(getattr(callback, "__qualname__", type(callback).__name__))


def task_name(task: "asyncio.Task[Any]") -> str:
    """What a task runs, without addresses in memory: the same in each run."""
    coroutine = task.get_coro()
    return f"task {getattr(coroutine, '__qualname__', type(coroutine).__name__)}"
