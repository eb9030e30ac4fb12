"""Listeners, client connections and ports on loopback."""

import asyncio

import pytest
from support.loopback import SHORT_S, LinkPair, RecordingProtocol, run_on_fabric, set_link_state, until

from flintridge.lab.backend.loopback_fabric import LoopbackFabric


def test_connects_hang_while_the_link_is_silent_and_none_is_refused_when_its_state_changes():
    async def test(fabric):
        made = []

        def factory():
            made.append(RecordingProtocol())
            return made[-1]

        await fabric.listen("box", "n0", factory)
        address = fabric.address("box", "n0")
        for _ in range(2):
            set_link_state(fabric, "silent")
            for dial in (asyncio.open_connection(*address), fabric.connect("c0", "n0", RecordingProtocol)):
                with pytest.raises(TimeoutError):  # the kernel neither accepts nor refuses
                    await asyncio.wait_for(dial, SHORT_S)
            assert made == []
            set_link_state(fabric, "up")
            _, writer = await asyncio.open_connection(*address)
            await until(lambda: made and made.pop())
            writer.close()

    run_on_fabric(test)


def test_a_client_connects_to_a_node_and_is_refused_if_no_node_listens():
    async def test(fabric):
        with pytest.raises(ConnectionRefusedError):
            await fabric.connect("c0", "n0", RecordingProtocol)

        async def serve(reader, writer):
            writer.write(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(serve, *fabric.address("listen", "n0"))
        transport = await fabric.connect("c0", "n0", RecordingProtocol)
        end = transport.get_protocol()
        transport.write(b"hello")
        assert await end.ended is None and end.received == [b"hello"] and transport.is_closing()
        assert transport.get_extra_info("peername") == fabric.address("listen", "n0")
        server.close()
        await until(lambda: not fabric.connections)

    run_on_fabric(test, LinkPair(delay_ms=1.0))


def test_two_concurrent_runs_use_different_ports():
    async def test(fabric):
        other = LoopbackFabric(LinkPair())
        try:
            for one in (fabric, other):
                await one.listen("box", "n0", RecordingProtocol)
            assert fabric.address("box", "n0") != other.address("box", "n0")
            assert len({fabric.address(p, n) for p in ("a", "b") for n in ("n0", "n1", "n207")}) == 6
        finally:
            other.close()

    run_on_fabric(test)
