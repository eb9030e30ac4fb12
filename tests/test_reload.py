"""Reload of the configuration: what is applied, what needs a restart, and the limits of each process."""

from dataclasses import replace

import pytest
from support.network import SETTINGS

from flintridge.config.address import Address
from flintridge.config.node_config import MAX_VALUE_MB, NodeConfig
from flintridge.reload import CHANGEABLE_FIELDS, Reloaded, plan_reload, process_limits

CONFIG = NodeConfig("n1", Address("127.0.0.1", 1), Address("127.0.0.1", 2), 7, SETTINGS)
OTHER_DISCOVERY = Address("127.0.0.1", 3)


@pytest.mark.parametrize(
    ("changes", "applied", "waiting"),
    [
        ({}, (), ()),
        ({"known": {"revision": 9}}, (), ()),
        ({"sockets": 512}, ("sockets",), ()),
        ({"discovery": OTHER_DISCOVERY, "memory_mb": 96.0}, ("discovery", "memory_mb"), ()),
        ({"seed": 8}, (), ("seed",)),
        ({"seed": 8, "sockets": 512, "log_level": "error"}, ("sockets",), ("seed", "log_level")),
    ],
)
def test_plan_when_fields_differ_then_applies_those_that_can_change_in_service(changes, applied, waiting):
    plan = plan_reload(CONFIG, replace(CONFIG, **changes))
    assert plan.reloaded == Reloaded(applied, waiting)
    assert plan.config == replace(CONFIG, **{name: changes[name] for name in applied})


def test_plan_when_a_change_needs_a_restart_then_is_reported_again():
    plan = plan_reload(CONFIG, replace(CONFIG, seed=8))
    assert plan_reload(plan.config, replace(CONFIG, seed=8)).reloaded.until_restart == ("seed",)


def test_changeable_fields_when_read_are_those_of_a_configuration():
    assert set(CHANGEABLE_FIELDS) <= set(NodeConfig.__dataclass_fields__)


@pytest.mark.parametrize("process_count", [1, 2, 3])
def test_limits_when_the_node_has_several_processes_then_each_has_an_equal_fraction(process_count):
    limits = process_limits(CONFIG, process_count)
    assert limits.memory_bytes == CONFIG.memory_budget_bytes // process_count
    assert limits.response_memory_bytes == CONFIG.response_budget_bytes // process_count
    assert limits.client_connections == CONFIG.client_sockets // process_count
    assert limits.server_connections == CONFIG.server_sockets // process_count


def test_limits_when_memory_is_short_then_a_value_of_the_maximum_size_still_fits():
    limits = process_limits(replace(CONFIG, memory_mb=1.0), 2)
    assert limits.memory_bytes == MAX_VALUE_MB * 1024 * 1024
    assert limits.response_memory_bytes == MAX_VALUE_MB * 1024 * 1024
