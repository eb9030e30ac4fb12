"""Handles: callbacks that the loop runs as soon as possible or at a given time."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any, Protocol


class TimerHeap(Protocol):
    """The interface of the loop that timers use."""

    def timer_cancelled(self) -> None:
        """Count a timer that was cancelled while still scheduled."""


class VirtualHandle(asyncio.Handle):
    """An asyncio handle without the data for asyncio's debug mode."""

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
        """Prevent the callback from running."""
        self._cancelled = True
        self._callback = None
        self._args = ()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {handle_name(self)}>"


class VirtualTimer(asyncio.TimerHandle):
    """An asyncio timer handle without the data for asyncio's debug mode."""

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
        """Prevent the callback from running."""
        if not self._cancelled:
            self._cancelled = True
            self._callback = None
            self._args = ()
            if self._scheduled:
                self._loop.timer_cancelled()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} at {self._when} {handle_name(self)}>"


class NetworkEvent:
    """A scheduled event of the network. It belongs to no host and cannot be cancelled."""

    __slots__ = ("_args", "_callback", "_context")
    _cancelled = False
    _scheduled = False

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context) -> None:
        self._callback = callback
        self._args = args
        self._context = context


def handle_name(handle: Any) -> str:
    """Name a handle's callback, without memory addresses so that the name is the same in every run."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return task_name(owner)
    return str(getattr(callback, "__qualname__", type(callback).__name__))


def task_name(task: "asyncio.Task[Any]") -> str:
    """Name a task's coroutine, without memory addresses so that the name is the same in every run."""
    coroutine = task.get_coro()
    return f"task {getattr(coroutine, '__qualname__', type(coroutine).__name__)}"
