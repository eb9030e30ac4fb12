"""Long values: in pieces to clients, into room kept beforehand from them; whatever the cuts and the ends."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from net_helpers import FIXED, SETTINGS, HandClock, Passing, Peer, make_request, quiet, until
from test_net_core import Script
from test_net_drivers import READ, Bench

from flintridge.api import Outcome
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.request import Request
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.lab import virtual
from flintridge.net import memcache
from flintridge.net.delivery import SERVER_SILENT, Delivery
from flintridge.net.memcache import LONG, MAX_VALUE, Announced, BadCommand, CacheExchange, CommandParser
from flintridge.net.origin import OriginExchange
from flintridge.net.parting import SLOW_READER
from flintridge.net.sender import ROOM_TIME, UNFINISHED, SenderSide
from flintridge.runtime.streams import READ as READ_AT_A_TIME
from flintridge.settings import Address

LENGTH = LONG + 5000
VALUE = bytes(97 + i * 7 % 26 for i in range(LENGTH))
ANSWER = b"VA %d Oa1 h1\r\n%b\r\n" % (LENGTH, VALUE)
HTTP = b"HTTP/1.1 200 OK\r\nReq-Id: a1\r\nContent-Length: %d\r\n\r\n%b" % (LENGTH, VALUE)
CUTS = st.lists(st.integers(0, LENGTH + 200), max_size=12)


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]  # noqa: RUF007


def taken(exchange, pieces: list[bytes]):
    """What may go out as each piece is fed, and the answer."""
    out, answer = [], None
    for piece in pieces:
        assert answer is None
        answer = exchange.feed(piece)
        if exchange.streamed_value is not None:
            out.append(b"".join(exchange.streamed_value.take_chunks()))
    return out, answer


@pytest.mark.parametrize("kind", ["cache", "origin"])
@FIXED
@given(CUTS)
def test_a_long_value_comes_out_as_it_went_in_and_at_once(kind, cuts):
    cache = kind == "cache"
    exchange = CacheExchange(make_request(), 100.0) if cache else OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    data = ANSWER if cache else HTTP
    head = data.index(VALUE[:100])
    fed, out = 0, 0
    for piece in pieces_of(data, cuts):
        answer = exchange.feed(piece)
        fed += len(piece)
        if exchange.streamed_value is not None:
            assert exchange.streamed_value.length == LENGTH
            out += sum(map(len, exchange.streamed_value.take_chunks()))
        # All that came is let out, but for the last byte until the end was seen.
        assert out == max(0, min(fed - head, LENGTH - (0 if answer else 1)))
    assert answer is not None and answer.outcome is Outcome.OK and exchange.reusable


@FIXED
@given(CUTS, st.sampled_from([b"XY", b"\rX", b"\n\r", b"xxxxxx"]))
def test_a_bad_end_is_an_error_and_the_last_byte_never_goes_out(cuts, end):
    out, answer = taken(CacheExchange(make_request(), 100.0), pieces_of(ANSWER[:-2] + end, cuts)[:])
    assert answer is not None and answer.malformed and answer.outcome is Outcome.ERROR
    assert b"".join(out) == VALUE[:-1]


def test_more_than_the_answer_ends_the_connection_but_not_the_answer():
    exchange = CacheExchange(make_request(), 100.0)
    assert exchange.feed(ANSWER + b"VA 2").outcome is Outcome.OK and not exchange.reusable


def test_what_an_exchange_holds_of_a_long_value_is_what_it_was_just_fed():
    exchange = CacheExchange(make_request(), 100.0)
    for piece in pieces_of(ANSWER[:-2], list(range(0, LENGTH, 1000))):
        exchange.feed(piece)
        exchange.streamed_value and exchange.streamed_value.take_chunks()
        assert len(exchange._reader._buffer) == 0 or exchange.streamed_value is None
        assert exchange.streamed_value is None or not exchange.streamed_value._pieces


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nReq-Id: other\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_VALUE + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 70000\r\n\r\n",
    ],
)
def test_what_is_no_good_long_value_does_not_go_through(head):
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    answer = exchange.feed(head + b"x" * 70000)
    assert exchange.streamed_value is None and answer is not None and answer.outcome is Outcome.ERROR


# Writes

LONG_WRITE = b"ms key7 %d Oa1 Pc=put,d=900\r\n%b\r\n" % (LENGTH, VALUE)


@FIXED
@given(CUTS, st.booleans())
def test_a_long_write_is_whole_or_read_past_and_what_follows_is_read(cuts, room):
    parser, found, announced = CommandParser(SETTINGS), [], 0
    for piece in pieces_of(LONG_WRITE + b"mn\r\n" + LONG_WRITE + b"mn\r\n", cuts):
        todo = parser.feed(piece)
        while todo:
            command = todo.pop(0)
            if isinstance(command, Announced):
                assert command.length == LENGTH and not todo
                announced += 1
                todo = parser.admit(room)
            else:
                found.append(command)
    assert announced == 2 and [type(c).__name__ for c in found] == [
        "Request" if room else "PassedOver", "Hello"
    ] * 2  # fmt: skip
    assert not room or all(c.value == VALUE for c in found if isinstance(c, Request))
    assert parser.idle


def test_a_long_value_with_a_bad_end_ends_the_connection():
    parser = CommandParser(SETTINGS)
    parser.feed(LONG_WRITE[:-2] + b"XY")
    (bad,) = parser.admit(True)
    assert bad == BadCommand("bad data chunk", fatal=True)


# MemoryBudget


def test_room_is_had_in_the_order_of_asking_or_not_in_time():
    clock, told = HandClock(), []
    room = MemoryBudget(100, clock)
    assert room.try_reserve(80)
    room.wait(60, 1000, lambda kept: told.append(("first", kept)))
    room.wait(10, 500, lambda kept: told.append(("second", kept)))
    assert not room.try_reserve(5) and told == []  # it does not pass by those who wait
    clock.go(500)
    assert told == [("second", False)]
    room.release(80)
    assert told[1:] == [("first", True)] and room.reserved == 60
    room.wait(101, 1000, lambda kept: told.append(("too much", kept)))
    assert told[2:] == [("too much", False)]


@FIXED
@given(st.lists(st.tuples(st.integers(0, 120), st.integers(0, 3)), max_size=40))
def test_all_room_is_given_back_whatever_happens(steps):
    clock = HandClock()
    room, held, leaving = MemoryBudget(100, clock), [], []

    def done(count):
        return lambda kept: held.append(count) if kept else None

    for count, step in steps:
        if step == 0:
            leaving.append(room.wait(count, 300, done(count)))
        elif step == 1 and held:
            room.release(held.pop(0))
        elif step == 2 and leaving:
            leaving.pop(0)()
        else:
            clock.go(100)
        assert 0 <= room.reserved <= 100 and room.reserved == sum(held)
    clock.go(300)
    while held:
        room.release(held.pop())
    assert room.reserved == 0 and not room._waiting


# The drivers


def long_bench(port: int):
    bench = Bench(port)
    bench.passing = Passing(0)
    bench.begun = []

    def begins(attempt, long):
        bench.begun.append(long.length)
        return bench.passing

    bench.delivery = Delivery(
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
            assert max(map(len, bench.passing.pieces)) <= READ_AT_A_TIME
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


class Front:
    """A sender side whose core hands its attempts to the test."""

    def __init__(self, room: int) -> None:
        self.clock, self.script, self.writers = HandClock(), Script(), []
        log, self.counters = quiet()
        self.core = RequestLifecycle(self.script, SETTINGS, self.clock, room, log, self.counters)
        transports = EndpointList((), (), SETTINGS, self.clock)
        self.side = SenderSide(self.core, SETTINGS, transports, self.clock, 8, log, self.counters)

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
            assert await first.readline() == memcache.FAILED

    virtual.run(test())
