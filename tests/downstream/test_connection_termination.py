"""How clients' connections end, with what crosses each end forced: docs/endings.md lists them."""

import asyncio
import contextlib
import socket
import weakref
from dataclasses import replace

import pytest
from support.downstream_termination import (
    BUSY,
    FAILED,
    PATIENT,
    READ,
    Side,
    gone_with_a_reset,
    rest,
    turns,
)
from support.network import SETTINGS, Peer, until
from support.node import Alone, whole
from support.upstream_termination import Bench

from flintridge import api
from flintridge.core.response import Response
from flintridge.net.parting import PARTING
from flintridge.net.sender import PARTINGS, PIPELINED, SERVING, SWEEP, UNUSED
from flintridge.shutdown import IDLE_CLOSE_DELAY_MS, STOP_READING_DELAY_MS


def test_what_is_read_after_the_shutdown_is_not_taken_and_resets_nothing():
    """The request lies in the kernel as the node closes a resting connection, with an answer still unread."""

    async def test():
        async with Side() as s:
            client = await s.client(READ % b"r0")
            await until(lambda: s.requests == 1)
            s.core._fail_overdue("r0")
            await turns()
            client.sendall(READ % b"r1")  # no turn of the loop since: the node cannot have read it
            s.clock.go(UNUSED + 250)
            assert s.counters["connections_unused"] == 1
            assert await rest(client) == FAILED  # the answer, then an orderly end
            await turns()
            assert s.requests == 1 and len(s.side._connections) == 1  # it waits for its client's half
            client.close()
            await until(lambda: not s.side._connections)

    asyncio.run(test())


@pytest.mark.parametrize("ends", ["unused", "drain"])
def test_what_was_read_before_the_close_is_answered(play, ends):
    """It was fed to the connection, but not looked at, as the sweep came."""

    async def test():
        async with Side() as s:
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            await until(lambda: s.side._connections)
            (connection,) = s.side._connections
            feed = connection._reader.feed_data
            if ends == "drain":
                connection.heard = True
                s.side.drain.start_drain(s.clock.now())

            def crossing(data: bytes) -> None:
                feed(data)
                s.clock.go(UNUSED + 250 if ends == "unused" else IDLE_CLOSE_DELAY_MS + 250)

            connection._reader.feed_data = crossing
            writer.write(READ % b"r1")
            await until(lambda: s.requests == 1)
            connection._reader.feed_data = feed
            assert s.counters["connections_unused"] == 0
            s.core._fail_overdue("r1")
            assert await reader.readline() == FAILED
            s.clock.go(UNUSED + 250)
            assert await reader.read() == b""
            assert s.counters["connections_unused"] == (ends == "unused")
            writer.close()
            await until(lambda: not s.side._connections)

    play(test)


def test_nothing_is_read_while_the_last_answer_is_still_on_its_way_out():
    """What is read before the shutdown would be owed an answer, and the answer before it is not out yet."""

    async def test():
        async with Side() as s:
            client = await s.client()
            client.sendall(READ % b"r0")
            await until(lambda: s.requests == 1)
            (connection,) = s.side._connections
            size = 16 << 20  # more than any buffer of the system takes
            s.core._mark_answered("r0", request := s.core._open["r0"])
            request.responder.respond(Response(b"x" * size, receipt=False))
            read = connection._reader.received_bytes
            s.clock.go(UNUSED + 250)
            assert connection._transport.get_write_buffer_size()
            client.sendall(READ % b"r1")
            await turns()
            assert connection._reader.received_bytes == read and not connection._writer.is_closing()
            said = await rest(client)
            assert len(said) == len(b"VA %d Or0\r\n" % size) + size + 2 and said.endswith(b"x\r\n")
            await turns()
            assert s.requests == 1
            client.close()
            await until(lambda: not s.side._connections)

    asyncio.run(test())


def test_the_next_command_that_lies_there_at_the_end_of_a_drain_costs_no_answer():
    async def test():
        async with Side() as s:
            client = await s.client(PATIENT % b"r0")
            await until(lambda: s.requests == 1)
            leaving = asyncio.ensure_future(s.side.leave())
            await turns(1)
            s.clock.go(STOP_READING_DELAY_MS)
            await turns()
            client.sendall(READ % b"r1" + READ % b"r2")  # always the next one written
            await turns()
            s.core._fail_overdue("r0")
            assert await rest(client) == FAILED
            assert s.requests == 1  # its client sends the others again elsewhere
            client.close()
            await until(lambda: s.clock.go(20) or leaving.done())

    asyncio.run(test())


