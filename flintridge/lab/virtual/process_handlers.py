"""The exception and signal handlers of an event loop, kept separately for each process."""

import asyncio
from collections.abc import Callable
from contextvars import copy_context
from typing import Any

from flintridge.lab.virtual.errors import LivelockError
from flintridge.lab.virtual.handles import VirtualHandle
from flintridge.lab.virtual.process import CURRENT_PROCESS

ExceptionHandler = Callable[[Any, dict[str, Any]], object]


class ProcessHandlers(asyncio.BaseEventLoop):
    """The part of an event loop that keeps the handlers of the calling process."""

    def set_exception_handler(self, handler: ExceptionHandler | None) -> None:
        """Set the handler of the calling process; outside a process, the default handler."""
        process = CURRENT_PROCESS.get()
        if process is None:
            super().set_exception_handler(handler)
        elif handler is not None and not callable(handler):
            raise TypeError(f"A callable object or None is expected, got {handler!r}")
        else:
            process.exception_handler = handler

    def get_exception_handler(self) -> ExceptionHandler | None:
        """Return the handler of the calling process; outside a process, the default."""
        process = CURRENT_PROCESS.get()
        return super().get_exception_handler() if process is None else process.exception_handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Report to the handler of the calling process; a dead process reports nothing."""
        if isinstance(context.get("exception"), LivelockError):
            return  # reported by the loop itself
        process = CURRENT_PROCESS.get()
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
                report = {"message": "Unhandled error in exception handler", "exception": error}
                super().call_exception_handler(report | {"context": context})

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Register a handler for `Host.signal`; real signals are not delivered.

        Raises:
            NotImplementedError: If no host's code is calling.
        """
        process = CURRENT_PROCESS.get()
        if process is None:
            raise NotImplementedError("signal handlers belong to hosts: see Host.signal")
        process.signal_handlers[sig] = VirtualHandle(callback, args, self, copy_context())

    def remove_signal_handler(self, sig: int) -> bool:
        """Remove the handler of a signal, and return whether there was one."""
        process = CURRENT_PROCESS.get()
        return process is not None and process.signal_handlers.pop(sig, None) is not None
