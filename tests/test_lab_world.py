"""The lab's servers: models by a clock set by hand, then over the virtual network, byte for byte."""

import asyncio
import random
from itertools import pairwise
from typing import TypeVar

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.records import (
    AttemptDropped,
    AttemptExecuted,
    AttemptReceived,
    AttemptServed,
    MalformedMessage,
    RecordLog,
    ServerStateChanged,
    body_digest,
)
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth, RequestFacts
from flintridge.lab.virtual import Network, VirtualLoop
from flintridge.lab.world import spoil
from flintridge.lab.world.cache import CacheModel, Job, Machine
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.commands import BAD, CommandReader
from flintridge.lab.world.links import LinkTable
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.origin import OriginJob, OriginModel
from flintridge.lab.world.origin_host import OriginHost
from flintridge.lab.world.store import Store

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
    store = Store(Objects(SCENE, Seeds(1)), 1.0, 0.0)
    rng = random.Random(seed)
    return CacheModel(kind, Machine(kind, rng), rules, store, rng, 0.0, cold)


def kind(**changes) -> m.Kind:
    return m.Kind(**{"name": "box", "cores": 1, "miss_work": 1.0, "crowd": 0.0} | changes)


def job(work: float = 10.0, over_at: float = 1e9, key: str = "a") -> Job:
    return Job(key, False, work, over_at)


def ends(model: CacheModel, until: float = 1e6) -> list[tuple[float, Job]]:
    """All that ends, with the instants, by calls at `due` alone."""
    found, calls = [], 0
    while (due := model.due()) is not None and due <= until:
        found += [(due, one) for one in model.advance(due)]
        calls += 1
        assert calls < 10_000
    return found


# The model of a cache server


@FIXED
@given(
    st.lists(st.tuples(st.floats(0, 50), st.floats(0, 60), st.floats(1, 300)), max_size=25),
    st.integers(1, 3),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from([0.0, 0.05]),
)
def test_how_often_a_model_is_looked_at_changes_nothing(arrivals, cores, slots, cold, pauses):
    spec = kind(
        cores=cores, slots_per_core=slots, crowd=0.2, crowd_at=2, cold_s=0.2, pause_every_s=pauses, pause_ms=7
    )
    told = []
    for look_at in ((), (0.0, 0.3, 1.1)):
        model, now, jobs = cache(spec, cold), 0.0, []
        for gap, work, patience in arrivals:
            for step in look_at:
                model.advance(now + gap * step / 2)
            now += gap
            jobs.append(job(work, now + patience))
            model.offer(now, jobs[-1])
        ends(model, 1e7)
        assert model.inflight == 0
        told.append([(one.outcome, one.state) for one in jobs])
    assert told[0] == told[1]
    assert all(outcome in ("miss", "busy") for outcome, _ in told[0])


@FIXED
@given(st.floats(0.05, 1), st.floats(0.01, 5), st.floats(0.1, 5000), st.floats(0, 6000))
def test_a_cold_server_does_as_much_as_the_ramp_under_its_time(cold_from, cold_s, work, begin):
    model = cache(kind(cold_from=cold_from, cold_s=cold_s), cold=True)
    model.offer(begin, job(work))
    [(at, _)] = ends(model)

    def whole(t: float) -> float:
        cold = min(t, cold_s * 1000)
        return cold * (cold_from + (1 - cold_from) * cold / (cold_s * 2000)) + t - cold

    assert whole(at) - whole(begin) == pytest.approx(work, rel=1e-6)
    assert model.capacity(0) == pytest.approx(cold_from * model.warm_capacity)


def test_running_jobs_share_cores_and_knobs_count_from_when_they_are_turned():
    model = cache(kind(cores=2, slots_per_core=2, speed=2.0, queue_per_core=0))
    jobs = [job(40.0), job(40.0), job(40.0)]
    assert [model.offer(0, one) for one in jobs] == [None] * 3  # 3 on 2 cores of speed 2: 4/3 a ms each
    model.advance(15)  # 20 of each are done
    model.slow = 10.0
    model.advance(90)  # 10 more
    model.slow, model.crowd_part = 1.0, 0.5  # one core left
    assert [at for at, _ in ends(model)] == pytest.approx([105] * 3)


