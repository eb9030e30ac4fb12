"""How watches on discovery end, with what crosses each end forced."""

import asyncio
import errno
import os
import socket

import pytest
from support.downstream_termination import send_or_close
from support.network import ManualClock, ScriptedServer, until
from support.node import NodeHarness, endpoint_list, json_response

from flintridge import api
from flintridge.api import EndpointState
from flintridge.config.address import Address
from flintridge.discovery import client as client_module
from flintridge.discovery.client import LOCAL_FAILURE_PAUSE_MS, MAX_LOCAL_FAILURES, DiscoveryClient
from flintridge.discovery.watcher import LIST_TIME_MS
from flintridge.lab import virtual
from flintridge.runtime.clock import NS_PER_MS

SILENCE = 6_000.0  # what a silent watch misses counts as told so long after it fell silent


@pytest.mark.parametrize("grace", [2_000, 1_200, 800])
def test_watch_when_unresponsive_does_not_outlast_the_grace_of_a_drain_that_it_misses(play, grace):
    """Found by the brink days: asked anew together, three of six nodes had the list 0.1 s after the grace."""

    async def test():
        rules = api.Rules(drain_grace_ns=grace * NS_PER_MS)
        settings = api.Settings(rules=rules, discovery=api.DiscoveryMode.POLLED)
        async with ScriptedServer(lambda _: b"") as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
            clock = alone.clock
            await alone.node.start()
            await until(lambda: len(discovery.received) == 1)
            silent_at = clock.now()
            clock.advance(400)  # the answer was on its way when the link fell silent
            discovery.writers[0].write(json_response({"revision": 1, "complete": False, "members": []}))
            await alone.advance_until(lambda: len(discovery.received) == 2, 200)  # nobody answers this call
            await alone.advance_until(lambda: len(discovery.received) == 3, 9_000)
            clock.advance(LIST_TIME_MS - 100)  # discovery has many to answer
            discovery.writers[-1].write(json_response(endpoint_list(2, s1="terminating")))
            await until(lambda: alone.state("s1") is EndpointState.DRAINING)
            assert clock.now() <= silent_at + SILENCE + grace
            await alone.node.close()

    play(test)


def test_watch_when_lists_are_pushed_does_not_go_by_an_old_one_first(play):
    """Found by another customer's settings: where lists are pushed no node asked for any."""

    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.PUSHED)
        async with ScriptedServer(lambda _: b"") as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service", s2="in_service"), settings)
            await alone.node.start()
            await until(lambda: discovery.received)
            assert discovery.received[0].startswith(b"GET /api/targets HTTP/1.1\r\n")
            assert alone.state("s1") is None and not alone.node.downstream.serving
            discovery.writers[0].write(json_response(endpoint_list(7, s1="terminating", s2="in_service")))
            await until(lambda: alone.state("s1") is EndpointState.DRAINING)
            assert alone.state("s2") is EndpointState.READY and alone.node.downstream.serving
            await alone.advance_until(lambda: len(discovery.received) == 2, 200)
            assert b"after=7&wait_ms=" in discovery.received[1]
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("crossing", [json_response(endpoint_list(1, s1="in_service")), b"", "rst"])
def test_watch_when_a_second_list_or_an_end_comes_between_two_calls_undoes_nothing(crossing):
    """It lies in the kernel as the next call goes out; read as its answer it would undo the drain before."""

    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.POLLED)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        place = type("Place", (), {"port": listener.getsockname()[1]})
        alone = NodeHarness(place, endpoint_list(1, s1="in_service"), settings)
        loop = asyncio.get_running_loop()
        await alone.node.start()
        first, _ = await loop.sock_accept(listener)
        await loop.sock_recv(first, 4096)
        first.send(json_response(endpoint_list(2, s1="terminating")))
        await until(lambda: alone.state("s1") is EndpointState.DRAINING)
        send_or_close(first, crossing)
        alone.clock.advance(150)  # the next call is due, with no turn of the loop since
        second, _ = await loop.sock_accept(listener)
        assert b"after=2&" in await loop.sock_recv(second, 4096)
        assert alone.state("s1") is EndpointState.DRAINING
        assert alone.node.counters["endpoint_list_failures"] == 0
        await alone.node.close()
        for one in (first, second, listener):
            one.close()

    asyncio.run(test())


