"""Planted defects in how a node handles the end of client connections."""

from collections.abc import Callable

from flintridge.core.request import Request
from flintridge.core.response import Responder
from flintridge.downstream.connection import ClientConnection
from flintridge.lab.defects.interception import (
    SAMPLE_INTERVAL,
    connection_of,
    every_multiple_of,
    intercept_responders,
    replace_attribute,
)
from flintridge.node import Node

ABORT_DELAY_MS = 100.0  # between reading a request and closing its connection


def client_gone_ignored(node: Node) -> None:
    """The node ignores that clients disconnect, and keeps sending attempts for their open requests."""
    replace_attribute(node.core, "client_disconnected", lambda request_id: None)


def closes_first_requests(node: Node) -> None:
    """Every tenth connection is closed at its first request, without a response."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)

    def intercept(_: Request, responder: Responder) -> Responder:
        connection = connection_of(responder)
        if connection is not None and not connection.has_requested and is_selected():
            node.clock.call_at(node.clock.now(), connection.abort)
        return responder

    intercept_responders(node, intercept)


def closes_what_it_read(node: Node) -> None:
    """Every tenth request after a connection's first is ignored, and the connection closed after 100 ms."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    abort_unprocessed(node, lambda connection: connection.has_requested and is_selected())


def abort_unprocessed(node: Node, applies_to: Callable[[ClientConnection], bool]) -> None:
    """Ignore the requests that `applies_to` selects by connection, and close the connection after a delay."""
    submit = node.core.submit

    def submit_or_abort(
        request: Request, responder: Responder, reserved_bytes: int = 0, arrived_after: float | None = None
    ) -> str:
        connection = connection_of(responder)
        if connection is None or not applies_to(connection):
            return submit(request, responder, reserved_bytes, arrived_after)
        node.core.memory_budget.release(reserved_bytes)
        node.clock.call_at(node.clock.now() + ABORT_DELAY_MS, connection.abort)
        return request.id.decode("ascii")

    replace_attribute(node.core, "submit", submit_or_abort)