def test_the_waiting_room_patience_and_turning_away():
    model = cache(kind(queue_per_core=2))
    first, late, patient = job(10), job(10, over_at=5), job(10)
    assert [model.offer(0, one) for one in (first, late, patient)] == [None] * 3
    full = job()
    assert model.offer(0, full) == "busy" and not full.ran
    assert [(at, one.outcome) for at, one in ends(model)] == [(10, "miss"), (10, "busy"), (20, "miss")]
    assert model.offer(30, job(over_at=29)) == "busy"
    model.offer(30, job(5))
    model.draining = True
    assert model.offer(30, job()) == "busy"
    assert len(ends(model)) == 1  # what it has goes on


@pytest.mark.parametrize("how, done_at", [("queued", [10, 20]), ("all", [10]), ("none", [10, 20, 30])])
def test_what_stops_when_nobody_waits(how, done_at):
    model = cache(kind(drops_cancelled=how))
    first, queued, last = job(10), job(10), job(10)
    for one in (first, queued, last):
        model.offer(0, one)
    assert model.cancel(1, queued) == (how != "none")
    assert model.advance(15) == [first]
    assert model.cancel(15, last) == (how == "all")
    assert [10.0] + [at for at, _ in ends(model)] == pytest.approx(done_at)


def test_hits_misses_errors_and_a_chore_beside_them():
    model = cache(kind(miss_work=0.1, error_rate=0.0))
    model.store.put(0, "a")
    hit, miss = job(20), job(20, key="b")
    model.offer(0, hit)
    model.chore(0, 5)  # takes half the core until it is done
    model.offer(0, miss)
    assert hit.cost == 20 and miss.cost == 2
    assert [at for at, _ in ends(model)] == pytest.approx([25, 27])
    assert (hit.outcome, hit.ran, miss.outcome, miss.ran) == ("value", True, "miss", False)
    model.error_part = 1.0
    assert model.offer(30, job()) == "error"


def test_rule_4_counts_all_that_arrives_while_cold_and_only_then():
    rules = m.Rules(overload_multiple=2.0, overload_window_ms=1000.0)
    spec = kind(cold_from=0.5, cold_s=10.0)  # at 0.5 s: 0.525 of one core, so 1050 in a window
    model = cache(spec, True, rules)
    for at in range(0, 500, 100):
        model.offer(at, job(205))
    assert not model.fallen  # 1025, most of it turned away
    model.offer(500, job(30))
    assert model.fallen
    slower = cache(spec, True, rules)
    for at in range(0, 5000, 210):
        slower.offer(at, job(205))
    assert not slower.fallen
    warm = cache(spec, False, rules)
    warm.offer(0, job(1e6))
    assert not warm.fallen


def test_nothing_ends_during_a_pause_and_what_comes_then_waits():
    model = cache(kind(pause_every_s=1.0, pause_ms=300.0))
    model.advance(pause := model._pause_at)
    one = job(10)
    assert model.offer(pause + 1, one) is None
    assert [at for at, _ in ends(model)] == pytest.approx([pause + 310])


def test_the_report_is_late_and_about_right():
    model = cache(kind(queue_per_core=9))
    assert set(model.report(0).values()) == {0.0}
    for _ in range(4):
        model.offer(10, job(1000))
    assert model.report(50)["inflight"] == 0  # as it was
    model.advance(450)
    assert model.report(460)["inflight"] == pytest.approx(4, rel=0.3)
    assert model.report(460)["queue"] == pytest.approx(3, rel=0.3)


# What is stored


def test_the_store_keeps_to_its_memory_and_drops_what_is_void():
    objects = Objects(m.Scenario(keys=m.Keys(size_bytes=1000, size_sigma=0.0)), Seeds(1))
    store = Store(objects, 0.003, 1.0)
    for key in "abc":
        store.put(0, key)
    assert store.get(0, "a") == 1
    store.put(0, "d")  # b is the longest unused
    assert [store.get(1, key) for key in "abcd"] == [1, 0, 1, 1] and store.held == 3000
    objects.changed("a")
    assert not store.has(1, "a") and store.get(1, "a") == 0 and store.held == 2000
    store.put(500, "a")
    assert [store.get(1200, key) for key in "acd"] == [2, 0, 0]


