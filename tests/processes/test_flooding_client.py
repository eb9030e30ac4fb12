"""One client that sends small requests at full speed, beside other clients of the node program."""

import asyncio

import pytest
from support import crowd
from support.network import ScriptedServer
from support.program import Program, cache, origin

LEAST_MEMORY_MB = 32
DESCRIPTORS = 256
REQUESTS = 80_000
REQUESTS_AT_ONCE = 50


def read(number: int) -> bytes:
    return b"mg key%d v Or%d Pc=read,d=1\r\n" % (number, number)


def write(number: int) -> bytes:
    return b"ms key%d 2 Ow%d Pc=put,d=1,k=k%d\r\nhi\r\n" % (number, number, number)


async def discard_responses(reader: asyncio.StreamReader) -> None:
    while await reader.read(1 << 16):
        pass


async def flood(port: int, command) -> None:
    """Send REQUESTS requests under ever new ids and keys on one connection."""
    reader, writer = await asyncio.open_connection(crowd.HOST, port)
    discarding = asyncio.create_task(discard_responses(reader))
    for first in range(0, REQUESTS, REQUESTS_AT_ONCE):
        writer.write(b"".join(map(command, range(first, first + REQUESTS_AT_ONCE))))
        await writer.drain()
    writer.write_eof()
    await discarding
    writer.close()


@pytest.mark.parametrize("command", [read, write])
def test_node_when_a_client_sends_under_ever_new_names_then_memory_is_bounded_and_others_are_served(
    tmp_path, command
):
    async def test():
        async with (
            ScriptedServer(cache) as cache_server,
            ScriptedServer(origin) as origin_server,
            ScriptedServer(lambda _: b"") as discovery,
        ):
            servers = {"box": cache_server, "origin": origin_server}
            program = Program(tmp_path, servers, discovery, LEAST_MEMORY_MB, DESCRIPTORS)
            async with program.running(max_descriptors=DESCRIPTORS) as port:
                flooding = asyncio.create_task(flood(port, command))
                responses = []
                while not flooding.done():
                    responses.append(await crowd.one_response(port, b"mg kept v Oq%d\r\n" % len(responses)))
                await flooding
                assert program.peak_memory_mb() <= LEAST_MEMORY_MB
                assert responses == [b"VA 4 Oq%d\r\n" % number for number in range(len(responses))]

    asyncio.run(test())
