"""Listeners: what accept() may fail with, tried again soon, while serving and at the close."""

import asyncio
import contextlib
import errno
import os
import socket

import pytest
from support.downstream import FAILED, READ, DownstreamHarness, run_loop_turns
from support.downstream_termination import read_until_end
from support.network import ManualClock, log_and_counters, until

from flintridge.config.address import Address
from flintridge.downstream.termination import SHUTDOWN_POLL_MS
from flintridge.runtime.acceptor import (
    CLOSE_MAX_FAILURES,
    CLOSE_PAUSE_MS,
    CONNECTION_ERRNOS,
    FIRST_PAUSE_MS,
    MAX_PAUSE_MS,
    AcceptResult,
    classify,
)
from flintridge.runtime.listener import open_listener
from flintridge.shutdown import SHUTDOWN_ACCEPT_MS

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
LOCALHOST = Address("127.0.0.1", 0)
PATIENCE_MS = 50.0
real_accept = socket.socket.accept


class FailingAccept:
    """Stands in for accept(): fails with each of `errors` once, from then on with `lasting` if given."""

    def __init__(self, monkeypatch, *errors: int, lasting: int | None = None) -> None:
        self.errors = list(errors)
        self.lasting = lasting
        self.calls = 0
        monkeypatch.setattr(socket.socket, "accept", lambda listening: self.accept(listening))

    def accept(self, listening: socket.socket):
        self.calls += 1
        error = self.errors.pop(0) if self.errors else self.lasting
        if error is not None:
            raise OSError(error, os.strerror(error))
        return real_accept(listening)


