"""Listeners: errors of accept(), which is retried soon, both while serving and while closing."""

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
CLOSE_TIMEOUT_MS = 50.0
real_accept = socket.socket.accept


class FailingAccept:
    """Replaces accept(): fails once with each of `errors`, and afterwards with `lasting` if it is set."""

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


class ListenerHarness:
    """A listener with a manual clock, which answers each connection with one byte, and its clients."""

    async def __aenter__(self) -> "ListenerHarness":
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

    async def wait_for_pauses(self, times: int) -> None:
        await until(lambda: self.counters["accept_pauses"] == times)

    async def connect(self) -> asyncio.StreamReader:
        """Connect; the kernel completes this whether or not the listener accepts."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port)
        self.clients.append(writer)
        return reader

    async def close_with_waiting(self, count: int) -> list[asyncio.StreamReader]:
        """Connect `count` clients and close the listener in the same iteration of the event loop."""
        sockets = []
        for _ in range(count):
            sock = socket.create_connection(("127.0.0.1", self.listener.port))
            sock.setblocking(False)
            sockets.append(sock)
        self.listener.close(CLOSE_TIMEOUT_MS)
        opened = [await asyncio.open_connection(sock=sock) for sock in sockets]
        self.clients += [writer for _, writer in opened]
        return [reader for reader, _ in opened]


@pytest.mark.parametrize("error", [*SHORTAGES, *sorted(CONNECTION_ERRNOS)])
def test_accept_when_it_fails_once_then_the_connection_is_served_immediately(monkeypatch, error):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, error)
            reader = await harness.connect()
            assert await reader.read() == b"y"  # the clock has not advanced
            assert accept.errors == []
            await harness.connect()
            await until(lambda: harness.served == 2, turns=100)  # asyncio's own server would pause here
            assert harness.counters["accept_pauses"] == 0
            failures = harness.counters["accept_shortages"], harness.counters["accept_connection_errors"]
            assert failures == ((1, 0) if error in SHORTAGES else (0, 1))

    asyncio.run(asyncio.wait_for(test(), 60))


def test_classify_when_given_any_error_then_only_eagain_means_that_no_connection_waits():
    assert classify(BlockingIOError(errno.EAGAIN, "")) is AcceptResult.NONE_WAITING
    assert {classify(OSError(code, "")) for code in CONNECTION_ERRNOS} == {AcceptResult.CONNECTION_FAILED}
    others = set(errno.errorcode) - CONNECTION_ERRNOS - {errno.EAGAIN}
    assert set(SHORTAGES) <= others
    assert {classify(OSError(code, "")) for code in others} == {AcceptResult.SHORTAGE}


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EPERM])
def test_accept_when_it_keeps_failing_then_pauses_shortly_and_does_not_spin(monkeypatch, error):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=error)
            reader = await harness.connect()
            pause_ms = FIRST_PAUSE_MS
            for pauses in range(1, 8):
                await harness.wait_for_pauses(pauses)
                calls = accept.calls
                for _ in range(50):
                    await asyncio.sleep(0)
                assert accept.calls == calls
                harness.clock.advance(pause_ms)
                pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            assert pause_ms == MAX_PAUSE_MS
            await harness.wait_for_pauses(8)
            accept.lasting = None
            harness.clock.advance(MAX_PAUSE_MS)
            assert await reader.read() == b"y"

    asyncio.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("error", SHORTAGES)
def test_close_when_accept_fails_briefly_then_waiting_connections_are_served(monkeypatch, error):
    async def test():
        async with ListenerHarness() as harness:
            FailingAccept(monkeypatch, error, error, error)
            readers = await harness.close_with_waiting(8)
            assert [await reader.read() for reader in readers] == [b"y"] * 8
            assert not harness.listener.has_handovers
            with pytest.raises(ConnectionRefusedError):
                await harness.connect()

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_fails_for_longer_then_the_listener_stays_open_and_retries(monkeypatch):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.EMFILE)
            readers = await harness.close_with_waiting(3)
            for _ in range(int(CLOSE_TIMEOUT_MS / CLOSE_PAUSE_MS) - 1):
                harness.clock.advance(CLOSE_PAUSE_MS)
                assert harness.listener.has_handovers
                assert not harness.listener.is_open
            readers.append(await harness.connect())
            accept.lasting = None
            harness.clock.advance(CLOSE_PAUSE_MS)
            assert [await reader.read() for reader in readers] == [b"y"] * 4
            assert not harness.listener.has_handovers
            assert harness.counters["connections_given_up"] == 0

    asyncio.run(asyncio.wait_for(test(), 60))


@pytest.mark.parametrize("again", [False, True])
def test_close_when_accept_never_works_then_counts_the_lost_connections_at_the_timeout(monkeypatch, again):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            readers = await harness.close_with_waiting(3)
            assert harness.listener.has_handovers
            if again:
                harness.listener.close()  # as when the process ends
            else:
                harness.clock.advance(CLOSE_TIMEOUT_MS)
            assert not harness.listener.has_handovers
            assert harness.counters["connections_given_up"] == 3
            calls = accept.calls
            harness.clock.advance(1000.0)
            assert accept.calls == calls
            for reader in readers:
                with contextlib.suppress(ConnectionResetError):
                    assert await reader.read() == b""

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_fails_and_no_connection_waits_then_closes_immediately(monkeypatch):
    """Without a free descriptor, Linux fails accept() before it checks whether a connection waits."""

    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.EMFILE)
            harness.listener.close(CLOSE_TIMEOUT_MS)
            assert not harness.listener.has_handovers
            assert accept.calls < CLOSE_MAX_FAILURES
            assert harness.counters["connections_given_up"] == 0

    asyncio.run(asyncio.wait_for(test(), 60))


def test_close_when_accept_works_again_during_a_pause_then_no_pause_follows(monkeypatch):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            reader = await harness.connect()
            await harness.wait_for_pauses(1)
            accept.lasting = None
            harness.listener.close(CLOSE_TIMEOUT_MS)
            assert await reader.read() == b"y"
            harness.clock.advance(1000.0)
            assert not harness.listener.has_handovers

    asyncio.run(asyncio.wait_for(test(), 60))


def test_leave_when_accept_fails_at_its_end_then_clients_connected_by_then_are_answered(monkeypatch):
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
            assert not leaving.done()  # no connection is open, but one waits to be accepted
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


def test_close_when_the_number_of_waiting_connections_is_unknown_then_assumes_one(monkeypatch):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.ENOMEM)

            def getsockopt(*_: object) -> bytes:
                raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

            with monkeypatch.context() as patched:
                patched.setattr(socket.socket, "getsockopt", getsockopt)
                (reader,) = await harness.close_with_waiting(1)
                assert harness.listener.has_handovers
            accept.lasting = None
            harness.clock.advance(CLOSE_PAUSE_MS)
            assert await reader.read() == b"y"
            assert not harness.listener.has_handovers

    asyncio.run(asyncio.wait_for(test(), 60))


def test_accept_when_the_socket_can_not_be_registered_after_a_pause_then_pauses_again(monkeypatch):
    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.ENOMEM)
            reader = await harness.connect()
            await harness.wait_for_pauses(1)
            with monkeypatch.context() as patched:
                patched.setattr(asyncio.get_running_loop(), "add_reader", raise_out_of_memory)
                harness.clock.advance(FIRST_PAUSE_MS)
            assert harness.counters["accept_pauses"] == 2
            accept.lasting = None
            harness.clock.advance(2 * FIRST_PAUSE_MS)
            assert await reader.read() == b"y"

    asyncio.run(asyncio.wait_for(test(), 60))


def raise_out_of_memory(*_: object) -> None:
    raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))


def test_accept_when_a_request_waited_with_its_connection_then_reports_since_when(monkeypatch):
    """The client's timeout runs while accept() fails: servers must not be sent a longer time than remains."""

    async def test():
        async with ListenerHarness() as harness:
            accept = FailingAccept(monkeypatch, lasting=errno.ENFILE)
            failing_since = harness.clock.now()
            await harness.connect()
            harness.clients[-1].write(b"request")
            await harness.connect()
            for pauses in range(1, 8):
                await harness.wait_for_pauses(pauses)
                harness.clock.advance(MAX_PAUSE_MS)
            await harness.wait_for_pauses(8)
            accept.lasting = None
            harness.clock.advance(MAX_PAUSE_MS)
            await until(lambda: harness.served == 2)
            assert harness.queued_since == [failing_since, None]  # the second client has sent no request yet
            harness.clock.advance(500.0)
            await harness.connect()
            harness.clients[-1].write(b"request")
            await until(lambda: harness.served == 3)
            assert harness.queued_since[-1] is None

    asyncio.run(asyncio.wait_for(test(), 60))