def test_objects_bodies_and_who_stores_them():
    objects = Objects(SCENE, Seeds(3))
    sizes = [objects.size(f"k{i}") for i in range(4000)]
    assert (
        sum(sizes) / 4000 == pytest.approx(800, rel=0.05) and Objects(SCENE, Seeds(3)).size("k7") == sizes[7]
    )
    assert objects.size("k7") != Objects(SCENE, Seeds(4)).size("k7")
    body = objects.body("k7", 1, "s1", "u1")
    assert body.startswith(b"k7|1|s1|u1|") and len(body) == sizes[7]
    assert body[-200:] != objects.body("k7", 1, "s1", "u2")[-200:]
    stores = {name: Store(objects, 1.0, 0.0) for name in ("s1", "s2", "s3")}
    at_work = {"s1"}
    for name, store in stores.items():
        objects.register(name, store, lambda name=name: name in at_work)
        objects.missed("u1", name)
    objects.origin_answered("u1", "k7")
    objects.origin_answered("u1", "k8")  # it was answered already
    assert [len(store) for store in stores.values()] == [1, 0, 0]
    for i in range(1000):
        stores["s1"].put(0, f"k{i}")
        stores["s2"].put(0, f"k{i}")
    objects.void(0.8, "x")
    assert 130 < len(stores["s1"]) < 270 and stores["s1"]._copies.keys() == stores["s2"]._copies.keys()


# Links


def test_the_worst_state_holds_and_both_ways():
    links = LinkTable(m.Links(), Seeds(1))
    for party, zone in {"n0": "a", "s0": "a", "s1": "b", "s2": "c"}.items():
        links.place(party, zone)

    def states(*pairs):
        assert all(links.link(*pair).state == links.link(*pair[::-1]).state for pair in pairs)
        return [links.link(*pair).state for pair in pairs]

    pairs = ("n0", "s0"), ("n0", "s1"), ("s1", "s2"), ("c0", "n0")
    links.isolate_zone("a", "reset")
    assert states(*pairs) == ["up", "reset", "up", "reset"]
    links.set_party("s1", "silent")
    assert states(*pairs) == ["up", "silent", "silent", "reset"]
    links.isolate_zone("a", "silent", inside=True, spared=("n0",))
    links.clear_party("s1")
    assert states(*pairs) == ["silent", "up", "up", "up"]
    links.clear_zone("a")
    links.set_zones("b", "a", "reset")
    links.set_zones("c", "c", "silent")
    assert states(*pairs, ("s0", "s1")) == ["up", "reset", "up", "up", "reset"]
    links.clear_zones("a", "b")
    links.add_delay("b", "a", 50.0)
    assert links.link("n0", "s1").delay(0, 9) > 55 > links.link("n0", "s0").delay(0, 9)
    links.clear_delay("a", "b")
    links.place("s1", "a")
    assert links.link("n0", "s1").delay(0, 9) < 1
    with pytest.raises(KeyError):
        links.set_party("s1", "slow")


@FIXED
@given(st.integers(0, 200), st.integers(0, 99))
def test_cuts_are_whole_and_traffic_on_one_link_moves_no_other(size, seed):
    spec = m.Links(cut=0.7, same_ms=(1.0, 2.0), jitter=0.5)
    tables = [LinkTable(spec, Seeds(seed)) for _ in range(2)]
    for table in tables:
        table.place("n0", "a")
        table.place("s0", "a")
    for _ in range(5):
        pieces = tables[0].link("n0", "s1").cuts(size)
        assert sum(pieces) == size and (min(pieces) > 0 or size == 0) and len(pieces) <= 4
    delays = [[table.link("n0", "s0").delay(0, 9) for _ in range(50)] for table in tables]
    assert delays[0] == delays[1] and 0.5 <= min(delays[0]) < max(delays[0]) <= 3


# Commands

ASKED = b"mg k O1 v\r\nmg k v Ou1 Pc=read,d=480\r\nms k 6 Ou2 Pc=put,d=9,k=i\r\na\r\nb\r\n\r\nmn\r\n"
ASKED += b"stats load\r\n"


