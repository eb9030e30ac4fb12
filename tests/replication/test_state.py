"""State in a node: words, the topic, holds over the list, `[state]` in configurations, routes, commands."""

import json
import math
from random import Random
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from support.configuration import PEERS, THREE, read

from flintridge.api import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from flintridge.cli.main import main
from flintridge.discovery.overrides import EndpointOverrides
from flintridge.fronts.console import AdminExchange, Taking
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.messages import asked, asked_of, entry_of, flat, pieces, said_of, slice_of
from flintridge.replication.replica import Limits, Replica
from flintridge.settings import ConfigError, StateConfig

KEY = ("hold", "s1")
ALL = THREE + PEERS + "\n[state]\n"


def copy(name, life=1, offset=1e12):
    return Replica((name, life), Limits(), 0.0, offset)


# Words


def test_entries_and_slices_come_back_as_they_went_with_times_as_ages():
    a = copy("a")
    a.write(100.0, KEY, b"\x80", "ann", "why", lasts=500.0)
    a.write(100.0, ("later", "x"), b"\xc1", "ann", "why")
    key, entry = entry_of(flat(KEY, a.entries[KEY], 150.0), as_of=1_000.0)
    version = entry.versions[0]
    assert key == KEY and version.at == 950.0 and version.ends() == 1_450.0
    ask = copy("b").ask(a.me)
    assert asked_of(asked(ask)) == ask
    source, got = slice_of(pieces(a.me, a.answer(ask), 100.0), as_of=100.0)
    assert source == a.me and got == a.answer(ask) and got.entries[1][1].versions[0].lasts == math.inf


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"\x92\xff\xc3", b"\x93\x01\xc3\xa1x"])
def test_bytes_that_are_no_word_are_none(data):
    assert said_of(data) is None and asked_of(data) is None and slice_of([data], 0.0) is None
    assert slice_of([], 0.0) is None


# The topic


def fleet(*names):
    return {name: RumorSpreader(copy(name), names, 1e9, Random(1)) for name in names}


def carry(spreads, source, target, now, room=1100):
    one = SimpleNamespace(name=target, incarnation=1)
    word = spreads[source].payload_for(now, one, room)
    if word is not None:
        assert len(word) <= room
        spreads[target].receive_payload(now, source, 1, now, word)


def test_a_write_is_told_at_once_and_counted_where_it_has_come_to():
    spreads = fleet("a", "b", "c")
    dot = spreads["a"].copy.write(0.0, KEY, b"", "", "").dot
    spreads["a"].wrote(dot)
    assert sorted(spreads["a"].waiting(0.0, [("b", 1), ("c", 1)])) == [("b", 1), ("c", 1)]
    carry(spreads, "a", "b", 1.0)
    assert spreads["b"].copy.holding(KEY, 1.0) and spreads["a"].had_by(dot) == 1
    assert ("a", 1) in spreads["b"].waiting(1.0, [("a", 1), ("c", 1)])
    carry(spreads, "b", "c", 1.0)
    for name in ("b", "c"):
        carry(spreads, name, "a", 2.0)
    assert spreads["a"].had_by(dot) == 3 and spreads["a"].had_by((dot[0], 9)) is None


def test_what_does_not_fit_waits_for_the_comparison_and_who_differs_for_long_is_asked():
    spreads = fleet("a", "b")
    spreads["a"].copy.begin()
    spreads["a"].copy.write(0.0, KEY, b"x" * 400, "", "")
    carry(spreads, "a", "b", 10.0, room=100)
    assert not spreads["b"].copy.entries
    assert spreads["b"].source(10.0, [("a", 1)]) == ("a", 1)  # it has not caught up
    spreads["b"].copy.begin()
    assert spreads["b"].source(100.0, [("a", 1)]) is None
    assert spreads["b"].source(2_000.0, []) is None
    assert spreads["b"].source(2_000.0, [("a", 1)]) == ("a", 1)
    spreads["b"].compared(2_000.0, ("a", 1), news=False)
    carry(spreads, "a", "b", 4_000.0, room=100)
    assert spreads["b"].source(7_000.0, [("a", 1)]) is None  # it had nothing new


def test_words_of_names_that_are_not_configured_are_not_heard():
    spreads = fleet("a", "b")
    spreads["a"].receive_payload(
        0.0, "x", 1, 0.0, spreads["b"].payload_for(0.0, SimpleNamespace(name="a", incarnation=1), 1100)
    )
    assert spreads["a"].counts["words_bad"] == 1


# EndpointOverrides over the list


def test_a_held_server_is_told_as_draining_and_nothing_is_added_to_the_list():
    told = []
    holds = EndpointOverrides(told.append)
    ready = {name: Endpoint(name, EndpointState.READY) for name in ("x", "y")}
    holds.take_out(frozenset({"x", "never listed"}))
    assert not told
    holds.apply(EndpointUpdate(UpdateKind.FULL, 7, tuple(ready.values())))
    assert [one.state for one in told[-1].endpoints] == [EndpointState.DRAINING, EndpointState.READY]
    holds.take_out(frozenset({"y"}))
    assert told[-1].kind is UpdateKind.DELTA and told[-1].version == 7
    assert {one.server: one.state for one in told[-1].endpoints} == {
        "x": EndpointState.READY,
        "y": EndpointState.DRAINING,
    }
    holds.apply(EndpointUpdate(UpdateKind.DELTA, 8, (Endpoint("y", EndpointState.GONE),)))
    assert told[-1].endpoints[0].state is EndpointState.GONE
    count = len(told)
    holds.take_out(frozenset())
    assert len(told) == count
    holds.apply(EndpointUpdate(UpdateKind.FAILED))
    assert told[-1].kind is UpdateKind.FAILED


