"""Holds at a node that starts: they reach the policy before the node answers `mn`."""

import asyncio

import orjson
from support.network import ManualClock, log_and_counters

from flintridge.config.address import Address
from flintridge.config.node_config import PeersConfig, StateConfig
from flintridge.membership.driver import MembershipDriver
from flintridge.replication.driver import ReplicationDriver

HOLD = {"type": "hold", "name": "s1", "by": "ann", "why": "disk", "body": {"held": True}}


def make_driver(name: str, clock: ManualClock, taken_out: list[frozenset[str]]) -> ReplicationDriver:
    """Create the driver of a node's replica, without a network."""
    log, counters = log_and_counters()
    peers = PeersConfig(Address("127.0.0.1", 0), (("a", Address("127.0.0.1", 1)),), "fleet")
    membership = MembershipDriver(name, peers, clock, log, counters, bytes)
    return ReplicationDriver(StateConfig(), membership, clock, log, counters, bytes, taken_out.append)


def test_holds_when_the_replica_has_synchronized_are_applied_before_the_node_is_ready(monkeypatch):
    """Guards against `MN` up to 50 ms before the policy knows which servers are held out of service."""

    async def test():
        clock = ManualClock()
        source, taken_out = make_driver("a", clock, []), []
        source.replica.mark_synchronized()
        source.routes()[b"/admin/state"][b"POST"].call(b"", orjson.dumps(HOLD))
        node = make_driver("b", clock, taken_out)

        async def exchange(_name: str, _topic: str, query: bytes) -> list[bytes]:
            return list(source._respond(query))

        monkeypatch.setattr(node._membership, "exchange", exchange)
        assert not node.is_synchronized()
        await node._compare(source.replica.writer)  # no timer has run since
        assert node.is_synchronized()
        assert taken_out == [{"s1"}]

    asyncio.run(test())
