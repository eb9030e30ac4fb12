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
    async def test(fleet):
        status, body = await fleet.request("n0")
        complete_list = orjson.loads(body)
        members = {entry["id"]: entry for entry in complete_list["members"]}
        assert status == 200 and complete_list["complete"] and len(members) == 7
        assert (
            complete_list == fleet.world.node_config("n0")["known"]
            and members["origin"]["flavor"] == "origin"
        )
        hosts = {entry["host_port"] for entry in members.values()}
        assert hosts.isdisjoint(e["host_port"] for e in fleet.world.discovery.list_for("n1")["members"])
        victim = next(iter(fleet.world.servers))
        target = f"/api/targets?after={complete_list['revision']}&wait_ms=20000"
        waiting = asyncio.ensure_future(fleet.request("n1", target))
        await asyncio.sleep(1)
        at = fleet.clock.now()
        fleet.world.drain(victim)
        status, body = await waiting
        change = orjson.loads(body)
        assert not change["complete"] and [e["phase"] for e in change["members"]] == ["terminating"]
        [record] = fleet.records_of(EndpointNotified, complete=False)
        assert record.endpoints == [(victim, "terminating", 0.0)] and not record.assumed
        assert at + 200 <= record.at_ms < at + 220 and record.node == "n1"
        # n0 made one call and none since: it counts as notified ten seconds after the change was listed.
        await asyncio.sleep(11)
        [assumed] = fleet.records_of(EndpointNotified, assumed=True)
        assert assumed.node == "n0" and at + 10_200 <= assumed.at_ms <= at + 10_301

    run_with_fleet(test)


def test_a_call_when_malformed_is_recorded_and_rejected():
    async def test(fleet):
        for target, method in (("/", "GET"), ("/api/targets?after=x", "GET"), ("/api/targets", "PUT")):
            assert (await fleet.request("n0", target, method=method))[0] == 400
        assert [r.node for r in fleet.records_of(MalformedMessage, server="discovery")] == ["n0"] * 3

    run_with_fleet(test)
    assert read_target("/api/targets?after=41&wait_ms=20000") == ListCall(41, 20000.0)
    for bad in ("/api/targets?after=-1", "/api/targets?wait=1", "/api/targets?after=9" + "9" * 20, "//x"):
        with pytest.raises(MalformedCallError):
            read_target(bad)


@pytest.mark.parametrize("how", ["refuses", "errors", "silent", "garbage"])
def test_discovery_when_down_ends_calls_and_comes_back(how):
    async def test(fleet):
        fleet.start_timeline()
        target = f"/api/targets?after={fleet.world.discovery.model.endpoints.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(fleet.request("n0", target))
        await fleet.clock.sleep_until(2000)
        call = asyncio.ensure_future(fleet.request("n1"))
        await fleet.clock.sleep_until(2900)
        if how == "silent":
            assert not watch.done() and not call.done()
        await fleet.clock.sleep_until(3100)
        ends = await asyncio.gather(watch, call, return_exceptions=True)
        if how in ("errors", "garbage"):
            assert [end[0] for end in ends] == [503 if how == "errors" else 200] * 2
            assert not any(end[1].startswith(b'{"revision":10') for end in ends)
        else:
            assert all(isinstance(end, (OSError, EOFError)) for end in ends)
        assert not [r for r in fleet.records_of(EndpointNotified) if r.at_ms > 0]
        assert (await fleet.request("n1"))[0] == 200

    run_with_fleet(test, m.DiscoveryDown(at_s=1.0, for_s=2.0, how=how))


def test_a_node_when_reloaded_finds_discovery_at_another_address():
    async def test(fleet):
        old = fleet.world.discovery.address("n0")
        fleet.start_timeline()
        target = f"/api/targets?after={fleet.world.discovery.model.endpoints.revision}&wait_ms=20000"
        watch = asyncio.ensure_future(fleet.request("n0", target, old))
        await fleet.clock.sleep_until(2400)
        assert not watch.done()
        with pytest.raises(ConnectionRefusedError):
            await fleet.request("n0", address=old)
        assert (await fleet.request("n0"))[0] == 200 and fleet.world.discovery.address("n0") != old
        await fleet.clock.sleep_until(2600)
        assert isinstance(watch.exception(), EOFError)
        await fleet.clock.sleep_until(6000)
        assert (
            fleet.world.discovery.address("n0") == old and (await fleet.request("n0", address=old))[0] == 200
        )
        assert [recorded[2] for recorded in fleet.runner.calls if recorded[1].startswith("hup")] == [
            "n0",
            "n0",
        ]

    run_with_fleet(test, m.Reload(at_s=1.0, nodes=(0,)), m.Reload(at_s=5.0, nodes=(0,)))
