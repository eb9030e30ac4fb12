"""A client's request and the attempts at it, as they pass between frontend, core and upstream dispatch."""

import math
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Request:
    """One request as a protocol frontend read it. Key, id, value and options are forwarded as they are.

    Attributes:
        id: The client's name for it.
        key: The object that it reads or writes.
        options: Names and values as the client wrote them.
        timeout_span: Where in `options` the client's timeout stands; None: it named none.
        value: What a write stores; nobody changes it. None: this is a read.
        timeout_ms: How long the client waits; None: as long as its class.
        class_index: Its request class, by position in the settings.
        tenant: By position in the settings.
        retry: Whether the client says that it sent this before.
        work_us: Expected work in microseconds; None: nothing is known.
        size: Expected size of the response in bytes; None: nothing is known.
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
        """Whether it stores a value."""
        return self.value is not None

    def options_with_timeout(self, timeout_ms: float) -> list[bytes]:
        """`options` for a server, in pieces, with what remains of the client's timeout in its place.

        Guards servers, the origin as well, against work for a client that will be gone: a further attempt
        begins late in its client's time. Where the client named no timeout, none is named.
        """
        if self.timeout_span is None:
            return [self.options]
        start, end = self.timeout_span
        return [self.options[:start], b"%d" % max(1, timeout_ms), self.options[end:]]


def _no_client() -> None:
    """There is no client to check."""


@dataclass(slots=True)
class UpstreamAttempt:
    """One attempt to have a request served by a server. Times are float milliseconds of the node's clock.

    Attributes:
        id: The request's id.
        number: Its position among the request's attempts.
        server: Where it goes.
        request: What is sent.
        sent_at: When the policy decided on it.
        deadline: The node stops waiting then.
        begin_by: Its first byte may be written until then, ...
        written_by: ... and its last until then.
        request_ended: Whether its request has its final response: what has not begun is not written any more.
        check_client: To be called before the first byte; it may set `request_ended`.
        ended: Whether its end was reported.
        abort: Set by the driver that carries it.
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
    ended: bool = False
    abort: Callable[[], object] | None = None
