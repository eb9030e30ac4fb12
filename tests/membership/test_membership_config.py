"""`[peers]` in configurations and scenarios: errors name their place; without it there is no membership."""

import json
import subprocess
import sys
import tomllib
from dataclasses import replace

import msgspec
import pytest
from support.paths import ROOT

from flintridge import api
from flintridge.config.address import Address
from flintridge.config.check import check_file
from flintridge.config.errors import ConfigError
from flintridge.config.node_file import parse_node_file
from flintridge.config.platform_config import node_config
from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.faults.check import check
from flintridge.lab.partial.node_file_format import to_node_file
from flintridge.lab.record_log import RecordLog
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load, names
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import Network, VirtualLoop
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link_table import LinkTable
from flintridge.membership.messages import MessageKind

EXAMPLE = (ROOT / "examples" / "node.toml").read_text()
PEERS = """
[peers]
listen = "127.0.0.1:7201"
fleet = "canteens"
known = { n1 = "127.0.0.1:7201", n2 = "127.0.0.1:7202" }
"""


def read(peers: str, path="n.toml"):
    return parse_node_file(path, (EXAMPLE + peers).encode(), {})


def test_read_when_the_table_is_valid_then_returns_its_values_and_defaults():
    peers = read(PEERS).peers
    assert peers.listen == Address("127.0.0.1", 7201)
    assert peers.fleet == "canteens"
    assert peers.key is None
    assert dict(peers.known)["n2"] == Address("127.0.0.1", 7202)
    assert peers.bytes_per_s == 16_000
    assert read("").peers is None


@pytest.mark.parametrize(
    ("change", "fault"),  
    [
        (("127.0.0.1:7201\"\nfleet", "here:1\"\nfleet"), "peers.listen: 'here:1': must be a numeric address"),
        (
            ("127.0.0.1:7201\"\nfleet", "127.0.0.1:11211\"\nfleet"),
            ": '127.0.0.1:11211': is also the listen address",
        ),
        (("127.0.0.1:7201\"\nfleet", "10.0.0.1:7201\"\nfleet"), "must be a loopback address, or a key_file"),
        (("n2 = \"127.0.0.1:7202\"", "n2 = \"127.0.0.1:7201\""), "peers.known.n2: '127.0.0.1:7201'"),
        (("n2 = \"127.0.0.1:7202\"", "n2 = 3"), "peers.known.n2: 3"),
        (("n2 = \"127.0.0.1:7202\"", "\"no name\" = \"127.0.0.1:7202\""), "is not a valid name"),
        (("known = {", "known = {} #"), "peers.known: '0 names': must be 1 to 2000 peers"),
        (("fleet = \"canteens\"", "fleet = \"\""), "peers.fleet: ''"),
        (("fleet = \"canteens\"", "fleet = \"c\"\nbytes_per_s = 10"), "peers.bytes_per_s: 10: must be"),
        (("fleet = \"canteens\"", "fleet = \"c\"\nkey_file = \"/nowhere\""), "peers.key_file: '/nowhere'"),
        (("fleet = \"canteens\"", "fleet = \"c\"\nkeyfile = \"k\""), "did you mean key_file?"),
    ],
)  # fmt: skip
def test_read_when_a_value_is_invalid_then_names_its_place(change, fault):
    with pytest.raises(ConfigError) as caught:
        read(PEERS.replace(*change))
    lines = str(caught.value).splitlines()
    assert len(lines) == 1, lines
    assert fault in lines[0], lines
    assert lines[0].startswith("n.toml: "), lines


@pytest.mark.parametrize(("size", "sound"), [(15, False), (16, True), (64, True), (65, False)])
def test_read_when_the_key_has_not_16_to_64_bytes_then_raises(tmp_path, size, sound):
    key = tmp_path / "key"
    key.write_bytes(b"k" * size + b"\n")
    text = PEERS.replace('fleet = "canteens"', f'fleet = "c"\nkey_file = "{key}"').replace(
        "127.0.0.1:72", "10.0.0.9:72"
    )
    if sound:
        assert read(text).peers.key == b"k" * size
    else:
        with pytest.raises(ConfigError, match="must be a file of 16 to 64 bytes"):
            read(text)


