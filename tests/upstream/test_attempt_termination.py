"""How attempts at servers end, with what crosses each end forced."""

import asyncio
import contextlib
import socket
import weakref
from dataclasses import replace

import pytest
from support.downstream_termination import BUSY, FAILED, READ, cross, gone_with_a_reset, turns
from support.network import SETTINGS, Peer, until
from support.node import Alone, whole
from support.upstream_termination import VALUE, Bench, client_left, grace_over, origin_says

from flintridge import api
from flintridge.api import Outcome
from flintridge.core.response import AttemptResult, Response
from flintridge.net import delivery
from flintridge.net.delivery import REST


@pytest.mark.parametrize("limit", ["begin_by", "written_by"])
@pytest.mark.parametrize("meanwhile", [client_left, grace_over])
def test_nothing_is_written_on_a_late_connection_once_its_reasons_are_gone(
    play, monkeypatch, meanwhile, limit
):
    async def test():
        async with Peer(lambda _: VALUE) as peer:
            bench = Bench(peer.port, monkeypatch=monkeypatch)
            bench.delivery._connect_time = 400.0
            attempt = await bench.carry(**{limit: 200})
            await until(lambda: bench.asked == 1)
            meanwhile(bench, attempt)
            bench.up.set()
            await until(lambda: bench.ended)
            assert (
                bench.ended == [AttemptResult(Outcome.WITHDRAWN)]
                and bench.counters["attempts_expired_unsent"] == 1
            )
            await turns()
            assert peer.connections == 1 and peer.got == []
            assert (await bench.answer()).outcome is Outcome.OK  # the connection is as good as new
            assert peer.connections == 1
            await bench.delivery.close()

    play(test)


def test_in_time_a_late_connection_is_written_to(play, monkeypatch):
    async def test():
        async with Peer(lambda _: VALUE) as peer:
            bench = Bench(peer.port, monkeypatch=monkeypatch)
            bench.delivery._connect_time = 400.0
            await bench.carry(begin_by=200, written_by=200)
            await until(lambda: bench.asked == 1)
            bench.clock.go(200)
            bench.up.set()
            await until(lambda: bench.ended)
            assert bench.ended[0].outcome is Outcome.OK
            await bench.delivery.close()

    play(test)


def test_a_repeat_that_is_not_written_whole_within_its_window_never_runs():
    async def test():
        async def serve(reader, writer):  # reads the head and no more: the value does not fit the buffers
            got.append(await reader.readexactly(10))
            reader._transport.pause_reading()
            await free.wait()
            reader._transport.resume_reading()
            with contextlib.suppress(ConnectionError):
                got.append(await reader.read())
            writer.close()

        got: list[bytes] = []
        free = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        bench = Bench(server.sockets[0].getsockname()[1])
        size = 32 << 20
        await bench.carry(value=b"x" * size, wait=5000, written_by=300)
        await until(lambda: got)
        bench.clock.go(299)
        await turns()
        assert bench.ended == []
        bench.clock.go(2)
        await until(lambda: bench.ended)
        assert bench.ended[0].outcome is Outcome.CONNECT_FAILED
        free.set()
        await until(lambda: len(got) == 2 or not bench.delivery._open)
        assert sum(map(len, got)) < size
        await bench.delivery.close()
        server.close()

    asyncio.run(test())


@pytest.mark.parametrize("limit", ["until", "written_by"])
def test_a_time_out_in_the_step_in_which_the_last_byte_goes_out_may_have_run(limit):
    """Found in review: the server has all of it, and it was called never written and sent once more."""

    async def test():
        async def serve(reader, writer):
            reader._transport.pause_reading()
            await free.wait()
            reader._transport.resume_reading()
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1 << 20):
                    got.append(data)
            writer.close()

        got: list[bytes] = []
        free = asyncio.Event()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # most of it waits in the node
        server = await asyncio.start_server(serve, sock=listener, limit=1024)
        bench = Bench(listener.getsockname()[1])
        connect = bench.delivery._connect

        async def connected(*where) -> delivery.UpstreamConnection:
            link = await connect(*where)
            link.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return link

        bench.delivery._connect = connected
        wait, limits = (400, {}) if limit == "until" else (5_000, {"written_by": 400})
        await bench.carry(value=b"x" * 60_000, wait=wait, **limits)
        await until(lambda: bench.links and next(iter(bench.links)).writer.transport.get_write_buffer_size())
        protocol = next(iter(bench.links)).writer.transport.get_protocol()
        resume = protocol.resume_writing

        def crossing() -> None:
            resume()
            bench.clock.go(400)

        protocol.resume_writing = crossing
        free.set()
        await until(lambda: bench.ended)
        assert bench.ended[0].outcome is Outcome.TIMEOUT
        await until(lambda: b"".join(got).endswith(b"x\r\n"))  # it had all of it
        assert len(b"".join(got)) > 60_000
        await bench.delivery.close()
        server.close()

    asyncio.run(test())


