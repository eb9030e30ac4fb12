"""Configuration files and scenarios: every fault at once, and nothing but faults for whatever comes in."""

import copy
import json
import os
import subprocess
import sys
import tomllib

import msgspec
import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from support.paths import ROOT

from flintridge.config import platform_model, platform_settings
from flintridge.config.check import check_file
from flintridge.config.decoding import decode, decode_values
from flintridge.config.errors import ConfigError
from flintridge.config.faults import ConfigFaultsError
from flintridge.config.loader import load_config
from flintridge.config.model import NodeFile
from flintridge.config.node_file import parse_node_file
from flintridge.config.node_file_validation import validate_node_file
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints
from flintridge.lab.scenario.load import dump, load, names
from flintridge.lab.scenario.model import Scenario

NODE = tomllib.loads((ROOT / "examples" / "node.toml").read_text())
PLATFORM = json.loads((ROOT / "examples" / "config.json").read_text())
LISTED = {"id": "s1", "host_port": "127.0.0.1:7", "phase": "in_service", "up_since_ms": 0, "size": 1.0}
PLATFORM["known"]["members"] = [LISTED | {"flavor": "box", "locality": "here", "cell": 3}]
DAY = tomllib.loads(dump(load("catastrophe"), whole=True))
play = settings(derandomize=True, deadline=None, database=None, max_examples=150)


def lines_of(call, *args):
    with pytest.raises(ConfigFaultsError) as caught:
        call(*args)
    return str(caught.value).splitlines()


def told(changes: str, also=validate_node_file) -> list[str]:
    return lines_of(decode, "n.toml", changes.encode(), NodeFile, also)


def test_all_faults_are_told_at_once_with_place_value_and_what_is_allowed():
    assert told(
        """
        listen = "here:1"
        seed = "xyz"
        kindz = 3
        [[classes]]
        name = "read"
        aim_ms = 5000
        deadline_ms = 100
        [[classes]]
        name = "read"
        aim_ms = -4
        deadline_ms = 1
        effect = "sfae"
        window_ms = 3
        [[classes]]
        aim_ms = true
        [machine]
        sockets = 8.5
        [rules]
        cold_s = 9
        """
    ) == [
        "n.toml: kindz: 3: unknown name: did you mean kinds?",
        "n.toml: seed: 'xyz': must be text matching ^[0-9a-fA-F]{1,32}$(?!\\n)",
        "n.toml: machine.sockets: 8.5: must be a whole number >= 32 and <= 1000000",
        "n.toml: classes[1].aim_ms: -4: must be > 0 and <= 86400000",
        "n.toml: classes[1].effect: 'sfae': must be one of 'keyed', 'safe', 'unsafe'",
        "n.toml: classes[2].name: is missing: it must be text of 1 to 64 characters matching"
        " ^[A-Za-z0-9._-]+$(?!\\n)",
        "n.toml: classes[2].aim_ms: true: must be a number > 0 and <= 86400000",
        "n.toml: listen: 'here:1': must be a numeric address with a port, as 10.0.0.4:11211",
        "n.toml: origin_kind: is missing: it must be named in kinds, which is empty",
        "n.toml: rules.cold_s: 9: says that servers start cold,"
        " but a cold_share of 1 that they can do all at once",
        "n.toml: classes[0].aim_ms: 5000: must be at most the deadline_ms of 100",
        "n.toml: classes[1].name: 'read': is the name of classes[0] too",
    ]


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ('aim = "1.2s"', "classes[0].aim: '1.2s': wrong unit: it is aim_ms (milliseconds)"),
        ("aim_s = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aim_ns = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aimSeconds = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aimMs = 1", "unknown name: did you mean aim_ms?"),
        ('aim_ms = "1.2s"', "write 1200, the unit is in the name"),
        ('aim_ms = "12"', "'12': must be a number > 0"),
        ("aim_ms = nan", "nan: must be a number > 0"),
        ("aim_ms = inf", "inf: must be a number > 0"),
        ("aim_ms = 1979-05-27", "must be a number > 0"),
        (f"aim_ms = 0x{'f' * 5000}", "must be > 0 and <= 86400000"),
        ("qqq = 1", "unknown name: known here are name, aim_ms, deadline_ms,"),
        ('"a\\nb" = 1', "classes[0].'a\\nb': 1: unknown name"),
        ('"" = 1', "classes[0].'': 1: unknown name"),
    ],
)
def test_units_and_names_that_are_not_meant_so(line, said):
    (fault,) = told(f'[[classes]]\nname = "a"\n{line}\n', also=None)
    assert said in fault