def test_check_when_a_file_has_peers_accepts_it_and_the_platforms_json_has_none(tmp_path):
    file = tmp_path / "n1.toml"
    file.write_text(EXAMPLE + PEERS)
    assert "node n1" in check_file(str(file))
    platform = json.loads((ROOT / "examples" / "config.json").read_text())
    assert node_config({**platform, "peers": tomllib.loads(PEERS)["peers"]}, {}).peers is None


def test_import_when_a_node_has_no_peers_then_loads_no_fleet_package():
    code = (
        "import sys, flintridge.__main__; from flintridge.config.loader import load_config;"
        "from flintridge.node import Node;"
        "names = ('membership', 'leases', 'replication', 'peers', 'budgets', 'replica', 'msgspec');"
        "print(*(name for name in sys.modules if any(one in name for one in names)))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    assert done.stdout.split() == []


# Scenarios of the lab


@pytest.mark.parametrize("name", sorted(names()))
def test_own_format_when_a_lab_configuration_is_converted_reads_back_the_same(name):
    scenario = load(name)
    links = LinkTable(scenario.links, Seeds(1))
    loop = VirtualLoop(Network(links.link))
    world = SimulatedFleet(scenario, Seeds(1), RecordLog(), VirtualFabric(loop, links, 1.0), GroundTruth())

    async def configs():
        await world.open()
        made = [node_config(world.node_config(node), {}) for node in world.nodes[:2]]
        await world.close()
        return made

    for config in loop.run(configs()):
        again = parse_node_file("n.json", json.dumps(to_node_file(config)).encode(), {})
        for field in config.__dataclass_fields__:
            if field not in ("settings", "known"):
                assert getattr(again, field) == getattr(config, field), field
        # The deduplication window and scope only apply to keyed classes; the platform states them for all.
        defaults = {"deduplication_window_ns": 0, "deduplication_scope": api.DeduplicationScope.ALL}
        assert again.settings.classes == tuple(
            cls if cls.effect is api.Effect.KEYED else replace(cls, **defaults)
            for cls in config.settings.classes
        )
        assert again.settings.limits == config.settings.limits
        assert again.settings.rules == config.settings.rules
        assert again.settings.tenants == config.settings.tenants


FAULT = {"what": "peer_link", "nodes": [0], "cut": True}


@pytest.mark.parametrize(
    ("changes", "found"),
    [
        ({"peers": None}, "faults[0].what: 'peer_link' impairs links between peers"),
        ({"faults": [{**FAULT, "nodes": [9]}]}, "faults[0].nodes[0]: there is no node 9; allowed is 0 to 2"),
        ({"faults": [{**FAULT, "to": [3]}]}, "faults[0].to[0]: there is no node 3; allowed is 0 to 2"),
        ({"faults": [{**FAULT, "nodes": [0, 1, 2]}]}, "faults[0].to: all nodes are in nodes"),
        ({"faults": [{**FAULT, "cut": False}]}, "faults[0].cut: the link is not impaired"),
        (
            {"faults": [{**FAULT, "once": {"line": "peers", "node": 5}}]},
            "faults[0].once.node: there is no node 5",
        ),
        ({"faults": [{**FAULT, "once": {"node": 1}}]}, "faults[0].once: exactly one of line, heard and"),
        (
            {"peers": None, "faults": [{"what": "flush", "once": {"heard": 1}}]},
            "faults[0].once.heard: nodes without peers never show this",
        ),
        (
            {"faults": [{"what": "burst", "once": {"line": "peers"}}]},
            "faults[0].once: clients schedule a burst in advance",
        ),
    ],
)
def test_check_when_a_scenario_is_invalid_then_names_the_place(changes, found):
    raw = {"nodes": {"count": 3}, "peers": {}, "faults": [FAULT], **changes}
    faults = check(msgspec.convert(raw, Scenario))
    assert len(faults) == 1, faults
    assert faults[0].startswith(found), faults


DAY = {"nodes": {"count": 3}, "length_s": 8.0, "warmup_s": 2.0, "load": {"rate_per_s": 40.0}}


def test_run_when_every_link_is_cut_then_serves_as_without_peers():
    days = [
        play(msgspec.convert({**DAY, **more}, Scenario), 3)
        for more in (
            {},
            {"peers": {}, "faults": [{"what": "peer_link", "nodes": [0, 1], "to": [0, 1, 2], "both": True,
                                      "cut": True, "at_s": 0, "for_s": 8}]},
        )
    ]  # fmt: skip
    assert days[0].goodput == pytest.approx(days[1].goodput, abs=0.003)
    assert days[1].violation_count == 0


@pytest.mark.parametrize("nth", [1, 2])
def test_once_when_its_log_line_is_seen_then_begins_the_fault_else_never(nth, tmp_path):
    once = {"line": "peers_heard", "node": 1, "nth": nth, "until_s": 5}
    raw = {
        **DAY,
        "peers": {},
        "faults": [
            {"what": "node_kill", "nodes": [0], "at_s": 1.0, "for_s": 0},
            {"what": "node_pause", "nodes": [2], "at_s": 0.5, "for_s": 1.0, "once": once},
        ],
    }
    events = tmp_path / "events"
    result = play(msgspec.convert(raw, Scenario), 3, events=events)
    records = [json.loads(line) for line in events.read_text().splitlines()]
    lines = [r for r in records if r["what"] == "line" and r["event"] == "peers_heard" and r["t"] > 500]
    (seen,) = [r["t"] for r in lines if r["node"] == "n1"]
    paused = [r["t"] for r in records if r["what"] == "node" and r["state"] == "paused"]
    assert paused == ([seen] if nth == 1 else [])  # a second log line never comes
    assert result.end_reason == "whole"


@pytest.mark.parametrize(
    "sign", [{"heard": 2, "node": 1}, {"datagram": "ask", "nth": 2}, {"line": "drained"}]
)
def test_once_when_its_trigger_is_seen_then_begins_the_fault_at_that_time(sign, tmp_path):
    drain = {"what": "node_drain", "nodes": [1], "at_s": 1.0, "for_s": 2.0}
    kill = {"what": "node_kill", "nodes": [0], "at_s": 1.0, "for_s": 0}
    pause = {
        "what": "node_pause",
        "nodes": [2],
        "at_s": 0.5,
        "for_s": 0.5,
        "once": {"until_s": 7.0, **sign},
    }
    raw = {**DAY, "peers": {}, "faults": [kill, drain, pause]}
    events = tmp_path / "events"
    play(msgspec.convert(raw, Scenario), 3, events=events)
    records = [json.loads(line) for line in events.read_text().splitlines() if '"t":-' not in line]
    paused = next(i for i, r in enumerate(records) if r["what"] == "node" and r["state"] == "paused")
    seen = {
        "heard": lambda r: r["what"] == "view" and r["node"] == "n1" and r["heard"] <= 2,
        "datagram": lambda r: r["what"] == "datagram" and r["kind"] == MessageKind.PING_REQUEST,
        "line": lambda r: r["what"] == "line" and r["event"] == "drained",
    }[next(iter(sign))]
    trigger_times = [r["t"] for r in records[:paused] if r["t"] >= 500 and seen(r)]
    assert len(trigger_times) >= sign.get("nth", 1)
    assert records[paused]["t"] == trigger_times[sign.get("nth", 1) - 1]


def test_run_when_the_seed_is_the_same_gives_the_same_digest_with_peers():
    raw = {
        **DAY,
        "peers": {},
        "faults": [{"what": "peer_link", "nodes": [0], "loss": 0.3, "at_s": 1, "for_s": 5}],
    }
    digests = {play(msgspec.convert(raw, Scenario), 5).digest for _ in range(2)}
    assert len(digests) == 1