# Configuration


def test_a_sound_table_and_its_defaults():
    assert read(ALL).state == StateConfig()
    said = "entries = 9\nentry_bytes = 64\nremember_s = 2\nwait_ms = 0\nbytes_per_s = 300\n"
    assert read(ALL + said).state == StateConfig(9, 64, 2.0, 0.0, 300.0)
    assert read(THREE + PEERS).state is None


@pytest.mark.parametrize(
    ("said", "fault"),
    [
        ("entries = 0", "state.entries: 0: must be"),
        ("entry_bytes = 5000", "state.entry_bytes: 5000: must be"),
        ("entries = 90000", "state.entries: 90000: must be at most 16000, by state.entry_bytes"),
        ("bytes_per_s = 4001", "state.bytes_per_s: 4001: must be at most 4000, a quarter"),
        ("wait_ms = -1", "state.wait_ms: -1: must be"),
        ("holds = 1", "state.holds"),
    ],
)
def test_every_fault_is_told_by_its_place(said, fault):
    with pytest.raises(ConfigError) as told:
        read(ALL + said)
    assert f"n.toml: {fault}" in str(told.value)


def test_state_needs_peers():
    with pytest.raises(ConfigError, match=r"state: is allowed only beside a table \[peers\]"):
        read(THREE + "\n[state]\n")


# The console's routes that take a body, and the commands


def test_a_route_that_takes_a_body_is_given_it_with_the_query_and_others_are_not():
    got = []
    taking = Taking(lambda query, body: got.append((query, body)) or (200, {}))
    routes = {b"/w": {b"POST": taking, b"GET": lambda: (200, {"plain": True})}}
    exchange = AdminExchange(routes)
    head = b"POST /w?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
    assert exchange.feed(head + b"abc") is None
    assert b" 200 " in b"".join(exchange.feed(b"def"))
    assert got == [(b"a=1", b"abcdef")]
    plain = AdminExchange(routes)
    assert b"plain" in b"".join(plain.feed(head.replace(b"POST", b"GET") + b"abcdef"))
    long = AdminExchange(routes)
    answer = long.feed(head.replace(b" 6", b" 70000") + b"x" * 70_000)
    assert b" 413 " in b"".join(answer) and len(got) == 1


def run(*words):
    done = CliRunner().invoke(main, ["state", *words])
    return done.exit_code, done.output


@pytest.mark.parametrize(
    ("words", "says"),
    [
        (("set", "quota", "t", "--body", "{", "--by", "a", "--why", "b"), "--body: is not JSON"),
        (("set", "quota", "t", "--body", "[]", "--by", "a", "--why", "b"), "must be a JSON object"),
        (("hold", "s", "--why", "b"), "--by"),
        (("hold", "s", "--by", "a", "--why", "b"), "no console answers there"),
        (("get", "--name", "x"), "--name: needs --type"),
        (("diff",), "two or more"),
    ],
)
def test_what_cannot_be_done_is_told_in_a_line_with_exit_code_2(words, says):
    code, output = run(*words, "--console", "127.0.0.1:1")
    assert code == 2 and says in output and "Traceback" not in output


def answers(monkeypatch, *looks):
    said = iter(looks)
    monkeypatch.setattr("flintridge.cli.state.call", lambda *rest: next(said))


def test_wait_ends_with_1_where_too_few_have_it_and_the_write_stays(monkeypatch):
    words = ("hold", "s", "--by", "a", "--why", "b", "--console", "127.0.0.1:1", "--wait", "2")
    wrote = (200, {"name": "n0", "write": 1, "life": "f"})
    answers(monkeypatch, wrote, (200, {"had": 2, "life": "f"}))
    assert run(*words)[0] == 0
    answers(monkeypatch, wrote, (200, {"had": 1, "life": "f"}))
    code, output = run(*words, "--timeout", "0.1")
    assert code == 1 and "1 and not 2 nodes" in output
    answers(monkeypatch, wrote, (200, {"had": 2, "life": "another"}))
    assert run(*words)[0] == 2
    answers(monkeypatch, (409, {"error": "10000 entries are held; allowed: 10000"}))
    code, output = run(*words)
    assert code == 2 and "allowed: 10000" in output


def test_diff_tells_what_differs_and_since_when(monkeypatch):
    version = {"dot": "n0/f/1", "body": {"held": True}, "by": "a", "why": "b", "age_ms": 70}
    version |= {"ends_in_ms": None, "deleted": False}
    entry = {"type": "hold", "name": "s", "versions": [version]}
    looks = [(200, {"name": f"n{i}", "digests": ["1", str(i)], "entries": 1}) for i in range(2)]
    pages = [(200, {"page": page, "next": None}) for page in ([entry], [])]
    words = ("diff", "--console", "127.0.0.1:1", "--console", "127.0.0.1:2")
    answers(monkeypatch, *looks, *pages)
    code, output = run(*words)
    assert code == 1 and "hold s: differs, the newest write 70 ms ago" in output
    assert "127.0.0.1:2: nothing" in output
    answers(monkeypatch, looks[0], looks[0])
    code, output = run(*words, "--json")
    assert code == 0 and json.loads(output)["differ"] == []
