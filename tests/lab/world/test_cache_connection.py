"""Connections to cache servers in virtual time; the exact bytes are checked."""

import asyncio
import random

import pytest
from support.lab_world import run_with_servers

from flintridge.lab.record_log import body_digest
from flintridge.lab.records import (
    AttemptDropped,
    AttemptExecuted,
    AttemptReceived,
    AttemptServed,
    MalformedMessage,
    ServerStateChanged,
)
from flintridge.lab.world.cache_host import StopReason


def test_a_miss_when_the_origin_answers_is_stored_for_the_next_read():
    async def body(stage):
        peer, http = await stage.connect("s0"), await stage.connect("origin")
        uid, line = stage.memcache_request()
        peer.transport.write(line[:7])
        await asyncio.sleep(0.5)
        peer.transport.write(line[7:])
        await asyncio.sleep(0.1)
        assert peer.received == b"EN Ou1\r\n"
        http.transport.write(stage.http_request()[1].replace(b"u2", b"u1"))
        await asyncio.sleep(0.2)
        peer.received = b""
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.1)
        value = stage.objects.body("a", 1, "s0", "u3")
        assert peer.received == b"VA %d Ou3\r\n%b\r\n" % (len(value), value)
        assert http.received.startswith(b"HTTP/1.1 200 ") and http.received.endswith(
            stage.objects.body("a", 1, "origin", uid)
        )

    stage = run_with_servers(body)
    attempts, served = stage.records_of(AttemptReceived), stage.records_of(AttemptServed)
    assert [(a.server, a.request_id, a.time_left_ms) for a in attempts] == [
        ("s0", "u1", 1000),
        ("origin", "u1", 1000),
        ("s0", "u3", 1000),
    ]
    assert attempts[0].at_ms - attempts[0].started_ms == pytest.approx(501) and attempts[2].at_ms - attempts[
        2
    ].started_ms == pytest.approx(1)
    assert [(x.outcome, x.executed) for x in served] == [("miss", False), ("value", True), ("value", True)]
    assert served[2].body_digest == body_digest(stage.objects.body("a", 1, "s0", "u3")) and served[
        2
    ].at_ms == pytest.approx(attempts[2].at_ms + 10)
    assert [r.attempt_id for r in stage.records_of(AttemptExecuted)] == [2, 3] and not stage.records_of(
        AttemptDropped, MalformedMessage
    )


def test_responses_when_pipelined_keep_their_order_within_the_bound():
    async def body(stage):
        peer = await stage.connect("s0")
        lines = [stage.memcache_request(work=work)[1] for work in (30, 1)] + [b"mn\r\n"]
        lines += [stage.memcache_request(work=0.1)[1] for _ in range(300)] + [b"mn\r\n" * 3000]
        peer.transport.write(b"".join(lines))
        await asyncio.sleep(0.02)
        # The second request has been executed by now, but its response has to wait for the first one.
        assert peer.received == b""
        await asyncio.sleep(1)
        assert peer.received.startswith(b"EN Ou1\r\nEN Ou2\r\nMN\r\nEN Ou3\r\n") and peer.received.endswith(
            b"MN\r\n" * 3000
        )

    stage = run_with_servers(body, cores=2, queue_per_core=500)
    attempts, served = stage.records_of(AttemptReceived), stage.records_of(AttemptServed)
    assert [x.attempt_id for x in served] == list(range(1, 303)) and len({a.at_ms for a in attempts}) == 1
    assert served[0].at_ms == served[1].at_ms == pytest.approx(attempts[0].at_ms + 30)


@pytest.mark.parametrize("end", ["close", "write_eof", "reset"])
def test_attempts_when_the_node_gives_up_are_dropped_and_waiting_ones_stop(end):
    async def body(stage):
        stage.servers[0].model.store.put(0, "a")
        peer, other = await stage.connect("s0"), await stage.connect("s0")
        peer.transport.write(stage.memcache_request()[1] + stage.memcache_request(key="b")[1])
        await asyncio.sleep(0.005)
        getattr(peer.transport, end)()
        other.transport.write(stage.memcache_request(key="c")[1])
        await asyncio.sleep(0.1)
        assert other.received == b"EN Ou3\r\n" and peer.received == b""

    stage = run_with_servers(body)
    assert [d.request_id for d in stage.records_of(AttemptDropped)] == ["u1", "u2"]
    # u1 was executed, although nobody received its response.
    assert [r.request_id for r in stage.records_of(AttemptExecuted)] == ["u1"]
    assert stage.outcomes() == {"u3": "miss"}


def test_faults_when_a_server_crashes_and_restarts_persist():
    async def body(stage):
        old, new = stage.servers
        old.model.store.put(0, "a")
        old.model.faults.slowdown = 2.0
        peer = await stage.connect("s0")
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.005)
        old.stop()
        old.stop()
        await asyncio.sleep(0.1)
        assert peer.ended == "ConnectionResetError" and not old.up
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("s0")
        new.stop(StopReason.REMOVED)
        await new.start(cold=True, at_address_of="s0")
        peer = await stage.connect("s0")
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.3)
        assert peer.received == b"EN Ou2\r\n" and new.started_at == pytest.approx(107, abs=2)
        with pytest.raises(OSError, match="attempting to bind"):  # the address is in use
            await old.start(cold=True)
        assert not old.up
        new.stop()
        await old.start(cold=False)
        assert old.model.faults.slowdown == 2.0 and old.model.store.has(0, "a") is False

    stage = run_with_servers(body)
    states = [
        (s.server, s.state, s.warm_up_ms)
        for s in stage.records_of(ServerStateChanged)
        if s.server != "origin"
    ]
    assert states[2:5] == [("s0", "stopped", 0), ("s1", "gone", 0), ("s1", "started", 9000)]
    assert [d.request_id for d in stage.records_of(AttemptDropped)] == ["u1"] and not stage.records_of(
        AttemptExecuted
    )