@pytest.mark.parametrize("grace", [500, 2_000])
def test_drain_when_discovery_returns_behind_a_call_is_known_in_time(grace):
    """Found in review: silent to the call that had just begun, and the pause after it was up to 4 s."""

    async def known_after(seed: int) -> float:
        back = False
        settings = api.Settings(
            rules=api.Rules(drain_grace_ns=grace * NS_PER_MS), discovery=api.DiscoveryMode.POLLED
        )
        async with ScriptedServer(
            lambda _: json_response(endpoint_list(2, s1="terminating")) if back else b""
        ) as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings, seed=seed)
            await alone.node.start()
            # It waits for long by now.
            await alone.advance_until(lambda: len(discovery.received) == 6, 60_000)
            back, returned_at = True, alone.clock.now()  # for the next call: nobody answers this one any more
            await alone.advance_until(lambda: alone.state("s1") is EndpointState.DRAINING, 20_000)
            await alone.node.close()
            return alone.clock.now() - returned_at

    took = [virtual.run(known_after(seed)) for seed in range(1, 13)]
    assert max(took) <= SILENCE + grace, took


def test_list_when_empty_is_believed_and_the_next_one_too(play):
    """No server may be sent to, so requests are refused in time and `mn` says no."""

    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.POLLED)
        async with ScriptedServer(lambda _: b"") as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
            port = await alone.node.start()
            await until(lambda: discovery.received)
            discovery.writers[0].write(json_response(endpoint_list(2)))
            await until(lambda: alone.state("s1") is None)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"mn\r\nmg key7 v Oa1 P\r\n")
            assert await reader.readline() == b"SERVER_ERROR starting\r\n"
            await until(lambda: alone.node.core.unanswered == 1)
            await alone.advance_until(lambda: alone.node.core.idle, 2_000)
            assert (await reader.readline()).startswith(b"SERVER_ERROR busy")
            await alone.advance_until(lambda: len(discovery.received) == 2, 200)
            discovery.writers[0].write(json_response(endpoint_list(3, s1="in_service")))
            await until(lambda: alone.state("s1") is EndpointState.READY)
            writer.write(b"mn\r\n")
            assert await reader.readline() == b"MN\r\n"
            writer.close()
            await alone.node.close()

    play(test)


def test_node_when_discovery_is_away_goes_by_its_list_and_polls_on(play):
    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.PUSHED)
        async with ScriptedServer(lambda _: None) as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
            await alone.node.start()
            await until(lambda: alone.state("s1") is EndpointState.READY)
            assert alone.node.downstream.serving
            await alone.advance_until(lambda: len(discovery.received) == 2, 1_000)
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("failures", [MAX_LOCAL_FAILURES, MAX_LOCAL_FAILURES + 1])
@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
def test_discovery_call_when_this_machine_opens_no_connection_for_a_moment_then_is_made_soon(
    play, monkeypatch, code, failures
):
    """A failed call is followed by the policy's pause, and some of these outlast the 6 s of a change."""
    tries: list[int] = []
    connect = client_module.open_connection

    async def failing(*where):
        tries.append(code)
        if len(tries) <= failures:
            raise OSError(code, os.strerror(code))
        return await connect(*where)

    async def test():
        async with ScriptedServer(lambda _: json_response(endpoint_list(2, s1="terminating"))) as discovery:
            clock = ManualClock()
            client = DiscoveryClient(Address("127.0.0.1", discovery.port), clock)
            call = asyncio.ensure_future(client.get("/api/targets"))
            for tried in range(1, failures + 1):
                await until(lambda tried=tried: len(tries) == tried)
                await until(lambda: call.done() or clock.due)
                clock.advance(LOCAL_FAILURE_PAUSE_MS)
            if failures <= MAX_LOCAL_FAILURES:
                assert b"terminating" in (await call).body
            else:
                with pytest.raises(OSError, match=os.strerror(code)):
                    await call
            client.close()

    monkeypatch.setattr(client_module, "open_connection", failing)
    play(test)


def test_discovery_call_when_the_connection_is_refused_then_fails_at_once(play, monkeypatch):
    async def refused(*_):
        raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")

    async def test():
        client = DiscoveryClient(Address("127.0.0.1", 1), ManualClock())
        with pytest.raises(ConnectionRefusedError):
            await client.get("/api/targets")

    monkeypatch.setattr(client_module, "open_connection", refused)
    play(test)