@pytest.mark.parametrize(
    ("path", "change"),
    [
        ("zone", {"zone": "there"}),
        ("zone", {"zones": ["a", "b"]}),
        ("zones[1]", {"zones": ["here", "here"], "zone": "here"}),
        ("origin_kind", {"origin_kind": "orgin"}),
        ("origin_kind", {"mode": "through"}),
        ("self_index", {"self_index": 1}),
        ("discovery", {"discovery": "127.0.0.1:11211"}),
        ("discovery", {"discovery": "127.0.0.1:99999"}),
        ("tenants[1].name", {"tenants": [{"name": "a"}, {"name": "a"}]}),
        ("tenants", {"tenants": [{"name": "a", "share": 0.7}, {"name": "b", "share": 0.4}]}),
        ("classes[0].window_ms", {"classes": [{"name": "a", "window_ms": 1}]}),
        ("classes[0].group", {"classes": [{"name": "a", "effect": "unsafe", "group": "cell"}]}),
        ("limits.max_retry_after_ms", {"limits": {"retry_after": False, "max_retry_after_ms": 1}}),
        ("limits.max_attempts", {"limits": {"max_attempts": 1, "second_copies": True}}),
        ("rules.cold_share", {"rules": {"cold_share": 0.5}}),
        ("rules.fall_ms", {"rules": {"fall_multiple": 3}}),
        ("rules.fall_multiple", {"rules": {"fall_ms": 3}}),
        ("goal", {"goal": {"whole": 0}}),
        ("known.members[1].id", {"known": {"members": [{"id": "s", "host_port": "[::1]:1"}] * 2}}),
        ("known.members[0].host_port", {"known": {"members": [{"id": "s", "host_port": "::"}]}}),
    ],
)
def test_contradictions_are_refused(path, change):
    (line,) = lines_of(decode_values, "f", NODE | change, NodeFile, validate_node_file)
    assert line.startswith(f"f: {path}: ")


@pytest.mark.parametrize(
    ("file", "text", "said"),
    [
        ("a.toml", b"a = 1\nb = = 2", "a.toml: line 2, column 5: not TOML: Invalid value"),
        ("a.toml", b"a = 1\na = 2", "line 2, column 6: not TOML: Cannot overwrite a value"),
        ("a.toml", b'a = "', "line 1, column 6: not TOML"),
        ("a.toml", b"a = 1\nb = '\xff'", "line 2, column 6: not UTF-8 text"),
        ("a.toml", b"a = " + b"[" * 10**5, "not TOML: nested too deeply"),
        ("a.toml", b"a = 1" + b"0" * 5000, "not TOML: "),
        ("a.json", b'{"a": 1,\n "b": }', "a.json: line 2, column 7: not JSON: Expecting value"),
        ("a.json", b'{"a": 1, "a": 2}', "'a' stands twice in one object"),
        ("a.json", b'{"a": NaN}', "NaN is not a value"),
        ("a.json", b"[" * 10**5, "not JSON: nested too deeply"),
        ("a.json", b"[1]", "a.json: [1]: must be a table"),
        ("a.json", b'{"classes": [{"name": "\\ud800"}]}', "holds half a character"),
        ("a.json", b'{"\\ud800": 1, "classes": [{"name": "a"}]}', "'\\ud800': 1: unknown name"),
    ],
)
def test_text_that_cannot_be_read_is_told_by_line_and_column(file, text, said):
    (line,) = lines_of(decode, file, text, NodeFile)
    assert said in line and line.isprintable()


