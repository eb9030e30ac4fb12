"""A spoilt answer of the origin whose lengths do not fit: is the client served another value than its own?"""

import asyncio
from pathlib import Path

from review.stand_ins.client import Client, Sent, new_id, read_command
from review.stand_ins.fleet import Fleet, main
from review.stand_ins.http_messages import HttpRequest
from review.stand_ins.record import Record
from review.stand_ins.servers import Origin, World
from review.stand_ins.settings import settings

VALUE_BYTES = 100_000
MISSING_BYTES = 500  # how much shorter the spoilt answer's Content-Length is than the value
READS = 5
TIMEOUT_S = 2.4
SLACK_S = 0.5


def value_of(key: str) -> bytes:
    """The value of a key."""
    return (key.encode() + b";") * (VALUE_BYTES // (len(key) + 1))


class SpoilingOrigin(Origin):
    """An origin whose first answer for each key is spoilt: Content-Length does not fit the chunked body."""

    spoils = False

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._spoilt: set[str] = set()

    async def respond(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Run one request, and answer it spoilt if it is the first for its key."""
        key = request.target[1:]
        if not self.spoils or key in self._spoilt:
            await super().respond(request, writer)
            return
        self._spoilt.add(key)
        _, body = self.run(request)
        for cache in self.world.caches:
            cache.stored.pop(key, None)
        stated = len(body) - MISSING_BYTES
        self.world.record.add("origin", f"sends 200, Content-Length {stated}, {len(body)} bytes in a chunk")
        head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % stated
        writer.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
        await writer.drain()


def is_right(sent: Sent, value: bytes) -> bool:
    """Whether a read got its value, a refusal, a failure, or an end by which the client can tell."""
    if sent.line.startswith("VA ") and sent.answered:
        return sent.value == value
    return sent.answered or sent.ended != ""


async def read_key(record: Record, port: int, key: str) -> bool:
    """Read a key on a connection of its own; returns whether the rule held for it."""
    client = Client(record, f"client of {key}")
    await client.connect(port)
    reading = asyncio.create_task(client.read_answers())
    request_id = new_id()
    assert client.writer is not None
    client.writer.write(read_command(key, request_id))
    sent = client.note_sent(request_id, f"mg {key}", TIMEOUT_S)
    await client.wait_until_answered([sent], TIMEOUT_S + SLACK_S)
    client.close()
    await reading
    expected = value_of(key)
    right = is_right(sent, expected)
    what = f"{sent.line or 'no answer'}: {len(sent.value)} bytes; its value has {len(expected)}"
    record.say(f"{key}: {what}; {'right' if right else 'NOT what was made for it'}")
    return right


async def case(record: Record, trouble: bool) -> bool:
    """Read some keys that no cache server has; the rule holds if no read is served something else."""
    fleet = Fleet(record, origin_type=SpoilingOrigin)
    try:
        await fleet.start(settings())
        SpoilingOrigin.spoils = trouble
        keys = [f"menu-{number}" for number in range(READS)]
        fleet.world.values.update({key: value_of(key) for key in keys})
        return all([await read_key(record, fleet.node.port, key) for key in keys])
    finally:
        fleet.node.end()


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
