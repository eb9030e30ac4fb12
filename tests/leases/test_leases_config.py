"""The table `[budgets]` of configurations with its defaults and faults, and `flintridge budgets`."""

import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import pytest
from click.testing import CliRunner
from support.configuration import EXAMPLE, PEERS, PLAIN, THREE, read
from support.paths import ROOT

from flintridge.cli.main import main
from flintridge.config.check import check_file
from flintridge.config.errors import ConfigError
from flintridge.config.faults import ConfigFaultsError
from flintridge.config.model import NodeFile
from flintridge.config.node_config import BudgetsConfig
from flintridge.config.platform_config import node_config

BUDGETS = """
[budgets]
tenants = true
"""
WITH_BUDGETS = THREE + PEERS + BUDGETS


def test_table_when_sound_is_read_with_its_defaults():
    assert read(WITH_BUDGETS).budgets == BudgetsConfig(tenants=True)
    more = "floors = true\nstrict = true\nfloor = 0.5\nlease_ms = 1500\nbytes_per_s = 4000\n"
    assert read(WITH_BUDGETS + more).budgets == BudgetsConfig(
        tenants=True, floors=True, strict=True, floor=0.5, lease_ms=1500.0, bytes_per_s=4000.0
    )
    assert read(THREE + PEERS).budgets is None


def test_example_when_its_tables_are_enabled_is_sound():
    lines = EXAMPLE.replace('name = "n1"', 'name = "n1"\nfleet_size = 3').splitlines()
    begin = lines.index(next(line for line in lines if line.startswith("# [peers]")))
    end = lines.index(next(line for line in lines if line.startswith("# Each node has an even fraction")))
    enabled = [line.removeprefix("# ") if "key_file" not in line else "" for line in lines[begin:end]]
    assert read("\n".join(lines[:begin] + enabled + lines[end:])).budgets == BudgetsConfig(
        tenants=True, floors=True
    )


def test_fleet_size_when_known_names_this_node_counts_it_once():
    table = "known = { "
    assert read(WITH_BUDGETS.replace(table, table + 'n1 = "127.0.0.1:7201", ')).budgets is not None


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ((PEERS, ""), "budgets: is allowed only beside a table [peers]"),
        (("tenants = true", ""), "budgets: enables no limit: it must set one of tenants, floors, cold"),
        (("quota_per_s = 100", ""), "budgets.tenants: true: must be false: no tenant has a quota"),
        (("tenants = true", "floors = true\nstrict = true"), "budgets.strict: true: must be false while"),
        (
            ("tenants = true", "tenants = true\nfloor = 0"),
            "budgets.floor: 0: must be >= 0.01 and <= 1",
        ),
        (("tenants = true", "tenants = true\nfloor = 1.5"), "budgets.floor: 1.5: must be"),
        (("tenants = true", "tenants = true\nfloor = nan"), "budgets.floor: "),
        (
            ("tenants = true", "tenants = true\nlease_ms = 1499"),
            "budgets.lease_ms: 1499: must be >= 1500 and <= 60000",
        ),
        (("tenants = true", "tenants = true\nlease_ms = 60001"), "budgets.lease_ms: 60001: must be"),
        (("tenants = true", "tenants = true\nbytes_per_s = 199"), "budgets.bytes_per_s: 199: must be"),
        (
            ("tenants = true", "tenants = true\nbytes_per_s = 4001"),
            "budgets.bytes_per_s: 4001: must be at most 4000, a quarter of peers.bytes_per_s",
        ),
        (
            ("tenants = true", "tenants = true\nquota = true"),
            "budgets.quota: true: unknown name: the known names are tenants, floors",
        ),
        (("tenants = true", "tenants = true\nlease = 3"), "budgets.lease: 3: wrong unit: it is lease_ms"),
        (
            ("tenants = true", "origin_places = 2\nlease_ms = 9000"),
            "budgets.origin_places: 2: must be 0, or at least the fleet_size of 3",
        ),
        (
            ("tenants = true", "cache_places = 9"),
            "budgets.lease_ms: 4000: must be at least 5500: the longest deadline_ms of a class plus 1500",
        ),
        (("fleet_size = 3", ""), "fleet_size: 1: must be 3, the names in peers"),
        (("fleet_size = 3", "fleet_size = 4"), "fleet_size: 4: must be 3, the names in peers"),
    ],
)
def test_table_with_a_fault_is_rejected_with_the_place(change, fault):
    assert change[0] in WITH_BUDGETS
    with pytest.raises(ConfigError) as caught:
        read(WITH_BUDGETS.replace(*change))
    lines = str(caught.value).splitlines()
    assert len(lines) == 1, lines
    assert fault in lines[0], lines
    assert lines[0].startswith("n.toml: "), lines


