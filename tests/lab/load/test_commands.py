"""Encoded commands, parsed by the node's own parser."""

from hypothesis import given
from hypothesis import strategies as st
from support.codec import parse_commands
from support.network import FIXED

from flintridge.core.request import Request
from flintridge.lab.load.commands import CommandEncoder
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.record_log import body_digest
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Clients, RequestClass, Scenario, Tenant
from flintridge.lab.seeds import Seeds


@given(st.integers(0, 65_536), st.booleans(), st.integers(0, 2))
@FIXED
def test_commands_when_parsed_by_a_node_then_have_all_encoded_fields(size, write, attempt_number):
    keyed = RequestClass(name="put", write=True, effect="keyed")
    scenario = Scenario(classes=(RequestClass(name="read"), keyed), tenants=(Tenant(name="acme"),))
    encoder = CommandEncoder(scenario)
    request = GeneratedRequest(
        0.0, "put" if write else "read", "acme", "menu:1a2b", write, 12.5, size, "east"
    )
    key = "5c0f6e1a2b3d4c59" if encoder.is_keyed(request) else ""
    command = encoder.encode(request, "9b1f03aa5c7e2d41", 480, attempt_number, 12_500, key)
    (parsed,) = parse_commands([command.data])
    assert isinstance(parsed, Request)
    assert (parsed.id, parsed.key, parsed.timeout_ms) == (b"9b1f03aa5c7e2d41", b"menu:1a2b", 480)
    assert (parsed.retry, parsed.work_us, parsed.size) == (attempt_number > 0, 12_500, command.facts.size)
    assert (parsed.value is not None) is write and (b",k=" in parsed.options) is write
    if write:
        assert b"9b1f03aa5c7e2d41" in parsed.value and b"menu:1a2b" in parsed.value
        assert command.value_digest == body_digest(parsed.value) and command.facts.size == len(parsed.value)


def test_command_when_clients_send_no_optional_fields_then_has_only_required_ones():
    load = model.Load(hints="none", tells_size=False)
    encoder = CommandEncoder(Scenario(load=load, clients=Clients(marks_retry=False)))
    request = GeneratedRequest(0.0, "read", "", "k", False, 1.0, 9, "east")
    assert encoder.encode(request, "ab", 7, 1).data == b"mg k v Oab Pc=read,d=7\r\n"
    assert encoder.work_hint_us(request, Seeds(1).of("x")) == 0
