"""Tests of how client connections end; docs/termination.md lists the cases.

Each test forces an event to cross the end.
"""

import asyncio
import contextlib
import socket
import weakref
from dataclasses import replace

import pytest
from support.downstream import (
    BUSY,
    FAILED,
    LONG_DEADLINE_READ,
    READ,
    DownstreamHarness,
    run_loop_turns,
)
from support.downstream_termination import read_until_end, reset_connection
from support.network import SETTINGS, ScriptedServer, until
from support.node import NodeHarness, endpoint_list
from support.upstream import UpstreamHarness

from flintridge import api
from flintridge.core.response import Response
from flintridge.downstream.connection import IDLE_TIMEOUT_MS
from flintridge.downstream.lingering_close import LINGERING_CLOSE_MS
from flintridge.downstream.listener import SWEEP_INTERVAL_MS
from flintridge.downstream.open_connections import MAX_LINGERING_BEYOND_LIMIT
from flintridge.downstream.pipeline import MAX_PIPELINED_COMMANDS
from flintridge.shutdown import IDLE_CLOSE_DELAY_MS, SHUTDOWN_ACCEPT_MS, STOP_READING_DELAY_MS


def test_lingering_close_when_a_request_crosses_it_then_discards_it_without_a_reset():
    """The request waits in the kernel as the node closes an idle connection with an unread response."""

    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client(READ % b"r0")
            await until(lambda: harness.request_count == 1)
            harness.fail("r0")
            await run_loop_turns()
            client.sendall(READ % b"r1")  # the event loop has not run since: the node cannot have read it
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            assert harness.counters["connections_idle_timeout"] == 1
            assert await read_until_end(client) == FAILED  # the response, then an orderly close
            await run_loop_turns()
            # The connection waits for the client to close its side.
            assert harness.request_count == 1 and len(harness.downstream.connections) == 1
            client.close()
            await until(lambda: not harness.downstream.connections)

    asyncio.run(test())


