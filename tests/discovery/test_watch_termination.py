"""How watches on discovery end, with the events that may coincide with each end forced."""

import asyncio
import errno
import os
import socket
from dataclasses import replace

import pytest
from support.downstream_termination import send_or_close
from support.network import ManualClock, ScriptedServer, until
from support.node import NodeHarness, endpoint_list, json_response

from flintridge import api
from flintridge.api import EndpointState
from flintridge.config.address import Address
from flintridge.discovery import client as client_module
from flintridge.discovery.call import LIST_TIMEOUT_MS
from flintridge.discovery.client import LOCAL_FAILURE_PAUSE_MS, MAX_LOCAL_FAILURES, DiscoveryClient
from flintridge.discovery.startup_fallback import FALLBACK_AFTER_MS
from flintridge.lab import virtual
from flintridge.runtime.clock import NS_PER_MS

SILENCE_MS = 6_000.0  # ms after a watch became silent, when what it misses counts as notified


@pytest.mark.parametrize("grace", [2_000, 1_200, 800])
def test_watch_when_unresponsive_then_does_not_outlast_the_grace_of_a_drain_that_it_misses(play, grace):
    """Guards against a list that arrives after the grace of a drain that it reports.

    In the brink days nodes polled anew at the same time, and three of six got the list 0.1 s after the grace.
    """

    async def test():
        rules = api.Rules(drain_grace_ns=grace * NS_PER_MS)
        settings = api.Settings(rules=rules, discovery=api.DiscoveryMode.POLLED)
        async with ScriptedServer(lambda _: b"") as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
            clock = alone.clock
            await alone.node.start()
            await until(lambda: len(discovery.received) == 1)
            silent_at = clock.now()
            clock.advance(400)  # the response was in transit when the link became silent
            discovery.writers[0].write(json_response({"revision": 1, "complete": False, "members": []}))
            await alone.advance_until(
                lambda: len(discovery.received) == 2, 200
            )  # the call that gets no response
            await alone.advance_until(lambda: len(discovery.received) == 3, 9_000)
            clock.advance(LIST_TIMEOUT_MS - 100)  # discovery has many calls to answer
            discovery.writers[-1].write(json_response(endpoint_list(2, s1="terminating")))
            await until(lambda: alone.state("s1") is EndpointState.DRAINING)
            assert clock.now() <= silent_at + SILENCE_MS + grace
            await alone.node.close()

    play(test)


def test_watch_when_lists_are_pushed_then_does_not_use_an_outdated_one_first(play):
    """Guards against nodes that never request a list when lists are pushed, as one customer configures it."""

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
def test_watch_when_a_second_list_or_an_end_arrives_between_two_calls_then_undoes_nothing(crossing):
    """The event's data is in the kernel when the next call is sent.

    A second list that is read as the response to that call would undo the drain before it.
    """

    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.POLLED)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        discovery = type("Place", (), {"port": listener.getsockname()[1]})
        alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
        loop = asyncio.get_running_loop()
        await alone.node.start()
        first, _ = await loop.sock_accept(listener)
        await loop.sock_recv(first, 4096)
        first.send(json_response(endpoint_list(2, s1="terminating")))
        await until(lambda: alone.state("s1") is EndpointState.DRAINING)
        send_or_close(first, crossing)
        alone.clock.advance(150)  # the next call is due, and the event loop has not run since
        second, _ = await loop.sock_accept(listener)
        assert b"after=2&" in await loop.sock_recv(second, 4096)
        assert alone.state("s1") is EndpointState.DRAINING
        assert alone.node.counters["endpoint_list_failures"] == 0
        await alone.node.close()
        for one in (first, second, listener):
            one.close()

    asyncio.run(test())


@pytest.mark.parametrize("grace", [500, 2_000])
def test_drain_when_discovery_returns_behind_a_call_then_is_known_in_time(grace):
    """Guards against a drain that becomes known too late after discovery recovers.

    Discovery did not answer a call that had begun just before, and the pause after that call was up to 4 s.
    """

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
            # After six calls, the pauses between them are long.
            await alone.advance_until(lambda: len(discovery.received) == 6, 60_000)
            back, returned_at = True, alone.clock.now()  # answers the next call, not the pending one
            await alone.advance_until(lambda: alone.state("s1") is EndpointState.DRAINING, 20_000)
            await alone.node.close()
            return alone.clock.now() - returned_at

    took = [virtual.run(known_after(seed)) for seed in range(1, 13)]
    assert max(took) <= SILENCE_MS + grace, took


def test_list_when_empty_then_is_applied_and_the_next_one_too(play):
    """There is no server, so requests are rejected in time and `mn` is answered with an error."""

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


