"""Endings, each with what crosses it forced: docs/endings.md lists them.

Steps are ordered by events and by the set clock. Where a test runs on real sockets the other end is scripted:
it holds, resets, half-closes or is silent on command.
"""

import asyncio

import orjson
import pytest
from net_helpers import HandClock, Peer, quiet, until

from flintridge import api
from flintridge.api import MemberState
from flintridge.lab import virtual
from flintridge.net.clock import NS
from flintridge.net.transport_map import LIST_TIME
from flintridge.node import Node
from flintridge.settings import Address, NodeConfig

SILENCE = 6_000.0  # what a silent watch misses counts as told so long after it fell silent


@pytest.fixture(params=["sockets", "virtual"])
def play(request):
    """Runs a test on real sockets, or in virtual time: the drivers must not know the one from the other."""
    run = asyncio.run if request.param == "sockets" else virtual.run
    return lambda test: run(test())


def whole(revision: int, **phases: str) -> dict:
    """Discovery's list, by ids and phases."""
    members = [
        {"id": id_, "host_port": "127.0.0.1:1", "flavor": "box", "phase": phase}
        for id_, phase in phases.items()
    ]
    return {"revision": revision, "complete": True, "members": members}


def http(body: object) -> bytes:
    text = orjson.dumps(body)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text)


class Alone:
    """A whole node, its clock set by hand, towards a scripted discovery."""

    def __init__(self, discovery: Peer, known: dict, settings: api.Settings) -> None:
        self.clock = HandClock()
        config = NodeConfig(
            "n1", Address("127.0.0.1", 0), Address("127.0.0.1", discovery.port), 1, settings, known=known
        )
        self.node = Node(config, self.clock, *quiet())

    def state(self, server: str) -> MemberState | None:
        known = self.node.core._module.servers.get(server)
        return known and known.member.state

    async def pass_until(self, true, limit: float) -> None:
        """Let the time of the node go on in small steps, up to `limit` ms."""
        for _ in range(int(limit / 50)):
            if true():
                return
            self.clock.go(50)
            for _ in range(5):
                await asyncio.sleep(0.001)
        assert true(), "it never came to hold"


# Discovery


@pytest.mark.parametrize("grace", [2_000, 1_200, 800])
def test_a_silent_watch_does_not_outlast_the_grace_of_a_drain_that_it_misses(play, grace):
    """Found by the brink days: asked anew together, three of six nodes had the list 0.1 s after the grace."""

    async def test():
        rules = api.Rules(drain_grace_ns=grace * NS)
        settings = api.Settings(rules=rules, discovery=api.Discovery.ON_REQUEST)
        async with Peer(lambda _: b"") as discovery:
            alone = Alone(discovery, whole(1, s1="in_service"), settings)
            clock = alone.clock
            await alone.node.start()
            await until(lambda: len(discovery.got) == 1)
            silent_at = clock.now()
            clock.go(400)  # the answer was on its way when the link fell silent
            discovery.writers[0].write(http({"revision": 1, "complete": False, "members": []}))
            await alone.pass_until(lambda: len(discovery.got) == 2, 200)  # the call that nobody answers
            await alone.pass_until(lambda: len(discovery.got) == 3, 9_000)
            clock.go(LIST_TIME - 100)  # discovery has many to answer
            discovery.writers[-1].write(http(whole(2, s1="terminating")))
            await until(lambda: alone.state("s1") is MemberState.DRAINING)
            assert clock.now() <= silent_at + SILENCE + grace
            await alone.node.close()

    play(test)


def test_pushed_lists_are_watched_and_an_old_one_is_not_gone_by_first(play):
    """Found by another customer's settings: where lists are pushed no node asked for any."""

    async def test():
        settings = api.Settings(discovery=api.Discovery.PUSHED)
        async with Peer(lambda _: b"") as discovery:
            alone = Alone(discovery, whole(1, s1="in_service", s2="in_service"), settings)
            await alone.node.start()
            await until(lambda: discovery.got)
            assert discovery.got[0].startswith(b"GET /api/targets HTTP/1.1\r\n")
            assert alone.state("s1") is None and not alone.node.side.serving
            discovery.writers[0].write(http(whole(7, s1="terminating", s2="in_service")))
            await until(lambda: alone.state("s1") is MemberState.DRAINING)
            assert alone.state("s2") is MemberState.READY and alone.node.side.serving
            await alone.pass_until(lambda: len(discovery.got) == 2, 200)
            assert b"after=7&wait_ms=" in discovery.got[1]
            await alone.node.close()

    play(test)


def test_without_discovery_a_node_goes_by_the_list_it_had_and_asks_on(play):
    async def test():
        settings = api.Settings(discovery=api.Discovery.PUSHED)
        async with Peer(lambda _: None) as discovery:
            alone = Alone(discovery, whole(1, s1="in_service"), settings)
            await alone.node.start()
            await until(lambda: alone.state("s1") is MemberState.READY)
            assert alone.node.side.serving
            await alone.pass_until(lambda: len(discovery.got) == 2, 1_000)
            await alone.node.close()

    play(test)
