"""Discovery in virtual time."""

import asyncio

import orjson
import pytest
from support.lab_fleet import run_with_fleet

from flintridge.lab.records import (
    EndpointNotified,
    MalformedMessage,
)
from flintridge.lab.scenario import model as m
from flintridge.lab.world.discovery_call import ListCall, MalformedCallError, read_target


def test_a_node_when_it_watches_is_notified_by_http():
    async def test(one):
        status, body = await one.call("n0")
        whole = orjson.loads(body)
        members = {entry["id"]: entry for entry in whole["members"]}
        assert status == 200 and whole["complete"] and len(members) == 7
        assert whole == one.world.node_config("n0")["known"] and members["origin"]["flavor"] == "origin"
        hosts = {entry["host_port"] for entry in members.values()}
        assert hosts.isdisjoint(e["host_port"] for e in one.world.discovery.list_for("n1")["members"])
        victim = next(iter(one.world.servers))
        target = f"/api/targets?after={whole['revision']}&wait_ms=20000"
        waiting = asyncio.ensure_future(one.call("n1", target))
        await asyncio.sleep(1)
        at = one.clock.now()
        one.world.drain(victim)
        status, body = await waiting
        told = orjson.loads(body)
        assert not told["complete"] and [e["phase"] for e in told["members"]] == ["terminating"]
        [record] = one.of(EndpointNotified, complete=False)
        assert record.endpoints == [(victim, "terminating", 0.0)] and not record.assumed
        assert at + 200 <= record.at_ms < at + 220 and record.node == "n1"
        # n0 asked once and for nothing since: it counts as told ten seconds after the change was listed.
        await asyncio.sleep(11)
        [assumed] = one.of(EndpointNotified, assumed=True)
        assert assumed.node == "n0" and at + 10_200 <= assumed.at_ms <= at + 10_301

    run_with_fleet(test)


def test_a_call_when_malformed_is_recorded_and_rejected():
    async def test(one):
        for target, method in (("/", "GET"), ("/api/targets?after=x", "GET"), ("/api/targets", "PUT")):
            assert (await one.call("n0", target, method=method))[0] == 400
        assert [r.node for r in one.of(MalformedMessage, server="discovery")] == ["n0"] * 3

    run_with_fleet(test)
    assert read_target("/api/targets?after=41&wait_ms=20000") == ListCall(41, 20000.0)
    for bad in ("/api/targets?after=-1", "/api/targets?wait=1", "/api/targets?after=9" + "9" * 20, "//x"):
        with pytest.raises(MalformedCallError):
            read_target(bad)


@pytest.mark.parametrize("how", ["refuses", "errors", "silent", "garbage"])
def test_discovery_when_down_ends_calls_and_comes_back(how):
    async def test(one):
        one.play()
        target = f"/api/targets?after={one.world.discovery.model.endpoints.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(one.call("n0", target))
        await one.clock.sleep_until(2000)
        call = asyncio.ensure_future(one.call("n1"))
        await one.clock.sleep_until(2900)
        if how == "silent":
            assert not watch.done() and not call.done()
        await one.clock.sleep_until(3100)
        ends = await asyncio.gather(watch, call, return_exceptions=True)
        if how in ("errors", "garbage"):
            assert [end[0] for end in ends] == [503 if how == "errors" else 200] * 2
            assert not any(end[1].startswith(b'{"revision":10') for end in ends)
        else:
            assert all(isinstance(end, (OSError, EOFError)) for end in ends)
        assert not [r for r in one.of(EndpointNotified) if r.at_ms > 0]
        assert (await one.call("n1"))[0] == 200

    run_with_fleet(test, m.DiscoveryDown(at_s=1.0, for_s=2.0, how=how))


def test_a_node_when_reloaded_finds_discovery_at_another_address():
    async def test(one):
        old = one.world.discovery.address("n0")
        one.play()
        target = f"/api/targets?after={one.world.discovery.model.endpoints.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(one.call("n0", target, old))
        await one.clock.sleep_until(2400)
        assert not watch.done()
        with pytest.raises(ConnectionRefusedError):
            await one.call("n0", address=old)
        assert (await one.call("n0"))[0] == 200 and one.world.discovery.address("n0") != old
        await one.clock.sleep_until(2600)
        assert isinstance(watch.exception(), EOFError)
        await one.clock.sleep_until(6000)
        assert one.world.discovery.address("n0") == old and (await one.call("n0", address=old))[0] == 200
        assert [said[2] for said in one.runner.calls if said[1].startswith("hup")] == ["n0", "n0"]

    run_with_fleet(test, m.Reload(at_s=1.0, nodes=(0,)), m.Reload(at_s=5.0, nodes=(0,)))
