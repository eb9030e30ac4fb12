"""Faults of system calls in virtual time: short, interrupted, failing calls, and stalls."""

import asyncio
import errno
from itertools import pairwise

import pytest

from flintridge.lab.faults.injection import CallErrors, Injector, SystemState
from flintridge.lab.virtual import FixedLink, Network, VirtualLoop


def failing(call, name, part=1.0):
    return SystemState(calls=(CallErrors(call, (name,), part),))


class Echo(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


async def echoed(data, server_faults=None, client_faults=None):
    """Send `data` to an echo server and return the response, as a list of the pieces read."""
    loop = asyncio.get_running_loop()
    network = loop.network
    network.host("box").ip = "10.0.0.1"
    network.host("box").system_call_faults = server_faults
    await network.host("box").run(loop.create_server(Echo, "10.0.0.1", 80))

    async def client():
        network.host("client").system_call_faults = client_faults
        reader, writer = await asyncio.open_connection("10.0.0.1", 80)
        writer.write(data)
        received = []
        while sum(map(len, received)) < len(data):
            received.append(await reader.read(1 << 16))
            if not received[-1]:
                break
        return received

    return await network.host("client").run(client())


def in_virtual_time(main):
    return VirtualLoop(Network(lambda *_: FixedLink(delay_ms=1.0))).run(main, wall_limit_s=20)


@pytest.mark.parametrize(
    ("state", "least_pieces"),
    [
        (SystemState(short_io_fraction=1.0, short_io_bytes=3), 30),
        (failing("read", "EINTR", 0.5), 1),
        (failing("write", "EINTR", 0.5), 1),
        (failing("accept", "ECONNABORTED", 0.9), 1),
        (failing("connect", "EINTR"), 1),
    ],
)
def test_stream_when_calls_are_short_or_interrupted_then_all_bytes_arrive_in_order(state, least_pieces):
    data = bytes(range(100))
    faults = [Injector("a", state), Injector("b", state)]
    received = in_virtual_time(echoed(data, *faults))
    assert b"".join(received) == data
    assert len(received) >= least_pieces
    assert sum(sum(injector.counts.values()) for injector in faults) > 0


@pytest.mark.parametrize("call", ["connect", "socket"])
def test_connect_when_a_system_call_fails_then_raises_its_error(call):
    async def main():
        with pytest.raises(OSError, match="buffer space") as caught:
            await echoed(b"x", None, Injector("x", failing(call, "ENOBUFS")))
        assert caught.value.errno == errno.ENOBUFS

    in_virtual_time(main())


@pytest.mark.parametrize("call", ["read", "write"])
def test_stream_when_a_read_or_write_fails_then_ends_with_that_error(call):
    async def main():
        with pytest.raises(OSError, match=r"timed out|reset") as caught:
            # The first call of each kind fails: a failed write closes the connection, which fails the read.
            await echoed(b"x", None, Injector("x", failing(call, "ETIMEDOUT")))
        assert caught.value.errno == errno.ETIMEDOUT

    in_virtual_time(main())


def test_accept_when_out_of_descriptors_then_pauses_and_continues():
    faults = Injector("q", failing("accept", "ENFILE", 0.5))
    reports = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, report: reports.append(report["exception"].errno))
        return await echoed(b"x", faults)

    assert in_virtual_time(main()) == [b"x"]
    assert reports == [errno.ENFILE] * faults.counts["injected_accept"]


def test_stall_when_drawn_then_delays_only_that_host_and_the_data_it_sends():
    faults = Injector("x", SystemState(stall_fraction=1.0, max_stall_ms=100.0))

    async def main():
        loop = asyncio.get_running_loop()
        ticks = []

        async def tick():
            while True:
                ticks.append(loop.time())
                await asyncio.sleep(0.001)

        ticker = asyncio.ensure_future(tick())
        started_s = loop.time()
        seen = {}

        async def write():
            _, writer = await asyncio.open_connection("10.0.0.1", 80)
            seen["connected"] = loop.time()
            writer.write(b"x")
            seen["written"] = loop.time()
            await asyncio.sleep(0)
            seen["next"] = loop.time()

        received = await echoed(b"x")
        loop.network.host("client").system_call_faults = faults
        await loop.network.host("client").run(write())
        ticker.cancel()
        stalled_s = seen["written"] - seen["connected"]
        assert 0 < stalled_s <= 0.1
        assert seen["next"] == pytest.approx(seen["written"])
        assert max(after - before for before, after in pairwise(ticks)) < 0.0011
        assert loop.time() - started_s >= stalled_s
        assert received == [b"x"]

    in_virtual_time(main())
