"""The table `[state]` in configurations."""

import pytest
from support.configuration import PEERS, THREE, read

from flintridge.config.errors import ConfigError
from flintridge.config.node_config import StateConfig

WITH_STATE = THREE + PEERS + "\n[state]\n"


def test_state_table_when_sound_is_read_with_its_defaults():
    assert read(WITH_STATE).state == StateConfig()
    lines = "entries = 9\nentry_bytes = 64\nremember_s = 2\nwait_ms = 0\nbytes_per_s = 300\n"
    assert read(WITH_STATE + lines).state == StateConfig(9, 64, 2.0, 0.0, 300.0)
    assert read(THREE + PEERS).state is None


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("entries = 0", "state.entries: 0: must be"),
        ("entry_bytes = 5000", "state.entry_bytes: 5000: must be"),
        ("entries = 90000", "state.entries: 90000: must be at most 16000, given state.entry_bytes and peers"),
        ("bytes_per_s = 4001", "state.bytes_per_s: 4001: must be at most 4000, a quarter"),
        ("wait_ms = -1", "state.wait_ms: -1: must be"),
        ("holds = 1", "state.holds"),
    ],
)
def test_state_table_when_faulty_is_rejected_with_the_place(line, fault):
    with pytest.raises(ConfigError) as raised:
        read(WITH_STATE + line)
    assert f"n.toml: {fault}" in str(raised.value)


def test_state_table_when_there_are_no_peers_is_rejected():
    with pytest.raises(ConfigError, match=r"state: is allowed only beside a table \[peers\]"):
        read(THREE + "\n[state]\n")
