"""The node program at servers whose responses stop or become slow at each point of the message."""

import asyncio
import contextlib

import pytest
from support.faulty_points import Fault, FaultyCache, FaultyOrigin, Form, Plan, Point
from support.network import ScriptedServer, until
from support.program import Program
from support.timed_reads import LATEST_RESPONSE_S, TimedResponse, timed_read

LONG_BYTES = 300_000
SLOW_VALUE_S = 10.0
PLACES = ("alone", "behind", "before")
KILL_AFTER_TERM_S = 0.7 + 3.0  # the earliest
FORMS = (Form.MEMCACHE, Form.LENGTH)
POINTS = tuple(point for point in Point if point is not Point.COMPLETE)


@contextlib.asynccontextmanager
async def fleet(tmp_path):
    """Run a node with three cache servers and two origins.

    Yields the program, its port, and the number of attempts at each key.
    """
    async with contextlib.AsyncExitStack() as stack:
        attempts: dict[str, int] = {}
        servers = {f"box-{number}": FaultyCache(attempts) for number in range(3)}
        servers |= {f"origin-{number}": FaultyOrigin(attempts) for number in range(2)}
        for server in servers.values():
            await stack.enter_async_context(server)
        discovery = await stack.enter_async_context(ScriptedServer(lambda _: b""))
        program = Program(tmp_path, servers, discovery)
        port = await stack.enter_async_context(program.running())
        yield program, port, attempts


async def read_at_each_place(tmp_path, plan: Plan, wait_s: float = 0.0) -> dict[str, TimedResponse]:
    async with fleet(tmp_path) as (_, port, _):
        reads = (timed_read(port, plan, place, wait_s) for place in PLACES)
        return dict(zip(PLACES, await asyncio.gather(*reads), strict=True))


def _late(responses: dict[str, TimedResponse]) -> dict[str, TimedResponse]:
    return {place: one for place, one in responses.items() if one.begun_s > LATEST_RESPONSE_S}


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.value)
@pytest.mark.parametrize("point", POINTS, ids=lambda point: point.value)
def test_long_read_when_all_servers_fall_silent_then_its_response_begins_in_time(tmp_path, point, form):
    plan = Plan(point, Fault.SILENCE, LONG_BYTES, form)
    assert not _late(asyncio.run(read_at_each_place(tmp_path, plan)))


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.value)
@pytest.mark.parametrize("point", [Point.START, Point.HEAD, Point.VALUE_START], ids=lambda point: point.value)
def test_long_read_when_one_server_falls_silent_before_the_value_then_is_retried(tmp_path, point, form):
    plan = Plan(point, Fault.SILENCE, LONG_BYTES, form, faulty_attempts=1)
    responses = asyncio.run(read_at_each_place(tmp_path, plan, SLOW_VALUE_S))
    assert not _late(responses)
    assert responses["alone"].is_whole


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.value)
@pytest.mark.parametrize("point", POINTS, ids=lambda point: point.value)
def test_long_read_when_its_server_writes_slowly_then_is_not_cut_off(tmp_path, point, form):
    plan = Plan(point, Fault.SLOW, LONG_BYTES, form, faulty_attempts=1)
    responses = asyncio.run(read_at_each_place(tmp_path, plan, SLOW_VALUE_S))
    assert not _late(responses)
    assert all(response.is_whole for response in responses.values() if response.is_value)
    assert responses["alone"].is_whole


async def read_and_terminate(
    tmp_path, plan: Plan, wait_s: float
) -> tuple[dict[str, TimedResponse], int | None]:
    """Read beside SIGTERM; returns the responses and the exit code, None if the process was killed."""
    async with fleet(tmp_path) as (program, port, attempts):
        reading = asyncio.gather(*(timed_read(port, plan, place, wait_s) for place in PLACES))
        await until(lambda: sum(key.startswith(plan.key) for key in attempts) == len(PLACES))
        program.process.terminate()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(program.process.wait(), KILL_AFTER_TERM_S)
        return dict(zip(PLACES, await reading, strict=True)), program.process.returncode


@pytest.mark.parametrize("wait_s", [0.0, SLOW_VALUE_S], ids=["leaves", "stays"])
@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.value)
@pytest.mark.parametrize(
    "point", [Point.VALUE_START, Point.FIRST_BYTE, Point.LAST_BYTE], ids=lambda point: point.value
)
def test_long_read_when_its_servers_fall_silent_at_shutdown_then_is_answered_and_the_node_ends(
    tmp_path, point, form, wait_s
):
    plan = Plan(point, Fault.SILENCE, LONG_BYTES, form)
    responses, exit_code = asyncio.run(read_and_terminate(tmp_path, plan, wait_s))
    assert not _late(responses)
    assert exit_code == 0