def test_table_when_the_name_comes_from_the_environment_is_checked_with_it():
    text = WITH_BUDGETS.replace('name = "n1"', "", 1)
    assert read(text, {"PROXY_NAME": "n1"}).budgets is not None
    with pytest.raises(ConfigError, match=r"^n\.toml: fleet_size: 3: must be 2, .* and n2 itself"):
        read(text, {"PROXY_NAME": "n2"})


def test_check_command_with_several_faults_reports_all(tmp_path):
    file = tmp_path / "n1.toml"
    file.write_text(WITH_BUDGETS)
    assert "node n1" in check_file(str(file))
    file.write_text(PLAIN + PEERS + "[budgets]\nstrict = true\nfloor = 2\nbytes_per_s = 9000\n")
    with pytest.raises(ConfigFaultsError) as caught:
        check_file(str(file))
    assert [fault.path for fault in caught.value.faults] == [
        "budgets.floor",
        "budgets",
        "budgets.strict",
        "budgets.bytes_per_s",
        "fleet_size",
    ]


def test_schema_has_the_table_and_the_platforms_json_never():
    defined = msgspec.json.schema(NodeFile)["$defs"]
    table = defined["Budgets"]["properties"]
    assert (table["lease_ms"]["minimum"], table["lease_ms"]["maximum"]) == (1500, 60000)
    assert not defined["Budgets"]["additionalProperties"]
    platform = json.loads((ROOT / "examples" / "config.json").read_text())
    assert node_config({**platform, "budgets": {"tenants": True}}, {}).budgets is None


# The command


def admin_status(name="n1", usable=1.4, **more):
    """The JSON of a node's GET /admin/budgets."""
    lent = [{"to": "n2", "life": "ff", "amount": 0.25, "ends_in_ms": 3100.4}]
    quota = {
        "name": "quota acme", "whole": 150.0, "unit": "requests a second", "even": 50.0, "own": 1.0,
        "usable": usable, "need": 1.3, "used": 61.0, "lent": lent,
        "borrowed": [{"from": "n3", "amount": 0.65, "ends_in_ms": 2900}],
    }  # fmt: skip
    status = {
        "name": name, "life": f"1{name}", "alone": True, "heard": 3, "of": 3, "lease_ms": 4000,
        "floor": 0.25, "strict": False, "budgets": [quota], "counts": {"asked": 3, "refused_need": 0},
    }  # fmt: skip
    return {**status, **more}


@contextmanager
def admin_apis(*responses):
    """Run a stand-in admin API for each list of responses, which it gives in order, repeating the last one.

    Yields the command-line options with their addresses.
    """
    servers = []
    for node_responses in responses:
        remaining = list(node_responses)

        class AdminApi(BaseHTTPRequestHandler):
            def do_GET(self, remaining=remaining):
                status, fields = remaining.pop(0) if len(remaining) > 1 else remaining[0]
                if self.path != "/admin/budgets":
                    status, fields = 500, {"error": self.path}
                body = json.dumps(fields).encode()
                self.send_response(status)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        server = ThreadingHTTPServer(("127.0.0.1", 0), AdminApi)
        servers.append((server, threading.Thread(target=server.serve_forever, args=(0.01,))))
        servers[-1][1].start()
    try:
        yield [f"--console=127.0.0.1:{server.server_port}" for server, _ in servers]
    finally:
        for server, thread in servers:
            server.shutdown()
            thread.join()
            server.server_close()


