"""JSON Schemas of both formats. Other programs read them, so renaming a field must not change them."""

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
def test_schema_when_a_format_is_described_then_equals_the_fixture_byte_for_byte(model, fixture):
    text = json.dumps(msgspec.json.schema(model), indent=2)
    assert f"{text}\n" == (FIXTURES / fixture).read_text()


def test_schema_when_the_command_prints_it_then_equals_the_fixture_byte_for_byte():
    command = [sys.executable, "-m", "flintridge.cli", "check", "--schema"]
    printed = subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    assert printed == (FIXTURES / "node_schema.json").read_bytes()


def test_schema_description_when_given_then_replaces_the_doc_comment():
    @schema_description("For users.")
    class Table(msgspec.Struct):
        """For developers."""

    assert msgspec.json.schema(Table)["$defs"]["Table"]["description"] == "For users."


def test_schema_description_when_none_then_the_class_has_no_description():
    assert "description" not in msgspec.json.schema(RequestClass)["$defs"]["RequestClass"]
