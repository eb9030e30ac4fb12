"""Actions: what the decision policy wants done."""

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Send:
    """Make the next attempt at a request.

    Attributes:
        id: The request.
        server: Where to send it.
        timeout_ns: How long to wait for a response; 0: until the client gives up.
        begin_by: The latest instant of its first byte, where it cannot be written at once; inf: no limit.
        written_by: The latest instant of its last byte; inf: no limit. What has not begun by then ends as
            `Outcome.WITHDRAWN`.
    """

    id: str
    server: str
    timeout_ns: int = 0
    begin_by: float = math.inf
    written_by: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt, named by its position among the request's attempts."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final response: not executed, and a repeat is harmless.

    `retry_after_ns`: when to come again (0: not said).
    """

    id: str
    retry_after_ns: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: failed, with nothing said about whether it was executed."""

    id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Report `TimerFired(token)` at the instant `at`."""

    at: int
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask discovery for the endpoint list once."""


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Send a health check to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send `data` to the node at position `to` in the fleet; None: to every other one."""

    to: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the node's log."""

    text: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | Watch
    | FetchEndpoints
    | CheckHealth
    | CloseIdleConnections
    | SendToPeer
    | Log
)
