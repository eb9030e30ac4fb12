"""`flintridge ring`: exact shares and moves, agreement with the servers that a node picks, invalid lists."""

import json
import math
from fractions import Fraction

import pytest
from click.testing import CliRunner
from support.paths import ROOT

from flintridge import Balancer, api
from flintridge.cli.main import main
from flintridge.cli.ring_lists import read_fleet
from flintridge.cli.ring_shares import (
    RING_POSITIONS,
    arc_lengths,
    arcs,
    counted_points,
    max_weight,
    ring_entries,
    server_numbers,
    steps,
)
from flintridge.policy.hash_ring import POINTS

SERVERS = str(ROOT / "examples" / "servers.json")


def run_ring(*arguments):
    return CliRunner().invoke(main, ["ring", *map(str, arguments)], prog_name="flintridge")


def read_report(*arguments):
    done = run_ring(*arguments, "--json", "-")
    assert done.exit_code == 0, done.output
    return json.loads(done.stdout)


def member(name, size=1.0, zone="east", phase="in_service", flavor="box", **more):
    entry = {"id": name, "host_port": "10.0.0.1:80", "locality": zone, "flavor": flavor, "cell": 0}
    return entry | {"phase": phase, "size": size, "up_since_ms": 0} | more


def write_list(path, *members, **more):
    path.write_text(json.dumps({"revision": 1, "complete": True, "members": members} | more))
    return str(path)


def test_arcs_of_small_rings():
    def entry(position, number, rank=0):
        return position << 32 | number << 8 | rank

    old = [entry(10, 0), entry(10, 1), entry(30, 1)]
    # At the same position, the lower number owns the arc.
    assert arc_lengths(old) == {0: RING_POSITIONS - 20, 1: 20}
    assert list(arcs(old, [entry(20, 2)])) == [(RING_POSITIONS - 20, 0, 2), (10, 1, 2), (10, 1, 2)]
    assert list(arcs([], [entry(20, 2)])) == [(RING_POSITIONS, None, 2)] and not list(arcs([], []))
    assert arc_lengths([entry(0, 3)]) == {3: RING_POSITIONS} == arc_lengths([entry(RING_POSITIONS - 1, 3)])


def test_node_sends_each_key_to_the_first_server_of_explain(tmp_path):
    weights = [1, 0.1, 3, 0.5, 0, 1.7, 100 / 3]
    file = write_list(tmp_path / "l.json", *[member(f"s{i}", w) for i, w in enumerate(weights)])
    fleet = read_fleet(file)
    node = Balancer(api.Settings(), seed=1)
    caches = tuple(api.Endpoint(cache.id, weight=cache.weight) for cache in fleet.caches)
    node.handle(0, api.EndpointUpdate(api.UpdateKind.FULL, 1, caches))
    sent = dict.fromkeys((cache.id for cache in fleet.caches), 0)
    for i in range(300):
        actions = node.handle(10**7 * i, api.RequestReceived(str(i), 10**7 * i + 10**9, key=f"key:{i}"))
        (send,) = [action for action in actions if isinstance(action, api.Send)]
        assert send.server == next(steps(fleet, f"key:{i}")).cache.id
        sent[send.server] += 1
        node.handle(
            10**7 * i + 1, api.AttemptEnded(str(i), 0, send.server, api.Outcome.OK, 10**6, final=True)
        )
    shown = {row["id"]: row["key_share"] for row in read_report("show", file)["servers"]}
    for server, share in shown.items():
        assert abs(sent[server] / 300 - share) < 4 * math.sqrt(share / 300) + 0.01