@FIXED
@given(st.lists(st.integers(0, len(ASKED)), max_size=8))
def test_commands_are_the_same_however_they_are_cut(cuts):
    reader, found, began = CommandReader(), [], {}
    for a, b in pairwise([0, *sorted(cuts), len(ASKED)]):
        for command in reader.feed(ASKED[a:b], float(a)):
            found.append((command.kind, command.uid, command.wait_ms, command.value))
            began[command.kind] = command.began
    read, write = ("mg", "u1", 480.0, None), ("ms", "u2", 9.0, b"a\r\nb\r\n")
    assert found == [(BAD, "", 0.0, None), read, write, ("mn", "", 0.0, None), ("stats load", "", 0.0, None)]
    starts = {kind: ASKED.index(text) for kind, text in (("mg", b"mg k v"), ("ms", b"ms"), ("mn", b"mn"))}
    for kind, start in starts.items():
        assert began[kind] == max(cut for cut in (0, *cuts) if cut <= start)


@pytest.mark.parametrize(
    "line, fatal",
    [
        (b"mg k v Ou1", False),
        (b"mg k v O Pd=1", False),
        (b"mg k v Ou1 Pc=read", False),
        (b"mg k v Ou1 Pd=0", False),
        (b"mg k v Ou1 Pd=nan", False),
        (b"mg k v Ou1 Pd=1,d=1", False),
        (b"mg k v Ou1 Pd=1,", False),
        (b"mg " + b"k" * 251 + b" v Ou1 Pd=1", False),
        (b"mg k  v Ou1 Pd=1", False),
        (b"get k", False),
        (b"", False),
        (b"ms k 65537 Ou1 Pd=1", True),
        (b"ms k 07 Ou1 Pd=1", True),
        (b"ms k 1 Ou1 Pd=x", True),
        (b"ms k 1 Ou1 Pd=1\r\nabc", True),
        (b"x" * 5000, True),
    ],
)
def test_what_no_client_sends_is_bad(line, fatal):
    [bad, *rest] = CommandReader().feed(line + b"\r\nmn\r\n", 0.0)
    assert (bad.kind, bad.fatal, len(rest)) == (BAD, fatal, 0 if fatal else 1)


def test_spoilt_answers_are_never_the_answer_unless_it_is_whole_in_them():
    right = b"VA 5 Ou1\r\nhello\r\n"
    for name in spoil._VARIANTS:
        out = spoil.spoil_as(name, random.Random(1), "u1", right, b"hello")
        assert out.startswith(right) == (name in spoil.WHOLE) and out != right
    assert spoil.spoil_as("other_id", random.Random(1), "u1", b"EN Ou1\r\n", None) == b"EN Ou0\r\n"


# The origin


def order(write: bool = True, idem: str = "i", over_at: float = 1e9, key: str = "a") -> OriginJob:
    return OriginJob(key, write, over_at, idem if write else "", 2000.0)


def origin(**changes) -> OriginModel:
    return OriginModel(
        m.Origin(**{"slots": 1, "sigma": 0.0, "read_ms": 50.0, "queue_s": 0.12} | changes), random.Random(1)
    )


def put(model: OriginModel, now: float, one: OriginJob) -> str | None:
    model.arrive(now, one)
    return model.offer(now, one)


def test_repeats_of_a_keyed_write_do_nothing_within_the_window():
    model = origin(write_times=2.0)
    first, joins, later, beyond = (order() for _ in range(4))
    assert put(model, 0, first) is None and put(model, 10, joins) is None
    assert model.advance(100) == [first, joins] and joins.leader is first and joins.outcome == "receipt"
    assert put(model, 2040, later) == "receipt" and later.leader is first
    assert put(model, 2060, beyond) is None and beyond.leader is None
    # Of a write that never ran there is no repeat.
    declined, again = order(idem="j", over_at=2070), order(idem="j")
    assert put(model, 2061, declined) is None
    assert model.advance(2160) == [beyond, declined] and declined.outcome == "busy"
    assert put(model, 2161, again) is None and again.leader is None


