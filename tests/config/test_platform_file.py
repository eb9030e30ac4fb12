"""The platform's JSON: a node accepts every file that `flintridge check` accepts."""

import json

import msgspec
import pytest
from hypothesis import given
from support.configuration import PLATFORM
from support.malformed_files import PROPERTY, malformed

from flintridge.config import platform_model, platform_settings
from flintridge.config.check import check_file
from flintridge.config.faults import ConfigFaultsError
from flintridge.config.loader import load_config
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints


class StoppedClock:
    """A clock that stands still, for the start times of servers in the list."""

    from_unix = staticmethod(float)

    def now(self) -> float:
        return 0.0


@PROPERTY
@given(malformed(PLATFORM))
def test_load_config_when_check_accepts_a_platform_file_then_accepts_it_too(tmp_path_factory, values):
    path = tmp_path_factory.getbasetemp() / "platform.json"
    path.write_text(json.dumps(values))
    try:
        check_file(str(path), {})
    except ConfigFaultsError:
        return
    env = {"PROXY_CONFIG": str(path), "PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"}
    config = load_config(env)
    endpoints = EndpointList(config.zones, config.kinds, config.settings, StoppedClock())
    configured_endpoints(config, endpoints)


def test_platform_model_when_compared_with_the_keys_that_a_node_reads_then_has_them_all():
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


def test_check_when_a_listed_server_is_malformed_then_reports_later_servers_by_their_own_position(tmp_path):
    members = [5, {"id": "s", "phase": "in_service", "host_port": "no-port"}]
    path = tmp_path / "platform.json"
    path.write_text(json.dumps(PLATFORM | {"known": {"revision": 1, "complete": True, "members": members}}))
    with pytest.raises(ConfigFaultsError) as caught:
        check_file(str(path), {})
    paths = [fault.path for fault in caught.value.faults]
    assert paths == ["known.members[0]", "known.members[1].host_port"]
