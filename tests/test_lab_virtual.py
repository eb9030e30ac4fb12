"""The virtual loop and network: alone, and held against asyncio on real sockets."""

import asyncio
import errno
import os
import random
import signal
import subprocess
import sys
import threading
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, quiet, until
from support.paths import ROOT

import flintridge.__main__
from flintridge.config.loader import load_config
from flintridge.lab.virtual import (
    DeadlockError,
    FixedLink,
    LivelockError,
    Network,
    VirtualLoop,
    current_host,
    run,
)

BIG = 8 << 20  # more than any kernel takes by itself
READER = 1 << 16


class Recorder(asyncio.Protocol):
    """Notes what it is told; `keep` is what eof_received answers."""

    def __init__(self, keep: bool = False) -> None:
        self.keep, self.told, self.size = keep, [], 0
        self.transport: asyncio.Transport

    def connection_made(self, transport):
        self.transport = transport
        self.told.append("made")

    def data_received(self, data):
        self.size += len(data)
        if self.told[-1] != "data":
            self.told.append("data")

    def eof_received(self):
        self.told.append("eof")
        return self.keep

    def connection_lost(self, error):
        self.told.append(("lost", type(error).__name__))

    def pause_writing(self):
        self.told.append("pause")

    def resume_writing(self):
        self.told.append("resume")

    @property
    def ended(self) -> bool:
        return self.told[-1][0] == "lost"


async def pair(keep: bool = False) -> tuple[Recorder, Recorder, asyncio.AbstractServer]:
    """A client and the server it reached."""
    loop, accepted = asyncio.get_running_loop(), []
    server = await loop.create_server(lambda: accepted.append(Recorder(keep)) or accepted[-1], "127.0.0.1", 0)
    _, client = await loop.create_connection(lambda: Recorder(keep), *server.sockets[0].getsockname())
    await until(lambda: accepted and accepted[0].told)
    return client, accepted[0], server


# Behaviours, each of which must be the same on sockets and in virtual time


async def half_close():
    client, server, _ = await pair(keep=True)
    client.transport.write(b"ask")
    client.transport.write_eof()
    with pytest.raises(RuntimeError):
        client.transport.write(b"more")
    await until(lambda: server.told[-1] == "eof")
    server.transport.write(b"answer")
    server.transport.close()
    await until(lambda: client.told[-1] == "eof")
    client.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.told, client.size, server.told, server.size


async def an_end_of_the_other_side_closes():
    client, server, _ = await pair()
    server.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.told, server.told, client.transport.is_closing(), client.transport.get_protocol()


async def abort_drops_what_waits_and_says_eof():
    client, server, _ = await pair()
    server.transport.write(b"x" * BIG)
    unwritten = server.transport.get_write_buffer_size() > 0
    server.transport.abort()
    server.transport.write(b"late")
    await until(lambda: client.ended and server.ended)
    return unwritten, client.told, 0 < client.size < BIG, server.told


async def close_with_unread_input(action: str = "close"):
    client, server, _ = await pair()
    server.transport.pause_reading()
    client.transport.write(b"unread")
    await asyncio.sleep(0.005)
    server.transport.write(b"bye")
    getattr(server.transport, action)()
    await until(lambda: client.ended and server.ended)
    return client.told, client.size, server.told


async def abort_with_unread_input():
    return await close_with_unread_input("abort")


async def a_reset_is_seen_by_a_paused_side_when_it_writes():
    client, server, _ = await pair()
    client.transport.pause_reading()
    server.transport.pause_reading()
    client.transport.write(b"unread")
    await asyncio.sleep(0.005)
    server.transport.write(b"lost with the connection")
    server.transport.close()
    await until(lambda: server.ended)
    await asyncio.sleep(0.005)
    before = list(client.told)
    client.transport.write(b"x")
    await until(lambda: client.ended)
    return before, client.told, client.size


async def writing_to_what_is_closed():
    client, server, _ = await pair(keep=True)
    server.transport.close()
    await until(lambda: client.told[-1] == "eof")
    client.transport.write(b"first")
    await asyncio.sleep(0.005)
    open_yet = not client.transport.is_closing()
    client.transport.write(b"second")
    await until(lambda: client.ended)
    client.transport.write(b"third")
    return open_yet, client.told