def test_shares_are_exact_add_up_to_one_and_are_sorted():
    fleet = read_fleet(SERVERS)
    numbers, top = server_numbers(fleet), max_weight(fleet)
    assert sum(arc_lengths(ring_entries(fleet.caches, numbers)).values()) == RING_POSITIONS
    assert [counted_points(w, top) for w in (2, 1, 0.0001, 0)] == [POINTS, POINTS // 2 + 1, 1, POINTS]
    report = read_report("show", SERVERS)
    rows = report["servers"]
    assert (
        sum(Fraction(row["key_share"]) for row in rows) == 1 == sum(Fraction(r["ring_share"]) for r in rows)
    )
    assert [row["key_share"] for row in rows] == sorted((row["key_share"] for row in rows), reverse=True)
    assert rows[0]["id"] == "s-3" and report["off_ring"] == {"o-1": "the origin", "s-6": "terminating"}
    assert report["zones"]["west"]["servers"] == 3 and "live load and health" in report["not_known"]
    west = read_report("show", SERVERS, "--zone", "west")["servers"]
    assert len(west) == 3 and sum(Fraction(row["key_share"]) for row in west) == 1
    assert "o-1" in {row["id"] for row in read_report("show", SERVERS, "--origin-kind", "other")["servers"]}


def test_diff_reports_the_moves_of_added_removed_and_changed_servers(tmp_path):
    three = [member(f"s{i}") for i in range(3)]
    old = write_list(tmp_path / "old.json", *three, member("s3", phase="terminating"))
    grown = write_list(tmp_path / "grown.json", *three, member("s3"))
    report = read_report("diff", old, grown)
    assert report["servers"] == [{"id": "s3", "change": "came", "what": "was terminating"}]
    assert {move["to"] for move in report["moves"]} == {"s3"}
    assert report["moved"] == report["least"] == sum(move["share"] for move in report["moves"])
    assert report["least_by_weight"] == pytest.approx(1 / 4)
    back = read_report("diff", grown, old)
    assert {(m["to"], m["from"], m["share"]) for m in back["moves"]} == {
        (m["from"], m["to"], m["share"]) for m in report["moves"]
    }
    changed = [member("s0", 0.5), member("s1", zone="west", up_since_ms=7), *three[2:]]
    report = read_report("diff", old, write_list(tmp_path / "new.json", *changed))
    assert {move["from"] for move in report["moves"]} == {"s0"}
    assert [(row["id"], row["what"]) for row in report["servers"]] == [
        ("s0", "weight 1.0 -> 0.5"),
        ("s1", "zone east -> west, up_since_ms 0.0 -> 7.0"),
    ]
    same = read_report("diff", old, old)
    assert same["moved"] == same["least"] == 0 and same["servers"] == same["moves"] == []
    none = write_list(tmp_path / "none.json")
    report = read_report("diff", none, old)
    assert report["moved"] == 1 and {move["from"] for move in report["moves"]} == {None}
    assert run_ring("diff", old, none).stdout.count("no server") == 3
    assert read_report("diff", none, none)["moved"] == 0


def test_diff_when_the_heaviest_server_leaves_keeps_weights_relative_to_it(tmp_path):
    heavy = write_list(tmp_path / "a.json", member("s0"), member("s1"), member("s2", 4))
    left = write_list(tmp_path / "b.json", member("s0"), member("s1"))
    report = read_report("diff", heavy, left)
    assert {move["from"] for move in report["moves"]} == {"s2"} and report["moved"] == report["least"]


def test_explain_lists_servers_clockwise_and_the_first_of_a_zone():
    report = read_report("explain", "menu:17", SERVERS, "--zone", "east", "--steps", "2")
    fleet = read_fleet(SERVERS)
    order = list(steps(fleet, "menu:17"))
    assert sorted(step.cache.id for step in order) == [cache.id for cache in fleet.caches]
    assert [row["id"] for row in report["servers"]] == [step.cache.id for step in order[:2]]
    assert [step.away for step in order] == sorted(step.away for step in order)
    assert report["first_in_zone"]["id"] == next(step.cache.id for step in order if step.cache.zone == "east")
    assert {"at its cap", "barred", "failed the request", "draining"} <= set(report["passed_over_when"])
    text = run_ring("explain", "menu:17", SERVERS, "--zone", "east").stdout
    assert "5c62737d" in text and "first in zone east: " in text and "live load" in text


def test_origin_kind_is_read_from_configurations_of_both_formats(tmp_path):
    members = [member("a"), member("b", flavor="store"), member("c", flavor="origin")]
    platform = json.loads((ROOT / "examples" / "config.json").read_text())
    platform["known"]["members"] = members
    platform["settings"]["kinds"] = ["box", "store"]
    (tmp_path / "p.json").write_text(json.dumps(platform))
    own = (ROOT / "examples" / "node.toml").read_text().replace('"origin"', '"store"')
    tables = [
        "[[known.members]]\n" + "\n".join(f"{name} = {json.dumps(value)}" for name, value in one.items())
        for one in members
    ]
    (tmp_path / "o.toml").write_text("\n".join([own, *tables]))
    for file in ("p.json", "o.toml"):
        report = read_report("show", tmp_path / file)
        assert report["off_ring"] == {"b": "the origin"}
        assert read_report("show", tmp_path / file, "--origin-kind", "origin")["off_ring"] == {
            "c": "the origin"
        }
    platform["settings"]["familyInfo"]["mode"] = "through"
    (tmp_path / "p.json").write_text(json.dumps(platform))
    assert len(read_report("show", tmp_path / "p.json")["servers"]) == 3


def test_every_fault_of_an_invalid_list_is_reported_with_its_path(tmp_path):
    invalid = write_list(
        tmp_path / "bad.json",
        member("a", -1),
        member("a", phase="gone"),
        member("", host_port="nowhere:1"),
        {"id": "x", "phase": "in_service"},
        7,
        complete=False,
    )
    none = tmp_path / "none.json"
    done = run_ring("diff", invalid, none)
    assert done.exit_code == 2 and not done.stdout
    lines = done.stderr.splitlines()
    start = f"flintridge: {invalid}: "
    paths = [line.removeprefix(start).split(": ")[0] for line in lines[:-1]]
    assert paths[:5] == ["members[0].size", "members[1].phase", "members[2].id", "members[4]", "complete"]
    assert paths[5:] == ["members[1].id", "members[2].host_port", "members[3].host_port"]
    assert lines[-1] == f"flintridge: {none}: No such file or directory"


@pytest.mark.parametrize(
    ("name", "text", "said"),
    [
        ("a.json", "[1]", "must be a list of servers"),
        ("a.json", '{"members": [', "line 1, column 14: not JSON"),
        ("a.json", '{"members": [], "complete": true}', "revision: is missing"),
        ("a.json", '{"settings": {}}', "known: is missing"),
        ("a.json", '{"settings": {"zone": "x"}}', "settings.zone: 'x'"),
        ("a.toml", "name = 3", "name: 3: must be text"),
        ("a.toml", "name =", "line 1, column 7: not TOML"),
    ],
)
def test_other_invalid_files_are_reported_as_messages(tmp_path, name, text, said):
    (tmp_path / name).write_text(text)
    for arguments in (("show",), ("explain", "k")):
        done = run_ring(*arguments, tmp_path / name)
        assert done.exit_code == 2 and f"flintridge: {tmp_path / name}: {said}" in done.stderr
        assert not done.stdout


def test_invalid_arguments_and_outputs(tmp_path):
    assert run_ring("show", tmp_path).stderr == f"flintridge: {tmp_path}: Is a directory\n"
    for arguments in (("show", SERVERS), ("explain", "k", SERVERS)):
        done = run_ring(*arguments, "--zone", "north")
        assert done.exit_code == 2 and "there: 'east', 'west'" in done.stderr
    assert run_ring("explain", "k", SERVERS, "--steps", "0").exit_code == 2
    assert "not UTF-8" in run_ring("explain", "\udcff", SERVERS).stderr
    out = tmp_path / "out.json"
    assert (
        run_ring("show", SERVERS, "--json", out).exit_code == 0
        and json.loads(out.read_text())["revision"] == 41
    )
    assert run_ring("show", SERVERS, "--json", out).exit_code == 2
    assert run_ring("show", SERVERS, "--json", out, "--force").exit_code == 0
    bracketed = write_list(tmp_path / "l.json", member("[red]a"))
    assert "[red]a" in run_ring("show", bracketed).stdout


def test_the_commands_of_the_operators_page_run(tmp_path, monkeypatch):
    page = (ROOT / "docs" / "ring.md").read_text()
    commands = [line.split()[1:] for line in page.splitlines() if line.startswith("    flintridge ring ")]
    assert {arguments[1] for arguments in commands} == {"show", "diff", "explain"}
    monkeypatch.chdir(ROOT)
    for arguments in commands:
        assert run_ring(arguments[1], "--help").stdout.count("flintridge ring") > 1
        arguments = [str(tmp_path / word) if word == "shares.json" else word for word in arguments]
        assert run_ring(*arguments[1:]).exit_code == 0