def test_the_origin_declines_what_would_wait_too_long_and_falls_under_too_much():
    model = origin(fall_multiple=2.0, fall_ms=200.0, down_s=3.0)
    reads = [order(False, key=str(i)) for i in range(8)]
    assert [put(model, 0, one) for one in reads] == [None] * 4 + ["busy"] * 4
    assert model.falls == 0 and len(model.advance(200)) == 4
    assert put(model, 199, order(False)) is None
    assert (model.falls, model.fallen_until) == (1, 3199) and model.inflight == 1


def test_shared_fetches_and_the_ways_to_be_down():
    model = origin(shares_fetches=True)
    pair = [order(False), order(False)]
    assert [put(model, 0, one) for one in pair] == [None, None] and model.inflight == 1
    assert model.advance(50) == pair and model.advance(99) == []
    model.slow = 3.0
    put(model, 100, order(False))
    assert model.due() == 250
    for how, outcome in (("declines", "busy"), ("errors", "error"), ("silent", None)):
        model.down = how
        assert put(model, 100, order(False, key="b")) == outcome
    with pytest.raises(ValueError):
        model.down = "tired"


# On the network


class Peer(asyncio.Protocol):
    """A node's end of a connection."""

    def __init__(self) -> None:
        self.got, self.ended = b"", ""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.got += data

    def eof_received(self):
        self.ended = "eof"

    def connection_lost(self, error):
        self.ended = type(error).__name__ if error else self.ended


class Stage:
    """Cache servers s0 and s1, an origin, and node n0 as mere connections."""

    def __init__(self, loop: VirtualLoop, scene: m.Scenario, links: LinkTable, seed: int) -> None:
        seeds = Seeds(seed)
        self.fabric = VirtualFabric(loop, links, loop.time())
        self.log, self.truth, self.objects = RecordLog(), GroundTruth(), Objects(scene, seeds)
        parts = self.fabric, self.log, self.truth, self.objects, scene, seeds, ["n0"]
        self.servers = [CacheHost(f"s{i}", scene.kinds[0], "a", 0, 1.0, *parts) for i in range(2)]
        self.origin = OriginHost(*parts)
        self.number = 0

    async def open(self) -> None:
        for server in self.servers:
            await server.start(cold=False)
        await self.origin.start()

    async def connect(self, party: str) -> Peer:
        loop, node = asyncio.get_running_loop(), self.fabric.network.host("n0")
        _, peer = await node.run(loop.create_connection(Peer, *self.fabric.address(party, "n0")))
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


def play(body, scene: m.Scenario = SCENE, seed: int = 1, **box) -> Stage:
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
    stage = Stage(loop, scene, links, seed)

    async def whole():
        await stage.open()
        await body(stage)

    loop.run(whole())
    return stage


def test_a_miss_goes_to_the_origin_and_is_stored_for_the_next():
    async def body(stage):
        peer, http = await stage.connect("s0"), await stage.connect("origin")
        uid, line = stage.ask()
        peer.transport.write(line[:7])
        await asyncio.sleep(0.5)
        peer.transport.write(line[7:])
        await asyncio.sleep(0.1)
        assert peer.got == b"EN Ou1\r\n"
        http.transport.write(stage.http()[1].replace(b"u2", b"u1"))
        await asyncio.sleep(0.2)
        peer.got = b""
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.1)
        value = stage.objects.body("a", 1, "s0", "u3")
        assert peer.got == b"VA %d Ou3\r\n%b\r\n" % (len(value), value)
        assert http.got.startswith(b"HTTP/1.1 200 ") and http.got.endswith(
            stage.objects.body("a", 1, "origin", uid)
        )

    stage = play(body)
    attempts, made = stage.seen(AttemptReceived), stage.seen(AttemptServed)
    assert [(a.server, a.request_id, a.time_left_ms) for a in attempts] == [
        ("s0", "u1", 1000),
        ("origin", "u1", 1000),
        ("s0", "u3", 1000),
    ]
    assert attempts[0].at_ms - attempts[0].started_ms == pytest.approx(501) and attempts[2].at_ms - attempts[
        2
    ].started_ms == pytest.approx(1)
    assert [(x.outcome, x.executed) for x in made] == [("miss", False), ("value", True), ("value", True)]
    assert made[2].body_digest == body_digest(stage.objects.body("a", 1, "s0", "u3")) and made[
        2
    ].at_ms == pytest.approx(attempts[2].at_ms + 10)
    assert [r.attempt_id for r in stage.seen(AttemptExecuted)] == [2, 3] and not stage.seen(
        AttemptDropped, MalformedMessage
    )


