"""Keys, ranges and descriptions of both formats, which others read, whatever the fields are called here."""

import json
import subprocess
import sys

import msgspec
import pytest
from support.paths import ROOT

from flintridge.config.model import NodeFile, RequestClass, schema_description
from flintridge.config.platform_model import PlatformFile

FIXTURES = ROOT / "tests" / "fixtures"


@pytest.mark.parametrize(
    ("model", "fixture"), [(NodeFile, "node_schema.json"), (PlatformFile, "platform_schema.json")]
)
def test_schema_of_a_format_is_byte_for_byte_that_of_the_version_before(model, fixture):
    text = json.dumps(msgspec.json.schema(model), indent=2)
    assert f"{text}\n" == (FIXTURES / fixture).read_text()


def test_schema_that_the_command_prints_is_byte_for_byte_that_of_the_version_before():
    command = [sys.executable, "-m", "flintridge.cli", "check", "--schema"]
    printed = subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    assert printed == (FIXTURES / "node_schema.json").read_bytes()


def test_schema_description_when_given_takes_the_place_of_the_doc_comment():
    @schema_description("What others read.")
    class Table(msgspec.Struct):
        """What developers read."""

    assert msgspec.json.schema(Table)["$defs"]["Table"]["description"] == "What others read."


def test_schema_description_when_none_leaves_the_class_without_one():
    assert "description" not in msgspec.json.schema(RequestClass)["$defs"]["RequestClass"]