def test_a_connection_that_was_read_no_further_is_read_on_when_the_drain_is_called_off(play):
    async def test():
        async with Side() as s:
            _, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(PATIENT % b"r0")
            await until(lambda: s.requests == 1)
            s.side.drain.start_drain(s.clock.now())
            s.side.ending()
            s.clock.go(STOP_READING_DELAY_MS)
            writer.write(READ % b"r1")
            await turns()
            assert s.requests == 1
            s.side.drain.resume()
            s.side.resumed()
            await until(lambda: s.requests == 2)
            writer.close()

    play(test)


def test_a_client_that_goes_on_sending_or_never_ends_is_closed_within_bounds():
    async def test():
        async with Side() as s:
            silent = await s.client(READ % b"r0")
            endless = await s.client(READ % b"r1")
            await until(lambda: s.requests == 2)
            for uid in ("r0", "r1"):
                s.core._fail_overdue(uid)
            await turns()
            s.clock.go(UNUSED + 250)
            endless.setblocking(False)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(10):
                    while True:
                        await asyncio.get_running_loop().sock_sendall(endless, b"x" * 65536)
            await until(lambda: len(s.side._connections) == 1)
            s.clock.go(PARTING)
            await until(lambda: not s.side._connections)
            assert await rest(silent) == FAILED

    asyncio.run(test())


def test_more_that_are_turned_away_at_once_than_can_be_parted_from_are_told_so_and_not_reset():
    """Their requests lie in the kernel: closed over these unread, the answer would go with the reset."""

    async def test():
        async with Side(room=1) as s:
            await s.client(READ % b"r0")
            await until(lambda: s.requests == 1)
            late = [socket.create_connection(("127.0.0.1", s.port)) for _ in range(PARTINGS + 8)]
            for number, client in enumerate(late):
                client.sendall(READ % b"late%d" % number)
            await turns()
            assert [await rest(client) for client in late] == [BUSY] * len(late)  # orderly ends
            assert s.counters["connections_turned_away"] == len(late) and s.requests == 1
            for client in late:
                client.close()

    asyncio.run(test())


def test_more_that_make_place_at_once_than_can_be_parted_from_are_told_so_and_not_reset():
    async def test():
        async with Side(room=PARTINGS + 8) as s:
            crossed = [await s.client() for _ in range(s.side.room)]
            await until(lambda: len(s.side._connections) == s.side.room)
            for number, client in enumerate(crossed):
                client.sendall(READ % b"r%d" % number)  # no turn of the loop since
            while s.side._free_one():
                pass
            await turns()
            assert [await rest(client) for client in crossed] == [BUSY] * len(crossed)
            assert s.counters["connections_made_place"] == len(crossed) and s.requests == 0
            # A reset that comes behind the orderly end, which some systems let go before it.
            assert not any(client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for client in crossed)

    asyncio.run(test())


@pytest.mark.parametrize("leave", [socket.socket.close, gone_with_a_reset])
@pytest.mark.parametrize("waiting", [1, PIPELINED, PIPELINED + 5, 400])
def test_a_client_that_leaves_is_seen_whatever_waits_of_it(leave, waiting):
    """In flight, behind others on its connection, and while nothing more is read of it."""

    async def test():
        async with Side() as s:
            client = await s.client(*(READ % b"r%d" % i for i in range(waiting)))
            taken = min(waiting, PIPELINED)
            await until(lambda: s.requests == taken)
            await turns()
            leave(client)
            await until(lambda: s.counters["clients_disconnected"] == taken)
            await until(lambda: not s.side._connections)
            assert s.requests == taken and s.core.idle

    asyncio.run(test())


@pytest.mark.parametrize("leave", [socket.socket.close, gone_with_a_reset])
@pytest.mark.parametrize("answer", [None, BUSY])
def test_nothing_is_sent_on_for_a_client_whose_end_the_event_loop_has_yet_to_come_to(leave, answer):
    """Found by the brink days, in a crowd: 0.2 s after its client had left, as both lay there at once.

    It left before the first attempt, or in the step in which that was turned away and another would follow.
    """

    async def test():
        settings = replace(SETTINGS, discovery=api.DiscoveryMode.POLLED)

        def held(data: bytes) -> bytes:
            uid = data.split(b" O")[1].split(b" ")[0]
            return answer if uid == b"a1" else b"VA 2 O%b\r\nok\r\n" % uid

        async with Peer(lambda _: b"") as discovery, Peer(held) as one, Peer(held) as two:
            known = whole(1, s1="in_service", s2="in_service")
            for entry, peer in zip(known["members"], (one, two), strict=True):
                entry |= {"host_port": f"127.0.0.1:{peer.port}", "flavor": "m2"}
            alone = Alone(discovery, known, settings, kinds=("m2", "origin"))
            core, loop = alone.node.core, asyncio.get_running_loop()
            client = socket.create_connection(("127.0.0.1", await alone.node.start()))
            for number in range(100):  # until a connection to each server is kept: a send is written at once
                client.sendall(READ.replace(b"key7", b"k%d" % number) % b"w%d" % number)
                await until(lambda count=number: alone.node.counters["responses_served"] > count)
                if one.connections and two.connections:
                    break
            client.setblocking(False)
            await loop.sock_recv(client, 1 << 16)
            sent = len(one.got) + len(two.got)
            name = "submit" if answer is None else "attempt_ended"
            usual = getattr(core, name)

            def crossing(*about):
                if client.fileno() >= 0:
                    leave(client)  # no turn of the loop between this and the send
                return usual(*about)

            client.send(READ % b"a1")
            if answer is None:
                core.submit = crossing
            else:
                alone.node.dispatcher._report = crossing
            await until(lambda: alone.node.counters["clients_disconnected"] == 1)
            await until(lambda: not alone.node.downstream._connections)
            await turns()
            assert len(one.got) + len(two.got) == sent + (answer is not None) and core.idle
            assert alone.node.counters["attempts_expired_unsent"] == 1
            await alone.node.close()

    asyncio.run(test())


