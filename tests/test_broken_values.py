"""Long values that break after they have begun, with other commands before and behind them."""

import asyncio
import random

import pytest
from support.breaking_servers import BROKEN_KEY, LONG_KEYS, MISSING_KEY, Break, BreakingFleet
from support.long_values import LENGTH, VALUE
from support.network import until

from flintridge.lab import virtual
from flintridge.upstream.long_value_delivery import MAX_HOLD_MS, STREAM_WINDOW_BYTES

FAILED = b"SERVER_ERROR failed\r\n"
DEADLINE_MS = 2_000
EVERY = 1_000


def read(key: str, request_id: str, deadline_ms: float = DEADLINE_MS) -> bytes:
    return f"mg {key} v O{request_id} Pc=read,t=acme,d={deadline_ms:.0f}\r\n".encode()


def order(key: str, request_id: str) -> bytes:
    head = f"ms {key} {LENGTH} O{request_id} Pc=put,t=acme,d={DEADLINE_MS},k=k{request_id}\r\n"
    return head.encode() + VALUE + b"\r\n"


def served(request_id: str, value: bytes) -> tuple[bytes, bytes]:
    return f"VA {len(value)} O{request_id}\r\n".encode(), value


def receipt(request_id: str) -> bytes:
    return f"HD O{request_id} cr1\r\n".encode()


@pytest.mark.parametrize("breaks", [1, EVERY], ids=["once", "always"])
@pytest.mark.parametrize("how", Break)
@pytest.mark.parametrize("key", [BROKEN_KEY, MISSING_KEY], ids=["cache", "origin"])
def test_value_when_it_breaks_then_every_command_around_it_is_answered_in_order(play, key, how, breaks):
    # Guards against closing the connection within a value and losing the requests behind it that were read.
    async def test():
        async with BreakingFleet(how, breaks) as fleet:
            client = await fleet.connect()
            before = read("short", "b1") + order("order1", "b2") + read("long", "b3")
            behind = order("order2", "a1") + read("short", "a2") + read("long", "a3") + b"mn\r\n"
            client.writer.write(before + read(key, "x") + behind)
            await fleet.advance_until(lambda: len(client.responses) == 8 or client.ended, 2 * DEADLINE_MS)
            broken = client.responses[3]
            assert client.responses == [
                served("b1", b"ok"),
                receipt("b2"),
                served("b3", VALUE),
                broken,
                receipt("a1"),
                served("a2", b"ok"),
                served("a3", VALUE),
                b"MN\r\n",
            ]
            # A read may also be rejected: it can be repeated without harm.
            assert broken == served("x", VALUE) or broken.startswith(b"SERVER_ERROR ")
            assert sorted(fleet.origin.orders) == ["order1", "order2"]
            client.close()

    play(test)


@pytest.mark.parametrize("how", [Break.RESET, Break.CLOSE])
def test_value_when_it_breaks_at_once_and_nothing_is_behind_it_then_is_retried(play, how):
    async def test():
        async with BreakingFleet(how, breaks=1) as fleet:
            client = await fleet.connect()
            client.writer.write(read(BROKEN_KEY, "x"))
            await until(lambda: fleet.cache.reads)
            client.writer.write(order("order1", "a1") + read("short", "a2"))
            await fleet.advance_until(lambda: len(client.responses) == 3 or client.ended, DEADLINE_MS)
            assert client.responses == [served("x", VALUE), receipt("a1"), served("a2", b"ok")]
            client.close()

    play(test)


@pytest.mark.parametrize("key", [BROKEN_KEY, MISSING_KEY], ids=["cache", "origin"])
def test_value_when_it_breaks_after_it_was_begun_then_nothing_behind_it_was_read_or_executed(play, key):
    # Guards against losing an order that was sent while a value was forwarded.
    async def test():
        async with BreakingFleet(Break.HANG, breaks=EVERY) as fleet:
            client = await fleet.connect()
            client.writer.write(read(key, "x"))
            server = fleet.cache if key == BROKEN_KEY else fleet.origin
            await until(lambda: fleet.node.dispatcher.value_memory.reserved)  # the value has begun to arrive
            fleet.clock.advance(MAX_HOLD_MS)
            await until(lambda: fleet.counters["responses_streamed"])
            client.writer.write(order("order1", "a1") + read("short", "a2"))
            await asyncio.sleep(0.05)
            server.close()
            await until(lambda: client.ended)
            assert client.responses == []
            assert 0 < client.partial_bytes < LENGTH
            assert fleet.counters["requests"] == 1
            assert fleet.origin.orders == []
            assert "short" not in fleet.cache.reads
            client.close()

    play(test)