def budgets_command(responses, *more):
    """Run `flintridge budgets` for nodes with these responses, and return its result."""
    with admin_apis(*responses) as options:
        return CliRunner().invoke(main, ["budgets", *options, *more], prog_name="flintridge")


def test_budgets_command_for_one_node_prints_its_limits_and_leases():
    result = budgets_command([[(200, admin_status(alone=False))]])
    assert result.exit_code == 0, result.output
    assert result.stderr == "", result.output
    lines = result.stdout.splitlines()
    assert lines[0].startswith("n1 (1n1): hears 3 of 3 nodes, itself included; loans of 4000 ms, floor 0.25;")
    assert "beside another process" in lines[0]
    assert lines[2].split() == [
        *["quota", "acme", "150", "50", "61", "requests", "a", "second"],
        "1",
        "0.25",
        "0.65",
        "1.4",
        "1.3",
    ]
    assert lines[3] == "  quota acme: lent 0.25 to n2 (ff), ends in 3100 ms"
    assert lines[4] == "  quota acme: borrowed 0.65 from n3, ends in 2900 ms"
    assert lines[5:] == ["  since the start: asked 3"]


def test_budgets_command_with_json_prints_a_line_a_node():
    result = budgets_command([[(200, admin_status())], [(200, admin_status("n2", 0.5))]], "--json")
    assert result.exit_code == 0
    assert result.stderr == ""
    assert [json.loads(line) for line in result.stdout.splitlines()] == [
        admin_status(),
        admin_status("n2", 0.5),
    ]


def test_budgets_command_for_several_nodes_sums_each_process_once():
    result = budgets_command(
        [
            [(200, admin_status(usable=1.6))],
            [(200, admin_status(usable=1.6))],
            [(200, admin_status("n2", 1.4))],
        ]
    )
    assert result.exit_code == 0, result.output
    assert result.stderr == "", result.output
    sum_lines = result.stdout.splitlines()[-2:]
    assert sum_lines[0] == "together, 2 processes of 2 nodes:"
    assert sum_lines[1].startswith("  quota acme: usable 3 of 3 even parts")


@pytest.mark.parametrize(("then", "code"), [(1.0, 0), (1.7, 1)])
@pytest.mark.parametrize("more", [(), ("--json",)])
def test_budgets_command_when_the_sum_exceeds_the_limit_fails_if_it_does_so_twice(then, code, more):
    second = [(200, admin_status("n2", 1.7)), (200, admin_status("n2", then))]
    result = budgets_command([[(200, admin_status())], second], *more)
    assert result.exit_code == code, result.output
    first, last = result.stderr.splitlines()
    assert first == "quota acme: over budget, 3.1 of 3 even parts; reading again"
    assert ("over budget again" if code else "a loan moved between reads") in last


def test_budgets_command_when_sizes_differ_does_not_add_them_up():
    result = budgets_command([[(200, admin_status(usable=2.0))], [(200, admin_status("n2", 2.0, of=4))]])
    assert result.exit_code == 0
    assert result.stdout.count("nodes differ on its size") == 2


@pytest.mark.parametrize(
    ("response", "message"),
    [
        ((404, {"error": "no such thing"}), "that node leases no budgets: its configuration has no table"),
        ((503, {"error": "leaving"}), ": leaving"),
    ],
)
def test_budgets_command_when_a_node_has_no_limits_reports_it(response, message):
    result = budgets_command([[response]])
    assert result.exit_code == 2
    assert message in result.stderr
    assert result.stderr.count("\n") == 1
