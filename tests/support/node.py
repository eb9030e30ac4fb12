"""A whole node towards a scripted discovery, its clock set by hand."""

import asyncio

import orjson

from flintridge import api
from flintridge.api import EndpointState
from flintridge.config.address import Address
from flintridge.config.node_config import NodeConfig
from flintridge.node import Node
from support.network import ManualClock, ScriptedServer, log_and_counters


def endpoint_list(revision: int, **phases: str) -> dict:
    """Discovery's list, by ids and phases."""
    members = [
        {"id": id_, "host_port": "127.0.0.1:1", "flavor": "box", "phase": phase}
        for id_, phase in phases.items()
    ]
    return {"revision": revision, "complete": True, "members": members}


def json_response(body: object) -> bytes:
    text = orjson.dumps(body)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


class NodeHarness:
    """A whole node, its clock set by hand, towards a scripted discovery."""

    def __init__(
        self, discovery: ScriptedServer, known: dict, settings: api.Settings, kinds=(), seed=1
    ) -> None:
        self.clock = ManualClock()
        listen, asked = Address("127.0.0.1", 0), Address("127.0.0.1", discovery.port)
        config = NodeConfig("n1", listen, asked, seed, settings, kinds=kinds, known=known)
        self.node = Node(config, self.clock, *log_and_counters())

    def state(self, server: str) -> EndpointState | None:
        known = self.node.core.policy_driver.policy.servers.get(server)
        return known and known.endpoint.state

    async def advance_until(self, true, limit: float) -> None:
        """Let the time of the node go on in small steps, up to `limit` ms."""
        for _ in range(int(limit / 50)):
            if true():
                return
            self.clock.advance(50)
            for _ in range(5):
                await asyncio.sleep(0.001)
        assert true(), "it never came to hold"
