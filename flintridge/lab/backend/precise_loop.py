"""An event loop with timers precise to microseconds, and the limit of descriptors of this process."""

import asyncio
import resource
import select
import selectors

FD_SETSIZE = 1024  # select() accepts only descriptors below this number


class PreciseSelector(selectors.EpollSelector):
    """Waits with select(), in microseconds; epoll waits whole milliseconds, longer than short link delays."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for descriptors that are ready.

        Args:
            timeout: The maximum time to wait, in s; None means no limit.
        """
        own = self.fileno()
        if timeout is not None and timeout > 0 and own < FD_SETSIZE:
            select.select([own], (), (), timeout)
            timeout = 0
        return super().select(timeout)


def precise_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are late by tens of microseconds, not by a millisecond."""
    return asyncio.SelectorEventLoop(PreciseSelector())


def raise_descriptor_limit() -> int:
    """Raise the limit of descriptors of this process to the hard limit, and return it."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit
