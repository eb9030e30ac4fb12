"""The example configuration."""

from support.paths import ROOT

from flintridge import api
from flintridge.config.loader import load_config


def test_the_example_configuration_is_good():
    config = load_config({"PROXY_CONFIG": str(ROOT / "examples" / "config.json")})
    assert config.settings.mode is api.CacheMode.ASIDE and config.listen.host == "127.0.0.1"
