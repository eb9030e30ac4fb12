"""Cross-field validation of the node's own format."""

import pytest
from support.configuration import NODE, fault_lines

from flintridge.config.decoding import decode_values
from flintridge.config.model import NodeFile
from flintridge.config.node_file_validation import validate_node_file


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
def test_node_file_when_values_conflict_then_the_fault_names_the_path(path, change):
    (line,) = fault_lines(decode_values, "f", NODE | change, NodeFile, validate_node_file)
    assert line.startswith(f"f: {path}: ")
