"""The simulator adapter: codec, malformed input and determinism."""

import json
import os
import subprocess
import sys

import pytest
from support.paths import ROOT

from flintridge import api
from flintridge.config.platform_settings import settings_from
from flintridge.simulator_adapter import PolicyHost
from flintridge.simulator_codec import decode_event, encode_action

CONFIG = {
    "discovery": "on_request",
    "familyInfo": {"mode": "aside", "originKind": 2},
    "fleetSize": 2,
    "somethingNew": {"x": 1},
    "permissions": {"attemptsCap": 4, "cancel": True, "unknownPermission": 3},
    "rules": {"coldShare": 0.3, "coldNs": 5000000000, "fallMultiple": 3.0, "fallNs": 1000000000},
    "services": [{"name": "read", "effect": "retryable", "sloNs": 500000000, "hardLimitNs": 1000000000}],
    "tenants": [{"name": "t", "quotaPerS": 10.0, "share": 1.0}],
}


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "flintridge.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def scenario(instances: list[int]) -> str:
    lines = ["CLOCK 5000000000", "YOUR_TURN", "", "CLOCK 6000000000"]
    for i in instances:
        lines.append(f"PROVISION {i} {i + 7} {json.dumps(CONFIG)}")
        lines.append(f"FLEET {i} stale_copy 1 4")
        lines += [f"M IN 10.0.0.{n}:90 1 0 0 - 0" for n in range(3)] + ["M IN 10.0.9.9:90 1 0 2 - 0"]
    lines.append("YOUR_TURN")
    for step in range(40):
        now = 6000000000 + (step + 1) * 5_000_000
        lines.append(f"CLOCK {now}")
        for i in instances:
            lines.append(f"QUERY {i} id-{i}-{step} 0 {now + 900000000} 0 k{step % 9} 0 0 12000000 1800")
            if step % 3 == 2:
                lines.append(f"FLEET {i} broken 1 0")
        lines.append("YOUR_TURN")
    return "\n".join(lines) + "\n"


def action_lines(output: str) -> list[str]:
    return [line for line in output.split("\n") if line and line != "YIELD"]


def test_adapter_when_given_batches_then_replies_to_each_and_ends_with_the_input():
    done = run_adapter(scenario([0]))
    assert done.returncode == 0
    assert done.stderr == ""
    replies = done.stdout.split("YIELD\n")
    assert replies[0] == ""
    assert replies[1] == "WATCH 0 1\n"
    assert replies[2].startswith("TRANSMIT 0 id-0-0 10.0.0.")


def test_actions_when_hash_seed_and_process_differ_then_are_the_same():
    both = run_adapter(scenario([0, 1]), "1").stdout
    assert both == run_adapter(scenario([0, 1]), "2").stdout
    for i in (0, 1):
        alone = action_lines(run_adapter(scenario([i]), "3").stdout)
        together = [line for line in action_lines(both) if line.split(" ")[1] == str(i)]
        assert alone == together


@pytest.mark.parametrize(
    "line",
    [
        "QUERY 0 too short",
        "NONSENSE 0 x",
        "VERDICT 0 id - 1 s 5 0 Q -",
        "PROVISION 0 5 {not json",
        'PROVISION 0 5 {"services": [{"sloNs": -4}]}',
        "FLEET 0 whole 1 2",
        "BELL zero 1",
    ],
)
def test_adapter_when_a_line_is_malformed_then_reports_it_and_exits(line):
    done = run_adapter(f"CLOCK 1\n{line}\nYOUR_TURN\n")
    assert done.returncode != 0
    assert line[:15] in done.stderr
    assert "Traceback" not in done.stderr


def test_adapter_when_input_is_outside_a_batch_then_reports_it_and_exits():
    assert "CLOCK" in run_adapter("QUERY 0 x\n").stderr
    assert run_adapter("CLOCK 1\nBELL 0 1\n").returncode != 0