def test_a_server_when_overloaded_crashes_and_stays_down():
    async def body(stage):
        server = stage.servers[0]
        server.stop()
        await server.start(cold=True)
        peer = await stage.connect("s0")
        peer.transport.write(b"".join(stage.memcache_request(work=1000)[1] for _ in range(5)))
        await asyncio.sleep(1)
        assert peer.ended == "ConnectionResetError" and not server.up

    stage = run_with_servers(body)  # the limit is 3 x 0.32 x 2 cores x 1500 ms = 2880 work-ms
    assert (
        len(stage.records_of(AttemptReceived)) == 3
        and stage.records_of(ServerStateChanged)[-1].state == "fallen"
    )


def test_requests_when_draining_are_rejected_and_the_first_waits_for_the_handshake():
    async def body(stage):
        peer = await stage.connect("s0")
        await asyncio.sleep(0.1)
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.05)
        stage.servers[0].drain()
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.05)
        assert peer.received == b"EN Ou1\r\nSERVER_ERROR busy\r\n"

    stage = run_with_servers(body, handshake_ms=20.0)
    assert stage.records_of(AttemptServed)[0].at_ms - stage.records_of(AttemptReceived)[
        0
    ].at_ms == pytest.approx(30)
    assert stage.outcomes()["u2"] == "busy"


def test_connections_when_too_many_idle_or_stale_are_ended():
    async def body(stage):
        first, second = await stage.connect("s0"), await stage.connect("s0")
        await asyncio.sleep(0.5)
        assert (first.ended, second.ended) == ("", "ConnectionResetError")
        first.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.9)
        assert first.ended == "" and first.received
        await asyncio.sleep(0.2)
        assert first.ended == "eof"
        for silent in (False, True):
            faults = stage.servers[0].model.faults
            faults.stale_after_ms = 300.0
            faults.stale_unresponsive = silent
            peer = await stage.connect("s0")
            await asyncio.sleep(0.4)
            peer.transport.write(stage.memcache_request()[1])
            await asyncio.sleep(2)
            assert peer.ended == ("" if silent else "ConnectionResetError") and peer.received == b""
            peer.transport.close()
            await asyncio.sleep(0.1)

    stage = run_with_servers(body, connections=1, idle_s=1.0)
    assert len(stage.records_of(AttemptReceived)) == 1 and not stage.records_of(AttemptDropped)


@pytest.mark.parametrize(
    ("kind", "outcome", "ends"), [("lost", "value", ""), ("reset", None, "ConnectionResetError")]
)
def test_a_request_when_its_response_is_lost_or_reset_is_executed(kind, outcome, ends):
    async def body(stage):
        setattr(stage.servers[0].model.faults, f"{kind}_fraction", 1.0)
        stage.servers[0].model.store.put(0, "a")
        peer = await stage.connect("s0")
        peer.transport.write(stage.memcache_request()[1])
        await asyncio.sleep(0.1)
        assert (peer.received, peer.ended) == (b"", ends)

    stage = run_with_servers(body)
    assert stage.outcomes().get("u1") == outcome and len(stage.records_of(AttemptExecuted)) == 1
    assert [served.lost for served in stage.records_of(AttemptServed)] == [True] * (kind == "lost")


def test_a_request_when_it_differs_from_the_clients_is_recorded_and_rejected():
    async def body(stage):
        peer = await stage.connect("s0")
        good = stage.memcache_request(write=True, idempotency_key="i")[1]
        bad = (good.replace(b"Ou1", b"Ou9"), good.replace(b"k=i", b"k=j"), good.replace(b"ms a", b"ms b"))
        wrong = (
            stage.memcache_request(extra=",t=other")[1],
            good.replace(b"c=put", b"c=read"),
            b"ms a 5 v\r\n",
        )
        peer.transport.write(b"".join(bad + wrong))
        await asyncio.sleep(0.1)
        assert peer.received.count(b"CLIENT_ERROR") == 6 and peer.ended == "eof"
        for text in (
            stage.http_request()[1].replace(b"GET", b"POST"),
            b"\x00\r\n\r\n",
            stage.http_request()[1].replace(b"/a", b"/b"),
        ):
            http = await stage.connect("origin")
            http.transport.write(text)
            await asyncio.sleep(0.1)
            assert http.received.startswith(b"HTTP/1.1 400") and http.ended == "eof"

    stage = run_with_servers(body)
    assert len(stage.records_of(MalformedMessage)) == 9 and not stage.records_of(AttemptReceived)


def test_the_log_when_run_twice_with_one_seed_is_the_same():
    async def body(stage):
        rng = random.Random(5)
        for server in stage.servers:
            faults = server.model.faults
            faults.error_fraction = faults.corrupted_fraction = faults.lost_fraction = 0.1
        for _ in range(60):
            peer = await stage.connect(rng.choice(("s0", "s1")))
            peer.transport.write(
                b"".join(stage.memcache_request(key=rng.choice("abc"), work=9)[1] for _ in range(6))
            )
            await asyncio.sleep(0.02)

    random_kind = {
        "speed_cv": 0.5,
        "error_rate": 0.1,
        "pause_every_s": 0.2,
        "pause_ms": (1.0, 30.0),
        "speed": (1.0, 2.0),
    }
    digests = [run_with_servers(body, seed=seed, **random_kind).log.digest() for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]