junk = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 10**20)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(["crash", "read", "1.2s", "through", "x" * 500, 10**400, "127.0.0.1:1"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=5,
)


def places(value, path=()):
    yield path
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for step, one in inner:
        yield from places(one, (*path, step))


@st.composite
def spoilt(draw, good):
    """A good file with up to three places changed, taken out or given a name too many."""
    raw = copy.deepcopy(good)
    for _ in range(draw(st.integers(1, 3))):
        *path, last = draw(st.sampled_from([place for place in places(raw) if place]))
        at = raw
        for step in path:
            at = at[step]
        change = draw(st.integers(0, 4))
        if change == 0:
            del at[last]
        elif change == 1 and isinstance(at, dict):
            at[draw(st.text(min_size=1, max_size=8))] = draw(junk)
        else:
            at[last] = draw(junk)
        if not raw:
            break
    return raw


def holds_to_its_word(raw, kind, also=None):
    """Refused by us where the library refuses it, and only there; each fault with its place and reason."""
    try:
        msgspec.convert(raw, kind)
        sound = True
    except msgspec.ValidationError:
        sound = False
    try:
        decode_values("f.toml", raw, kind, also)
    except ConfigFaultsError as error:
        assert error.faults and all(fault.reason for fault in error.faults)
        assert len(str(error).splitlines()) == len(error.faults) and "Traceback" not in str(error)
        return False, sound
    return True, sound


@play
@given(spoilt(NODE) | junk)
def test_a_spoilt_configuration_is_refused_and_never_breaks(raw):
    ours, theirs = holds_to_its_word(raw, NodeFile)
    assert theirs or not ours
    with_contradictions, _ = holds_to_its_word(raw, NodeFile, validate_node_file)
    assert ours or not with_contradictions


@play
@given(spoilt(DAY) | junk)
def test_a_spoilt_scenario_is_refused_where_the_library_refuses_it(raw):
    ours, theirs = holds_to_its_word(raw, Scenario)
    text = repr(raw)
    assert theirs or not ours
    assert ours or not theirs or "nan" in text or "inf" in text or "\\ud" in text


@play
@given(spoilt(PLATFORM))
def test_what_check_passes_of_the_platforms_file_a_node_takes(tmp_path_factory, raw):
    path = tmp_path_factory.getbasetemp() / "platform.json"
    path.write_text(json.dumps(raw))
    try:
        check_file(str(path), {})
    except ConfigFaultsError:
        return
    env = {"PROXY_CONFIG": str(path), "PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"}
    config = load_config(env)

    class Still:
        from_unix = staticmethod(float)

    configured_endpoints(config, EndpointList(config.zones, config.kinds, config.settings, Still()))


@play
@given(st.binary(max_size=60), st.sampled_from(["a.toml", "a.json"]))
def test_any_bytes_are_refused_without_breaking(text, file):
    assert lines_of(decode, file, text, NodeFile)


def test_both_formats_lead_to_the_same_node_and_the_platforms_stays_lenient(tmp_path):
    both = [
        load_config({"PROXY_CONFIG": str(ROOT / "examples" / name)}) for name in ("config.json", "node.toml")
    ]
    assert both[0] == both[1]
    as_json = tmp_path / "own.json"
    as_json.write_text(json.dumps(NODE))
    assert load_config({"PROXY_CONFIG": str(as_json)}) == both[0]
    odd = PLATFORM | {"new": 1, "listen": None, "settings": PLATFORM["settings"] | {"tenants": None, "x": 1}}
    as_json.write_text(json.dumps(odd))
    assert "listen from the environment" in check_file(str(as_json), {})
    left = {name: value for name, value in NODE.items() if name != "listen"}
    with pytest.raises(ConfigError, match="listen: is missing, and PROXY_LISTEN holds no address either"):
        parse_node_file("f.toml", tomli_w.dumps(left).encode(), {})
    assert (
        parse_node_file("f.toml", tomli_w.dumps(left).encode(), {"PROXY_LISTEN": "[::1]:5"}).listen.host
        == "::1"
    )


def test_check_knows_every_name_that_a_node_reads_of_the_platforms_file():
    tables = {
        platform_model.Service: platform_settings.CLASS_KEYS,
        platform_model.Tenant: platform_settings.TENANT_KEYS,
        platform_model.Rules: platform_settings.RULE_KEYS,
        platform_model.Permissions: platform_settings.LIMIT_KEYS,
        platform_model.Prices: platform_settings.PRICE_KEYS,
        platform_model.Goal: platform_settings.GOAL_KEYS,
        platform_model.Settings: platform_settings.SETTINGS_KEYS,
    }
    for struct, keys in tables.items():
        assert set(keys) <= {field.encode_name for field in msgspec.structs.fields(struct)}


def test_a_node_tells_all_faults_of_its_own_format_and_ends_with_2(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('nmae = "x"\n[[classes]]\nname = "a"\naim_s = 3\n')
    env = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    command = [sys.executable, "-m", "flintridge"]
    done = subprocess.run(
        command, cwd=ROOT, env=env | {"PROXY_CONFIG": str(path)}, capture_output=True, text=True
    )
    assert done.returncode == 2
    assert done.stderr.splitlines() == [
        f"flintridge: {path}: nmae: 'x': unknown name: did you mean name?",
        f"flintridge: {path}: classes[0].aim_s: 3: wrong unit: it is aim_ms (milliseconds)",
        f"flintridge: {path}: origin_kind: is missing: it must be named in kinds, which is empty",
    ]


# Scenarios


@pytest.mark.parametrize("whole", [False, True])
def test_shipped_scenarios_are_sound_and_come_back_from_their_text(tmp_path, whole):
    for name, about in names().items():
        day = load(name)
        (tmp_path / "day.toml").write_text(dump(day, whole=whole))
        assert about and day.name == name and load(tmp_path / "day.toml") == day


def test_overrides_change_single_values_also_those_the_file_leaves_out(tmp_path):
    (tmp_path / "day.toml").write_text('faults = [{ what = "crash", count = 1 }]\n')
    changes = ["load.rate_per_s=300", "faults[0].for_s=3", "kinds[0].cores=4", "load.shape=wave"]
    day = load(tmp_path / "day.toml", [*changes, "discovery.notice_s[1]=9", 'zones=["a", "b"]'])
    assert (day.load.rate_per_s, day.faults[0].for_s, day.kinds[0].cores) == (300, 3, 4)
    assert (day.load.shape, day.discovery.notice_s, day.zones) == ("wave", (0.5, 9), ("a", "b"))


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ("load.rate=3", "--set load.rate=3: load.rate: 3: wrong unit: it is rate_per_s (a second)"),
        ("faults[9].for_s=3", "--set faults[9].for_s=3: there is no [9] in a list of 6"),
        ("links.jitter[1]=3", "a value stands where a list is needed"),
        ("length_s.x=3", "a value stands where a table is needed"),
        ("load", "must be PATH=VALUE"),
        ("a..b=1", "'a..b' is not a path"),
        ("[0]=1", "'[0]' is not a path"),
        ("load.shape=[", "'[' is not a TOML value"),
        ("length_s=3\nname='x'", "is more than one value"),
        ("load.trace=none.jsonl", "load.trace: there is no file"),
        ("faults[0].what=crahs", "unknown: did you mean crash?"),
    ],
)
def test_a_wrong_override_is_one_line_that_names_it(change, said):
    (line,) = lines_of(load, "catastrophe", [change])
    assert said in line and line.startswith("--set ")


def test_a_scenario_stands_upon_another_table_by_table_and_never_upon_itself(tmp_path):
    (tmp_path / "t.jsonl").touch()
    (tmp_path / "a.toml").write_text('base = "calm"\nname = "a"\n[load]\nswing = 0.5\ntrace = "t.jsonl"\n')
    (tmp_path / "b.toml").write_text('base = "a.toml"\nservers = [{ kind = "mid", count = 3 }]\n')
    day, calm = load(tmp_path / "b.toml"), load("calm")
    assert (day.name, day.load.swing, day.load.rate_per_s) == ("a", 0.5, calm.load.rate_per_s)
    assert len(day.servers) == 1 and day.load.trace == str(tmp_path / "t.jsonl")
    (tmp_path / "a.toml").write_text('base = "b.toml"\n')
    (line,) = lines_of(load, tmp_path / "b.toml")
    assert "base: " in line and "leads back" in line
    (tmp_path / "a.toml").write_text('base = "none.toml"\n')
    assert "cannot be read" in lines_of(load, tmp_path / "a.toml")[0]
    assert "did you mean calm?" in lines_of(load, "clam")[0]