def test_host_when_a_policy_raises_then_reports_a_panic(monkeypatch):
    host = PolicyHost()
    host.handle_batch(1, iter([f"PROVISION 0 1 {json.dumps(CONFIG)}"]))
    monkeypatch.setattr(host.instances[0], "handle", lambda now, event: 1 // 0)
    assert host.handle_batch(2, iter(["BELL 0 1"])) == [
        "PANIC 0 ZeroDivisionError: integer division or modulo by zero"
    ]


def test_decode_event_when_given_each_event_then_returns_the_policy_event():
    none = iter(())
    assert decode_event("QUERY 0 u 1 9 1 - 2 0 - -", none) == api.RequestReceived(
        "u", 9, 0, None, True, 2, True
    )
    assert decode_event("VERDICT 0 u 1 0 s:1 5 2 M util:0.5,new_field:2", none) == api.AttemptEnded(
        "u", 2, "s:1", api.Outcome.MISS, 5, False, 1, {"util": 0.5, "new_field": 2.0}
    )
    assert decode_event("FIRST 0 u 1 5 s:1", none) == api.StreamStarted("u", 1, "s:1", 5)
    assert decode_event("CANCELLED_BY_CLIENT 0 u", none) == api.ClientDisconnected("u")
    assert decode_event("CHECK_RESULT 0 s:1 S 7 queue:3", none) == api.HealthCheckEnded(
        "s:1", api.Outcome.OK, 7, {"queue": 3.0}
    )
    assert decode_event("INBOX 0 1 6869", none) == api.PeerMessage(1, b"hi")
    assert decode_event("BELL 0 77", none) == api.TimerFired(77)
    assert decode_event("FLEET 0 patch 3 1", iter(["M LAME s:1 1.5 4 1 - 2"])) == api.EndpointUpdate(
        api.UpdateKind.DELTA, 3, (api.Endpoint("s:1", api.EndpointState.DRAINING, 1.5, 4, 1, 0, 2),)
    )


def test_encode_action_when_given_each_action_then_returns_its_line():
    lines = {
        api.Send("u", "s:1", 5): "TRANSMIT 3 u s:1 5",
        api.Cancel("u", 1): "RETRACT 3 u 1",
        api.Reject("u", 9): "REFUSE 3 u 9",
        api.Fail("u"): "END_FAILED 3 u",
        api.SetTimer(7, 2): "TIMER 3 7 2",
        api.Watch(False): "WATCH 3 0",
        api.FetchEndpoints(): "LOOKUP 3",
        api.CheckHealth("s:1"): "INSPECT 3 s:1",
        api.CloseIdleConnections("s:1"): "LET_GO 3 s:1",
        api.SendToPeer(None, b"hi"): "WRITE_PEER 3 * 6869",
        api.Log("two\nlines"): "SAY_LOG 3 two lines",
    }
    assert {action: encode_action(3, action) for action in lines} == lines


def test_settings_when_absent_then_take_the_documented_defaults():
    assert settings_from({}) == api.Settings()
    settings = settings_from(CONFIG)
    assert settings.limits.max_attempts == 4
    assert settings.origin_kind == 2


@pytest.mark.parametrize(
    ("make", "name"),
    [
        (lambda: api.RequestClass(latency_objective_ns=-1), "latency_objective_ns"),
        (lambda: api.RequestClass(effect="retryable"), "effect"),
        (lambda: api.Rules(slow_start_ns=-5), "slow_start_ns"),
        (lambda: api.Settings(fleet_size=-1), "fleet_size"),
        (lambda: api.Limits(max_attempts="many"), "max_attempts"),
        (lambda: api.Rules(slow_start_fraction=float("nan")), "slow_start_fraction"),
    ],
)
def test_settings_when_invalid_then_the_error_names_the_field(make, name):
    with pytest.raises(ValueError, match=name):
        make()


def test_goal_when_configured_then_is_read_and_an_invalid_value_is_reported():
    goal = {"whole": 0.35, "tail": 0.2, "tailSlack": 0.02, "availability": 0.3, "fullAtNines": 3}
    parsed = settings_from(CONFIG | {"goal": goal}).goal
    assert (parsed.whole, parsed.tail, parsed.tail_slack) == (0.35, 0.2, 0.02)
    assert (parsed.availability, parsed.full_at_nines) == (0.3, 3)
    assert settings_from(CONFIG).goal == api.Goal()
    for key, field in (("tailSlack", "tail_slack"), ("fullAtNines", "full_at_nines")):
        with pytest.raises(ValueError, match=field):
            settings_from(CONFIG | {"goal": {key: -1}})
    config = json.dumps(CONFIG | {"goal": {"tailSlack": "few"}})
    done = run_adapter(f"CLOCK 5\nPROVISION 0 7 {config}\nYOUR_TURN\n")
    assert done.returncode == 1
    assert "tail_slack" in done.stderr
