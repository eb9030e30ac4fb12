"""The settings that the lab passes to nodes."""

from support.lab_fleet import SCENARIO

from flintridge.config.platform_config import node_config
from flintridge.lab.world.settings import node_settings


def test_settings_when_read_by_a_node_are_the_scenarios():
    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff"}
    built = node_config(config | {"settings": node_settings(SCENARIO, 2, 1, "west")}, {})
    settings = built.settings
    assert (built.zones, built.kinds, settings.zone) == (SCENARIO.zones, ("big", "small", "origin"), 1)
    assert (settings.origin_kind, settings.mode.value, settings.discovery.value) == (2, "aside", "on_request")
    assert (settings.limits.conn_idle_ns, settings.rules.poll_interval_ns) == (4 * 10**9, 10**10)
    assert [(t.share, t.quota_per_s) for t in settings.tenants] == [(0.75, 0.0), (0.25, 7.0)]
    assert [(c.name, c.effect.value, c.deduplication_window_ns) for c in settings.classes][1] == (
        "put",
        "keyed",
        25 * 10**8,
    )