def test_an_attempt_that_was_reset_is_freed_without_the_collector(no_collector):
    """Its value may be 4 MiB."""

    async def test():
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        bench = Bench(listener.getsockname()[1])
        await bench.carry(value=b"x")
        server, _ = await asyncio.get_running_loop().sock_accept(listener)
        await asyncio.get_running_loop().sock_recv(server, 4096)
        held = weakref.ref(next(iter(bench.links)).writer)
        gone_with_a_reset(server)
        await until(lambda: bench.ended)
        assert bench.ended[0].outcome is Outcome.RESET
        bench.links.clear()
        await until(lambda: held() is None)
        await bench.delivery.close()
        listener.close()

    asyncio.run(test())


@pytest.mark.parametrize("what", ["answer", "connection"])
def test_a_time_out_in_the_step_in_which_the_answer_or_the_connection_comes(play, monkeypatch, what):
    """One end of the attempt, and its descriptor is free once."""

    async def test():
        async with Peer(lambda _: VALUE) as peer:
            bench = Bench(peer.port, monkeypatch=monkeypatch)
            if what == "answer":
                feed = delivery.LinkReader.feed_data

                def crossing(reader, data: bytes) -> None:
                    feed(reader, data)
                    bench.clock.go(400)

                monkeypatch.setattr(delivery.LinkReader, "feed_data", crossing)
                bench.up.set()
                await bench.carry()
            else:
                await bench.carry()
                await until(lambda: bench.asked == 1)
                bench.up.set()
                bench.clock.go(250)
            await until(lambda: bench.ended)
            await turns()
            expected = Outcome.TIMEOUT if what == "answer" else Outcome.CONNECT_FAILED
            assert [answer.outcome for answer in bench.ended] == [expected]
            assert bench.delivery._open == 0 and not bench.delivery._idle and not bench.delivery._tasks
            await bench.delivery.close()

    play(test)


@pytest.mark.parametrize("crossing", [b"VA 2 O", VALUE, b"", "rst"])
def test_bytes_or_an_end_that_came_in_this_moment_are_seen_before_a_connection_is_used_again(crossing):
    """Half a line, a second answer, the end, a reset: in the kernel, and not yet seen by the event loop."""

    async def test():
        listener = socket.create_server(("127.0.0.1", 0))
        bench = Bench(listener.getsockname()[1])
        loop = asyncio.get_running_loop()
        await bench.carry()
        listener.setblocking(False)
        first, _ = await loop.sock_accept(listener)
        await loop.sock_recv(first, 4096)
        first.send(VALUE)
        await until(lambda: bench.ended)
        assert bench.ended[0].outcome is Outcome.OK
        cross(first, crossing)
        bench.delivery.start(bench.attempt())  # its first step is the next of the loop
        second, _ = await loop.sock_accept(listener)
        assert (await loop.sock_recv(second, 4096)).startswith(b"mg key7 ")
        second.send(VALUE)
        await until(lambda: len(bench.ended) == 2)
        assert bench.ended[1] == bench.ended[0] and bench.counters["connections_unasked"] == 1
        await bench.delivery.close()
        for one in (first, second, listener):
            one.close()

    asyncio.run(test())


