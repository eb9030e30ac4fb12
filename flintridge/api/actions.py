"""Actions: the operations that the decision policy asks its caller to carry out."""

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Send:
    """Send the next attempt at a request to a server.

    An attempt that could not be sent within `begin_by` and `written_by` ends with `Outcome.WITHDRAWN`.

    Attributes:
        id: The id of the request.
        server: The id of the server.
        timeout_ns: How long to wait for the response; 0 waits until the client's deadline.
        begin_by: The latest instant at which the first byte may be written; inf means no limit.
        written_by: The latest instant at which the last byte may be written; inf means no limit.
    """

    id: str
    server: str
    timeout_ns: int = 0
    begin_by: float = math.inf
    written_by: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt, which is identified by its index among the request's attempts."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final response: the request was not executed, or a repeat does no harm.

    Attributes:
        id: The id of the request.
        retry_after_ns: How long the client should wait before it retries; 0 sends no such hint.
    """

    id: str
    retry_after_ns: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: the request failed and may or may not have been executed."""

    id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver `TimerFired(token)` at the instant `at`."""

    at: int
    token: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the endpoint list, or cancel the subscription if `on` is false."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the endpoint list from discovery once."""


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
    """Send `data` to the node with index `to` in the fleet, or to all other nodes if `to` is None."""

    to: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write `text` as a line to the node's log."""

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