@pytest.mark.parametrize("leave", [socket.socket.close, gone_with_a_reset])
def test_a_client_that_sent_more_than_is_read_and_left_is_seen_by_the_next_sweep(leave):
    async def test():
        async with Side() as s:
            client = await s.client(READ % b"r")
            await until(lambda: s.requests == 1)
            (connection,) = s.side._connections
            for number in range(1000):  # until it is read no further, and the system holds what came last
                client.sendall(b"".join(READ % b"f%d-%d" % (number, i) for i in range(100)))
                await turns(1)
                if not connection._transport.is_reading():
                    break
            assert s.requests == PIPELINED and not connection._transport.is_reading()
            leave(client)
            await turns()
            s.clock.go(SWEEP)
            assert s.counters["clients_disconnected"] == PIPELINED
            await until(lambda: not s.side._connections)
            assert s.requests == PIPELINED

    asyncio.run(test())


@pytest.mark.parametrize("leave", [socket.socket.close, gone_with_a_reset])
def test_a_connection_that_ended_is_freed_without_the_collector(no_collector, leave):
    """Found on the long day: 20 MB in place of 18, as each held its reader and the reader it."""

    async def test():
        async with Side() as s:
            client = await s.client(READ % b"r0")
            await until(lambda: s.requests == 1)
            held = weakref.ref(next(iter(s.side._connections)))
            s.core._fail_overdue("r0")
            await turns()
            if leave is not gone_with_a_reset:  # closed over an unread answer it would reset as well
                assert client.recv(100) == FAILED
            leave(client)
            await until(lambda: not s.side._connections)
            await until(lambda: held() is None)

    asyncio.run(test())


def test_what_comes_after_sigterm_is_answered_before_the_process_may_be_killed(play):
    """With a class that waits for 2 s and one for 3 s the end may come 3.7 s after SIGTERM."""

    async def test():
        async with Side() as s:
            began = s.clock.now()
            leaving = asyncio.ensure_future(s.side.leave())
            await turns(1)
            s.clock.go(IDLE_CLOSE_DELAY_MS)
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(b"ms key7 2 Oa1 Pc=put,t=acme,d=3000\r\n")  # the rest comes late
            await until(lambda: any(not c._parser.idle for c in s.side._connections))
            s.clock.go(SERVING)
            await turns()
            writer.write(b"hi\r\n")
            await until(lambda: s.requests == 1)
            assert s.clock.now() == began + IDLE_CLOSE_DELAY_MS + SERVING
            s.clock.go(SERVING + 3_000 - 1 - (s.clock.now() - began))
            assert await reader.read() == FAILED  # by the net: nobody decides anything here
            writer.close()
            await until(lambda: s.clock.go(20) or leaving.done())

    play(test)


def test_small_writes_are_held_back_on_no_socket():
    async def test():
        delays: list[int] = []

        def seen(transport) -> None:
            opened = transport.get_extra_info("socket")
            delays.append(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

        async with Side() as s, Peer(lambda _: b"") as peer:
            await s.client()
            (connection,) = s.side._connections
            seen(connection._transport)
            bench = Bench(peer.port)
            await bench.carry()
            await until(lambda: peer.got)
            seen(next(iter(bench.links)).writer.transport)
            await bench.delivery.close()
            early = socket.create_connection(("127.0.0.1", s.port))  # accepted as the listener closes
            s.side._listening.close()
            await until(lambda: s.counters["connections_accepted"] == 2)
            seen(list(s.side._connections)[-1]._transport)
            early.close()
        assert delays == [1, 1, 1]

    asyncio.run(test())
