"""Connections to the origin in virtual time."""

import asyncio

import pytest
from support.lab_world import SCENARIO, run_with_servers

from flintridge.lab.records import (
    AttemptDropped,
    AttemptExecuted,
    ServerStateChanged,
)
from flintridge.lab.scenario import model as m


def test_keyed_writes_when_repeated_at_the_origin_take_effect_once():
    async def body(stage):
        stage.servers[0].model.store.put(0, "a")
        peers = [await stage.connect("origin") for _ in range(6)]
        lines = [stage.http_request(write=True, idempotency_key="i")[1] for _ in range(2)]
        lines += [stage.http_request(write=True, idempotency_key=f"j{i}")[1] for i in range(4)]
        for peer, line in zip(peers, lines, strict=True):
            peer.transport.write(line)
        await asyncio.sleep(0.01)
        peers[2].transport.close()  # the origin still completes its request
        await asyncio.sleep(1)
        assert peers[0].received.endswith(b"w1.u1") and peers[1].received.endswith(b"w1.u1")
        assert b"503" in peers[4].received and b"Srv-Declined: 1" in peers[4].received
        assert not stage.servers[0].model.store.has(0, "a") and stage.objects.version("a") == 4
        # With a request id, the path of the load report is an ordinary key.
        peers[0].transport.write(stage.http_request(key="-/load")[1])
        await asyncio.sleep(0.2)
        assert peers[0].received.count(b"200") == 2

    stage = run_with_servers(body)
    assert [(r.request_id, r.is_repeat) for r in stage.records_of(AttemptExecuted)] == [
        ("u1", False), ("u2", True), ("u3", False), ("u4", False), ("u7", False),
    ]  # fmt: skip
    assert [d.request_id for d in stage.records_of(AttemptDropped)] == ["u3"]
    assert stage.outcomes() == dict.fromkeys(("u1", "u2", "u4"), "receipt") | {
        "u5": "busy",
        "u6": "busy",
        "u7": "value",
    }


def test_the_origin_when_silent_or_refusing_comes_back():
    async def body(stage):
        peer = await stage.connect("origin")
        stage.origin.model.down = "silent"
        peer.transport.write(stage.http_request()[1])
        await asyncio.sleep(9)
        assert (peer.received, peer.ended) == (b"", "")
        stage.origin.model.down = "refuses"
        await asyncio.sleep(0.1)
        assert peer.ended == "ConnectionResetError"
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("origin")
        stage.origin.model.down = ""
        await asyncio.sleep(0.1)
        peer = await stage.connect("origin")
        peer.transport.write(b"GET /-/healthy HTTP/1.1\r\nHost: o\r\n\r\n" + stage.http_request()[1])
        await asyncio.sleep(0.1)
        assert peer.received.count(b"HTTP/1.1 200") == 2

    stage = run_with_servers(body)
    assert [s.state for s in stage.records_of(ServerStateChanged) if s.server == "origin"] == [
        "started",
        "stopped",
        "back",
    ]


def test_the_origin_when_overloaded_crashes_and_recovers():
    async def body(stage):
        peers = [await stage.connect("origin") for _ in range(4)]
        for peer in peers:
            peer.transport.write(stage.http_request(write=True, idempotency_key="i")[1])
        await asyncio.sleep(0.5)
        assert [peer.ended for peer in peers] == ["ConnectionResetError"] * 4
        stage.origin.model.down = "refuses"
        stage.origin.model.down = ""  # still down because of the crash
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("origin")
        await asyncio.sleep(0.6)
        peer = await stage.connect("origin")
        peer.transport.write(stage.http_request(write=True, idempotency_key="i")[1])
        await asyncio.sleep(0.2)
        assert peer.received.endswith(b"w1.u5")

    small_origin = m.Origin(slots=1, sigma=0.0, read_ms=100.0, fall_multiple=1.0, fall_ms=500.0, down_s=1.0)
    stage = run_with_servers(
        body,
        m.Scenario(kinds=SCENARIO.kinds, classes=SCENARIO.classes, links=SCENARIO.links, origin=small_origin),
    )
    assert [s.state for s in stage.records_of(ServerStateChanged) if s.server == "origin"] == [
        "started",
        "fallen",
        "back",
    ]
    assert [(r.request_id, r.is_repeat) for r in stage.records_of(AttemptExecuted)] == [
        ("u5", False)
    ] and len(stage.records_of(AttemptDropped)) == 4