def test_answers_keep_their_order_and_a_pipeline_has_its_bound():
    async def body(stage):
        peer = await stage.connect("s0")
        lines = [stage.ask(work=work)[1] for work in (30, 1)] + [b"mn\r\n"]
        lines += [stage.ask(work=0.1)[1] for _ in range(300)] + [b"mn\r\n" * 3000]
        peer.transport.write(b"".join(lines))
        await asyncio.sleep(0.02)
        assert peer.got == b""  # the second has run by now
        await asyncio.sleep(1)
        assert peer.got.startswith(b"EN Ou1\r\nEN Ou2\r\nMN\r\nEN Ou3\r\n") and peer.got.endswith(
            b"MN\r\n" * 3000
        )

    stage = play(body, cores=2, queue_per_core=500)
    attempts, made = stage.seen(AttemptReceived), stage.seen(AttemptServed)
    assert [x.attempt_id for x in made] == list(range(1, 303)) and len({a.at_ms for a in attempts}) == 1
    assert made[0].at_ms == made[1].at_ms == pytest.approx(attempts[0].at_ms + 30)


@pytest.mark.parametrize("end", ["close", "write_eof", "reset"])
def test_a_node_that_gives_up_is_seen_and_its_waiting_work_stops(end):
    async def body(stage):
        stage.servers[0].model.store.put(0, "a")
        peer, other = await stage.connect("s0"), await stage.connect("s0")
        peer.transport.write(stage.ask()[1] + stage.ask(key="b")[1])
        await asyncio.sleep(0.005)
        getattr(peer.transport, end)()
        other.transport.write(stage.ask(key="c")[1])
        await asyncio.sleep(0.1)
        assert other.got == b"EN Ou3\r\n" and peer.got == b""

    stage = play(body)
    assert [d.request_id for d in stage.seen(AttemptDropped)] == ["u1", "u2"]
    assert [r.request_id for r in stage.seen(AttemptExecuted)] == ["u1"]  # it ran, and nobody heard
    assert stage.made() == {"u3": "miss"}


def test_a_crash_a_cold_start_at_anothers_address_and_what_knobs_outlast():
    async def body(stage):
        old, new = stage.servers
        old.model.store.put(0, "a")
        old.model.slow = 2.0
        peer = await stage.connect("s0")
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.005)
        old.stop()
        old.stop()
        await asyncio.sleep(0.1)
        assert peer.ended == "ConnectionResetError" and not old.up
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("s0")
        new.stop("gone")
        await new.start(cold=True, at_address_of="s0")
        peer = await stage.connect("s0")
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.3)
        assert peer.got == b"EN Ou2\r\n" and new.started_at == pytest.approx(107, abs=2)
        with pytest.raises(OSError):  # the address is taken
            await old.start(cold=True)
        assert not old.up
        new.stop()
        await old.start(cold=False)
        assert old.model.slow == 2.0 and old.model.store.has(0, "a") is False

    stage = play(body)
    said = [(s.server, s.state, s.warm_up_ms) for s in stage.seen(ServerStateChanged) if s.server != "origin"]
    assert said[2:5] == [("s0", "stopped", 0), ("s1", "gone", 0), ("s1", "started", 9000)]
    assert [d.request_id for d in stage.seen(AttemptDropped)] == ["u1"] and not stage.seen(AttemptExecuted)


def test_a_server_that_is_pushed_over_stays_down():
    async def body(stage):
        server = stage.servers[0]
        server.stop()
        await server.start(cold=True)
        peer = await stage.connect("s0")
        peer.transport.write(b"".join(stage.ask(work=1000)[1] for _ in range(5)))
        await asyncio.sleep(1)
        assert peer.ended == "ConnectionResetError" and not server.up

    stage = play(body)  # 3 x 0.32 x 2 cores x 1500 ms: 2880
    assert len(stage.seen(AttemptReceived)) == 3 and stage.seen(ServerStateChanged)[-1].state == "fallen"