async def close_writes_what_is_left():
    client, server, _ = await pair()
    client.transport.write(b"x" * BIG)
    client.transport.close()
    client.transport.close()
    await until(lambda: client.ended and server.ended)
    return client.told, server.told, server.size


async def back_pressure():
    client, server, _ = await pair()
    server.transport.pause_reading()
    server.transport.pause_reading()
    client.transport.writelines([b"x" * (BIG // 2)] * 2)
    await asyncio.sleep(0.005)
    waits = client.transport.get_write_buffer_size() > 0, server.size, client.told[-1]
    server.transport.resume_reading()
    await until(lambda: server.size == BIG)
    await until(lambda: client.told[-1] == "resume")
    return waits, client.told, client.transport.get_write_buffer_size(), server.told


async def drain_without_a_buffer():
    async def serve(reader, writer):
        await go.wait()
        sizes.append(len(await reader.read()))
        writer.close()

    go, sizes = asyncio.Event(), []
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(b"x" * BIG)
    draining = asyncio.ensure_future(writer.drain())
    await asyncio.sleep(0.005)
    early = draining.done()
    go.set()
    await draining
    left = writer.transport.get_write_buffer_size()
    writer.write_eof()
    end = await reader.read()
    writer.close()
    await writer.wait_closed()
    return early, left, end, sizes


async def limits():
    client, _, _ = await pair()
    transport, seen = client.transport, []
    for options in ({}, {"high": 0}, {"high": 100}, {"low": 10}, {"high": 9, "low": 3}):
        transport.set_write_buffer_limits(**options)
        seen.append(transport.get_write_buffer_limits())
    with pytest.raises(ValueError):
        transport.set_write_buffer_limits(high=1, low=2)
    with pytest.raises(TypeError):
        transport.write("text")
    return seen, transport.can_write_eof(), transport.is_reading()


async def giving_up():
    """A connect and a read that are cancelled leave nothing behind."""
    ended = []

    async def serve(reader, writer):
        while data := await reader.read(READER):
            writer.write(data)
        ended.append(True)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    connecting = asyncio.ensure_future(asyncio.open_connection(*address))
    await asyncio.sleep(0)
    connecting.cancel()
    (outcome,) = await asyncio.gather(connecting, return_exceptions=True)
    reader, writer = await asyncio.open_connection(*address)
    reading = asyncio.ensure_future(reader.read(READER))
    await asyncio.sleep(0)
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    writer.write(b"echo")
    echo = await reader.readexactly(4)
    writer.close()
    await until(lambda: ended)
    return type(outcome), echo, reading.cancelled()


async def listening():
    async def serve(reader, writer):
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    seen = [server.is_serving(), len(server.sockets), address[1] > 0]
    with pytest.raises(OSError) as taken:
        await asyncio.start_server(serve, *address)
    reader, writer = await asyncio.open_connection(*address)
    seen += [taken.value.errno, writer.get_extra_info("peername") == address, await reader.read()]
    writer.close()
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectionRefusedError) as refused:
        await asyncio.open_connection(*address)
    said = str(refused.value).replace(str(address), "there")
    return seen, server.is_serving(), server.sockets, said


@pytest.mark.parametrize(
    "behaviour",
    [
        half_close,
        an_end_of_the_other_side_closes,
        abort_drops_what_waits_and_says_eof,
        close_with_unread_input,
        abort_with_unread_input,
        a_reset_is_seen_by_a_paused_side_when_it_writes,
        writing_to_what_is_closed,
        close_writes_what_is_left,
        back_pressure,
        drain_without_a_buffer,
        limits,
        giving_up,
        listening,
    ],
)
def test_streams_behave_as_on_sockets(behaviour):
    on_sockets = asyncio.run(behaviour())
    network = Network()
    assert run(behaviour(), network) == on_sockets
    assert network.lab.open_connections <= 2  # those that a behaviour leaves open itself


# Time


def test_time_jumps_and_equal_times_keep_their_order():
    async def main():
        loop, seen = asyncio.get_running_loop(), []
        at = loop.time() + 3600
        for i in range(5):
            loop.call_at(at, seen.append, i)
        loop.call_later(1, seen.append, "early")
        await asyncio.sleep(3600)
        timers = [loop.call_later(900, seen.append, None) for _ in range(10_000)]
        for timer in timers[1:]:
            timer.cancel()
        assert len(loop._scheduled) < 200  # cancelled ones do not pile up
        late = loop.call_later(-1, seen.append, "due")
        while "due" not in seen:  # turns of zero time do not keep a due timer waiting
            await asyncio.sleep(0)
        late.cancel()
        return loop.time(), seen

    time, seen = run(main(), start_s=50.0)
    assert time == pytest.approx(3650) and seen == ["early", 0, 1, 2, 3, 4, "due"]


def test_a_moment_that_rounding_puts_just_ahead_is_reached():
    """Guards code that waits in milliseconds until a moment has come, as nodes do."""

    async def main():
        loop = asyncio.get_running_loop()
        for i in range(2000):
            at = loop.time() * 1000 + i / 7
            while loop.time() * 1000 < at:
                reached = loop.create_future()
                loop.call_at(at / 1000, reached.set_result, None)
                await reached

    run(main(), max_handles_at_once=1000)


def test_nothing_left_to_run_is_a_deadlock_that_names_who_waits():
    async def waits():
        await asyncio.get_running_loop().create_future()

    async def main():
        network = asyncio.get_running_loop().network
        network.host("a").run(waits())
        network.host("b").run(asyncio.sleep(1))
        await network.host("b").run(waits())

    with pytest.raises(DeadlockError, match=r"lab: task .*main, a: task .*waits, b: task .*waits$"):
        run(main())


async def spins_by_callbacks():
    loop = asyncio.get_running_loop()
    again = lambda: loop.call_soon(again)  # noqa: E731
    again()
    await asyncio.sleep(1)


async def spins_by_turns():
    while True:
        await asyncio.sleep(0)


async def spins_by_timers_of_no_time():
    while True:
        await asyncio.wait([asyncio.ensure_future(asyncio.sleep(1e-13))])


@pytest.mark.parametrize("code", [spins_by_callbacks, spins_by_turns, spins_by_timers_of_no_time])
def test_running_on_while_time_stands_still_is_stuck(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    with pytest.raises(LivelockError, match=r"^bad: 5000 handles .* bad: ") as stuck:
        run(main(), max_handles_at_once=5000)
    assert stuck.value.host == "bad"


async def burns():
    while True:
        pass


async def burns_and_survives_what_is_raised():
    while True:
        try:
            await burns()
        except Exception:
            continue
        except BaseException:
            while True:
                pass


async def spins_in_time():
    while True:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("code", [burns, burns_and_survives_what_is_raised, spins_in_time])
def test_real_time_has_a_limit_that_no_code_outlives(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    before = signal.getsignal(signal.SIGALRM)
    with pytest.raises(LivelockError, match=r"^(bad|lab): the limit of real time"):
        run(main(), wall_limit_s=0.1)
    assert signal.getsignal(signal.SIGALRM) is before and signal.getitimer(signal.ITIMER_REAL)[0] == 0


def test_the_limit_holds_between_handles_in_another_thread():
    caught = []

    def other():
        try:
            run(spins_in_time(), wall_limit_s=0.05)
        except LivelockError as stuck:
            caught.append(stuck.host)

    thread = threading.Thread(target=other)
    thread.start()
    thread.join(30)
    assert caught == ["lab"]


def test_what_cannot_be_had_says_so():
    async def main():
        loop = asyncio.get_running_loop()
        for call in (
            lambda: loop.run_in_executor(None, print),
            lambda: loop.subprocess_exec(asyncio.SubprocessProtocol, "true"),
            lambda: loop.create_connection(asyncio.Protocol, "127.0.0.1", 1, ssl=True),
            lambda: loop.getaddrinfo("example.org", 80),
            lambda: loop.add_reader(0, print),
        ):
            with pytest.raises(NotImplementedError):
                await call()

    run(main())


# Hosts


class World:
    """A network whose links can be changed, with an echo server at 10.0.0.1:80 on the host "server"."""

    def __init__(self, **options) -> None:
        self.links: dict[tuple[str, str], FixedLink] = {}
        link = lambda a, b: self.links.setdefault((a, b), FixedLink(1.0))  # noqa: E731
        self.network = Network(link, **options)
        self.server, self.client = self.network.host("server"), self.network.host("client")
        self.effects: list = []

    async def serve(self):
        return await asyncio.start_server(self.echo, "10.0.0.1", 80)

    async def echo(self, reader, writer):
        try:
            while data := await reader.read(READER):
                writer.write(data)
        except OSError as error:
            self.effects.append(("server", type(error)))
        finally:
            self.effects.append("finally")
            writer.write(b"last words")
            self.kept = asyncio.ensure_future(asyncio.open_connection("10.0.0.1", 80))

    async def ask(self, streams, text=b"ask"):
        streams[1].write(text)
        return await streams[0].read(READER)

    def set(self, state, *ends):
        for a, b in (ends, ends[::-1]):
            self.network.link(a, b).state = state
        self.network.links_changed()

    def play(self, test):
        async def main():
            await self.server.run(self.serve())
            streams = await self.client.run(asyncio.open_connection("10.0.0.1", 80))
            assert await self.client.run(self.ask(streams)) == b"ask"
            await test(streams)

        run(main(), self.network)


async def ends_of(task):
    """What became of it: a result, an error's type, or "pending" after a while."""
    await asyncio.wait([task], timeout=60)
    if not task.done():
        return "pending"
    return task.result() if task.exception() is None else type(task.exception())


def test_a_killed_host_runs_nothing_more_and_is_reset_and_refused(recwarn):
    world = World()

    async def test(streams):
        asking = world.client.run(streams[0].read(READER))
        ticking = world.server.run(asyncio.sleep(0.5))
        await asyncio.sleep(0)
        world.server.kill()
        assert not world.server.alive and world.server.open_connections == world.server.tasks_alive == 0
        with pytest.raises(RuntimeError):
            world.server.run(asyncio.sleep(0))
        assert await ends_of(asking) is ConnectionResetError
        again = world.client.run(asyncio.open_connection("10.0.0.1", 80))
        assert await ends_of(again) is ConnectionRefusedError
        assert not ticking.done() and world.effects == []
        world.server.revive()
        await world.server.run(world.serve())
        streams = await world.client.run(asyncio.open_connection("10.0.0.1", 80))
        assert await world.client.run(world.ask(streams)) == b"ask"
        assert not ticking.done() and world.effects == []

    world.play(test)
    assert not [w for w in recwarn if "destroyed" in str(w.message) or "never awaited" in str(w.message)]


def test_a_host_that_kills_itself_has_no_effect_from_then_on():
    world = World()

    async def test(streams):
        async def die(reader, writer):
            await reader.read(READER)
            writer.write(b"before")
            world.server.kill()
            writer.write(b"after")
            writer.close()
            await asyncio.start_server(die, "10.0.0.1", 82)
            world.effects.append("lives")

        await world.server.run(asyncio.start_server(die, "10.0.0.1", 81))
        reader, writer = await world.client.run(asyncio.open_connection("10.0.0.1", 81))
        writer.write(b"x")
        assert await reader.read(READER) == b"before"
        assert await ends_of(world.client.run(reader.read(READER))) is ConnectionResetError
        other = world.client.run(asyncio.open_connection("10.0.0.1", 82))
        assert await ends_of(other) is ConnectionRefusedError and not world.effects

    world.play(test)


def test_a_vanished_host_is_silent_until_another_is_in_its_place():
    world = World()

    async def test(streams):
        world.server.vanish()
        asking = world.client.run(world.ask(streams))
        connecting = world.client.run(asyncio.open_connection("10.0.0.1", 80))
        assert await ends_of(asking) == await ends_of(connecting) == "pending"
        world.server.revive()
        streams[1].write(b"again")
        assert await ends_of(asking) is ConnectionResetError and await ends_of(connecting) == "pending"
        connecting.cancel()

    world.play(test)


def test_a_host_out_of_descriptors_connects_nowhere_and_accepts_nothing_for_a_second():
    world, said = World(), []

    async def echo(reader, writer):
        while data := await reader.read(READER):
            writer.write(data)
        writer.close()

    async def test(streams):
        loop = asyncio.get_running_loop()
        world.server.call(loop.set_exception_handler, lambda _, told: said.append(told["exception"].errno))
        await world.server.run(asyncio.start_server(echo, "10.0.0.1", 81))
        world.server.max_connections = 3  # one is open
        opened = [await world.client.run(asyncio.open_connection("10.0.0.1", 81)) for _ in range(4)]
        asked = [world.client.run(world.ask(pair)) for pair in opened]
        assert [await ends_of(each) for each in asked[:2]] == [b"ask"] * 2
        assert [await ends_of(each) for each in asked[2:]] == ["pending"] * 2
        assert set(said) == {errno.EMFILE} and world.server.out_of_descriptors
        with pytest.raises(OSError, match="Too many open files"):
            await world.server.run(asyncio.open_connection("10.0.0.1", 80))
        for _, writer in opened[:2]:
            writer.close()
        begun = loop.time()
        assert [await ends_of(each) for each in asked[2:]] == [b"ask"] * 2
        assert loop.time() - begun <= 1.1

    world.play(test)


def test_a_paused_host_takes_connections_and_bytes_and_answers_when_it_goes_on():
    world = World(window=1000)

    async def test(streams):
        seen, loop = [], asyncio.get_running_loop()
        for i in range(3):
            world.server.call(loop.call_later, i, seen.append, i)
        world.server.pause()
        asking = world.client.run(world.ask(streams, b"x" * 1500))
        new = await world.client.run(asyncio.open_connection("10.0.0.1", 80))
        other = world.client.run(world.ask(new))
        assert await ends_of(asking) == await ends_of(other) == "pending"
        assert streams[1].transport.get_write_buffer_size() == 500 and seen == [] and world.server.paused
        world.server.resume()
        assert await ends_of(other) == b"ask" and set(await ends_of(asking)) == {ord("x")}
        assert seen == [0, 1, 2]
        world.server.pause()
        world.server.kill()
        world.server.resume()  # a dead one does not come back by it
        assert await ends_of(world.client.run(streams[0].read())) is ConnectionResetError

    world.play(test)


def test_signals_come_to_the_hosts_own_handlers_and_kill_without():
    world = World()

    async def test(streams):
        loop, got = asyncio.get_running_loop(), []
        add = lambda: loop.add_signal_handler(signal.SIGTERM, lambda: got.append(current_host()))  # noqa: E731
        world.server.call(add)
        world.server.signal(signal.SIGTERM)
        await asyncio.sleep(0)
        assert got == [world.server] and world.server.alive and current_host() is None
        world.server.signal(signal.SIGHUP)
        assert not world.server.alive

    world.play(test)


def test_errors_go_to_the_handler_of_their_host_and_busy_time_to_its_count():
    world = World()

    async def test(streams):
        loop, told = asyncio.get_running_loop(), []
        world.server.call(loop.set_exception_handler, lambda _, said: told.append(said["exception"]))
        world.server.call(loop.call_soon, lambda: 1 / 0)
        loop.set_exception_handler(lambda _, said: told.append("lab"))
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0)
        assert isinstance(told[0], ZeroDivisionError) and told[1:] == ["lab"]
        before = world.client.busy_s, world.server.busy_s
        world.server.call(sum, range(300_000))
        await asyncio.sleep(0)
        assert world.server.busy_s > before[1] and world.client.busy_s == before[0]

    world.play(test)


# Links


def test_a_silent_link_loses_bytes_and_what_lost_some_is_reset_at_the_next_send():
    world = World()

    async def test(streams):
        other = await world.client.run(asyncio.open_connection("10.0.0.1", 80))
        world.set("silent", "client", "server")
        asking = world.client.run(world.ask(streams))
        connecting = world.client.run(asyncio.open_connection("10.0.0.1", 80))
        assert await ends_of(asking) == "pending"
        world.set("up", "client", "server")
        assert await ends_of(asking) == await ends_of(connecting) == "pending" and not world.effects
        assert await world.client.run(world.ask(other)) == b"ask"  # it had lost nothing
        streams[1].write(b"again")
        assert await ends_of(asking) is ConnectionResetError
        assert world.effects == [("server", ConnectionResetError), "finally"]
        connecting.cancel()

    world.play(test)


def test_bytes_on_the_way_when_a_link_falls_silent_leave_no_gap():
    world = World()

    async def test(streams):
        asking = world.client.run(world.ask(streams, b"one"))
        await asyncio.sleep(0.0005)
        world.set("silent", "client", "server")
        await asyncio.sleep(0.001)
        world.set("up", "client", "server")
        streams[1].write(b"two")
        assert await ends_of(asking) is ConnectionResetError

    world.play(test)


def test_a_sender_that_waits_for_room_learns_that_its_connection_broke():
    world = World(window=1000)

    async def test(streams):
        streams[1].write(b"x" * 5000)
        world.set("silent", "client", "server")
        draining = world.client.run(streams[0].read())
        assert await ends_of(draining) == "pending"
        world.set("up", "client", "server")
        assert await ends_of(draining) is ConnectionResetError

    world.play(test)


@pytest.mark.parametrize("deaf", [False, True])
def test_a_reset_link_breaks_both_sides_at_once_but_tells_none_it_is_silent_to(deaf):
    world = World()

    async def test(streams):
        asking = world.client.run(streams[0].read(READER))
        await asyncio.sleep(0)
        if deaf:
            world.links["server", "client"].state = "silent"
        world.links["client", "server"].state = "reset"
        world.network.link_changed("client", "server")
        assert await ends_of(asking) == ("pending" if deaf else ConnectionResetError)
        assert world.effects == [("server", ConnectionResetError), "finally"]
        if not deaf:
            connecting = world.client.run(asyncio.open_connection("10.0.0.1", 80))
            assert await ends_of(connecting) is ConnectionResetError

    world.play(test)


def test_a_kept_link_is_asked_for_anew_once_forgotten():
    made = []
    network = Network(lambda a, b: made.append((a, b)) or FixedLink())
    assert network.link("a", "b") is network.link("a", "b")
    network.forget_links()
    network.link("a", "b")
    assert made == [("a", "b")] * 2


class Ragged(FixedLink):
    """Cuts and delays by a seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)

    def delay(self, now, size):
        return self.random.random() * 5

    def cuts(self, size):
        at = sorted({self.random.randrange(size + 1) for _ in range(4)} | {0, size})
        return [b - a for a, b in pairwise(at)]


@FIXED
@given(st.integers(0, 999), st.lists(st.binary(min_size=1, max_size=3000), max_size=8), st.integers(1, 4000))
def test_bytes_keep_their_order_however_they_are_cut(seed, writes, window):
    async def main():
        async def serve(reader, writer):
            got.append(await reader.read())
            writer.writelines(writes)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=100)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname(), limit=100)
        for part in writes:
            writer.write(part)
        writer.write_eof()
        got.append(await reader.read())
        writer.close()

    got: list[bytes] = []
    network = Network(lambda a, b: Ragged(seed), window=window)
    run(main(), network, max_handles_at_once=100_000)
    assert got == [b"".join(writes)] * 2


def test_pieces_of_a_write_are_read_one_by_one():
    async def main():
        sizes = []

        async def serve(reader, writer):
            while data := await reader.read(READER):
                sizes.append(len(data))
                assert loop.time() - writer.get_extra_info("sent_at") == pytest.approx(5e-5, abs=5e-6)

        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"x" * 25)
        writer.close()
        await until(lambda: sum(sizes) == 25)
        return sizes

    assert run(main(), Network(lambda a, b: FixedLink(segment_bytes=10))) == [10, 10, 5]


# Datagrams


class Mailbox(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list = []
        self.errors: list = []
        self.lost = False

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.got.append((data, address))

    def error_received(self, error):
        self.errors.append(type(error))

    def connection_lost(self, error):
        self.lost = True


def test_datagrams_are_lost_doubled_and_overtaken_as_the_link_says():
    delays, lost, doubled = [3.0, 1.0, 2.0, 2.0], [False, False, True, False], [False, False, True]
    link = FixedLink()
    link.delay = lambda now, size: delays.pop(0) if delays else 0.1
    link.lost = lambda: bool(lost) and lost.pop(0)
    link.duplicated = lambda: bool(doubled) and doubled.pop(0)

    async def main():
        loop = asyncio.get_running_loop()
        a, b = loop.network.host("a"), loop.network.host("b")
        b.ip = "10.0.0.2"
        _, there = await b.run(loop.create_datagram_endpoint(Mailbox, local_addr=("0.0.0.0", 53)))
        _, here = await a.run(loop.create_datagram_endpoint(Mailbox, remote_addr=("10.0.0.2", 53)))
        for text in (b"slow", b"fast", b"lost", b"twice"):
            here.transport.sendto(text)
        await asyncio.sleep(1)
        assert [data for data, _ in there.got] == [b"fast", b"twice", b"twice", b"slow"]
        there.transport.sendto(b"back", there.got[0][1])
        here.transport.sendto(b"x" * 70_000)
        await asyncio.sleep(1)
        assert here.got == [(b"back", ("10.0.0.2", 53))] and here.errors == [OSError]
        b.pause()
        for _ in range(10):
            here.transport.sendto(b"x" * 60_000)
        await asyncio.sleep(1)
        b.resume()
        await asyncio.sleep(1)
        assert len(there.got) == 4 + 3  # a socket that is not read holds only so much
        there.transport.close()
        here.transport.sendto(b"nobody")
        await asyncio.sleep(1)
        assert there.lost and here.errors == [OSError, ConnectionRefusedError]

    run(main(), Network(lambda a, b: link))


# The same each time

TRACE = """
import asyncio, random, sys
from flintridge.lab.virtual import Network, run
from test_lab_virtual import Ragged

async def main():
    loop = asyncio.get_running_loop()
    network, seen, chance = loop.network, [], random.Random(7)
    def note(*what): seen.append((round(loop.time(), 9), *what))
    async def serve(reader, writer):
        while data := await reader.read(100):
            note("server", len(data), writer.get_extra_info("peername"))
            writer.write(data)
        writer.close()
    async def client(name):
        while True:
            try:
                reader, writer = await asyncio.open_connection("10.0.0.1", 80)
                for size in range(1, 400, 90):
                    writer.write(b"x" * size)
                    note(name, len(await reader.read(100)))
                writer.close()
            except OSError as error:
                note(name, type(error).__name__)
            tasks = {asyncio.ensure_future(asyncio.sleep(i / 100)) for i in range(3)}
            await asyncio.wait(tasks)
    server = network.host("server")
    for i in range(5):
        network.host(f"c{i}").run(client(f"c{i}"))
    for _ in range(20):
        await server.run(asyncio.start_server(serve, "10.0.0.1", 80))
        await asyncio.sleep(chance.random() / 5)
        getattr(network.host(f"c{chance.randrange(5)}"), chance.choice(["pause", "resume"]))()
        server.kill()
        await asyncio.sleep(chance.random() / 50)
        server.revive()
    return seen

seen = run(main(), Network(lambda a, b: Ragged(len(a + b))))
print(len(seen), *seen, sep="\\n")
"""


def test_a_program_runs_the_same_under_any_hash_seed():
    traces = []
    for seed in ("1", "2"):
        paths = os.pathsep.join(str(path) for path in (Path(__file__).parent, Path(__file__).parent.parent))
        env = os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": paths}
        done = subprocess.run(
            [sys.executable, "-c", TRACE], env=env, capture_output=True, text=True, timeout=60
        )
        assert done.returncode == 0, done.stderr
        traces.append(done.stdout)
    assert traces[0] == traces[1] and int(traces[0].split()[0]) > 500


def test_asyncios_own_runner_runs_it_too():
    async def main():
        network = asyncio.get_running_loop().network
        network.host("dead").run(asyncio.sleep(1e6))
        await asyncio.sleep(0)
        network.host("dead").kill()
        return await asyncio.wait_for(network.host("a").run(asyncio.sleep(5, "done")), 10)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        assert runner.run(main()) == "done"


def test_the_whole_node_runs_on_a_host_and_leaves_upon_its_signal():
    config = load_config({"PROXY_CONFIG": str(ROOT / "examples" / "config.json")})

    async def main():
        host = asyncio.get_running_loop().network.host("node")
        node = host.run(flintridge.__main__.run(config, quiet()[0]))
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(config.listen.host, config.listen.port)
        writer.write(b"mn\r\n")
        assert await reader.readline() in (b"MN\r\n", b"SERVER_ERROR starting\r\n")
        host.signal(signal.SIGTERM)
        assert not node.done() and await reader.read() == b""  # within the time that leaving takes
        await node
        assert host.open_connections == host.tasks_alive == 0

    run(main())
