"""Operations of an event loop that have no counterpart in virtual time."""

import asyncio
from typing import Any, NoReturn


def reject_options(options: dict[str, Any], *names: str) -> None:
    """Raise NotImplementedError if one of the named options is set."""
    for name in names:
        if options.get(name):
            raise NotImplementedError(f"a virtual network does not support {name}")


class UnsupportedOperations(asyncio.BaseEventLoop):
    """The operations of an event loop that raise NotImplementedError."""

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> NoReturn:  # type: ignore[override]
        """Not supported: threads do not run in virtual time."""
        raise NotImplementedError("a virtual loop has no executors: threads do not run in virtual time")

    async def getaddrinfo(self, host: Any, port: Any, **ignored: Any) -> NoReturn:
        """Not supported: connect by IP address."""
        raise NotImplementedError("a virtual network has no name resolution: connect by IP address")

    async def getnameinfo(self, sockaddr: Any, flags: int = 0) -> NoReturn:
        """Not supported: there is no name resolution."""
        raise NotImplementedError("a virtual network has no name resolution")

    async def subprocess_exec(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: run code on a Host."""
        raise NotImplementedError("a virtual loop cannot start programs: run code on a Host")

    subprocess_shell = subprocess_exec

    async def start_tls(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: there is no TLS."""
        raise NotImplementedError("a virtual network has no TLS")

    async def connect_accepted_socket(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: there are no real sockets."""
        raise NotImplementedError("a virtual loop does not support real sockets")

    async def connect_read_pipe(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: there are no pipes."""
        raise NotImplementedError("a virtual loop does not support real pipes")

    async def connect_write_pipe(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: there are no pipes."""
        raise NotImplementedError("a virtual loop does not support real pipes")

    async def sendfile(self, *args: Any, **kwargs: Any) -> NoReturn:
        """Not supported: there are no files."""
        raise NotImplementedError("a virtual loop cannot send real files")
