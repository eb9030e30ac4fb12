"""What the tests of the lab's servers share: their models, and two servers on a virtual network."""

import asyncio
import random
from typing import TypeVar

from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import AttemptServed
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth, RequestFacts
from flintridge.lab.virtual import Network, VirtualLoop
from flintridge.lab.world.cache_connection import CacheConnection
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.cache_job import Job
from flintridge.lab.world.cache_model import CacheModel, Machine
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.environment import Environment
from flintridge.lab.world.fleet_plan import ServerPlan
from flintridge.lab.world.link_table import LinkTable
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.origin_connection import OriginConnection
from flintridge.lab.world.origin_host import OriginHost

R = TypeVar("R")


KIND = m.Kind(name="box", handshake_ms=0.0, miss_work=1.0)


KEYED = m.RequestClass(name="put", effect="keyed", deduplication_window_ms=2000.0, write=True)


SCENE = m.Scenario(
    kinds=(KIND,),
    classes=(m.RequestClass(name="read"), KEYED),
    links=m.Links(jitter=0.0, same_ms=1.0),
    origin=m.Origin(slots=1, sigma=0.0, read_ms=50.0, write_times=2.0, queue_s=0.12),
)


def cache(kind: m.Kind = KIND, cold: bool = False, rules: m.Rules = SCENE.rules, seed: int = 1) -> CacheModel:
    store = CacheStore(Objects(SCENE, Seeds(1)), 1.0, 0.0)
    rng = random.Random(seed)
    return CacheModel(kind, Machine(kind, rng), rules, store, rng, 0.0, cold)


def kind(**changes) -> m.Kind:
    return m.Kind(**{"name": "box", "cores": 1, "miss_work": 1.0, "crowd": 0.0} | changes)


def job(work: float = 10.0, expires_at: float = 1e9, key: str = "a") -> Job:
    return Job(key, False, work, expires_at)


def ends(model: CacheModel, until: float = 1e6) -> list[tuple[float, Job]]:
    """All that ends, with the instants, by calls at `due` alone."""
    found, calls = [], 0
    while (due := model.due()) is not None and due <= until:
        found += [(due, one) for one in model.advance(due)]
        calls += 1
        assert calls < 10_000
    return found


class ClientProtocol(asyncio.Protocol):
    """A node's end of a connection."""

    def __init__(self) -> None:
        self.received, self.ended = b"", ""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.ended = "eof"

    def connection_lost(self, error):
        self.ended = type(error).__name__ if error else self.ended


class ServerHarness:
    """Cache servers s0 and s1, an origin, and node n0 as mere connections."""

    def __init__(self, loop: VirtualLoop, scene: m.Scenario, links: LinkTable, seed: int) -> None:
        seeds = Seeds(seed)
        self.fabric = VirtualFabric(loop, links, loop.time())
        self.log, self.truth, self.objects = RecordLog(), GroundTruth(), Objects(scene, seeds)
        environment = Environment(self.fabric, self.log, self.truth, self.objects, scene, seeds, ["n0"])
        plans = [ServerPlan(name, name, scene.kinds[0], "a", 0, 1.0) for name in ("s0", "s1")]
        self.servers = [CacheHost(plan, environment, CacheConnection) for plan in plans]
        self.origin = OriginHost(environment, OriginConnection)
        self.number = 0

    async def open(self) -> None:
        for server in self.servers:
            await server.start(cold=False)
        await self.origin.start()

    async def connect(self, party: str) -> ClientProtocol:
        loop, node = asyncio.get_running_loop(), self.fabric.network.host("n0")
        _, peer = await node.run(loop.create_connection(ClientProtocol, *self.fabric.address(party, "n0")))
        return peer

    def ask(self, key="a", work=10.0, idem="", write=False, wait=1000, extra="", cls="") -> tuple[str, bytes]:
        """A new request and its bytes to a cache server."""
        self.number += 1
        uid, cls = f"u{self.number}", cls or ("put" if write else "read")
        self.truth.put(uid, RequestFacts(cls, "", key, write, work, 5, idem))
        said = f"c={cls},d={wait}" + (f",k={idem}" if idem else "") + extra
        if write:
            return uid, f"ms {key} 5 O{uid} P{said}\r\nhello\r\n".encode()
        return uid, f"mg {key} v O{uid} P{said}\r\n".encode()

    def http(self, **about) -> tuple[str, bytes]:
        uid, line = self.ask(**about)
        key, said = about.get("key", "a"), line.split(b"\r\n")[0].split(b" P")[1].decode()
        write = about.get("write", False)
        method = "PUT" if write else "GET"
        head = f"{method} /{key} HTTP/1.1\r\nHost: o\r\nReq-Id: {uid}\r\nReq-Extra: {said}\r\n"
        return uid, (head + ("Content-Length: 5\r\n\r\nhello" if write else "\r\n")).encode()

    def seen(self, *kinds: type[R]) -> list[R]:
        return [record for record in self.log if isinstance(record, kinds)]

    def made(self) -> dict[str, str]:
        return {record.request_id: record.outcome for record in self.seen(AttemptServed)}


def run_with_servers(body, scene: m.Scenario = SCENE, seed: int = 1, **box) -> ServerHarness:
    """Run `body(stage)`; `box` changes the kind of cache servers."""
    if box:
        scene = m.Scenario(
            kinds=(kind(**{"handshake_ms": 0.0} | box),),
            classes=scene.classes,
            links=scene.links,
            origin=scene.origin,
        )
    links = LinkTable(scene.links, Seeds(seed))
    for party in ("n0", "s0", "s1", "origin"):
        links.place(party, "a")
    loop = VirtualLoop(Network(links.link))
    stage = ServerHarness(loop, scene, links, seed)

    async def whole():
        await stage.open()
        await body(stage)

    loop.run(whole())
    return stage
