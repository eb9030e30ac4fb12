"""Execution of a client's commands: submits requests to the request core, and responds to all others."""

from typing import Protocol

from flintridge.codec.memcache.commands import InvalidCommand, NoOp, ValueSkipped
from flintridge.codec.memcache.encoder import encode_client_error, encode_rejection
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.open_requests import IdInUseError
from flintridge.core.request import Request
from flintridge.downstream.command_input import CommandInput
from flintridge.downstream.pipeline import PendingResponse, PipelineConnection, ResponsePipeline
from flintridge.telemetry.counters import Counters

MAX_BAD_COMMANDS = 4  # per connection; it is closed after the response to the last of them

ExecutableCommand = Request | NoOp | InvalidCommand | ValueSkipped


class ExecutorOwner(Protocol):
    """The state that the command executors of a process share.

    Attributes:
        core: Executes the requests.
        counters: The node's counters.
    """

    core: RequestLifecycle
    counters: Counters

    @property
    def no_op_response(self) -> bytes:
        """The response to a no-op command, `mn`."""


class ExecutorConnection(PipelineConnection, Protocol):
    """The client connection whose commands are executed.

    Attributes:
        has_requested: Whether a complete request was ever received; set by the executor.
    """

    has_requested: bool


class CommandExecutor:
    """Executes the commands of one connection, in the order of arrival."""

    __slots__ = ("_bad_commands", "_input", "_owner", "_pipeline")

    def __init__(self, owner: ExecutorOwner, command_input: CommandInput, pipeline: ResponsePipeline) -> None:
        """Start with a new connection.

        Args:
            owner: The listener that accepted the connection.
            command_input: The connection's input.
            pipeline: The connection's pending responses.
        """
        self._owner = owner
        self._input = command_input
        self._pipeline = pipeline
        self._bad_commands = 0

    def execute(self, command: ExecutableCommand, connection: ExecutorConnection) -> bool:
        """Execute a command.

        Args:
            command: The connection's next command.
            connection: The connection that writes the response.

        Returns:
            Whether the connection stays open for further commands.
        """
        # A connection reserves memory for one value at a time; a reservation belongs to this command.
        reserved_bytes = self._input.value_memory.take()
        if isinstance(command, Request):
            return self._submit(command, connection, reserved_bytes)
        self._owner.core.memory_budget.release(reserved_bytes)
        pending = PendingResponse(connection)
        self._pipeline.append(pending)
        if isinstance(command, NoOp):
            pending.complete([self._owner.no_op_response])
            return True
        if isinstance(command, ValueSkipped):
            self._owner.counters.add("values_rejected_for_memory")
            pending.complete(encode_rejection(0.0))
            return True
        self._owner.counters.add("bad_commands")
        keep_open = self._respond_to_bad_command(pending, command.reason)
        return keep_open and not command.fatal

    def _submit(self, request: Request, connection: ExecutorConnection, reserved_bytes: int) -> bool:
        pending = PendingResponse(connection, request.id)
        pending.open_request_id = request.id.decode("ascii")
        self._pipeline.append(pending)
        try:
            self._owner.core.submit(request, pending, reserved_bytes, self._input.arrival.arrived_after)
        except IdInUseError:
            self._owner.core.memory_budget.release(reserved_bytes)
            pending.open_request_id = None  # the open request with this ID belongs to another command
            return self._respond_to_bad_command(pending, "id in use")
        connection.has_requested = True
        return True

    def _respond_to_bad_command(self, pending: PendingResponse, reason: str) -> bool:
        """Respond with an error; returns whether the connection stays open for further commands."""
        self._bad_commands += 1
        pending.complete(encode_client_error(reason))
        return self._bad_commands < MAX_BAD_COMMANDS