@pytest.mark.parametrize("close_cause", ["unused", "drain"])
def test_close_when_a_request_was_read_before_then_it_gets_a_response(play, close_cause):
    """It was fed to the connection's reader, but not processed yet, when the sweep ran."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            await until(lambda: harness.downstream.connections)
            (connection,) = harness.downstream.connections
            feed = connection._reader.feed_data
            if close_cause == "drain":
                connection.has_sent_command = True
                harness.downstream.shutdown.start_drain(harness.clock.now())

            def feed_and_advance(data: bytes) -> None:
                feed(data)
                harness.clock.advance(
                    IDLE_TIMEOUT_MS + 250 if close_cause == "unused" else IDLE_CLOSE_DELAY_MS + 250
                )

            connection._reader.feed_data = feed_and_advance
            writer.write(READ % b"r1")
            await until(lambda: harness.request_count == 1)
            connection._reader.feed_data = feed
            assert harness.counters["connections_idle_timeout"] == 0
            harness.fail("r1")
            assert await reader.readline() == FAILED
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            assert await reader.read() == b""
            assert harness.counters["connections_idle_timeout"] == (close_cause == "unused")
            writer.close()
            await until(lambda: not harness.downstream.connections)

    play(test)


def test_close_when_the_last_response_is_unwritten_then_nothing_is_read():
    """A request read before the shutdown would need a response, but the previous one is not flushed yet."""

    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client()
            client.sendall(READ % b"r0")
            await until(lambda: harness.request_count == 1)
            (connection,) = harness.downstream.connections
            size = 16 << 20  # more than the kernel's socket buffers hold
            harness.take_responder("r0").respond(Response(b"x" * size, receipt=False))
            read = connection._reader.received_bytes
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            assert connection._transport.get_write_buffer_size()
            client.sendall(READ % b"r1")
            await run_loop_turns()
            assert connection._reader.received_bytes == read and not connection._writer.is_closing()
            received = await read_until_end(client)
            assert len(received) == len(b"VA %d Or0\r\n" % size) + size + 2 and received.endswith(b"x\r\n")
            await run_loop_turns()
            assert harness.request_count == 1
            client.close()
            await until(lambda: not harness.downstream.connections)

    asyncio.run(test())


def test_drain_when_the_next_command_is_always_written_then_no_response_is_lost():
    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client(LONG_DEADLINE_READ % b"r0")
            await until(lambda: harness.request_count == 1)
            shutdown = asyncio.ensure_future(harness.downstream.leave())
            await run_loop_turns(1)
            harness.clock.advance(STOP_READING_DELAY_MS)
            await run_loop_turns()
            client.sendall(READ % b"r1" + READ % b"r2")  # the client always has the next request written
            await run_loop_turns()
            harness.fail("r0")
            assert await read_until_end(client) == FAILED
            assert harness.request_count == 1  # the client retries the others elsewhere
            client.close()
            await until(lambda: harness.clock.advance(20) or shutdown.done())

    asyncio.run(test())


def test_drain_when_cancelled_then_stopped_connections_are_read_again(play):
    async def test():
        async with DownstreamHarness() as harness:
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(LONG_DEADLINE_READ % b"r0")
            await until(lambda: harness.request_count == 1)
            harness.downstream.shutdown.start_drain(harness.clock.now())
            harness.downstream.start_drain()
            harness.clock.advance(STOP_READING_DELAY_MS)
            writer.write(READ % b"r1")
            await run_loop_turns()
            assert harness.request_count == 1
            harness.downstream.shutdown.resume()
            harness.downstream.cancel_drain()
            await until(lambda: harness.request_count == 2)
            writer.close()

    play(test)


def test_lingering_close_when_the_client_keeps_sending_or_never_closes_then_is_bounded():
    async def test():
        async with DownstreamHarness() as harness:
            unresponsive = await harness.socket_client(READ % b"r0")
            endless = await harness.socket_client(READ % b"r1")
            await until(lambda: harness.request_count == 2)
            for uid in ("r0", "r1"):
                harness.fail(uid)
            await run_loop_turns()
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            endless.setblocking(False)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(10):
                    while True:
                        await asyncio.get_running_loop().sock_sendall(endless, b"x" * 65536)
            await until(lambda: len(harness.downstream.connections) == 1)
            harness.clock.advance(LINGERING_CLOSE_MS)
            await until(lambda: not harness.downstream.connections)
            assert await read_until_end(unresponsive) == FAILED

    asyncio.run(test())


def test_rejection_when_more_than_may_linger_then_each_gets_busy_without_a_reset():
    """Closing while their requests are unread in the kernel would cause a reset, and lose the response."""

    async def test():
        async with DownstreamHarness(connection_limit=1) as harness:
            await harness.socket_client(READ % b"r0")
            await until(lambda: harness.request_count == 1)
            rejected = [
                socket.create_connection(("127.0.0.1", harness.port))
                for _ in range(MAX_LINGERING_BEYOND_LIMIT + 8)
            ]
            for number, client in enumerate(rejected):
                client.sendall(READ % b"late%d" % number)
            await run_loop_turns()
            assert [await read_until_end(client) for client in rejected] == [BUSY] * len(rejected)
            assert harness.counters["connections_rejected"] == len(rejected) and harness.request_count == 1
            for client in rejected:
                client.close()

    asyncio.run(test())


def test_eviction_when_more_than_may_linger_then_each_gets_busy_without_a_reset():
    async def test():
        async with DownstreamHarness(connection_limit=MAX_LINGERING_BEYOND_LIMIT + 8) as harness:
            evicted = [await harness.socket_client() for _ in range(harness.downstream.connections.limit)]
            await until(lambda: len(harness.downstream.connections) == harness.downstream.connections.limit)
            for number, client in enumerate(evicted):
                client.sendall(READ % b"r%d" % number)  # the event loop has not run since
            while harness.downstream.connections.evict_one():
                pass
            await run_loop_turns()
            assert [await read_until_end(client) for client in evicted] == [BUSY] * len(evicted)
            assert harness.counters["connections_evicted"] == len(evicted) and harness.request_count == 0
            # Nor may a reset follow the orderly end: some systems deliver the end of the stream first.
            assert not any(client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for client in evicted)

    asyncio.run(test())


@pytest.mark.parametrize("disconnect", [socket.socket.close, reset_connection])
@pytest.mark.parametrize("waiting", [1, MAX_PIPELINED_COMMANDS, MAX_PIPELINED_COMMANDS + 5, 400])
def test_disconnect_when_commands_are_pending_then_is_detected_immediately(disconnect, waiting):
    """Covers commands in flight, commands queued behind others, and a connection that is not read further."""

    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client(*(READ % b"r%d" % i for i in range(waiting)))
            taken = min(waiting, MAX_PIPELINED_COMMANDS)
            await until(lambda: harness.request_count == taken)
            await run_loop_turns()
            disconnect(client)
            await until(lambda: harness.counters["clients_disconnected"] == taken)
            await until(lambda: not harness.downstream.connections)
            assert harness.request_count == taken and harness.core.idle

    asyncio.run(test())


@pytest.mark.parametrize("disconnect", [socket.socket.close, reset_connection])
@pytest.mark.parametrize("response", [None, BUSY])
def test_disconnect_when_the_event_loop_has_not_seen_it_then_no_attempt_is_sent(disconnect, response):
    """Guards against sending an attempt for a client that disconnected while the node was held up.

    The request and the disconnect wait for the event loop at the same time. The client disconnects before
    the first attempt, or in the iteration in which that is rejected and a second one would follow.
    """

    async def test():
        settings = replace(SETTINGS, discovery=api.DiscoveryMode.POLLED)

        def respond_to(data: bytes) -> bytes:
            uid = data.split(b" O")[1].split(b" ")[0]
            return response if uid == b"a1" else b"VA 2 O%b\r\nok\r\n" % uid

        async with (
            ScriptedServer(lambda _: b"") as discovery,
            ScriptedServer(respond_to) as first_server,
            ScriptedServer(respond_to) as second_server,
        ):
            known = endpoint_list(1, s1="in_service", s2="in_service")
            for entry, peer in zip(known["members"], (first_server, second_server), strict=True):
                entry |= {"host_port": f"127.0.0.1:{peer.port}", "flavor": "m2"}
            alone = NodeHarness(discovery, known, settings, kinds=("m2", "origin"))
            core, loop = alone.node.core, asyncio.get_running_loop()
            client = socket.create_connection(("127.0.0.1", await alone.node.start()))
            # Until each server has a pooled connection, on which an attempt is written immediately.
            for number in range(100):
                client.sendall(READ.replace(b"key7", b"k%d" % number) % b"w%d" % number)
                await until(lambda count=number: alone.node.counters["responses_served"] > count)
                if first_server.connections and second_server.connections:
                    break
            client.setblocking(False)
            await loop.sock_recv(client, 1 << 16)
            sent = len(first_server.received) + len(second_server.received)
            name = "submit" if response is None else "attempt_ended"
            original = getattr(core, name)

            def disconnect_and_call(*arguments):
                if client.fileno() >= 0:
                    disconnect(client)  # the event loop does not run between this and the send
                return original(*arguments)

            client.send(READ % b"a1")
            if response is None:
                core.submit = disconnect_and_call
            else:
                alone.node.dispatcher._report_end = disconnect_and_call
            await until(lambda: alone.node.counters["clients_disconnected"] == 1)
            await until(lambda: not alone.node.downstream.connections)
            await run_loop_turns()
            assert (
                len(first_server.received) + len(second_server.received) == sent + (response is not None)
                and core.idle
            )
            assert alone.node.counters["attempts_expired_unsent"] == 1
            await alone.node.close()

    asyncio.run(test())


@pytest.mark.parametrize("disconnect", [socket.socket.close, reset_connection])
def test_disconnect_when_behind_unread_input_then_is_detected_by_the_next_sweep(disconnect):
    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client(READ % b"r")
            await until(lambda: harness.request_count == 1)
            (connection,) = harness.downstream.connections
            for number in range(1000):  # until reading pauses and the kernel holds the last bytes
                client.sendall(b"".join(READ % b"f%d-%d" % (number, i) for i in range(100)))
                await run_loop_turns(1)
                if not connection._transport.is_reading():
                    break
            assert harness.request_count == MAX_PIPELINED_COMMANDS and not connection._transport.is_reading()
            disconnect(client)
            await run_loop_turns()
            harness.clock.advance(SWEEP_INTERVAL_MS)
            assert harness.counters["clients_disconnected"] == MAX_PIPELINED_COMMANDS
            await until(lambda: not harness.downstream.connections)
            assert harness.request_count == MAX_PIPELINED_COMMANDS

    asyncio.run(test())


@pytest.mark.parametrize("disconnect", [socket.socket.close, reset_connection])
def test_connection_when_closed_then_is_freed_without_the_garbage_collector(no_collector, disconnect):
    """Guards memory: a long run used 20 MB instead of 18 MB.

    Each closed connection and its reader referenced each other.
    """

    async def test():
        async with DownstreamHarness() as harness:
            client = await harness.socket_client(READ % b"r0")
            await until(lambda: harness.request_count == 1)
            reference = weakref.ref(next(iter(harness.downstream.connections)))
            harness.fail("r0")
            await run_loop_turns()
            # A client that closes with an unread response would cause a reset, too.
            if disconnect is not reset_connection:
                assert client.recv(100) == FAILED
            disconnect(client)
            await until(lambda: not harness.downstream.connections)
            await until(lambda: reference() is None)

    asyncio.run(test())


def test_shutdown_when_a_request_arrives_late_then_gets_a_response_before_sigkill(play):
    """With request classes whose deadlines are 2 s and 3 s, SIGKILL may come 3.7 s after SIGTERM."""

    async def test():
        async with DownstreamHarness() as harness:
            started_at = harness.clock.now()
            shutdown = asyncio.ensure_future(harness.downstream.leave())
            await run_loop_turns(1)
            harness.clock.advance(IDLE_CLOSE_DELAY_MS)
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(b"ms key7 2 Oa1 Pc=put,t=acme,d=3000\r\n")  # the rest is sent late
            await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
            harness.clock.advance(SHUTDOWN_ACCEPT_MS)
            await run_loop_turns()
            writer.write(b"hi\r\n")
            await until(lambda: harness.request_count == 1)
            assert harness.clock.now() == started_at + IDLE_CLOSE_DELAY_MS + SHUTDOWN_ACCEPT_MS
            harness.clock.advance(SHUTDOWN_ACCEPT_MS + 3_000 - 1 - (harness.clock.now() - started_at))
            # The shutdown deadline fails the request, since the test's policy decides nothing.
            assert await reader.read() == FAILED
            writer.close()
            await until(lambda: harness.clock.advance(20) or shutdown.done())

    play(test)


def test_sockets_when_opened_or_accepted_then_have_tcp_nodelay_set():
    async def test():
        delays: list[int] = []

        def record_delay(transport) -> None:
            opened = transport.get_extra_info("socket")
            delays.append(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

        async with DownstreamHarness() as harness, ScriptedServer(lambda _: b"") as peer:
            await harness.socket_client()
            (connection,) = harness.downstream.connections
            record_delay(connection._transport)
            upstream = UpstreamHarness(peer.port)
            await upstream.start()
            await until(lambda: peer.received)
            record_delay(next(iter(upstream.connections)).writer.transport)
            await upstream.dispatcher.close()
            # This connection is accepted when the listener closes.
            queued = socket.create_connection(("127.0.0.1", harness.port))
            harness.downstream._listener.close()
            await until(lambda: harness.counters["connections_accepted"] == 2)
            record_delay(list(harness.downstream.connections)[-1]._transport)
            queued.close()
        assert delays == [1, 1, 1]

    asyncio.run(test())


def test_disconnect_when_its_end_is_behind_more_input_than_the_kernel_takes_then_nothing_more_is_executed():
    async def test():
        async with DownstreamHarness(settings=SETTINGS) as harness:
            client = await harness.socket_client()
            client.setblocking(False)
            reads = b"".join(READ % b"r%d" % i for i in range(100_000))
            with contextlib.suppress(BlockingIOError):
                while True:  # until the receive window is closed
                    reads = reads[client.send(reads) :]
                    await asyncio.sleep(0)
            await until(lambda: harness.request_count)
            await run_loop_turns()
            assert harness.request_count == 1
            harness.take_responder("r0").respond(Response(b"ok", receipt=False))
            await until(lambda: harness.request_count == 2)
            assert client.recv(100) == b"VA 2 Or0\r\nok\r\n"
            client.close()
            harness.take_responder("r1").respond(Response(b"ok", receipt=False))
            await until(lambda: not harness.downstream.connections)
            assert harness.request_count == 2

    asyncio.run(test())
