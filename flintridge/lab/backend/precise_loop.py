"""An event loop whose timers are late by microseconds, and this process's limit of descriptors."""

import asyncio
import resource
import select
import selectors

FD_SETSIZE = 1024  # select() takes smaller descriptors only


class PreciseSelector(selectors.EpollSelector):
    """Waits by select(), in microseconds: epoll waits in whole milliseconds, longer than short delays."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for descriptors that are ready.

        Args:
            timeout: At most so long (s); None: as long as it takes.
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
    """Allow this process all the descriptors that it may have, and return their number."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit
