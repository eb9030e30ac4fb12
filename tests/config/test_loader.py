"""Loading of configuration files in both formats."""

import json
import os
import subprocess
import sys

import pytest
import tomli_w
from support.configuration import NODE, PLATFORM
from support.paths import ROOT

from flintridge import api
from flintridge.config.check import check_file
from flintridge.config.errors import ConfigError
from flintridge.config.loader import load_config
from flintridge.config.node_file import parse_node_file
from flintridge.config.platform_config import node_config

NODE_EXAMPLE = ROOT / "examples" / "node.toml"
PLATFORM_EXAMPLE = ROOT / "examples" / "config.json"


def load(path):
    return load_config({"PROXY_CONFIG": str(path)})


def test_load_config_when_given_the_platforms_example_then_loads_mode_and_address():
    config = load(PLATFORM_EXAMPLE)
    assert config.settings.mode is api.CacheMode.ASIDE
    assert config.listen.host == "127.0.0.1"


def test_load_config_when_the_examples_differ_in_format_then_the_configurations_are_equal(tmp_path):
    as_json = tmp_path / "own.json"
    as_json.write_text(json.dumps(NODE))
    assert load(NODE_EXAMPLE) == load(PLATFORM_EXAMPLE)
    assert load(as_json) == load(PLATFORM_EXAMPLE)


def test_check_when_the_platforms_file_has_unknown_and_null_keys_then_accepts_it(tmp_path):
    path = tmp_path / "platform.json"
    settings = PLATFORM["settings"] | {"tenants": None, "x": 1}
    path.write_text(json.dumps(PLATFORM | {"new": 1, "listen": None, "settings": settings}))
    assert "listen from the environment" in check_file(str(path), {})


def test_parse_node_file_when_listen_is_left_out_then_takes_it_from_the_environment():
    values = {name: value for name, value in NODE.items() if name != "listen"}
    text = tomli_w.dumps(values).encode()
    with pytest.raises(ConfigError, match="listen: is missing, and PROXY_LISTEN has no address either"):
        parse_node_file("f.toml", text, {})
    assert parse_node_file("f.toml", text, {"PROXY_LISTEN": "[::1]:5"}).listen.host == "::1"


def test_node_when_its_file_has_faults_then_prints_each_and_exits_with_2(tmp_path):
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


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        ({"sockets": 1e300}, "limits: .* sockets are too many"),
        ({"memory_mb": 1e308}, "limits: .* MB of memory is too much"),
    ],
)
def test_load_config_when_a_limit_is_beyond_any_machine_then_names_the_section(tmp_path, limits, reason):
    path = tmp_path / "platform.json"
    path.write_text(json.dumps(PLATFORM | {"limits": limits}))
    with pytest.raises(ConfigError, match=reason):
        load(path)


def test_load_config_when_an_integer_is_given_as_an_infinite_number_then_names_the_section():
    config = PLATFORM | {
        "limits": {"sockets": float("inf")}
    }  # JSON has no infinity; a caller that builds the object may pass it
    with pytest.raises(ConfigError, match="limits: cannot convert float infinity to integer"):
        node_config(config, {})