class Opened:
    """A listener on a clock set by hand, that answers each connection with a byte; and its clients."""

    async def __aenter__(self) -> "Opened":
        self.clock = ManualClock()
        self.served = 0
        self.queued_since: list[float | None] = []
        log, self.counters = log_and_counters()
        self.clients: list[asyncio.StreamWriter] = []
        self.listener = await open_listener(self.answer, LOCALHOST, False, self.clock, log, self.counters)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.listener.close()
        for writer in self.clients:
            writer.close()

    async def answer(self, reader, writer) -> None:
        self.served += 1
        self.queued_since.append(reader.queued_since)
        writer.write(b"y")
        writer.close()

    async def paused(self, times: int) -> None:
        await until(lambda: self.counters["accept_pauses"] == times)

    async def connect(self) -> asyncio.StreamReader:
        """Connect; the kernel does it, whether or not the listener accepts."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port)
        self.clients.append(writer)
        return reader

    async def close_before(self, count: int) -> list[asyncio.StreamReader]:
        """Close the listener while connections wait that it has not come to: all in one step of the loop."""
        sockets = []
        for _ in range(count):
            sock = socket.create_connection(("127.0.0.1", self.listener.port))
            sock.setblocking(False)
            sockets.append(sock)
        self.listener.close(PATIENCE_MS)
        opened = [await asyncio.open_connection(sock=sock) for sock in sockets]
        self.clients += [writer for _, writer in opened]
        return [reader for reader, _ in opened]


@pytest.mark.parametrize("error", [*SHORTAGES, *sorted(CONNECTION_ERRNOS)])
def test_accept_when_it_fails_once_then_the_connection_is_served_at_once(monkeypatch, error):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, error)
            reader = await opened.connect()
            assert await reader.read() == b"y"  # the clock has stood still
            assert accept.errors == []
            await opened.connect()
            await until(lambda: opened.served == 2, turns=100)  # the event loop's server would pause now
            assert opened.counters["accept_pauses"] == 0
            failures = opened.counters["accept_shortages"], opened.counters["accept_connection_errors"]
            assert failures == ((1, 0) if error in SHORTAGES else (0, 1))

    asyncio.run(asyncio.wait_for(test(), 60))


def test_classify_when_given_any_error_then_only_an_empty_queue_ends_the_turn():
    assert classify(BlockingIOError(errno.EAGAIN, "")) is AcceptResult.NONE_WAITING
    assert {classify(OSError(code, "")) for code in CONNECTION_ERRNOS} == {AcceptResult.CONNECTION_FAILED}
    others = set(errno.errorcode) - CONNECTION_ERRNOS - {errno.EAGAIN}
    assert set(SHORTAGES) <= others
    assert {classify(OSError(code, "")) for code in others} == {AcceptResult.SHORTAGE}


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EPERM])
def test_accept_when_it_keeps_failing_then_pauses_shortly_and_never_spins(monkeypatch, error):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=error)
            reader = await opened.connect()
            pause_ms = FIRST_PAUSE_MS
            for pauses in range(1, 8):
                await opened.paused(pauses)
                calls = accept.calls
                for _ in range(50):
                    await asyncio.sleep(0)
                assert accept.calls == calls
                opened.clock.advance(pause_ms)
                pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            assert pause_ms == MAX_PAUSE_MS
            await opened.paused(8)
            accept.lasting = None
            opened.clock.advance(MAX_PAUSE_MS)
            assert await reader.read() == b"y"

    asyncio.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("error", SHORTAGES)
def test_close_when_accept_fails_for_a_moment_then_what_waits_is_served(monkeypatch, error):
    async def test():
        async with Opened() as opened:
            FailingAccept(monkeypatch, error, error, error)
            readers = await opened.close_before(8)
            assert [await reader.read() for reader in readers] == [b"y"] * 8
            assert not opened.listener.has_handovers
            with pytest.raises(ConnectionRefusedError):
                await opened.connect()

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_fails_for_longer_then_the_listener_stays_open_and_tries_on(monkeypatch):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.EMFILE)
            readers = await opened.close_before(3)
            for _ in range(int(PATIENCE_MS / CLOSE_PAUSE_MS) - 1):
                opened.clock.advance(CLOSE_PAUSE_MS)
                assert opened.listener.has_handovers
                assert not opened.listener.is_open
            readers.append(await opened.connect())
            accept.lasting = None
            opened.clock.advance(CLOSE_PAUSE_MS)
            assert [await reader.read() for reader in readers] == [b"y"] * 4
            assert not opened.listener.has_handovers
            assert opened.counters["connections_given_up"] == 0

    asyncio.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("again", [False, True])
def test_close_when_accept_never_works_then_says_what_it_gave_up_when_its_time_is_over(monkeypatch, again):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            readers = await opened.close_before(3)
            assert opened.listener.has_handovers
            if again:
                opened.listener.close()  # the process ends now
            else:
                opened.clock.advance(PATIENCE_MS)
            assert not opened.listener.has_handovers
            assert opened.counters["connections_given_up"] == 3
            calls = accept.calls
            opened.clock.advance(1000.0)
            assert accept.calls == calls
            for reader in readers:
                with contextlib.suppress(ConnectionResetError):
                    assert await reader.read() == b""

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_fails_though_nothing_waits_then_it_is_over_at_once(monkeypatch):
    """As Linux does it without a free descriptor, before it looks whether a connection waits."""

    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.EMFILE)
            opened.listener.close(PATIENCE_MS)
            assert not opened.listener.has_handovers
            assert accept.calls < CLOSE_MAX_FAILURES
            assert opened.counters["connections_given_up"] == 0

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_works_again_in_a_pause_then_no_pause_follows(monkeypatch):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            reader = await opened.connect()
            await opened.paused(1)
            accept.lasting = None
            opened.listener.close(PATIENCE_MS)
            assert await reader.read() == b"y"
            opened.clock.advance(1000.0)
            assert not opened.listener.has_handovers

    asyncio.run(asyncio.wait_for(test(), 60))


def test_leave_when_accept_fails_at_its_end_then_what_was_connected_by_then_is_answered(monkeypatch):
    async def test():
        async with DownstreamHarness() as harness:
            started_at = harness.clock.now()
            leaving = asyncio.ensure_future(harness.downstream.leave())
            await run_loop_turns(1)
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            harness.clock.advance(SHUTDOWN_ACCEPT_MS - 1)
            client = socket.create_connection(("127.0.0.1", harness.port))
            harness.clients.append(client)
            client.sendall(READ % b"a1")
            harness.clock.advance(1)
            await run_loop_turns()
            harness.clock.advance(SHUTDOWN_POLL_MS)
            await run_loop_turns()
            assert not leaving.done()  # it has nothing open, but a connection waits
            accept.lasting = None
            harness.clock.advance(SHUTDOWN_POLL_MS)
            await until(lambda: harness.request_count == 1)
            assert harness.clock.now() < started_at + SHUTDOWN_ACCEPT_MS + 50.0
            harness.fail("a1")
            assert await read_until_end(client) == FAILED
            client.close()
            await until(lambda: harness.clock.advance(SHUTDOWN_POLL_MS) or leaving.done())
            assert harness.counters["connections_given_up"] == 0

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_the_system_does_not_tell_how_many_wait_then_goes_on_as_if_one_did(monkeypatch):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.ENOMEM)

            def getsockopt(*_: object) -> bytes:
                raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

            with monkeypatch.context() as patched:
                patched.setattr(socket.socket, "getsockopt", getsockopt)
                (reader,) = await opened.close_before(1)
                assert opened.listener.has_handovers
            accept.lasting = None
            opened.clock.advance(CLOSE_PAUSE_MS)
            assert await reader.read() == b"y"
            assert not opened.listener.has_handovers

    asyncio.run(asyncio.wait_for(test(), 60))


def test_accept_when_it_can_not_be_watched_again_after_a_pause_then_pauses_once_more(monkeypatch):
    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.ENOMEM)
            reader = await opened.connect()
            await opened.paused(1)
            with monkeypatch.context() as patched:
                patched.setattr(asyncio.get_running_loop(), "add_reader", fail_for_want_of_memory)
                opened.clock.advance(FIRST_PAUSE_MS)
            assert opened.counters["accept_pauses"] == 2
            accept.lasting = None
            opened.clock.advance(2 * FIRST_PAUSE_MS)
            assert await reader.read() == b"y"

    asyncio.run(asyncio.wait_for(test(), 60))


def fail_for_want_of_memory(*_: object) -> None:
    raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))


def test_accept_when_a_request_waited_with_its_connection_then_says_since_when(monkeypatch):
    """Its client's time runs while accept() fails: a server must not be told of more than is left."""

    async def test():
        async with Opened() as opened:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            failing_since = opened.clock.now()
            await opened.connect()
            opened.clients[-1].write(b"request")
            await opened.connect()
            for pauses in range(1, 8):
                await opened.paused(pauses)
                opened.clock.advance(MAX_PAUSE_MS)
            await opened.paused(8)
            accept.lasting = None
            opened.clock.advance(MAX_PAUSE_MS)
            await until(lambda: opened.served == 2)
            assert opened.queued_since == [failing_since, None]  # the other's request is still to come
            opened.clock.advance(500.0)
            await opened.connect()
            opened.clients[-1].write(b"request")
            await until(lambda: opened.served == 3)
            assert opened.queued_since[-1] is None

    asyncio.run(asyncio.wait_for(test(), 60))
