"""The platform's JSON: what `flintridge check` accepts of it, a node accepts."""

import json

import msgspec
from hypothesis import given
from support.configuration import PLATFORM
from support.malformed_files import PROPERTY, malformed

from flintridge.config import platform_model, platform_settings
from flintridge.config.check import check_file
from flintridge.config.faults import ConfigFaultsError
from flintridge.config.loader import load_config
from flintridge.discovery.endpoint_list import EndpointList, configured_endpoints


class StoppedClock:
    """A clock for the times of servers in the list."""

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


def test_platform_model_has_every_key_that_a_node_reads():
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
