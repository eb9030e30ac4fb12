"""The lab's clients: what they draw, what they read, and what they do on connections that go wrong."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TypeVar

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, SETTINGS

from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.core.request import Request
from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.load import trace
from flintridge.lab.load.arrival_schedule import ArrivalSchedule
from flintridge.lab.load.arrivals import PoissonArrivals, Slot, step_of
from flintridge.lab.load.commands import CommandEncoder
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.load.generated_requests import GeneratedRequest, WeightedChoice, zone_weights
from flintridge.lab.load.keys import Keys
from flintridge.lab.load.malformed_scripts import MALFORMED_KINDS
from flintridge.lab.load.responses import ResponseParser
from flintridge.lab.records import (
    MalformedClientEnded,
    NodeStateChanged,
    RecordLog,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
    body_digest,
)
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Clients, RequestClass, Scenario, Tenant
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import FixedLink, Network, run

R = TypeVar("R")

DAY = Scenario(length_s=4, warmup_s=1, load=model.Load(rate_per_s=200, shape="bursty", swing=0.8, period_s=2))


def slots(load: model.Load, factor, seed: int = 1, begin: float = -1000, end: float = 20_000) -> list[Slot]:
    arrivals = PoissonArrivals(load, Seeds(seed), begin, end)
    return [s for n in range(step_of(begin), step_of(end) + 1) for s in arrivals.step(n, factor)]


# Arrivals, keys, requests


@pytest.mark.parametrize("shape", ["flat", "wave", "bursty"])
def test_bursts_and_troughs_move_nothing(shape):
    load = model.Load(rate_per_s=100, shape=shape, swing=0.5, period_s=4)
    plain = slots(load, lambda t: 1.0)
    burst = slots(load, lambda t: 3.5 if 5000 <= t < 6100 else 1.0)
    trough = slots(load, lambda t: 0.3 if t >= 5000 else 1.0)
    assert plain == sorted(plain) == slots(load, lambda t: 1.0) != slots(load, lambda t: 1.0, seed=2)
    assert [s for s in burst if s.layer == 0] == plain
    assert all(5000 <= s.at_ms < 6100 for s in burst if s.layer)
    assert set(trough) < set(plain) and [s for s in trough if s.at_ms < 5000] == [
        s for s in plain if s.at_ms < 5000
    ]
    assert plain[0].at_ms >= -1000 and plain[-1].at_ms < 20_000
    assert 1750 < len(plain) < 2450
    more = sum(5000 <= s.at_ms < 6100 for s in burst) / sum(5000 <= s.at_ms < 6100 for s in plain)
    assert 2.6 < more < 4.6


def test_keys_are_uneven_distinct_and_move_on():
    spec = model.Keys(count=70_000, zipf=1.0, offset=0.0, drift_per_s=50)
    keys = Keys(spec, Seeds(1))
    assert len({keys.name(i) for i in range(70_000)}) == 70_000
    seen = Counter(keys.sample((i + 0.5) / 20_000, 0.0) for i in range(20_000))
    (_, first), (_, second) = seen.most_common(2)
    assert first / second == pytest.approx(2, rel=0.05) and len(seen) > 5000
    top = keys.sample(0.0, 0.0)
    assert keys.sample(0.0, 120_000.0) != top  # somebody took its place
    assert keys.sample(1 - 1e-17, 120_000.0)
    hot = keys.heat(0.5)
    assert keys.hot_fraction == 0.5 and hot != top
    keys.cool()
    assert not keys.hot_fraction


def test_one_request_never_moves_another_and_a_hot_key_only_takes_reads():
    day = Scenario(
        length_s=3,
        warmup_s=1,
        load=model.Load(rate_per_s=300),
        classes=(RequestClass(name="read", share=3), RequestClass(name="put", write=True, effect="keyed")),
        tenants=(Tenant(name="a", share=0.5, usage=2), Tenant(name="b", share=0.5, usage=0)),
        zones=("x", "y"),
    )
    plain, burst = ArrivalSchedule(day, Seeds(1), ["x", "y"]), ArrivalSchedule(day, Seeds(1), ["x", "y"])
    burst.keys.heat(0.5)
    usual = {d.scheduled_ms: d for d in plain.all()}
    heated = {}
    for n in range(step_of(burst.start_ms), step_of(burst.end_ms) + 1):
        for slot in burst.step(n, lambda t: 2.0):
            drawn, _ = burst.request(slot)
            heated |= {drawn.scheduled_ms: drawn} if slot.layer == 0 else {}
    changed = [t for t, d in usual.items() if heated[t] != d]
    assert heated.keys() == usual.keys()
    assert all(heated[t].key == burst.keys.hot and not heated[t].write for t in changed)
    assert 0.4 < len(changed) / sum(not d.write for d in usual.values()) < 0.6
    assert {d.tenant for d in usual.values()} == {"a"}
    assert all(heated[t].work_ms == usual[t].work_ms for t in usual)


def test_zones_share_by_nodes_and_skew():
    assert zone_weights(("a", "b"), ("a", "b", "a", "b"), 0.2) == pytest.approx([0.7, 0.3])
    assert zone_weights(("a", "b", "c"), ("b",), 0.0) == [0, 1, 0]
    assert zone_weights(("a", "b"), ("a", "b"), 0.9) == [1, 0]
    assert zone_weights(("a",), ("a",), 0.3) == [1]
    assert zone_weights(("a", "b"), (), 0.0) == [0.5, 0.5]
    assert WeightedChoice([0, 1, 0]).at(0.0) == 1 and WeightedChoice([1, 1]).at(1.0) == 1


@given(st.integers(0, 65_536), st.booleans(), st.integers(0, 2))
@FIXED
def test_nodes_can_read_what_is_written(size, write, nth):
    keyed = RequestClass(name="put", write=True, effect="keyed")
    day = Scenario(classes=(RequestClass(name="read"), keyed), tenants=(Tenant(name="acme"),))
    writer = CommandEncoder(day)
    drawn = GeneratedRequest(0.0, "put" if write else "read", "acme", "menu:1a2b", write, 12.5, size, "east")
    idem = "5c0f6e1a2b3d4c59" if writer.is_keyed(drawn) else ""
    made = writer.encode(drawn, "9b1f03aa5c7e2d41", 480, nth, 12_500, idem)
    (read,) = CommandParser(SETTINGS).feed(made.data)
    assert isinstance(read, Request)
    assert (read.id, read.key, read.timeout_ms) == (b"9b1f03aa5c7e2d41", b"menu:1a2b", 480)
    assert (read.retry, read.work_us, read.size) == (nth > 0, 12_500, made.facts.size)
    assert (read.value is not None) is write and (b",k=" in read.options) is write
    if write:
        assert b"9b1f03aa5c7e2d41" in read.value and b"menu:1a2b" in read.value
        assert made.value_digest == body_digest(read.value) and made.facts.size == len(read.value)


def test_a_plain_read_says_no_more_than_it_must():
    load = model.Load(hints="none", tells_size=False)
    writer = CommandEncoder(Scenario(load=load, clients=Clients(marks_retry=False)))
    drawn = GeneratedRequest(0.0, "read", "", "k", False, 1.0, 9, "east")
    assert writer.encode(drawn, "ab", 7, 1).data == b"mg k v Oab Pc=read,d=7\r\n"
    assert writer.work_hint_us(drawn, Seeds(1).of("x")) == 0


# Answers

GOOD = [
    (b"VA 5 Oa1\r\nhello\r\n", ("served", "a1", body_digest(b"hello"), 0)),
    (b"VA 0 Oa1\r\n\r\n", ("served", "a1", body_digest(b""), 0)),
    (b"VA 4 Oa1\r\n\r\n\r\n\r\n", ("served", "a1", body_digest(b"\r\n\r\n"), 0)),
    (b"HD Oa2 cw1.x\r\n", ("served", "a2", body_digest(b"w1.x"), 0)),
    (b"SERVER_ERROR busy\r\n", ("refused", "", "", 0)),
    (b"SERVER_ERROR busy 250\r\n", ("refused", "", "", 250)),
    (b"SERVER_ERROR failed\r\n", ("failed", "", "", 0)),
    (b"CLIENT_ERROR bad number\r\n", ("error", "", "", 0)),
    (b"ERROR\r\n", ("error", "", "", 0)),
    (b"MN\r\n", ("ready", "", "", 0)),
]
BAD = [
    *(b"VA -1 Oa\r\n", b"VA 05 Oa\r\n", b"VA 65537 Oa\r\n", b"VA 5\r\n", b"VA 5 Oa x\r\n", b"VA 5 O\r\n"),
    *(b"VA 3 Oa\r\nabcde\r\n", b"HD Oa\r\n", b"HD Oa c\r\n", b"HD Oa w1\r\n", b"EN Oa\r\n", b"\r\n"),
    *(b"SERVER_ERROR busy -4\r\n", b"SERVER_ERROR busy 1 2\r\n", b"ERROR x\r\n", b"MN x\r\n", b"\x00\xff"),
    *(b"VA " + b"1" * 3000, b"SERVER_ERROR " + b"x" * 3000, b"hello"),
]


@given(st.lists(st.sampled_from(GOOD), max_size=6), st.lists(st.integers(1, 9), min_size=1))
@FIXED
def test_answers_come_whole_from_any_cuts(answers, cuts):
    data, found, reader, i = b"".join(a for a, _ in answers), [], ResponseParser(), 0
    while data:
        size = cuts[i % len(cuts)]
        found += reader.feed(data[:size])
        data, i = data[size:], i + 1
    assert [(a.kind, a.request_id, a.body_digest, a.retry_after_ms) for a in found] == [
        told for _, told in answers
    ]
    assert not reader.is_partial


@pytest.mark.parametrize("data", BAD)
def test_what_is_no_answer_is_garbled_and_ends_all_reading(data):
    reader = ResponseParser()
    found = reader.feed(b"MN\r\n" + data + b"MN\r\n")
    assert [a.kind for a in found] == ["ready", "garbled"]
    assert len(found[1].text) <= 120 and reader.feed(b"MN\r\n") == []


@given(st.lists(st.binary(max_size=40), max_size=5))
@FIXED
def test_noise_raises_nothing(parts):
    reader = ResponseParser()
    for part in parts:
        reader.feed(part)


# Traces


def test_a_trace_asks_the_same_again(tmp_path):
    plan = ArrivalSchedule(DAY, Seeds(3), ["east"])
    asked = list(plan.all())
    path = tmp_path / "day.jsonl"
    assert trace.write(path, asked) == len(asked) > 500
    with pytest.raises(FileExistsError):
        trace.write(path, asked)
    again = Scenario(length_s=4, warmup_s=1, load=model.Load(trace="day.jsonl"))
    replayed = ArrivalSchedule(again, Seeds(9), ["east"], base=tmp_path)
    assert list(replayed.all()) == asked
    twice = [s for n in range(step_of(-1000), 17) for s in replayed.step(n, lambda t: 2.5 if t > 0 else 0.0)]
    assert {s.layer for s in twice} == {0, 1, 2} and min(s.at_ms for s in twice) > 0
    replayed.keys.heat(1.0)
    drawn, _ = replayed.request(twice[0])
    assert drawn.key == replayed.keys.hot


LINE = b'{"due_ms":5.0,"cls":"read","tenant":"","key":"k","write":false,"work_ms":1.0,"size":9,"zone":"east"}'
FAULTS = [
    (LINE, LINE.replace(b"5.0", b"4.0"), "line 2: due_ms: 4.0"),
    (LINE, LINE[:-1], "line 2: Input data was truncated"),
    (LINE.replace(b'"read"', b'"rad"'), b"", "line 1: cls: 'rad': not a class of the scenario (read)"),
    (LINE.replace(b'"t', b'"x":1,"t'), b"", "line 1: Object contains unknown field `x`"),
    (LINE.replace(b"9", b'"9"'), b"", "line 1: Expected `int`, got `str` - at `$.size`"),
    (LINE.replace(b"9", b"99999"), b"", "line 1: size: 99999: must be 0 to 65536"),
    (LINE.replace(b'"k"', b'"a b"'), b"", "line 1: key: 'a b'"),
    (LINE.replace(b"1.0", b"-1.0"), b"", "line 1: work_ms: -1.0"),
    (LINE.replace(b"false", b"true"), b"", "line 1: write: True"),
    (
        LINE.replace(b'"tenant":""', b'"tenant":"x"'),
        b"",
        "line 1: tenant: 'x': not a tenant of the scenario (none)",
    ),
    (LINE.replace(b"east", b"west"), b"", "line 1: zone: 'west'"),
    (b"\xff\xfe", b"", "line 1: "),
]


@pytest.mark.parametrize("first, second, told", FAULTS)
def test_a_malformed_trace_is_told_by_line_and_reason(first, second, told):
    with pytest.raises(ValueError) as caught:
        list(trace.parse([first, second], Scenario(), "t.jsonl"))
    assert f"t.jsonl: {told}" in str(caught.value)


# Clients, on a network in virtual time, against nodes that do as a script says


@dataclass
class Command:
    """What a scripted node read: the `n`th request of the day there, the `nth` of its connection."""

    line: str
    n: int
    nth: int
    at: float

    @property
    def uid(self) -> str:
        return next(w[1:] for w in self.line.split(" ") if w.startswith("O"))

    @property
    def said(self) -> dict[str, str]:
        pairs = next(w[1:] for w in self.line.split(" ") if w.startswith("P")).split(",")
        return dict(p.split("=") for p in pairs)

    @property
    def served(self) -> bytes:
        return f"VA 2 O{self.uid}\r\nok\r\n".encode()


class NodeConnection(asyncio.Protocol):
    def __init__(self, node: "ScriptedNode") -> None:
        self.node, self.buffer, self.nth = node, b"", 0
        self.noise = 0  # lines that are no commands; beyond some it reads no more

    def connection_made(self, transport):
        self.transport = transport
        self.node.connections += 1
        if self.node.deaf:
            transport.pause_reading()

    def connection_lost(self, error):
        self.node.ended.append(round(self.node.fabric.clock.now()))

    def data_received(self, data):
        self.buffer = self.buffer[-3000:] + data  # enough for all that is not noise
        at = 0
        while self.noise < 200 and (end := self.buffer.find(b"\r\n", at)) >= 0:
            line = self.buffer[at:end]
            end += 2
            if line.startswith(b"ms ") and (size := line.split(b" ")[2]).isdigit():
                end += int(size) + 2
                if len(self.buffer) < end:
                    break
            at = end
            if line == b"mn":
                self.transport.write(b"MN\r\n" if self.node.ready else b"SERVER_ERROR starting\r\n")
                continue
            self.noise += line[:1] != b"m"
            command = Command(line.decode(), len(self.node.got), self.nth, self.node.fabric.clock.now())
            self.nth += 1
            self.node.got.append(command)
            self.act(self.node.script(command))
        self.buffer = self.buffer[at:]

    def act(self, answer):
        """Bytes to write, None to say nothing, "close", or a delay in ms before one of these."""
        match answer:
            case (float(delay), then):
                self.node.fabric.clock.call_later(delay, self.act, then)
            case "close":
                self.transport.close()
            case bytes():
                self.transport.write(answer)


@dataclass
class ScriptedNode:
    fabric: VirtualFabric
    name: str
    script: object
    got: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    connections: int = 0
    ready: bool = True
    deaf: bool = False

    async def listen(self):
        self.listener = await self.fabric.network.host(self.name).run(
            self.fabric.loop.create_server(lambda: NodeConnection(self), *self.address)
        )

    @property
    def address(self):
        return self.fabric.address("listen", self.name)


class Trial:
    """A run of clients against scripted nodes; `during` runs beside it once the nodes listen."""

    def __init__(self, script, day=None, nodes=1, requests=(), during=None, window=1 << 18, seed=1):
        self.day = day or one_class()
        self.script, self.requests, self.during = script, requests, during
        self.names = [f"n{i}" for i in range(nodes)]
        self.log, self.seed = RecordLog(), seed
        run(self.play(), Network(lambda a, b: FixedLink(0.5), window=window), start_s=100.0)

    async def play(self):
        loop = asyncio.get_running_loop()
        fabric = self.fabric = VirtualFabric(loop, None, loop.time() + 2)
        self.nodes = {name: ScriptedNode(fabric, name, self.script) for name in self.names}
        zones = dict(zip(self.names, self.day.zones * 9, strict=False))
        seeds, self.truth = Seeds(self.seed), GroundTruth()
        load = self.load = LoadDriver(self.day, seeds, self.log, self.truth, fabric, self.names, zones)
        for node in self.nodes.values():
            await node.listen()
        await load.start()
        for name in self.names:
            load.load_balancer.node_started(name)
        if self.during is not None:
            fabric.loop.create_task(self.during(self))
        await load.wait_until_ready(1000)
        if self.requests:
            for i, at in enumerate(self.requests):
                drawn = GeneratedRequest(
                    at, self.day.classes[0].name, "", f"k{i}", self.day.classes[0].write, 1, 9, "east"
                )
                fabric.clock.call_at(at, load._clients.start, drawn, seeds.of(f"r{i}"))
            await fabric.clock.sleep_until(max(self.requests))
            await load._clients.idle.wait()
        else:
            await load.run()
        assert load.open_requests == 0
        self.end = fabric.clock.now()
        await load.close()
        await asyncio.sleep(0.01)
        self.left = sum(fabric.network.host(f"c{i}").open_connections for i in range(8))

    def of(self, kind: type[R]) -> list[R]:
        return [r for r in self.log if type(r) is kind]

    @property
    def tale(self):
        """What was seen of tries, in short."""
        return [
            type(r).__name__ if isinstance(r, RequestSent | RequestAbandoned | RequestNotAccepted) else r.kind
            for r in self.log
            if isinstance(r, RequestSent | RequestAbandoned | RequestNotAccepted | ResponseReceived)
        ]


def one_class(effect="safe", pipeline=1, **habits) -> Scenario:
    cls = RequestClass(
        name="x", effect=effect, write=effect != "safe", deadline_ms=1000, window_ms=300, group="all"
    )
    habits = {"backoff": "none", "retries": 2, "pools": 1, "honour": 0.0, "pipeline": pipeline} | habits
    return Scenario(classes=(cls,), clients=Clients(**habits))


def test_time_outs_are_to_the_millisecond_and_tries_end_by_the_deadline():
    trial = Trial(lambda c: None, one_class(retries=9), requests=[0.0])
    asked, gone = trial.of(RequestSent), trial.of(RequestAbandoned)
    assert trial.tale == ["RequestSent", "RequestAbandoned"] * 2
    assert [a.time_left_ms for a in asked] == [550, int(1000 - asked[1].at_ms)]
    assert all(g.at_ms - a.at_ms == pytest.approx(a.time_left_ms) for a, g in zip(asked, gone, strict=True))
    assert gone[-1].at_ms <= 1000 and [a.attempt_number for a in asked] == [0, 1]
    assert len({a.request_id for a in asked}) == 2 and {a.first_request_id for a in asked} == {
        asked[0].request_id
    }
    first, second = trial.nodes["n0"].got
    assert first.said["d"] == "550" and "r" not in first.said and second.said["r"] == "1"
    assert len(trial.nodes["n0"].ended) == 3 and trial.left == 0  # the poll's and both tries'


@pytest.mark.parametrize("effect, tries", [("safe", 3), ("keyed", 2), ("unsafe", 1)])
@pytest.mark.parametrize("answer", [b"SERVER_ERROR failed\r\n", b"nonsense\r\n", "close"])
def test_what_may_have_run_is_repeated_only_where_that_is_harmless(effect, tries, answer):
    """A keyed one within its window, which ends with the second try here."""
    trial = Trial(
        lambda c: (140.0, answer), one_class(effect, backoff="fixed", backoff_ms=100), requests=[0.0]
    )
    assert len(trial.nodes["n0"].got) == tries
    keys = {c.said.get("k") for c in trial.nodes["n0"].got}
    assert len(keys) == 1 and (None in keys) is (effect != "keyed")
    assert len({a.value_digest for a in trial.of(RequestSent)}) == (tries if effect != "safe" else 1)


def test_unsafe_ones_come_again_after_refusals_and_when_nobody_took_them():
    trial = Trial(
        lambda c: [b"SERVER_ERROR busy\r\n", b"HD O%b cok\r\n" % c.uid.encode()][c.n],
        one_class("unsafe"),
        requests=[0.0],
    )
    assert trial.tale == ["RequestSent", "refused", "RequestSent", "served"]

    async def die(trial):
        await trial.fabric.clock.sleep_until(-1.0)
        trial.fabric.network.host("n0").kill()
        trial.load.load_balancer.node_killed("n0")

    trial = Trial(lambda c: None, one_class("unsafe"), requests=[0.0], during=die)
    assert trial.tale == ["RequestNotAccepted"] * 3
    assert [n.attempt_number for n in trial.of(RequestNotAccepted)] == [0, 1, 2]
    assert trial.of(RequestNotAccepted)[0].reason == "no connection: ConnectionRefusedError"


def test_advice_is_followed_by_those_who_honour_it_up_to_the_longest():
    def busy(c):
        return b"SERVER_ERROR busy 300\r\n" if c.n == 0 else c.served

    waits = {}
    for honour in (0.0, 1.0):
        trial = Trial(busy, one_class(honour=honour, backoff="fixed", backoff_ms=50), requests=[0.0])
        waits[honour] = trial.of(RequestSent)[1].at_ms - trial.of(ResponseReceived)[0].at_ms
    assert waits == {0.0: pytest.approx(50), 1.0: pytest.approx(300)}
    late = Trial(lambda c: b"SERVER_ERROR busy 1500\r\n", one_class(honour=1.0), requests=[0.0])
    assert late.tale == ["RequestSent", "refused"] and late.end < 10


def test_a_close_that_crosses_a_request_is_no_answer_and_the_request_goes_out_again_once():
    """The node closes while the second request is on its way; the repeat is closed too, and that counts."""

    async def crossing(trial):
        await trial.fabric.clock.sleep_until(99.9)
        (connection,) = trial.fabric.network.host("n0").process.connections
        connection.user.close()

    trial = Trial(
        lambda c: c.served if c.n == 0 else "close",
        one_class(retries=0),
        requests=[0.0, 100.0],
        during=crossing,
    )
    assert trial.tale == ["RequestSent", "served", "RequestSent", "closed", "RequestSent", "closed"]
    assert (
        trial.of(ResponseReceived)[1].at_ms - trial.of(RequestSent)[1].at_ms < 1
    )  # the log tells when the close came
    _, before, after = trial.of(RequestSent)
    assert (before.request_id, before.attempt_number) == (
        after.request_id,
        after.attempt_number,
    ) and before.connection != after.connection
    assert [c.uid for c in trial.nodes["n0"].got[1:]] == [after.request_id]
    first = Trial(lambda c: "close", one_class(retries=0), requests=[0.0])
    assert first.tale == ["RequestSent", "closed"]  # on a fresh connection nothing crossed


def test_a_killed_node_closed_nothing_between_requests():
    async def kill(trial):
        await trial.fabric.clock.sleep_until(150.0)
        trial.load.load_balancer.node_killed("n0")
        trial.fabric.network.host("n0").kill()

    trial = Trial(
        lambda c: c.served if c.n == 0 else None,
        one_class("safe", retries=0),
        requests=[0.0, 100.0],
        during=kill,
    )
    assert trial.tale == ["RequestSent", "served", "RequestSent", "reset"]


def test_pipelined_requests_lose_their_connection_with_the_one_given_up():
    def script(c):
        return None if c.n == 0 else b""

    trial = Trial(script, one_class(pipeline=3, retries=0), requests=[0.0, 100.0, 200.0, 300.0])
    gone = trial.of(RequestAbandoned)
    assert [(g.left_early, round(g.at_ms)) for g in gone] == [
        (False, 551),
        (True, 626),
        (True, 626),
        (False, 851),
    ]
    first, *middle, last = [a.connection for a in trial.of(RequestSent)]
    assert middle == [first, first] and last != first


def test_second_answers_are_written_down_and_end_the_connection():
    trial = Trial(lambda c: c.served + c.served, one_class(), requests=[0.0, 50.0])
    assert trial.tale == ["RequestSent", "served", "served"] * 2
    first = trial.of(ResponseReceived)[:2]
    assert first[0].request_id == first[1].request_id and trial.nodes["n0"].connections == 3
    late = Trial(lambda c: c.served if c.n else (60.0, b""), one_class(), requests=[0.0])
    assert late.tale == ["RequestSent", "RequestAbandoned", "RequestSent", "served"]


@pytest.mark.parametrize("answer", [b"VA 2 Oother\r\nok\r\n", b"HD O%b cok\r\n", b"MN\r\n", b"EN\r\n"])
def test_answers_that_do_not_fit_are_garbled(answer):
    trial = Trial(lambda c: answer.replace(b"%b", c.uid.encode()), one_class(retries=0), requests=[0.0, 50.0])
    assert trial.tale == ["RequestSent", "garbled"] * 2 and trial.nodes["n0"].connections == 3


def test_half_an_answer_is_told_from_none():
    trial = Trial(lambda c: b"VA 5 O" if c.n else c.served, one_class(retries=0), requests=[0.0])
    assert trial.tale == ["RequestSent", "served"]

    async def kill(trial):
        await trial.fabric.clock.sleep_until(20.0)
        trial.fabric.network.host("n0").kill()

    trial = Trial(lambda c: b"VA 5 O" + c.uid.encode(), one_class(retries=0), requests=[0.0], during=kill)
    (end,) = trial.of(ResponseReceived)
    assert (end.kind, end.text) == ("reset", "in the middle of the answer")


def test_a_request_counts_as_asked_once_its_last_byte_has_left():
    async def listen_again(trial):
        node = trial.nodes["n0"]
        await trial.fabric.clock.sleep_until(-10.0)
        node.deaf = True
        await trial.fabric.clock.sleep_until(400.0)
        for connection in trial.fabric.network.host("n0").process.connections:
            connection.user.resume_reading()

    day = Scenario(
        classes=(RequestClass(name="x", write=True, deadline_ms=1000),), clients=Clients(pools=1, retries=0)
    )
    drawn = [0.0]
    trial = Trial(
        lambda c: b"HD O%b cok\r\n" % c.uid.encode(), day, requests=drawn, window=50, during=listen_again
    )
    (asked,) = trial.of(RequestSent)
    assert trial.tale == ["RequestSent", "served"] and 400 < asked.at_ms < 420

    trial = Trial(lambda c: None, day, requests=drawn, window=50, during=_deaf_later)
    assert (
        trial.tale == ["RequestNotAccepted"] and trial.of(RequestNotAccepted)[0].reason == "not sent in time"
    )


async def _deaf_later(trial):
    await trial.fabric.clock.sleep_until(-10.0)
    trial.nodes["n0"].deaf = True


def test_connections_are_reused_latest_first_closed_when_idle_and_kept_when_once():
    at = [0.0, 1.0, 100.0, 3000.0]
    trial = Trial(lambda c: (20.0, c.served), one_class(idle_s=1.0), requests=at)
    conns = [a.connection for a in trial.of(RequestSent)]
    assert conns[0] != conns[1] == conns[2] and conns[3] not in conns[:3]
    assert all(1000 <= t <= 1700 for t in trial.nodes["n0"].ended[1:3])
    trial = Trial(lambda c: c.served, one_class(once=1.0, idle_s=0.5), requests=at)
    assert (
        len({a.connection for a in trial.of(RequestSent)}) == 4 and min(trial.nodes["n0"].ended[1:]) >= 3000
    )


def test_the_front_waits_for_ready_nodes_and_learns_late():
    day = Scenario(
        length_s=8,
        warmup_s=0,
        load=model.Load(rate_per_s=200),
        classes=one_class().classes,
        clients=Clients(notice_s=1.0, retries=0),
    )

    async def during(trial):
        clock, front = trial.fabric.clock, trial.load.load_balancer
        trial.nodes["n1"].ready = False
        await clock.sleep_until(1000.0)
        trial.nodes["n1"].ready = True
        await clock.sleep_until(3000.0)
        front.node_killed("n1")
        trial.fabric.network.host("n1").kill()
        await clock.sleep_until(5000.0)
        trial.fabric.network.host("n1").revive()
        await trial.nodes["n1"].listen()
        front.node_started("n1")
        await clock.sleep_until(6000.0)
        front.node_terminating("n0")

    trial = Trial(lambda c: c.served, day, nodes=2, during=during)
    at = [a.at_ms for a in trial.of(RequestSent) if a.node == "n1"]
    missed = [n.at_ms for n in trial.of(RequestNotAccepted)]
    assert 1000 < min(at) < 1130 and not [t for t in at if 3000 < t < 5000]
    assert min(missed) > 3000 and 3800 < max(missed) < 4010 and len(missed) > 50
    assert [round(r.at_ms, -2) for r in trial.of(NodeStateChanged) if r.node == "n1"] == [1100, 5000]
    asked = [a for a in trial.of(RequestSent) if a.node == "n0"]
    new = [a.at_ms for a in asked if a.connection not in {b.connection for b in asked if b.at_ms < a.at_ms}]
    assert max(new) < 6410  # from then on only connections that stay open are used
    assert max(a.at_ms for a in asked) > 7900
    assert trial.end < 8010 and all(a.counted for a in trial.of(RequestSent))


def test_clients_send_on_open_connections_after_sigterm_until_the_kill():
    day = Scenario(
        length_s=6,
        warmup_s=0,
        load=model.Load(rate_per_s=200),
        classes=one_class().classes,
        clients=Clients(notice_s=1.0, retries=0),
    )

    async def during(trial):
        clock, front = trial.fabric.clock, trial.load.load_balancer
        await clock.sleep_until(2000.0)
        front.node_terminating("n0")
        await clock.sleep_until(4000.0)
        front.node_killed("n0")
        trial.fabric.network.host("n0").kill()

    trial = Trial(lambda c: c.served, day, nodes=2, during=during)
    asked = [a for a in trial.of(RequestSent) if a.node == "n0"]
    late = [a for a in asked if a.at_ms > 2410]
    known = {a.connection for a in asked if a.at_ms <= 2410}
    assert len(late) > 50 and {a.connection for a in late} <= known
    assert 3900 < max(a.at_ms for a in late) < 4001


def test_each_bad_client_has_a_connection_of_its_own():
    day = Scenario(length_s=4, warmup_s=0, load=model.Load(rate_per_s=20), classes=one_class().classes)

    async def during(trial):
        trial.load.bad_clients(20.0, ("used_id",), True)

    trial = Trial(lambda c: c.served, day, during=during)
    good = [a.connection for a in trial.of(RequestSent) if not a.counted]
    usual = {a.connection for a in trial.of(RequestSent) if a.counted}
    assert len(good) > 20 and len(set(good)) == len(good) and not usual & set(good)


def test_a_burst_told_at_once_and_late_is_played_from_then_on():
    day = Scenario(
        length_s=4, warmup_s=1, load=model.Load(rate_per_s=200), clients=Clients(leave_early=0.2, pools=1)
    )

    async def burst(trial):
        await trial.fabric.clock.sleep_until(1100.0)
        trial.load.burst(lambda t: 3.0)
        await trial.fabric.clock.sleep_until(2100.0)
        trial.load.burst(lambda t: 1.0)

    plain = Trial(lambda c: (300.0 if c.nth else 3.0, c.served), day)
    burst = Trial(lambda c: (300.0 if c.nth else 3.0, c.served), day, during=burst)
    dues = [
        {a.scheduled_ms: (a.key, a.request_id) for a in t.of(RequestSent) if not a.attempt_number}
        for t in (plain, burst)
    ]
    assert dues[0].items() <= dues[1].items()
    extra = [due for due in dues[1] if due not in dues[0]]
    assert 300 < len(extra) < 500 and all(1100 <= due <= 2100 for due in extra)
    assert all(a.at_ms >= a.scheduled_ms for a in plain.of(RequestSent))
    assert sum(g.left_early for g in plain.of(RequestAbandoned)) > 5
    again = Trial(lambda c: (300.0 if c.nth else 3.0, c.served), day)
    assert again.log.digest() == plain.log.digest() != burst.log.digest()
    facts = [a.request_id for a in plain.of(RequestSent)]
    assert all(plain.truth.get(uid) for uid in facts)


def test_bad_clients_get_what_nodes_say():
    day = Scenario(length_s=9, warmup_s=0, load=model.Load(rate_per_s=1), clients=Clients(retries=0))

    async def bad(trial, kinds=()):
        trial.load.bad_clients(20.0, kinds, True)
        await trial.fabric.clock.sleep_until(6000.0)
        trial.load.bad_clients(20.0, kinds, False)

    deaf = Trial(lambda c: None, day, during=bad).of(MalformedClientEnded)
    assert {b.kind for b in deaf} == set(MALFORMED_KINDS)
    assert {b.outcome for b in deaf if b.kind == "silent"} == {"nothing"}
    assert all(b.elapsed_ms == pytest.approx(b.limit_ms) for b in deaf if b.outcome == "nothing")
    assert {b.limit_ms for b in deaf if b.kind == "huge_value"} == {6000}

    rude = Trial(lambda c: b"CLIENT_ERROR no\r\n", day, during=bad)
    got = {b.kind: b.outcome for b in rude.of(MalformedClientEnded)}
    assert got["unknown_class"] == got["no_id"] == got["flood"] == "error"
    served = Trial(lambda c: b"MN\r\n", day, during=bad).of(MalformedClientEnded)
    assert {b.outcome for b in served if b.kind == "flood"} == {"served"}
    used = {a.request_id for a in rude.of(RequestSent) if not a.counted}
    # An id whose first use was refused at once is free again; one whose first use was served is not.
    for first, got in ((lambda c: b"SERVER_ERROR busy\r\n", "anew"), (lambda c: c.served, "served")):
        seen = set()

        def answer(c, first=first, seen=seen):
            again = c.uid in seen
            seen.add(c.uid)
            return c.served if again else first(c)

        both = Trial(answer, day, during=lambda trial: bad(trial, ("used_id",))).of(MalformedClientEnded)
        assert {b.outcome for b in both} == {got}
    assert used and all(a.kind == "error" for a in rude.of(ResponseReceived) if a.request_id in used)
    assert max(b.at_ms for b in deaf) < 12_100


def test_unknown_kinds_are_refused():
    with pytest.raises(ValueError, match="no kind of bad client: 'x'"):
        Trial(lambda c: None, during=None, requests=[0.0]).load.bad_clients(1.0, ("x",), True)
