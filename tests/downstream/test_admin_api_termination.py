"""How calls of the admin API end."""

import asyncio
import socket

from support.downstream import run_loop_turns
from support.downstream_termination import read_until_end
from support.network import ManualClock, log_and_counters, until

from flintridge.config.address import Address
from flintridge.downstream.admin_api import CALL_TIMEOUT_MS, AdminApi
from flintridge.downstream.lingering_close import LINGERING_CLOSE_MS


def test_admin_call_when_incomplete_in_time_then_gets_408_though_more_input_is_unread():
    async def test():
        clock, (log, counters) = ManualClock(), log_and_counters()
        admin_api = AdminApi({}, clock, log, counters)
        port = await admin_api.listen(Address("127.0.0.1", 0))
        caller = socket.create_connection(("127.0.0.1", port))
        caller.sendall(b"GET /admin/health HTTP/1.1\r\n")
        await until(lambda: admin_api._callers)
        await run_loop_turns()
        caller.sendall(b"Host: n1\r\n")  # no turn of the loop since
        clock.advance(CALL_TIMEOUT_MS)
        assert (await read_until_end(caller)).startswith(b"HTTP/1.1 408 ")
        assert not caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        await run_loop_turns()
        assert admin_api._callers  # it has a while to end its side
        clock.advance(LINGERING_CLOSE_MS)
        await until(lambda: not admin_api._callers)
        caller.close()
        admin_api.close()

    asyncio.run(test())
