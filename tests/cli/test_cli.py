"""The command line: exit codes, error messages of one line, and that a node imports nothing of it."""

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import click
import pytest
from click.testing import CliRunner
from support.paths import ROOT

from flintridge.cli.exits import CommandError, errors_as_lines, output_path
from flintridge.cli.lab import COMMANDS as LAB
from flintridge.cli.lazy import LazyCommand, LazyGroup
from flintridge.cli.main import COMMANDS, main
from flintridge.config.faults import ConfigFault, ConfigFaultsError

NODE = str(ROOT / "examples" / "node.toml")


def run_command(*arguments: str):
    return CliRunner().invoke(main, list(arguments), prog_name="flintridge")


def test_check_reports_every_fault_of_every_file_and_the_valid_files(tmp_path):
    bad, worse = tmp_path / "bad.toml", tmp_path / "worse.json"
    bad.write_text(Path(NODE).read_text().replace("aim_ms = 1200", "aim_ms = -4"))
    worse.write_text('{"settings": {"services": [{"sloNs": -4}, {"group": "x"}]}, "listen": "somewhere"}')
    done = run_command("check", NODE, str(bad), str(worse), str(tmp_path / "none.toml"), str(tmp_path))
    assert done.exit_code == 2
    assert done.stdout.startswith(f"{NODE}: valid: node n1,") and done.stdout.count("\n") == 1
    assert done.stderr.splitlines() == [
        f"flintridge: {bad}: classes[0].aim_ms: -4: must be > 0 and <= 86400000",
        f"flintridge: {bad}: classes[1].aim_ms: -4: must be > 0 and <= 86400000",
        f"flintridge: {worse}: settings.services[0].sloNs: -4: must be >= 0 and <= 1e+18",
        f"flintridge: {worse}: settings.services[1].group: 'x': must be one of 'all', 'cell', 'zone'",
        f"flintridge: {worse}: listen: 'somewhere': must be a numeric address with a port, as 10.0.0.4:11211",
        f"flintridge: {tmp_path}/none.toml: No such file or directory",
        f"flintridge: {tmp_path}: Is a directory",
    ]
    assert run_command("check", NODE, str(ROOT / "examples" / "config.json")).exit_code == 0
    assert run_command("check").exit_code == 2


def matches(schema, value, part):
    """Whether a value matches a schema, by the names of its keys, the types and the minimums."""
    part = schema["$defs"][part["$ref"].rsplit("/", 1)[1]] if "$ref" in part else part
    if "anyOf" in part:
        return any(matches(schema, value, one) for one in part["anyOf"])
    if isinstance(value, dict):
        known = part.get("properties", {})
        return set(part.get("required", ())) <= set(value) and all(
            name in known and matches(schema, one, known[name]) for name, one in value.items()
        )
    if isinstance(value, list):
        return part.get("type") == "array" and all(matches(schema, one, part["items"]) for one in value)
    if "enum" in part:
        return value in part["enum"]
    kinds = {bool: ("boolean",), int: ("integer", "number"), float: ("number",), str: ("string",)}
    return part.get("type") in kinds[type(value)] and not value < part.get("minimum", value)


def test_schemas_accept_the_examples_and_reject_other_names():
    example = tomllib.loads(Path(NODE).read_text())
    schema = json.loads(run_command("check", "--schema").stdout)
    assert matches(schema, example, schema) and not matches(schema, example | {"nmae": 1}, schema)
    assert not matches(schema, example | {"machine": {"sockets": 3}}, schema)
    scenario = tomllib.loads(run_command("lab", "show", "calm").stdout)
    schema = json.loads(run_command("check", "--schema", "--scenario").stdout)
    assert matches(schema, scenario, schema) and not matches(schema, scenario | {"load": {"rate": 1}}, schema)


def test_scenarios_are_listed_shown_and_checked(tmp_path):
    assert "\ncalm " in f"\n{run_command('lab', 'list').stdout}" and "calm" in json.loads(
        run_command("lab", "list", "--json").stdout
    )
    (tmp_path / "mine.toml").write_text(run_command("lab", "show", "calm", "--set", "nodes.count=5").stdout)
    done = run_command("check", "--scenario", str(tmp_path / "mine.toml"))
    assert done.exit_code == 0 and "scenario calm, 30 s, 5 nodes" in done.stdout
    done = run_command("lab", "show", "clam")
    assert (done.exit_code, done.stdout) == (2, "") and "did you mean calm?" in done.stderr
    done = run_command("lab", "show", "calm", "--set", "load.rate=3")
    assert done.exit_code == 2 and done.stderr.count("\n") == 1 and "rate_per_s" in done.stderr


