"""Decoding: all faults are reported together, and arbitrary input causes no other error."""

import tomllib

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from support.configuration import NODE, fault_lines
from support.malformed_files import PROPERTY, any_value, malformed

from flintridge.config.decoding import decode, decode_values
from flintridge.config.faults import ConfigFaultsError
from flintridge.config.model import NodeFile
from flintridge.config.node_file_validation import validate_node_file
from flintridge.lab.scenario.load import dump, load
from flintridge.lab.scenario.model import Scenario

SCENARIO = tomllib.loads(dump(load("catastrophe"), with_defaults=True))


def test_decode_when_a_file_has_many_faults_then_reports_each_with_path_value_and_what_is_allowed():
    text = """
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
    assert fault_lines(decode, "n.toml", text.encode(), NodeFile, validate_node_file) == [
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
        "n.toml: rules.cold_s: 9: has no effect: with a cold_share of 1, servers start at full capacity",
        "n.toml: classes[0].aim_ms: 5000: must be at most the deadline_ms of 100",
        "n.toml: classes[1].name: 'read': is the name of classes[0] too",
    ]


def is_valid_for_msgspec(values, target) -> bool:
    try:
        msgspec.convert(values, target)
    except msgspec.ValidationError:
        return False
    return True


def is_valid_for_decoding(values, target, validate_fields=None) -> bool:
    """Whether the values can be decoded; if not, checks that each fault has a reason and its own line."""
    try:
        decode_values("f.toml", values, target, validate_fields)
    except ConfigFaultsError as error:
        rejected = error
    else:
        return True
    assert rejected.faults
    assert all(fault.reason for fault in rejected.faults)
    assert len(str(rejected).splitlines()) == len(rejected.faults)
    assert "Traceback" not in str(rejected)
    return False


@PROPERTY
@given(malformed(NODE) | any_value)
def test_decode_when_a_configuration_is_malformed_then_rejects_what_msgspec_rejects(values):
    decodes = is_valid_for_decoding(values, NodeFile)
    assert is_valid_for_msgspec(values, NodeFile) or not decodes
    decodes_with_fields = is_valid_for_decoding(values, NodeFile, validate_node_file)
    assert decodes or not decodes_with_fields


@PROPERTY
@given(malformed(SCENARIO) | any_value)
def test_decode_when_a_scenario_is_malformed_then_rejects_exactly_what_msgspec_rejects(values):
    decodes = is_valid_for_decoding(values, Scenario)
    converts = is_valid_for_msgspec(values, Scenario)
    text = repr(values)
    assert converts or not decodes
    # Rejected although msgspec accepts them: numbers that are not finite, and unpaired surrogates.
    assert decodes or not converts or "nan" in text or "inf" in text or "\\ud" in text


@PROPERTY
@given(st.binary(max_size=60), st.sampled_from(["a.toml", "a.json"]))
def test_decode_when_given_any_bytes_then_reports_faults(text, file):
    assert fault_lines(decode, file, text, NodeFile)
