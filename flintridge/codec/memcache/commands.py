"""What the command parser makes of a client's bytes: requests and the other commands."""

from dataclasses import dataclass

from flintridge.core.request import Request


@dataclass(slots=True, frozen=True)
class NoOp:
    """`mn`: may requests be sent?"""


@dataclass(slots=True, frozen=True)
class InvalidCommand:
    """A command to be answered with CLIENT_ERROR.

    Attributes:
        reason: For the client.
        fatal: Whether the framing is lost, so that the connection has to end after the response.
    """

    reason: str
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class LongValueAnnounced:
    """A long value is to come. The parser waits until `CommandParser.admit_long_value` is called.

    Attributes:
        length: Of the value, in bytes.
    """

    length: int


@dataclass(slots=True, frozen=True)
class LongValueSkipped:
    """A long value that was not admitted has been read past; its command is to be rejected."""


Command = Request | NoOp | InvalidCommand | LongValueAnnounced | LongValueSkipped
