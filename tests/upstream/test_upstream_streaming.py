"""Long values from servers, no faster than their clients read."""

import asyncio

import pytest
from support.long_values import ANSWER, LENGTH
from support.network import SETTINGS, Passing, Peer, quiet, until
from support.upstream import Bench

from flintridge.lab import virtual
from flintridge.net.delivery import SERVER_SILENT, Dispatcher
from flintridge.runtime.streams import READ_MAX_BYTES


def long_bench(port: int):
    bench = Bench(port)
    bench.passing = Passing(0)
    bench.begun = []

    def begins(attempt, long):
        bench.begun.append(long.length)
        return bench.passing

    bench.delivery = Dispatcher(
        bench.transports, SETTINGS, bench.clock, 8, bench.delivery._report, *quiet(), begins
    )
    return bench


def test_a_server_is_read_no_faster_than_the_client_reads():
    async def test():
        length = 2 << 20
        big = b"VA %d Oa1\r\n" % length + b"x" * length + b"\r\n"
        async with Peer(lambda _: big) as peer:
            bench = long_bench(peer.port)
            bench.passing.open.clear()
            await bench.carry()
            await until(lambda: bench.begun)
            await asyncio.sleep(1)  # of virtual time
            (writer,) = peer.writers
            left = writer.transport.get_write_buffer_size()
            assert left > length - 512 * 1024 and bench.passing.pieces == []
            assert bench.passing.ended is None
            bench.passing.open.set()
            await until(lambda: bench.passing.ended == "whole")
            assert sum(map(len, bench.passing.pieces)) == length
            assert max(map(len, bench.passing.pieces)) <= READ_MAX_BYTES
            await bench.delivery.close()

    virtual.run(test())


@pytest.mark.parametrize("how", ["end", "bad end", "silence"])
def test_a_value_that_breaks_on_its_way_is_cut_and_not_sent_for_again(how):
    async def test():
        text = {"end": ANSWER[:-3000], "bad end": ANSWER[:-2] + b"XY", "silence": ANSWER[:-9]}[how]
        async with Peer(lambda _: text) as peer:
            bench = long_bench(peer.port)
            await bench.carry()
            await until(lambda: bench.passing.pieces)
            if how == "end":
                peer.writers[0].close()
            if how == "silence":
                await asyncio.sleep(0.1)
                assert bench.passing.ended is None
                bench.clock.go(SERVER_SILENT)
            await until(lambda: bench.passing.ended == "cut")
            assert sum(map(len, bench.passing.pieces)) < LENGTH and peer.connections == 1
            await bench.delivery.close()

    virtual.run(test())
