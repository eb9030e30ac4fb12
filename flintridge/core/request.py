"""A client's request and the attempts at it, as passed between frontend, core and upstream dispatch."""

import math
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Request:
    """One request as a protocol frontend read it. Key, id, value and options are forwarded unchanged.

    Attributes:
        id: The id that the client chose.
        key: The key of the object to read or write.
        options: Option names and values as the client wrote them.
        timeout_span: Start and end of the client's timeout within `options`; None if it gave no timeout.
        value: The value that a write stores, which must not be modified; None for a read.
        timeout_ms: How long the client waits; None if it waits as long as its request class allows.
        class_index: The request class, as its position in the settings.
        tenant: The tenant, as its position in the settings.
        retry: Whether the client marked the request as a retry.
        work_us: Expected work in microseconds; None if unknown.
        size: Expected size of the response in bytes; None if unknown.
    """

    id: bytes
    key: bytes
    options: bytes
    timeout_span: tuple[int, int] | None
    value: bytes | bytearray | None = None
    timeout_ms: float | None = None
    class_index: int = 0
    tenant: int = 0
    retry: bool = False
    work_us: float | None = None
    size: float | None = None

    @property
    def write(self) -> bool:
        """Whether the request stores a value."""
        return self.value is not None

    def options_with_timeout(self, timeout_ms: float) -> list[bytes]:
        """Return `options` for a server, in pieces, with the client's timeout replaced by `timeout_ms`.

        A retry starts late in the client's timeout. Without the remaining time, servers and the origin would
        work for a client that has given up. If the client gave no timeout, none is added.
        """
        if self.timeout_span is None:
            return [self.options]
        start, end = self.timeout_span
        return [self.options[:start], b"%d" % max(1, timeout_ms), self.options[end:]]


def _no_client() -> None:
    """Default for attempts without a client to check."""


def _no_later_commands() -> bool:
    """Default for attempts without a client that could send commands."""
    return True


@dataclass(slots=True)
class UpstreamAttempt:
    """One attempt to have a request served by a server. Times are float milliseconds of the node's clock.

    Attributes:
        id: The request's id.
        number: The position among the request's attempts, from 0.
        server: The id of the server.
        request: The request to send.
        sent_at: When the policy decided to send it.
        deadline: When the node stops waiting for the response.
        begin_by: Latest instant for writing the first byte.
        written_by: Latest instant for writing the last byte.
        request_ended: Whether the request has its final response; an attempt not yet begun is not written.
        check_client: Must be called before the first byte is written; may set `request_ended`.
        response_due: When the request's response is due, even if `deadline` is earlier.
        hold_later_commands: See `Responder.hold_later_commands`.
        ended: Whether the attempt's end was reported.
        abort: Aborts the attempt; set by the driver.
    """

    id: str
    number: int
    server: str
    request: Request
    sent_at: float
    deadline: float
    begin_by: float = math.inf
    written_by: float = math.inf
    request_ended: bool = False
    check_client: Callable[[], None] = _no_client
    response_due: float = math.inf
    hold_later_commands: Callable[[], bool] = _no_later_commands
    ended: bool = False
    abort: Callable[[], object] | None = None
