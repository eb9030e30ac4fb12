"""The memory limit of the node program, with the least memory and 1,024 descriptors, beside many clients."""

import asyncio

import pytest
from support import crowd
from support.network import ScriptedServer
from support.program import Program, request_id

LEAST_MEMORY_MB = 32
DESCRIPTORS = 1_024
CROWD_SIZE = 500
OTHER_REQUESTS = 30  # of other clients, one after another, while the crowd is connected
VALUE_BYTES = {b"kept": 4, b"kept-1": 4, b"short-1": 64 * 1_024, b"long-1": 300_000}


def serve_value(commands: bytes) -> bytes:
    """Return the response of a cache server that has a value for each key of VALUE_BYTES."""
    key = commands.split(b" ", 2)[1]
    length = VALUE_BYTES.get(key)
    if length is None:
        return b"EN O%b\r\n" % request_id(commands)
    return b"VA %d O%b\r\n%b\r\n" % (length, request_id(commands), bytes(length))


async def run_crowd(tmp_path, input_of) -> tuple[float, list[bytes]]:
    """Run a crowd, and other clients beside it.

    Returns:
        The peak of the node's memory in megabytes, and the first lines of the responses to the others.
    """
    async with ScriptedServer(serve_value) as cache, ScriptedServer(lambda _: b"") as discovery:
        program = Program(tmp_path, {"box": cache}, discovery, LEAST_MEMORY_MB, DESCRIPTORS)
        async with program.running(max_descriptors=DESCRIPTORS) as port:
            async with crowd.Crowd(port, CROWD_SIZE, input_of) as clients:
                responses = []
                for number in range(OTHER_REQUESTS):
                    command = b"mg kept v Oq%d Pc=read,d=2400\r\n" % number
                    responses.append(await crowd.one_response(port, command))
                    await clients.read_some()
            return program.peak_memory_mb(), responses


@pytest.mark.parametrize(
    "input_of",
    [
        crowd.half_value,
        crowd.part_of_long_value,
        crowd.many_short_fields,
        crowd.many_short_reads,
        crowd.many_no_ops,
        crowd.reads_of_short_values,
        crowd.reads_of_long_values,
    ],
    ids=lambda input_of: input_of.__name__,
)
def test_node_when_a_crowd_of_clients_writes_or_reads_slowly_then_stays_within_the_least_memory(
    tmp_path, input_of
):
    peak_mb, responses = asyncio.run(run_crowd(tmp_path, input_of))
    assert peak_mb <= LEAST_MEMORY_MB
    assert all(line.startswith((b"VA 4 O", b"SERVER_ERROR busy")) for line in responses)
