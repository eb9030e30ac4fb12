"""The port that tests reserve for a node that is started later."""

import asyncio
import socket

import pytest
from support.network import ManualClock, log_and_counters
from support.reserved_port import HOST, reserved_port

from flintridge.config.address import Address
from flintridge.runtime.listener import open_listener


@pytest.mark.parametrize("shared", [False, True], ids=["admin API", "clients"])
def test_reserved_port_when_a_connection_wants_it_then_the_node_has_it(shared):
    """Guards against a node that can't listen, as a connection of another test got its port meanwhile."""

    async def listen(port: int) -> None:
        address = Address(HOST, port)
        listener = await open_listener(lambda *_: None, address, shared, ManualClock(), *log_and_counters())
        listener.close()

    with reserved_port() as port:
        with socket.socket() as connection, pytest.raises(OSError, match="in use"):
            connection.bind((HOST, port))
        asyncio.run(listen(port))
