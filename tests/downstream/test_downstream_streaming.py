"""Long values to and from clients, in their turn."""

import asyncio

import pytest
from support.core import Script
from support.long_values import LENGTH, LONG_WRITE, VALUE
from support.network import SETTINGS, HandClock, quiet, until
from support.upstream import READ

from flintridge.codec.memcache.encoder import FAILED_RESPONSE
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.lab import virtual
from flintridge.net.parting import SLOW_READER
from flintridge.net.sender import ROOM_TIME, UNFINISHED, Downstream
from flintridge.settings import Address


class Front:
    """A sender side whose core hands its attempts to the test."""

    def __init__(self, room: int) -> None:
        self.clock, self.script, self.writers = HandClock(), Script(), []
        log, self.counters = quiet()
        self.core = RequestLifecycle(self.script, SETTINGS, self.clock, room, log, self.counters)
        transports = EndpointList((), (), SETTINGS, self.clock)
        self.side = Downstream(self.core, SETTINGS, transports, self.clock, 8, log, self.counters)

    async def client(self, *parts: bytes):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(parts)
        self.writers.append(writer)  # dropped, it would close
        return reader, writer

    async def __aenter__(self):
        self.port = await self.side.listen(Address("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_) -> None:
        self.side.close()
        self.core.close()
        await asyncio.sleep(0.1)
        assert self.core.memory_budget.reserved == 0

    def responder(self, uid: str):
        request = self.core._open[uid]
        self.core._mark_answered(uid, request)
        return request.responder


def test_pieces_go_out_in_their_turn_and_a_cut_ends_the_connection():
    async def test():
        async with Front(1 << 20) as front:
            reader, _ = await front.client(READ % b"a1", READ % b"a2", READ % b"a3")
            await until(lambda: front.counters["requests"] == 3)
            second = front.responder("a2").start_stream(10)
            waiting = asyncio.ensure_future(second.wait_writable())
            await asyncio.sleep(0.1)
            assert not waiting.done()  # the first answer is still owed
            front.responder("a1").fail()
            await waiting
            second.write([b"0123"])
            assert await reader.readexactly(36) == b"SERVER_ERROR failed\r\nVA 10 Oa2\r\n0123"
            front.responder("a3").fail()
            await second.wait_writable()
            second.write([b"456789"])
            second.end()
            assert await reader.readexactly(29) == b"456789\r\nSERVER_ERROR failed\r\n"
            reader, _ = await front.client(READ % b"b1")
            await until(lambda: front.counters["requests"] == 4)
            third = front.responder("b1").start_stream(10)
            third.write([b"0123"])
            third.abort()
            assert await reader.read() == b"VA 10 Ob1\r\n0123"

    virtual.run(test())


def test_a_client_that_reads_slowly_is_waited_for_and_one_that_reads_nothing_is_not():
    async def test():
        async with Front(1 << 20) as front:
            reader, writer = await front.client(READ % b"a1")
            await until(lambda: front.counters["requests"] == 1)
            passage = front.responder("a1").start_stream(4 << 20)
            reader._transport.pause_reading()
            for _ in range(64):
                passage.write([b"x" * 65536])
            waiting = asyncio.ensure_future(passage.wait_writable())
            for _ in range(4):
                await asyncio.sleep(0.1)
                front.clock.go(SLOW_READER - 1)
                reader._transport.resume_reading()
                await reader.read(200_000)
                reader._transport.pause_reading()
            await asyncio.sleep(0.1)
            assert not waiting.done()
            front.clock.go(SLOW_READER)
            await asyncio.sleep(0.1)
            front.clock.go(SLOW_READER)
            with pytest.raises(ConnectionError):
                await waiting
            passage.abort()
            writer.close()

    virtual.run(test())


def test_room_for_a_long_write_is_kept_before_it_is_read_and_missed_in_time():
    async def test():
        async with Front(LENGTH + 1000) as front:
            half, half_writer = await front.client(LONG_WRITE[:5000])
            await until(lambda: front.core.memory_budget.reserved == LENGTH)
            none, none_writer = await front.client(LONG_WRITE.replace(b"Oa1", b"Oa2"), b"mn\r\n")
            await asyncio.sleep(0.2)
            front.clock.go(ROOM_TIME)
            said = b"SERVER_ERROR busy\r\nSERVER_ERROR starting\r\n"
            assert await none.readexactly(len(said)) == said  # framing held
            then, _ = await front.client(LONG_WRITE.replace(b"Oa1", b"Oa3"))
            await asyncio.sleep(0.2)
            half_writer.write(LONG_WRITE[5000:])
            await until(lambda: front.counters["requests"] == 1)
            assert bytes(front.core._open["a1"].request.value) == VALUE
            front.core._fail_overdue("a1")
            assert await half.readline() == b"SERVER_ERROR failed\r\n"
            await until(lambda: front.counters["requests"] == 2)  # it had waited for its room
            front.core._fail_overdue("a3")
            assert await then.readline() == b"SERVER_ERROR failed\r\n"
            assert front.core.memory_budget.reserved == 0
            gone, gone_writer = await front.client(LONG_WRITE[:90_00])
            await until(lambda: front.core.memory_budget.reserved == LENGTH)
            front.clock.go(UNFINISHED + 250)
            assert (await gone.read()).startswith(b"CLIENT_ERROR")
            await until(lambda: front.core.memory_budget.reserved == 0)
            for writer in (none_writer, gone_writer):
                writer.close()

    virtual.run(test())


def test_an_id_in_use_gives_the_room_back():
    async def test():
        async with Front(3 * LENGTH) as front:
            first, _ = await front.client(LONG_WRITE)
            await until(lambda: front.counters["requests"] == 1)
            second, _ = await front.client(LONG_WRITE)
            assert await second.readline() == b"CLIENT_ERROR id in use\r\n"
            assert front.core.memory_budget.reserved == LENGTH
            front.core._fail_overdue("a1")
            assert await first.readline() == FAILED_RESPONSE

    virtual.run(test())