def test_draining_turns_away_and_handshakes_make_the_first_request_wait():
    async def body(stage):
        peer = await stage.connect("s0")
        await asyncio.sleep(0.1)
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.05)
        stage.servers[0].drain()
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.05)
        assert peer.got == b"EN Ou1\r\nSERVER_ERROR busy\r\n"

    stage = play(body, handshake_ms=20.0)
    assert stage.seen(AttemptServed)[0].at_ms - stage.seen(AttemptReceived)[0].at_ms == pytest.approx(30)
    assert stage.made()["u2"] == "busy"


def test_connections_are_capped_closed_when_idle_and_forgotten_when_stale():
    async def body(stage):
        first, second = await stage.connect("s0"), await stage.connect("s0")
        await asyncio.sleep(0.5)
        assert (first.ended, second.ended) == ("", "ConnectionResetError")
        first.transport.write(stage.ask()[1])
        await asyncio.sleep(0.9)
        assert first.ended == "" and first.got
        await asyncio.sleep(0.2)
        assert first.ended == "eof"
        for silent in (False, True):
            stage.servers[0].model.stale_after_ms, stage.servers[0].model.stale_silent = 300.0, silent
            peer = await stage.connect("s0")
            await asyncio.sleep(0.4)
            peer.transport.write(stage.ask()[1])
            await asyncio.sleep(2)
            assert peer.ended == ("" if silent else "ConnectionResetError") and peer.got == b""
            peer.transport.close()
            await asyncio.sleep(0.1)

    stage = play(body, connections=1, idle_s=1.0)
    assert len(stage.seen(AttemptReceived)) == 1 and not stage.seen(AttemptDropped)


@pytest.mark.parametrize(
    "knob, outcome, ends", [("lost", "value", ""), ("reset", None, "ConnectionResetError")]
)
def test_lost_answers_and_resets(knob, outcome, ends):
    async def body(stage):
        setattr(stage.servers[0].model, f"{knob}_part", 1.0)
        stage.servers[0].model.store.put(0, "a")
        peer = await stage.connect("s0")
        peer.transport.write(stage.ask()[1])
        await asyncio.sleep(0.1)
        assert (peer.got, peer.ended) == (b"", ends)

    stage = play(body)
    assert stage.made().get("u1") == outcome and len(stage.seen(AttemptExecuted)) == 1
    assert [made.lost for made in stage.seen(AttemptServed)] == [True] * (knob == "lost")


def test_what_is_not_passed_on_as_it_came_is_told_and_not_done():
    async def body(stage):
        peer = await stage.connect("s0")
        good = stage.ask(write=True, idem="i")[1]
        bad = (good.replace(b"Ou1", b"Ou9"), good.replace(b"k=i", b"k=j"), good.replace(b"ms a", b"ms b"))
        wrong = (stage.ask(extra=",t=other")[1], good.replace(b"c=put", b"c=read"), b"ms a 5 v\r\n")
        peer.transport.write(b"".join(bad + wrong))
        await asyncio.sleep(0.1)
        assert peer.got.count(b"CLIENT_ERROR") == 6 and peer.ended == "eof"
        for text in (
            stage.http()[1].replace(b"GET", b"POST"),
            b"\x00\r\n\r\n",
            stage.http()[1].replace(b"/a", b"/b"),
        ):
            http = await stage.connect("origin")
            http.transport.write(text)
            await asyncio.sleep(0.1)
            assert http.got.startswith(b"HTTP/1.1 400") and http.ended == "eof"

    stage = play(body)
    assert len(stage.seen(MalformedMessage)) == 9 and not stage.seen(AttemptReceived)


