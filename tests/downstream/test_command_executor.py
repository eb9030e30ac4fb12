"""Execution of commands by itself: what is responded to at once, what goes to the core, what ends it all."""

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, log_and_counters, make_request

from flintridge.codec.memcache.commands import InvalidCommand, LongValueSkipped, NoOp
from flintridge.codec.memcache.encoder import NO_OP_RESPONSE, encode_client_error, encode_rejection
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.downstream.command_executor import MAX_BAD_COMMANDS, CommandExecutor
from flintridge.downstream.input_arrival import InputArrival
from flintridge.downstream.pipeline import ResponsePipeline
from flintridge.downstream.value_memory import ValueMemory

MEMORY_BYTES = 1000
VALUE_BYTES = 600


class Input:
    """A connection's input, as far as executing goes."""

    def __init__(self, core, clock) -> None:
        self.value_memory = ValueMemory(core.memory_budget, clock)
        self.arrival = InputArrival(clock)


class Owner:
    hello_response = NO_OP_RESPONSE

    def __init__(self) -> None:
        self.clock = ManualClock()
        log, self.counters = log_and_counters()
        self.core = RequestLifecycle(ScriptedPolicy(), SETTINGS, self.clock, MEMORY_BYTES, log, self.counters)


class Connection:
    """A client connection that writes what is complete."""

    def __init__(self, pipeline: ResponsePipeline) -> None:
        self.pipeline = pipeline
        self.has_requested = False
        self.written: list[bytes] = []

    def flush(self) -> None:
        self.written += self.pipeline.take_completed()


class Executed:
    def __init__(self) -> None:
        self.owner = Owner()
        self.core = self.owner.core
        self.input = Input(self.core, self.owner.clock)
        pipeline = ResponsePipeline()
        self.connection = Connection(pipeline)
        self.executor = CommandExecutor(self.owner, self.input, pipeline)

    def execute(self, command) -> bool:
        return self.executor.execute(command, self.connection)


@pytest.fixture
def executed():
    return Executed()


@pytest.mark.parametrize(
    ("command", "response", "counter"),
    [
        (NoOp(), [NO_OP_RESPONSE], None),
        (LongValueSkipped(), encode_rejection(0.0), "values_rejected_for_memory"),
        (InvalidCommand("bad key"), encode_client_error("bad key"), "bad_commands"),
    ],
)
def test_command_when_it_is_no_request_then_is_responded_to_at_once(executed, command, response, counter):
    assert executed.execute(command)
    assert executed.connection.written == response
    assert not executed.connection.has_requested
    assert counter is None or executed.owner.counters[counter] == 1


def test_request_when_executed_then_is_open_until_the_core_responds(executed):
    assert executed.execute(make_request("a1"))
    assert executed.connection.has_requested and executed.connection.written == []
    executed.core.open_requests.take_unanswered("a1").responder.reject(0.0)
    assert executed.connection.written == encode_rejection(0.0)


def test_request_when_its_id_is_in_use_then_is_a_bad_command_and_its_memory_is_free(executed):
    assert executed.execute(make_request("a1"))
    first = executed.connection.pipeline.last()
    executed.core.memory_budget.try_reserve(VALUE_BYTES)
    executed.input.value_memory._reserved_bytes = VALUE_BYTES
    assert executed.execute(make_request("a1"))
    assert executed.core.memory_budget.reserved == 0
    assert executed.connection.pipeline.last().open_request_id is None
    first.fail()
    assert executed.connection.written[1:] == encode_client_error("id in use")


def test_connection_when_its_commands_are_bad_then_ends_with_the_last_that_is_allowed(executed):
    goes_on = [executed.execute(InvalidCommand("bad key")) for _ in range(MAX_BAD_COMMANDS)]
    assert goes_on == [*[True] * (MAX_BAD_COMMANDS - 1), False]


def test_connection_when_framing_is_lost_then_ends_at_once(executed):
    assert not executed.execute(InvalidCommand("bad value", fatal=True))
