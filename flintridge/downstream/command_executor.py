"""Execution of a client's commands: requests go to the request core, the others are responded to here."""

from typing import Protocol

from flintridge.codec.memcache.commands import InvalidCommand, LongValueSkipped, NoOp
from flintridge.codec.memcache.encoder import encode_client_error, encode_rejection
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.open_requests import IdInUseError
from flintridge.core.request import Request
from flintridge.downstream.command_input import CommandInput
from flintridge.downstream.pipeline import PendingResponse, PipelineConnection, ResponsePipeline
from flintridge.telemetry.counters import Counters

MAX_BAD_COMMANDS = 4  # on one connection; it is closed upon the last of them

ExecutableCommand = Request | NoOp | InvalidCommand | LongValueSkipped


class ExecutorOwner(Protocol):
    """What all connections of a process share, as far as their commands go.

    Attributes:
        core: Takes the requests.
        counters: Takes the counts.
    """

    core: RequestLifecycle
    counters: Counters

    @property
    def hello_response(self) -> bytes:
        """The response to `mn`."""


class ExecutorConnection(PipelineConnection, Protocol):
    """The client connection whose commands are executed.

    Attributes:
        has_requested: Whether a request ever came whole; set here.
    """

    has_requested: bool


class CommandExecutor:
    """Executes the commands of one connection, in their order."""

    __slots__ = ("_bad_commands", "_input", "_owner", "_pipeline")

    def __init__(self, owner: ExecutorOwner, command_input: CommandInput, pipeline: ResponsePipeline) -> None:
        """Begin with a new connection.

        Args:
            owner: The listener that accepted it.
            command_input: Its input.
            pipeline: Takes the responses.
        """
        self._owner = owner
        self._input = command_input
        self._pipeline = pipeline
        self._bad_commands = 0

    def execute(self, command: ExecutableCommand, connection: ExecutorConnection) -> bool:
        """Execute a command.

        Args:
            command: The next one.
            connection: Writes its response.

        Returns:
            Whether the connection goes on.
        """
        # Memory is reserved for one long value at a time, and this command is what became of it.
        reserved_bytes = self._input.value_memory.take()
        if isinstance(command, Request):
            return self._submit(command, connection, reserved_bytes)
        self._owner.core.memory_budget.release(reserved_bytes)
        pending = PendingResponse(connection)
        self._pipeline.append(pending)
        if isinstance(command, NoOp):
            pending.complete([self._owner.hello_response])
            return True
        if isinstance(command, LongValueSkipped):
            self._owner.counters.add("values_rejected_for_memory")
            pending.complete(encode_rejection(0.0))
            return True
        self._owner.counters.add("bad_commands")
        goes_on = self._respond_to_bad_command(pending, command.reason)
        return goes_on and not command.fatal

    def _submit(self, request: Request, connection: ExecutorConnection, reserved_bytes: int) -> bool:
        pending = PendingResponse(connection, request.id)
        pending.open_request_id = request.id.decode("ascii")
        self._pipeline.append(pending)
        try:
            self._owner.core.submit(request, pending, reserved_bytes, self._input.arrival.arrived_after)
        except IdInUseError:
            self._owner.core.memory_budget.release(reserved_bytes)
            pending.open_request_id = None  # the open one is another's
            return self._respond_to_bad_command(pending, "id in use")
        connection.has_requested = True
        return True

    def _respond_to_bad_command(self, pending: PendingResponse, reason: str) -> bool:
        """Whether the connection goes on."""
        self._bad_commands += 1
        pending.complete(encode_client_error(reason))
        return self._bad_commands < MAX_BAD_COMMANDS
