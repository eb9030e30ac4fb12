"""The commands that the command parser produces: requests and others."""

from dataclasses import dataclass

from flintridge.core.request import Request


@dataclass(slots=True, frozen=True)
class NoOp:
    """The no-op command, `mn`, by which clients check whether the node accepts requests."""


@dataclass(slots=True, frozen=True)
class InvalidCommand:
    """An invalid command, which gets a CLIENT_ERROR response.

    Attributes:
        reason: The error message for the client.
        fatal: Whether the framing is lost, so that the connection must be closed after the response.
    """

    reason: str
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class ValueAnnounced:
    """A value that needs reserved memory follows. Parsing stops until `CommandParser.admit_value` is called.

    Attributes:
        length: The length of the value, in bytes.
        request: The request that it belongs to, without the value.
    """

    length: int
    request: Request


@dataclass(slots=True, frozen=True)
class ValueSkipped:
    """A value that was not admitted has been skipped; its command must be rejected."""


Command = Request | NoOp | InvalidCommand | ValueAnnounced | ValueSkipped
