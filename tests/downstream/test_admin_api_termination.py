"""How calls of the admin API end."""

import asyncio
import socket

from support.downstream_termination import rest, turns
from support.network import HandClock, quiet, until

from flintridge.config.address import Address
from flintridge.net.console import CALL_TIME, AdminApi
from flintridge.net.parting import PARTING


def test_a_call_that_was_not_whole_in_time_is_told_so_though_more_of_it_lies_there():
    async def test():
        clock, (log, counters) = HandClock(), quiet()
        console = AdminApi({}, clock, log, counters)
        port = await console.listen(Address("127.0.0.1", 0))
        caller = socket.create_connection(("127.0.0.1", port))
        caller.sendall(b"GET /admin/health HTTP/1.1\r\n")
        await until(lambda: console._callers)
        await turns()
        caller.sendall(b"Host: n1\r\n")  # no turn of the loop since
        clock.go(CALL_TIME)
        assert (await rest(caller)).startswith(b"HTTP/1.1 408 ")
        assert not caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        await turns()
        assert console._callers  # it has a while to end its side
        clock.go(PARTING)
        await until(lambda: not console._callers)
        caller.close()
        console.close()

    asyncio.run(test())