@pytest.mark.parametrize("key", [BROKEN_KEY, MISSING_KEY], ids=["cache", "origin"])
def test_value_when_its_client_leaves_while_the_server_is_silent_then_its_connection_is_closed(key):
    async def test():
        async with BreakingFleet(Break.HANG, breaks=EVERY) as fleet:
            client = await fleet.connect()
            client.writer.write(read(key, "x"))
            server = fleet.cache if key == BROKEN_KEY else fleet.origin
            await until(lambda: fleet.node.dispatcher.value_memory.reserved)
            fleet.clock.advance(MAX_HOLD_MS)
            await until(lambda: fleet.counters["responses_streamed"])
            client.writer.transport.abort()
            await fleet.advance_until(lambda: server.ended_connections, limit_ms=1_000)
            assert fleet.counters["streams_client_closed"] == 1
            assert fleet.counters["streams_broken"] == 0
            client.close()

    asyncio.run(test())  # the kernel is asked for the end of a connection that is not read


def test_value_when_it_is_withheld_as_its_response_becomes_due_then_is_forwarded_in_time(play):
    # Guards against withholding the first bytes of a slow server's value until its request is overdue.
    async def test():
        async with BreakingFleet(Break.HANG, breaks=EVERY) as fleet:
            client = await fleet.connect()
            client.writer.write(read(BROKEN_KEY, "x", deadline_ms=MAX_HOLD_MS / 2))
            await until(lambda: fleet.node.dispatcher.value_memory.reserved)  # the value has begun to arrive
            (request,) = fleet.node.core.open_requests
            assert not request.responded
            fleet.clock.advance(request.deadline - fleet.clock.now())
            await until(lambda: fleet.counters["responses_streamed"])
            fleet.clock.advance(DEADLINE_MS)
            assert fleet.counters["responses_overdue"] == 0
            client.close()

    play(test)


def test_value_when_no_memory_is_free_and_requests_are_behind_it_then_fails_and_they_are_answered(play):
    async def test():
        async with BreakingFleet(Break.RESET, breaks=0) as fleet:
            memory = fleet.occupy_value_memory()
            client = await fleet.connect()
            client.writer.write(read("long", "x") + order("order1", "a1") + read("short", "a2"))
            await fleet.advance_until(lambda: len(client.responses) == 3 or client.ended, 2 * DEADLINE_MS)
            assert client.responses == [FAILED, receipt("a1"), served("a2", b"ok")]
            assert fleet.counters["long_values_without_memory"] == 1
            memory.release(memory.total)
            client.close()

    play(test)


@pytest.mark.parametrize("how", Break)
def test_value_when_it_breaks_after_it_waited_for_its_turn_then_fails_and_the_others_are_answered(play, how):
    # Guards against forwarding a part of a value that was collected late.
    async def test():
        async with BreakingFleet(how, breaks=EVERY) as fleet:
            fleet.node.dispatcher.value_memory.resize(LENGTH)
            client = await fleet.connect()
            client.writer.write(read("short", "b1") + read(BROKEN_KEY, "x") + read("short", "a1"))
            await fleet.advance_until(lambda: len(client.responses) == 3 or client.ended, 2 * DEADLINE_MS)
            assert client.responses == [served("b1", b"ok"), FAILED, served("a1", b"ok")]
            client.close()

    play(test)