def test_keyed_writes_at_the_origin_and_what_it_declines():
    async def body(stage):
        stage.servers[0].model.store.put(0, "a")
        peers = [await stage.connect("origin") for _ in range(6)]
        lines = [stage.http(write=True, idem="i")[1] for _ in range(2)]
        lines += [stage.http(write=True, idem=f"j{i}")[1] for i in range(4)]
        for peer, line in zip(peers, lines, strict=True):
            peer.transport.write(line)
        await asyncio.sleep(0.01)
        peers[2].transport.close()  # the origin goes on with it
        await asyncio.sleep(1)
        assert peers[0].got.endswith(b"w1.u1") and peers[1].got.endswith(b"w1.u1")
        assert b"503" in peers[4].got and b"Srv-Declined: 1" in peers[4].got
        assert not stage.servers[0].model.store.has(0, "a") and stage.objects.version("a") == 4
        peers[0].transport.write(stage.http(key="-/load")[1])  # a key like any other
        await asyncio.sleep(0.2)
        assert peers[0].got.count(b"200") == 2

    stage = play(body)
    assert [(r.request_id, r.is_repeat) for r in stage.seen(AttemptExecuted)] == [
        ("u1", False), ("u2", True), ("u3", False), ("u4", False), ("u7", False),
    ]  # fmt: skip
    assert [d.request_id for d in stage.seen(AttemptDropped)] == ["u3"]
    assert stage.made() == dict.fromkeys(("u1", "u2", "u4"), "receipt") | {
        "u5": "busy",
        "u6": "busy",
        "u7": "value",
    }


def test_the_origin_silent_and_refusing_and_back():
    async def body(stage):
        peer = await stage.connect("origin")
        stage.origin.down = "silent"
        peer.transport.write(stage.http()[1])
        await asyncio.sleep(9)
        assert (peer.got, peer.ended) == (b"", "")
        stage.origin.down = "refuses"
        await asyncio.sleep(0.1)
        assert peer.ended == "ConnectionResetError"
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("origin")
        stage.origin.down = ""
        await asyncio.sleep(0.1)
        peer = await stage.connect("origin")
        peer.transport.write(b"GET /-/healthy HTTP/1.1\r\nHost: o\r\n\r\n" + stage.http()[1])
        await asyncio.sleep(0.1)
        assert peer.got.count(b"HTTP/1.1 200") == 2

    stage = play(body)
    assert [s.state for s in stage.seen(ServerStateChanged) if s.server == "origin"] == [
        "started",
        "stopped",
        "back",
    ]


def test_the_origin_falls_and_stands_up_again():
    async def body(stage):
        peers = [await stage.connect("origin") for _ in range(4)]
        for peer in peers:
            peer.transport.write(stage.http(write=True, idem="i")[1])
        await asyncio.sleep(0.5)
        assert [peer.ended for peer in peers] == ["ConnectionResetError"] * 4
        stage.origin.down = "refuses"
        stage.origin.down = ""  # it is down all the same
        with pytest.raises(ConnectionRefusedError):
            await stage.connect("origin")
        await asyncio.sleep(0.6)
        peer = await stage.connect("origin")
        peer.transport.write(stage.http(write=True, idem="i")[1])
        await asyncio.sleep(0.2)
        assert peer.got.endswith(b"w1.u5")

    falls = m.Origin(slots=1, sigma=0.0, read_ms=100.0, fall_multiple=1.0, fall_ms=500.0, down_s=1.0)
    stage = play(body, m.Scenario(kinds=SCENE.kinds, classes=SCENE.classes, links=SCENE.links, origin=falls))
    assert [s.state for s in stage.seen(ServerStateChanged) if s.server == "origin"] == [
        "started",
        "fallen",
        "back",
    ]
    assert [(r.request_id, r.is_repeat) for r in stage.seen(AttemptExecuted)] == [("u5", False)] and len(
        stage.seen(AttemptDropped)
    ) == 4


def test_the_same_seed_gives_the_same_log():
    async def body(stage):
        rng = random.Random(5)
        for server in stage.servers:
            server.model.error_part = server.model.spoilt_part = server.model.lost_part = 0.1
        for _ in range(60):
            peer = await stage.connect(rng.choice(("s0", "s1")))
            peer.transport.write(b"".join(stage.ask(key=rng.choice("abc"), work=9)[1] for _ in range(6)))
            await asyncio.sleep(0.02)

    spoils = {
        "speed_cv": 0.5,
        "error_rate": 0.1,
        "pause_every_s": 0.2,
        "pause_ms": (1.0, 30.0),
        "speed": (1.0, 2.0),
    }
    digests = [play(body, seed=seed, **spoils).log.digest() for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]