@pytest.mark.parametrize(
    "words", [(), ("lab",), *[(name,) for name in COMMANDS], *[("lab", name) for name in LAB]]
)
def test_help_of_every_command_shows_its_usage_and_an_example(words):
    done = run_command(*words, "--help")
    assert done.exit_code == 0 and f"flintridge {' '.join(words)}".strip() in done.stdout
    assert done.stdout.count("flintridge ") > 1 and max(map(len, done.stdout.splitlines())) <= 110


def test_completion_and_version():
    for shell in ("zsh", "fish"):
        assert "_FLINTRIDGE_COMPLETE" in run_command("completion", shell).stdout
    env = {"_FLINTRIDGE_COMPLETE": "zsh_complete", "COMP_WORDS": "flintridge lab show ca", "COMP_CWORD": "3"}
    assert "calm" in CliRunner().invoke(main, [], prog_name="flintridge", env=env).stdout
    assert run_command("--version").stdout.startswith("flintridge, version ")
    assert (
        run_command("completion", "tcsh").exit_code
        == run_command("nothing").exit_code
        == run_command("lab", "nothing").exit_code
        == 2
    )


@pytest.mark.parametrize(
    ("error", "code", "line"),
    [
        (
            ConfigFaultsError([ConfigFault("f", "a", 1, "no"), ConfigFault("f", "b", 2, "no")]),
            2,
            "f: a: 1: no",
        ),
        (OSError(28, "No space left on device", "out.json"), 2, "out.json: No space left on device"),
        (OSError("odd"), 2, "odd"),
        (KeyboardInterrupt(), 1, "interrupted"),
        (
            ModuleNotFoundError("none", name="numpy"),
            2,
            "numpy is not installed: pip install 'flintridge[lab]'",
        ),
    ],
)
def test_expected_errors_are_converted_to_messages(error, code, line):
    @click.command
    def command():
        raise error

    group = LazyGroup("flintridge", table={"go": LazyCommand("flintridge.cli.run", "")})
    group.get_command = lambda ctx, name: command
    done = CliRunner().invoke(group, ["go"])
    assert done.exit_code == code and f"flintridge: {line}" in done.stderr.splitlines()
    with pytest.raises(ValueError, match="an internal error"), errors_as_lines():
        raise ValueError("an internal error ends with a traceback")


def test_output_path_rejects_existing_files_without_force(tmp_path):
    path = tmp_path / "out.json"
    assert output_path(path) == path
    path.touch()
    assert output_path(path, force=True) == path
    for wrong, reason in ((path, "--force"), (tmp_path, "is a folder"), (tmp_path / "no" / "x", "no folder")):
        with pytest.raises(CommandError, match=reason):
            output_path(wrong)


def run_python(*command: str, **env: str):
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    return subprocess.run(
        [sys.executable, *command], cwd=ROOT, env=environment | env, capture_output=True, text=True
    )


def test_run_replaces_its_process_with_the_node(tmp_path):
    wrong = tmp_path / "node.toml"
    wrong.write_text("classes = 3\n")
    done = run_python("-m", "flintridge.cli", "run", "--config", str(wrong))
    assert done.returncode == 2
    assert f"flintridge: {wrong}: classes: 3: must be a list" in done.stderr
    assert run_python("-m", "flintridge.cli", "run").returncode == 2
    sound = tmp_path / "sound.toml"
    sound.write_text(Path(NODE).read_text().replace(":11211", ":0").replace(":8500", ":1"))
    command = [sys.executable, "-m", "flintridge.cli", "run", "--config", str(sound)]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as node:
        try:
            while json.loads(node.stdout.readline())["event"] != "serving":
                pass
            assert b"flintridge.cli" not in Path(f"/proc/{node.pid}/cmdline").read_bytes()
            node.terminate()
            assert node.wait(30) == 0
        finally:
            node.kill()


def test_node_imports_nothing_of_the_command_line_the_lab_or_an_unused_format():
    code = (
        "import sys, flintridge.__main__ as m; from flintridge.config.loader import load_config;"
        "load_config();"
        "print(*sorted(name for name in sys.modules if '.' not in name or name.startswith('flintridge')))"
    )
    loaded = run_python("-c", code, PROXY_CONFIG="examples/config.json").stdout.split()
    unwanted = ("click", "rich", "msgspec", "tomllib", "numpy", "flintridge.lab", "flintridge.cli")
    assert "flintridge.node" in loaded and not [name for name in loaded if name.startswith(unwanted)]
    assert [name for name in loaded if name.startswith("flintridge.config")] == [
        "flintridge.config",
        "flintridge.config.address",
        "flintridge.config.errors",
        "flintridge.config.loader",
        "flintridge.config.node_config",
        "flintridge.config.platform_config",
        "flintridge.config.platform_settings",
    ]
    loaded = run_python("-c", code, PROXY_CONFIG="examples/node.toml").stdout.split()
    assert "msgspec" in loaded and not {"click", "rich", "tomli_w", "flintridge.lab", "flintridge.cli"} & set(
        loaded
    )
