"""The drain: its states by event, and what it makes of connections whatever comes in whichever order."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.downstream import READ, PassivePolicy
from support.network import FIXED, SETTINGS, HandClock, quiet, until

from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.lingering_close import LINGERING_CLOSE_MS
from flintridge.downstream.listener import DRAIN_FIRST_COMMAND_TIMEOUT_MS, Downstream
from flintridge.lab import virtual
from flintridge.shutdown import CEASE, LINGER, GracefulShutdown, ServiceState

BUSY = b"SERVER_ERROR busy\r\n"
CALLS = {
    "quiesce": lambda drain, now: drain.quiesce(now),
    "resume": lambda drain, now: drain.resume(now),
    "leave": lambda drain, now: drain.leave(now),
    "emptied": lambda drain, now: drain.emptied(now),
}


def drain_in(state: ServiceState) -> GracefulShutdown:
    drain = GracefulShutdown()
    if state is not ServiceState.SERVING:
        drain.quiesce(0.0)
    if state is ServiceState.DRAINED:
        drain.emptied(LINGER)
    if state is ServiceState.LEAVING:
        drain.leave(0.0)
    assert drain.state is state
    return drain


@pytest.mark.parametrize(
    ("state", "call", "then"),
    [
        ("serving", "quiesce", "draining"),
        ("serving", "resume", "serving"),
        ("serving", "leave", "leaving"),
        ("serving", "emptied", "serving"),
        ("draining", "quiesce", "draining"),
        ("draining", "resume", "serving"),
        ("draining", "leave", "leaving"),
        ("draining", "emptied", "drained"),
        ("drained", "quiesce", "drained"),
        ("drained", "resume", "serving"),
        ("drained", "leave", "leaving"),
        ("drained", "emptied", "drained"),
        ("leaving", "quiesce", "leaving"),
        ("leaving", "resume", "leaving"),
        ("leaving", "leave", "leaving"),
        ("leaving", "emptied", "leaving"),
    ],
)
def test_each_call_in_each_state(state, call, then):
    drain = drain_in(ServiceState(state))
    changed = CALLS[call](drain, 1000.0)
    assert drain.state.value == then and changed == (state != then)
    assert drain.welcoming == (then == "serving")


@FIXED
@given(st.lists(st.tuples(st.sampled_from(sorted(CALLS)), st.floats(0, 900)), max_size=30))
def test_the_times_of_a_drain_count_from_the_call_that_ended_the_service(calls):
    drain, now, since = GracefulShutdown(), 0.0, None
    for call, pause in calls:
        now += pause
        before = drain.state
        CALLS[call](drain, now)
        if before is ServiceState.SERVING and drain.state is not ServiceState.SERVING:
            since = now
        if drain.state is ServiceState.SERVING:
            since = None
        assert drain.parting(now) == (since is not None and now >= since + LINGER)
        assert drain.ceasing(now) == (since is not None and now >= since + CEASE)
        assert all(at > now for at in drain.due(now))
        assert before is not ServiceState.LEAVING or drain.state is ServiceState.LEAVING


class Side:
    """A sender side in virtual time, whose requests the test answers."""

    def __init__(self, room: int = 64) -> None:
        self.clock = HandClock()
        log, self.counters = quiet()
        self.core = RequestLifecycle(PassivePolicy(), SETTINGS, self.clock, 1 << 20, log, self.counters)
        transports = EndpointList((), (), SETTINGS, self.clock)
        entry = {"id": "s1", "host_port": "127.0.0.1:1", "phase": "in_service"}
        transports.apply({"revision": 1, "complete": True, "members": [entry]})
        self.drain = GracefulShutdown()
        self.side = Downstream(
            self.core, SETTINGS, transports, self.clock, room, log, self.counters, self.drain
        )

    async def start(self) -> "Side":
        self.port = await self.side.listen(Address("127.0.0.1", 0))
        return self

    async def client(self, *parts: bytes):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(parts)
        await settle()
        return reader, writer

    def quiesce(self) -> None:
        self.drain.quiesce(self.clock.now())
        self.side.start_drain()

    def answer(self, uid: str) -> None:
        self.core._fail_overdue(uid)


async def settle() -> None:
    await asyncio.sleep(0.02)  # of virtual time


def test_mn_says_no_at_once_and_connections_end_after_their_last_answers():
    async def test():
        s = await Side().start()
        asked, asker = await s.client(b"mn\r\n")
        assert await asked.readline() == b"MN\r\n"
        busy, _ = await s.client(READ % b"r1")
        s.quiesce()
        asker.write(b"mn\r\n")
        assert await asked.readline() != b"MN\r\n"
        s.clock.go(LINGER - 1)
        late, late_writer = await s.client(READ % b"r2")  # the front still deals some out
        await settle()
        assert not asked.at_eof()
        s.clock.go(1)
        assert await asked.read() == b""
        s.answer("r1")
        assert await busy.read() == b"SERVER_ERROR failed\r\n"
        s.answer("r2")
        assert await late.read() == b"SERVER_ERROR failed\r\n"
        late_writer.close()
        await settle()
        assert s.drain.state is ServiceState.DRAINING  # two have not closed their half
        s.clock.go(LINGERING_CLOSE_MS)
        await until(lambda: s.drain.state is ServiceState.DRAINED)
        visitor, _ = await s.client(READ % b"r3")  # answered, not dropped
        s.answer("r3")
        assert await visitor.read() == b"SERVER_ERROR failed\r\n"
        silent, _ = await s.client()
        s.clock.go(DRAIN_FIRST_COMMAND_TIMEOUT_MS + 250)
        assert await silent.read() == BUSY

    virtual.run(test())


def test_a_connection_that_always_has_the_next_command_written_is_read_no_further():
    async def test():
        s = await Side().start()
        reader, writer = await s.client(READ % b"r0")
        s.quiesce()
        for i in range(1, 4):
            s.clock.go(LINGER)
            writer.write(READ % b"r%d" % i)  # before the answer to the one before
            await settle()
            s.answer(f"r{i - 1}")
            await settle()
        assert s.counters["requests"] == 4
        s.clock.go(CEASE)
        writer.write(READ % b"r9")
        await settle()
        s.answer("r3")
        assert await reader.read() == b"SERVER_ERROR failed\r\n" * 4
        assert s.counters["requests"] == 4  # r9 was not taken: its client sends it again elsewhere

    virtual.run(test())


STEPS = st.sampled_from(["quiesce", "resume", "leave", "ask", "ask_more", "answer", "pass", "mn"])


@FIXED
@given(st.lists(STEPS, min_size=3, max_size=40))
def test_whatever_the_order_each_request_taken_has_one_answer(steps):
    async def test():
        s = await Side().start()
        clients, taken, answered = [], [], 0
        for number, step in enumerate(steps):
            if step == "quiesce":
                s.quiesce()
            elif step == "resume":
                s.drain.resume(s.clock.now())
            elif step == "leave":
                s.drain.leave(s.clock.now())
                s.side.start_drain()
            elif step == "ask" or (step == "ask_more" and not clients):
                reader, writer = await s.client(READ % b"q%d" % number)
                clients.append((reader, writer))
                taken.append(f"q{number}")
            elif step == "ask_more" and clients[number % len(clients)][0]._eof:
                continue  # it was closed, and its client knows
            elif step == "ask_more":
                clients[number % len(clients)][1].write(READ % b"q%d" % number)
                before = s.counters["requests"]
                await settle()
                if s.counters["requests"] > before:
                    taken.append(f"q{number}")
            elif step == "answer" and answered < len(taken):
                s.answer(taken[answered])
                answered += 1
            elif step == "mn":
                reader, writer = await s.client(b"mn\r\n")
                said = await reader.readline()
                assert (said == b"MN\r\n") == (s.drain.state is ServiceState.SERVING)
                writer.close()
            elif step == "pass":
                s.clock.go(300)
            await settle()
        for uid in taken[answered:]:
            s.answer(uid)
        s.drain.leave(s.clock.now())
        s.side.start_drain()
        s.clock.go(CEASE)
        said = b""
        for reader, _ in clients:
            said += await reader.read()
        assert said.replace(BUSY, b"") == b"SERVER_ERROR failed\r\n" * len(taken)
        assert s.counters["requests"] == len(taken)

    virtual.run(test())
