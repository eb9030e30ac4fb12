"""A connection to a cache server is reset within a long value: what becomes of the requests behind it?"""

import asyncio
from pathlib import Path

from review.stand_ins.client import Client, new_id, read_command, write_command
from review.stand_ins.fleet import Fleet, main
from review.stand_ins.record import Record
from review.stand_ins.servers import CacheServer, Command, reset
from review.stand_ins.settings import settings

LONG_BYTES = 300_000
ROUNDS = 3
SLACK_S = 0.5


class ResettingCache(CacheServer):
    """A cache server that resets the connection in the middle of a long value."""

    resets = False

    async def respond(self, command: Command, writer: asyncio.StreamWriter) -> None:
        """Answer one command; a long value only by half."""
        answer = self.answer(command)
        if not self.resets or len(answer) < LONG_BYTES:
            await super().respond(command, writer)
            return
        writer.write(answer[: LONG_BYTES // 2])
        await writer.drain()
        await asyncio.sleep(0.3)
        self.world.record.add(self.name, f"resets after {LONG_BYTES // 2} bytes for id {command.id}")
        reset(writer)


async def one_round(record: Record, fleet: Fleet, number: int) -> bool:
    """Send a read of a long value, an order and a short read at once.

    Returns:
        Whether the order and the short read got a final answer. The long value may fail.
    """
    client = Client(record, f"client-{number}")
    await client.connect(fleet.node.port)
    reading = asyncio.create_task(client.read_answers())
    long_id, order_id, short_id = new_id(), new_id(), new_id()
    assert client.writer is not None
    client.writer.write(
        read_command("long", long_id)
        + write_command(f"order-{number}", order_id, b"one meal")
        + read_command("short", short_id)
    )
    client.note_sent(long_id, "mg long", 2.4)
    order = client.note_sent(order_id, f"ms order-{number}", 3.9)
    short = client.note_sent(short_id, "mg short", 2.4)
    await client.wait_until_answered([order, short], order.timeout_s + SLACK_S)
    client.close()
    await reading
    ran = any(write[0] == order_id for write in fleet.world.writes)
    state = "ran" if ran else "did not run"
    record.say(f"round {number}: order {state}, answer: {order.line or order.ended}")
    record.say(f"round {number}: short read, answer: {short.line or short.ended}")
    return order.answered and short.answered


async def case(record: Record, trouble: bool) -> bool:
    """Play some rounds; the rule holds if all requests behind the long reads are answered."""
    fleet = Fleet(record, cache_type=ResettingCache)
    try:
        await fleet.start(settings())
        ResettingCache.resets = trouble
        for cache in fleet.caches:
            cache.stored.update({"long": bytes(LONG_BYTES), "short": b"soup"})
        return all([await one_round(record, fleet, number) for number in range(1, ROUNDS + 1)])
    finally:
        fleet.node.end()


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
