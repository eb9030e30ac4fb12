"""Unit tests of the command executor: immediate responses, requests for the core, and fatal errors."""

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, log_and_counters, make_request

from flintridge.codec.memcache.commands import InvalidCommand, NoOp, ValueSkipped
from flintridge.codec.memcache.encoder import NO_OP_RESPONSE, encode_client_error, encode_rejection
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.downstream.command_executor import MAX_BAD_COMMANDS, CommandExecutor
from flintridge.downstream.input_arrival import InputArrival
from flintridge.downstream.pipeline import ResponsePipeline
from flintridge.downstream.value_memory import ValueMemory

MEMORY_BYTES = 1000
VALUE_BYTES = 600


class Input:
    """A connection's input, reduced to what the executor uses."""

    def __init__(self, core, clock) -> None:
        self.value_memory = ValueMemory(core.memory_budget, clock)
        self.arrival = InputArrival(clock)


class Owner:
    no_op_response = NO_OP_RESPONSE

    def __init__(self) -> None:
        self.clock = ManualClock()
        log, self.counters = log_and_counters()
        self.core = RequestLifecycle(ScriptedPolicy(), SETTINGS, self.clock, MEMORY_BYTES, log, self.counters)


class Connection:
    """A client connection that records the complete responses."""

    def __init__(self, pipeline: ResponsePipeline) -> None:
        self.pipeline = pipeline
        self.has_requested = False
        self.written: list[bytes] = []

    def flush(self) -> None:
        self.written += self.pipeline.take_completed()


class ExecutorHarness:
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
def harness():
    return ExecutorHarness()


@pytest.mark.parametrize(
    ("command", "response", "counter"),
    [
        (NoOp(), [NO_OP_RESPONSE], None),
        (ValueSkipped(), encode_rejection(0.0), "values_rejected_for_memory"),
        (InvalidCommand("bad key"), encode_client_error("bad key"), "bad_commands"),
    ],
)
def test_command_when_it_is_not_a_request_then_gets_an_immediate_response(
    harness, command, response, counter
):
    assert harness.execute(command)
    assert harness.connection.written == response
    assert not harness.connection.has_requested
    assert counter is None or harness.owner.counters[counter] == 1


def test_request_when_executed_then_is_open_until_the_core_responds(harness):
    assert harness.execute(make_request("a1"))
    assert harness.connection.has_requested and harness.connection.written == []
    harness.core.open_requests.take_unanswered("a1").responder.reject(0.0)
    assert harness.connection.written == encode_rejection(0.0)


def test_request_when_its_id_is_in_use_then_is_a_bad_command_and_its_memory_is_released(harness):
    assert harness.execute(make_request("a1"))
    first = harness.connection.pipeline.last()
    harness.core.memory_budget.try_reserve(VALUE_BYTES)
    harness.input.value_memory._reserved_bytes = VALUE_BYTES
    assert harness.execute(make_request("a1"))
    assert harness.core.memory_budget.reserved == 0
    assert harness.connection.pipeline.last().open_request_id is None
    first.fail()
    assert harness.connection.written[1:] == encode_client_error("id in use")


def test_connection_when_its_commands_are_bad_then_closes_after_the_last_allowed_one(harness):
    keep_open = [harness.execute(InvalidCommand("bad key")) for _ in range(MAX_BAD_COMMANDS)]
    assert keep_open == [*[True] * (MAX_BAD_COMMANDS - 1), False]


def test_connection_when_framing_is_lost_then_closes(harness):
    assert not harness.execute(InvalidCommand("bad value", fatal=True))
