"""Graceful shutdown: its states by call, and what becomes of connections in whichever order calls come."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.downstream import READ, PassivePolicy
from support.network import FIXED, SETTINGS, ManualClock, log_and_counters, until

from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.lingering_close import LINGERING_CLOSE_MS
from flintridge.downstream.listener import DRAIN_FIRST_COMMAND_TIMEOUT_MS, Downstream
from flintridge.lab import virtual
from flintridge.shutdown import IDLE_CLOSE_DELAY_MS, STOP_READING_DELAY_MS, GracefulShutdown, ServiceState

BUSY = b"SERVER_ERROR busy\r\n"
CALLS = {
    "start_drain": lambda shutdown, now: shutdown.start_drain(now),
    "resume": lambda shutdown, _: shutdown.resume(),
    "terminate": lambda shutdown, now: shutdown.terminate(now),
    "connections_closed": lambda shutdown, now: shutdown.connections_closed(now),
}


def shutdown_in(state: ServiceState) -> GracefulShutdown:
    shutdown = GracefulShutdown()
    if state is not ServiceState.SERVING:
        shutdown.start_drain(0.0)
    if state is ServiceState.DRAINED:
        shutdown.connections_closed(IDLE_CLOSE_DELAY_MS)
    if state is ServiceState.TERMINATING:
        shutdown.terminate(0.0)
    assert shutdown.state is state
    return shutdown


@pytest.mark.parametrize(
    ("state", "call", "next_state"),
    [
        ("serving", "start_drain", "draining"),
        ("serving", "resume", "serving"),
        ("serving", "terminate", "leaving"),
        ("serving", "connections_closed", "serving"),
        ("draining", "start_drain", "draining"),
        ("draining", "resume", "serving"),
        ("draining", "terminate", "leaving"),
        ("draining", "connections_closed", "drained"),
        ("drained", "start_drain", "drained"),
        ("drained", "resume", "serving"),
        ("drained", "terminate", "leaving"),
        ("drained", "connections_closed", "drained"),
        ("leaving", "start_drain", "leaving"),
        ("leaving", "resume", "leaving"),
        ("leaving", "terminate", "leaving"),
        ("leaving", "connections_closed", "leaving"),
    ],
)
def test_state_when_each_call_comes_in_each_state_then_is_the_next_one(state, call, next_state):
    shutdown = shutdown_in(ServiceState(state))
    changed = CALLS[call](shutdown, 1000.0)
    assert shutdown.state.value == next_state
    assert changed == (state != next_state)
    assert shutdown.accepts_clients == (next_state == "serving")


@FIXED
@given(st.lists(st.tuples(st.sampled_from(sorted(CALLS)), st.floats(0, 900)), max_size=30))
def test_deadlines_when_calls_come_in_any_order_then_count_from_the_one_that_began_it(calls):
    shutdown = GracefulShutdown()
    now = 0.0
    shutdown_at = None
    for call, pause in calls:
        now += pause
        state_before = shutdown.state
        CALLS[call](shutdown, now)
        if state_before is ServiceState.SERVING and shutdown.state is not ServiceState.SERVING:
            shutdown_at = now
        if shutdown.state is ServiceState.SERVING:
            shutdown_at = None
        idle_close_due = shutdown_at is not None and now >= shutdown_at + IDLE_CLOSE_DELAY_MS
        stop_reading_due = shutdown_at is not None and now >= shutdown_at + STOP_READING_DELAY_MS
        assert shutdown.closes_idle_connections(now) == idle_close_due
        assert shutdown.stops_reading(now) == stop_reading_due
        assert all(at > now for at in shutdown.deadlines(now))
        assert state_before is not ServiceState.TERMINATING or shutdown.state is ServiceState.TERMINATING


class DownstreamHarness:
    """A client side in virtual time, whose requests the test responds to."""

    def __init__(self, max_connections: int = 64) -> None:
        self.clock = ManualClock()
        log, self.counters = log_and_counters()
        self.core = RequestLifecycle(PassivePolicy(), SETTINGS, self.clock, 1 << 20, log, self.counters)
        endpoints = EndpointList((), (), SETTINGS, self.clock)
        entry = {"id": "s1", "host_port": "127.0.0.1:1", "phase": "in_service"}
        endpoints.apply({"revision": 1, "complete": True, "members": [entry]})
        self.shutdown = GracefulShutdown()
        self.downstream = Downstream(
            self.core, SETTINGS, endpoints, self.clock, max_connections, log, self.counters, self.shutdown
        )

    async def start(self) -> "DownstreamHarness":
        self.port = await self.downstream.listen(Address("127.0.0.1", 0))
        return self

    async def client(self, *commands: bytes):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(commands)
        await settle()
        return reader, writer

    def start_drain(self) -> None:
        self.shutdown.start_drain(self.clock.now())
        self.downstream.start_drain()

    def terminate(self) -> None:
        self.shutdown.terminate(self.clock.now())
        self.downstream.start_drain()

    def respond(self, request_id: str) -> None:
        self.core._fail_overdue(request_id)


async def settle() -> None:
    await asyncio.sleep(0.02)  # of virtual time


def test_drain_when_started_then_mn_says_no_and_connections_end_after_their_last_responses():
    async def test():
        node = await DownstreamHarness().start()
        probing, probing_writer = await node.client(b"mn\r\n")
        assert await probing.readline() == b"MN\r\n"
        busy, _ = await node.client(READ % b"r1")
        node.start_drain()
        probing_writer.write(b"mn\r\n")
        assert await probing.readline() != b"MN\r\n"
        node.clock.advance(IDLE_CLOSE_DELAY_MS - 1)
        late, late_writer = await node.client(READ % b"r2")  # load balancers still send some
        await settle()
        assert not probing.at_eof()
        node.clock.advance(1)
        assert await probing.read() == b""
        node.respond("r1")
        assert await busy.read() == b"SERVER_ERROR failed\r\n"
        node.respond("r2")
        assert await late.read() == b"SERVER_ERROR failed\r\n"
        late_writer.close()
        await settle()
        assert node.shutdown.state is ServiceState.DRAINING  # two have not closed their half
        node.clock.advance(LINGERING_CLOSE_MS)
        await until(lambda: node.shutdown.state is ServiceState.DRAINED)
        late_client, _ = await node.client(READ % b"r3")  # it is served, not dropped
        node.respond("r3")
        assert await late_client.read() == b"SERVER_ERROR failed\r\n"
        unused, _ = await node.client()
        node.clock.advance(DRAIN_FIRST_COMMAND_TIMEOUT_MS + 250)
        assert await unused.read() == BUSY

    virtual.run(test())


def test_drain_when_a_client_always_has_the_next_command_written_then_stops_reading_it():
    async def test():
        node = await DownstreamHarness().start()
        reader, writer = await node.client(READ % b"r0")
        node.start_drain()
        for i in range(1, 4):
            node.clock.advance(IDLE_CLOSE_DELAY_MS)
            writer.write(READ % b"r%d" % i)  # before the response to the one before
            await settle()
            node.respond(f"r{i - 1}")
            await settle()
        assert node.counters["requests"] == 4
        node.clock.advance(STOP_READING_DELAY_MS)
        writer.write(READ % b"r9")
        await settle()
        node.respond("r3")
        assert await reader.read() == b"SERVER_ERROR failed\r\n" * 4
        assert node.counters["requests"] == 4  # r9 was not accepted: its client sends it again elsewhere

    virtual.run(test())


STEPS = st.sampled_from(["start_drain", "resume", "terminate", "connect", "send", "respond", "wait", "mn"])


@FIXED
@given(st.lists(STEPS, min_size=3, max_size=40))
def test_requests_when_drains_and_commands_come_in_any_order_then_each_has_one_response(steps):
    async def test():
        node = await DownstreamHarness().start()
        clients = []
        accepted = []
        responded = 0
        for number, step in enumerate(steps):
            if step == "start_drain":
                node.start_drain()
            elif step == "resume":
                node.shutdown.resume()
            elif step == "terminate":
                node.terminate()
            elif step == "connect" or (step == "send" and not clients):
                reader, writer = await node.client(READ % b"q%d" % number)
                clients.append((reader, writer))
                accepted.append(f"q{number}")
            elif step == "send" and clients[number % len(clients)][0]._eof:
                continue  # it was closed, and its client knows
            elif step == "send":
                clients[number % len(clients)][1].write(READ % b"q%d" % number)
                before = node.counters["requests"]
                await settle()
                if node.counters["requests"] > before:
                    accepted.append(f"q{number}")
            elif step == "respond" and responded < len(accepted):
                node.respond(accepted[responded])
                responded += 1
            elif step == "mn":
                reader, writer = await node.client(b"mn\r\n")
                line = await reader.readline()
                assert (line == b"MN\r\n") == (node.shutdown.state is ServiceState.SERVING)
                writer.close()
            elif step == "wait":
                node.clock.advance(300)
            await settle()
        for request_id in accepted[responded:]:
            node.respond(request_id)
        node.terminate()
        node.clock.advance(STOP_READING_DELAY_MS)
        responses = b""
        for reader, _ in clients:
            responses += await reader.read()
        assert responses.replace(BUSY, b"") == b"SERVER_ERROR failed\r\n" * len(accepted)
        assert node.counters["requests"] == len(accepted)

    virtual.run(test())