@pytest.mark.parametrize("failure", [None, "rst", b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"])
def test_node_when_discovery_is_away_then_uses_its_configured_list_and_keeps_polling(play, failure):
    async def test():
        settings = api.Settings(discovery=api.DiscoveryMode.PUSHED)
        async with ScriptedServer(lambda _: failure) as discovery:
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service"), settings)
            await alone.node.start()
            started_at = alone.clock.now()
            await until(lambda: alone.node.counters["endpoint_list_failures"] == 1)
            assert alone.state("s1") is None and not alone.node.downstream.serving
            await alone.advance_until(
                lambda: alone.state("s1") is EndpointState.READY, FALLBACK_AFTER_MS + 50
            )
            assert alone.clock.now() >= started_at + FALLBACK_AFTER_MS
            assert alone.node.downstream.serving
            calls = len(discovery.received)
            assert calls >= 3
            await alone.advance_until(lambda: len(discovery.received) > calls, 1_000)
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("failures", [MAX_LOCAL_FAILURES, MAX_LOCAL_FAILURES + 1])
@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
def test_discovery_call_when_this_machine_opens_no_connection_for_a_moment_then_is_retried_soon(
    play, monkeypatch, code, failures
):
    """The policy pauses after a failed call, and some outlast the 6 s in which a change must be known."""
    attempts: list[int] = []
    connect = client_module.open_connection

    async def failing(*where):
        attempts.append(code)
        if len(attempts) <= failures:
            raise OSError(code, os.strerror(code))
        return await connect(*where)

    async def test():
        async with ScriptedServer(lambda _: json_response(endpoint_list(2, s1="terminating"))) as discovery:
            clock = ManualClock()
            client = DiscoveryClient(Address("127.0.0.1", discovery.port), clock)
            call = asyncio.ensure_future(client.get("/api/targets"))
            for tried in range(1, failures + 1):
                await until(lambda tried=tried: len(attempts) == tried)
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


@pytest.mark.parametrize("mode", list(api.DiscoveryMode))
def test_reload_when_it_arrives_before_the_node_has_started_then_no_older_list_replaces_the_new_one(
    play, mode
):
    """Guards against the configuration's list being applied after discovery's list."""

    async def test():
        settings = api.Settings(discovery=mode)
        full_list = json_response(endpoint_list(7, s1="terminating", s2="in_service"))
        answers = [full_list, b""]
        async with (
            ScriptedServer(lambda _: b"") as old,
            ScriptedServer(lambda _: answers.pop(0) if answers else b"") as new,
        ):
            known = endpoint_list(1, s1="in_service", s2="in_service")
            alone = NodeHarness(old, known, settings)
            alone.node.reload(replace(alone.node.config, discovery=Address("127.0.0.1", new.port)))
            await asyncio.sleep(0.02)  # the node waits for other processes before it starts its own discovery
            await alone.node.start()
            await until(lambda: alone.state("s1") is EndpointState.DRAINING)
            await alone.advance_until(lambda: len(new.received) == 2, 1_000)
            assert b"GET /api/targets HTTP" in new.received[0]
            assert b"after=7&" in new.received[1]
            new.writers[-1].transport.abort()
            await alone.advance_until(lambda: len(new.received) == 3, 3_000)
            assert alone.state("s1") is EndpointState.DRAINING
            assert not old.received
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("mode", list(api.DiscoveryMode))
def test_watch_when_an_unexpected_error_occurs_then_calls_again(play, monkeypatch, mode):
    """Guards against a watch that ends for good, with a list that gets ever older."""

    async def test():
        full_list = json_response(endpoint_list(7, s1="terminating", s2="in_service"))
        async with ScriptedServer(lambda _: full_list) as discovery:
            settings = api.Settings(discovery=mode)
            alone = NodeHarness(discovery, endpoint_list(1, s1="in_service", s2="in_service"), settings)
            apply_json = alone.node.endpoints.apply_json
            errors = [RuntimeError("unexpected"), KeyError("unexpected")]

            def failing(*arguments, **options):
                if errors:
                    raise errors.pop()
                return apply_json(*arguments, **options)

            monkeypatch.setattr(alone.node.endpoints, "apply_json", failing)
            await alone.node.start()
            await alone.advance_until(lambda: alone.state("s1") is EndpointState.DRAINING, 5_000)
            assert not errors
            await alone.node.close()

    play(test)


@pytest.mark.parametrize("mode", list(api.DiscoveryMode))
@pytest.mark.parametrize("moves", [1, 3])
def test_reload_when_a_drain_is_written_as_it_arrives_then_the_drain_is_kept(mode, moves):
    """The drain counts as notified, and the new address gives no response."""

    async def test():
        settings = api.Settings(discovery=mode)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        place = type("Place", (), {"port": listener.getsockname()[1]})
        loop = asyncio.get_running_loop()
        async with ScriptedServer(lambda _: b"") as silent, ScriptedServer(lambda _: b"") as other:
            alone = NodeHarness(place, endpoint_list(1, s1="in_service"), settings)
            await alone.node.start()
            old, _ = await loop.sock_accept(listener)
            await loop.sock_recv(old, 4096)
            old.send(json_response(endpoint_list(2, s1="terminating")))
            addresses = [silent.port, other.port, silent.port][:moves]
            for port in addresses:  # the event loop has not read the response yet
                address = Address("127.0.0.1", port)
                alone.node.reload(replace(alone.node.config, discovery=address))
            await until(lambda: alone.state("s1") is EndpointState.DRAINING)
            await until(lambda: silent.received)
            assert b"GET /api/targets HTTP" in silent.received[0]
            silent.writers[-1].write(json_response(endpoint_list(1, s1="in_service", s2="in_service")))
            await until(lambda: alone.state("s2") is EndpointState.READY)
            await alone.advance_until(lambda: len(silent.received) > 1, 1_000)
            assert b"after=1&" in silent.received[-1]
            with pytest.raises(BlockingIOError):
                listener.accept()  # no further call to the old address
            await alone.node.close()
        old.close()
        listener.close()

    asyncio.run(test())