@pytest.mark.parametrize(
    ("flavor", "first", "second", "said"),
    [
        ("origin", origin_says(b"r1"), origin_says(b"r2"), (Outcome.OK, Response(b"r2", receipt=True))),
        ("m2", BUSY, b"HD Oa1 cr2\r\n", (Outcome.OK, Response(b"r2", receipt=True))),
        ("m2", FAILED, b"HD Oa1 cr2\r\n", (Outcome.OK, Response(b"r2", receipt=True))),
    ],
)
def test_a_late_second_answer_that_names_no_request_passes_for_no_other(play, flavor, first, second, said):
    """It comes some milliseconds late, when the next request would long be out on the same connection."""

    async def test():
        answers = [first, second]
        async with Peer(lambda _: answers.pop(0)) as peer:
            bench = Bench(peer.port, flavor)
            await bench.answer(value=b"x")
            await bench.carry(value=b"y")
            await until(lambda: peer.connections == 2)
            peer.writers[0].write(first)
            await until(lambda: len(bench.ended) == 2)
            assert (bench.ended[1].outcome, bench.ended[1].response) == said
            await until(lambda: bench.counters["connections_unasked"] == 1)
            bench.clock.go(REST)
            answers.append(second)
            assert (await bench.answer(value=b"z")).response == said[1] and peer.connections == 2
            await bench.delivery.close()

    play(test)


@pytest.mark.parametrize("value", [None, b"x"])
def test_an_answer_without_a_length_ends_with_an_orderly_end_and_with_no_reset(value):
    async def test():
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nr12"
        for orderly in (True, False):
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            bench = Bench(listener.getsockname()[1], "origin")
            loop = asyncio.get_running_loop()
            await bench.carry(value=value)
            one, _ = await loop.sock_accept(listener)
            await loop.sock_recv(one, 4096)
            one.send(head)
            (link,) = bench.links
            await until(lambda link=link: link.reader.read_bytes == len(head))
            if orderly:
                one.close()
            else:
                gone_with_a_reset(one)
            await until(lambda ended=bench.ended: ended)
            served = Response(b"r12", receipt=value is not None)
            expected = (Outcome.OK, served) if orderly else (Outcome.RESET, None)
            assert (bench.ended[0].outcome, bench.ended[0].response) == expected
            await bench.delivery.close()
            listener.close()

    asyncio.run(test())


@pytest.mark.parametrize("behind", [0, 300, 500])
def test_the_time_that_a_request_lay_there_is_none_that_is_left(play, behind):
    """Found by the brink days: in a crowd a turn of the loop takes some tenths of a second, and what was told
    to servers, and how long a request was held, counted from when it was read."""

    async def test():
        async with Peer(lambda _: b"") as discovery, Peer(lambda _: b"") as box:
            known = whole(1, s1="in_service")
            known["members"][0] |= {"host_port": f"127.0.0.1:{box.port}", "flavor": "m2"}
            alone = Alone(discovery, known, SETTINGS, kinds=("m2", "origin"))
            alone.clock.behind = behind
            reader, writer = await asyncio.open_connection("127.0.0.1", await alone.node.start())
            writer.write(READ % b"a1")
            if behind < 480:
                await until(lambda: box.got)
                assert b"d=%d\r\n" % (470 - behind) in box.got[0]
                alone.clock.go(470 - behind + 5)
            await until(lambda: alone.node.core.idle)
            assert (await reader.readline()).startswith(b"SERVER_ERROR")
            assert len(box.got) == (behind < 480)
            writer.close()
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("further", ["origin", "m2"])
def test_a_further_attempt_tells_only_what_is_left(play, further):
    """Found by the brink days: the origin was told the client's whole time, however much of it was over."""

    async def test():
        settings = replace(SETTINGS, discovery=api.DiscoveryMode.POLLED)
        async with Peer(lambda _: b"") as discovery, Peer(lambda _: b"") as one, Peer(lambda _: b"") as two:
            known = whole(1, s1="in_service", s2="in_service")
            for entry, peer, flavor in zip(known["members"], (one, two), ("m2", further), strict=True):
                entry |= {"host_port": f"127.0.0.1:{peer.port}", "flavor": flavor}
            alone = Alone(discovery, known, settings, kinds=("m2", "origin"))
            port = await alone.node.start()
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(READ % b"a1")
            await until(lambda: one.got or two.got)
            first, second = (one, two) if one.got else (two, one)
            assert b"d=470\r\n" in first.got[0]  # 10 ms are kept for the way back
            alone.clock.go(300)
            first.writers[0].write(b"EN Oa1\r\n" if further == "origin" else BUSY)
            await until(lambda: second.got)
            assert second.got[0].startswith(b"GET /key7 " if further == "origin" else b"mg key7 ")
            assert b"c=read,t=acme,d=170\r\n" in second.got[0]
            writer.close()
            await alone.node.close()

    play(test)