def test_value_when_little_memory_gets_free_and_nothing_is_behind_it_then_is_streamed(play):
    async def test():
        async with BreakingFleet(Break.RESET, breaks=0) as fleet:
            memory = fleet.occupy_value_memory()
            client = await fleet.connect()
            client.writer.write(read("long", "x"))
            await until(lambda: fleet.counters["responses_streamed"] == 1)
            assert client.responses == []
            memory.release(STREAM_WINDOW_BYTES)  # too little to collect the value
            await until(lambda: len(client.responses) == 1)
            client.writer.write(read("long", "y") + b"mn\r\n")
            memory.release(memory.total - STREAM_WINDOW_BYTES)
            await until(lambda: len(client.responses) == 3)
            assert client.responses == [served("x", VALUE), served("y", VALUE), b"MN\r\n"]
            client.close()

    play(test)


def test_values_when_many_are_pipelined_and_memory_is_short_then_all_are_served_in_order(play):
    async def test():
        async with BreakingFleet(Break.RESET, breaks=0) as fleet:
            fleet.node.dispatcher.value_memory.resize(2 * LENGTH)
            client = await fleet.connect()
            ids = [f"x{number}" for number in range(16)]
            client.writer.write(b"".join(read("long", request_id) for request_id in ids))
            await until(lambda: len(client.responses) == len(ids))
            assert client.responses == [served(request_id, VALUE) for request_id in ids]
            client.close()

    play(test)


class RandomPipeline:
    """A random sequence of commands, and the responses that are right for each."""

    def __init__(self, rng: random.Random) -> None:
        self.commands: list[bytes] = []
        self._orders: dict[str, int] = {}  # the position of the order for each key
        self._right: list[set[bytes | tuple[bytes, bytes]]] = []
        for number in range(rng.randint(2, 12)):
            request_id = f"r{number}"
            key = rng.choice(["short", "long", BROKEN_KEY, MISSING_KEY, "order"])
            if key == "order":
                self._orders[f"order{number}"] = number
                self.commands.append(order(f"order{number}", request_id))
                self._right.append({receipt(request_id)})
            else:
                self.commands.append(read(key, request_id))
                self._right.append({served(request_id, VALUE if key in LONG_KEYS else b"ok")})

    def may_have_run(self, order_key: str, responses: list[bytes | tuple[bytes, bytes]]) -> bool:
        """Whether the order of this key has a response, and none that promises that it did not run."""
        position = self._orders[order_key]
        return position < len(responses) and responses[position] in {receipt(f"r{position}"), FAILED}

    def is_right(self, position: int, response: bytes | tuple[bytes, bytes]) -> bool:
        """Whether a response is the value made for the command, a failure or a rejection."""
        if isinstance(response, bytes) and response.startswith(b"SERVER_ERROR "):
            return True
        return response in self._right[position]


@pytest.mark.parametrize("seed", range(40))
def test_commands_when_values_break_at_random_then_none_that_was_read_goes_unanswered(seed):
    # Guards against any order of commands, breaks and pieces in which a request that was read gets no answer.
    async def test():
        rng = random.Random(seed)
        pipeline = RandomPipeline(rng)
        async with BreakingFleet(lambda: rng.choice(list(Break)), breaks=rng.randint(0, 6)) as fleet:
            fleet.node.dispatcher.value_memory.resize(rng.choice([LENGTH, 3 * LENGTH, 100 * LENGTH]))
            client = await fleet.connect()
            data = b"".join(pipeline.commands)
            cuts = sorted(rng.randrange(len(data)) for _ in range(rng.randint(0, 4)))
            for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                client.writer.write(data[start:end])
                await asyncio.sleep(0.001)
                fleet.clock.advance(rng.choice([0, 0, 10, 300]))
            count = len(pipeline.commands)
            await fleet.advance_until(lambda: len(client.responses) == count or client.ended, 60_000)
            responses = client.responses
            assert all(pipeline.is_right(position, response) for position, response in enumerate(responses))
            if client.ended:
                assert client.partial_bytes  # only a value that was begun ends a connection
                assert fleet.counters["requests"] <= len(responses) + 1
            # An order may be repeated under its idempotency key, but none may run without an answer.
            assert all(pipeline.may_have_run(key, responses) for key in fleet.origin.orders)
            client.close()

    virtual.run(test())
