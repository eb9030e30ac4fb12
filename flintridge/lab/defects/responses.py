"""Planted defects in the responses that a node sends to its clients."""

from collections.abc import Callable
from typing import Any

from flintridge.codec.memcache.encoder import encode_response
from flintridge.core.request import Request
from flintridge.core.response import Responder, Response
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.pipeline import PendingResponse
from flintridge.lab.defects.interception import (
    SAMPLE_INTERVAL,
    ForwardingResponder,
    RejectionsDropped,
    connection_of,
    every_multiple_of,
    intercept_responders,
)
from flintridge.node import Node

DEFAULT_TIMEOUT_MS = 1000.0  # assumed for a request without a timeout
LATE_BY_MS = 300.0  # after the client's timeout
REJECTED_BEFORE_TIMEOUT_MS = 15.0


def _timeout_ms(request: Request) -> float:
    return DEFAULT_TIMEOUT_MS if request.timeout_ms is None else request.timeout_ms


class DelayedResponder(ForwardingResponder):
    """Delays rejections, failures and optionally served responses until a given time."""

    def __init__(self, node: Node, responder: Responder, due_at: float, delays_served: bool) -> None:
        """Wrap `responder`.

        Args:
            node: The node, whose clock is used.
            responder: The responder that the responses are forwarded to.
            due_at: The time until which responses are delayed, in ms of the node's clock.
            delays_served: Whether served responses are delayed, too.
        """
        super().__init__(responder)
        self._node = node
        self._due_at = due_at
        self._delays_served = delays_served

    def _call_when_due(self, call: Callable[..., None], *args: Any) -> None:
        if self._due_at <= self._node.clock.now():
            call(*args)
        else:
            self._node.clock.call_at(self._due_at, call, *args)

    def respond(self, response: Response) -> None:
        """Forward a served response, immediately or when it is due."""
        if self._delays_served:
            self._call_when_due(self.responder.respond, response)
        else:
            self.responder.respond(response)

    def reject(self, retry_after_ms: float) -> None:
        """Forward a rejection when it is due."""
        self._call_when_due(self.responder.reject, retry_after_ms)

    def fail(self) -> None:
        """Forward a failure when it is due."""
        self._call_when_due(self.responder.fail)


def answer_after_deadline(node: Node) -> None:
    """Every tenth final response is sent 300 ms after the client's timeout."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)

    def intercept(request: Request, responder: Responder) -> Responder:
        due_at = node.clock.now() + _timeout_ms(request) + LATE_BY_MS
        if not is_selected():
            return responder
        return DelayedResponder(node, responder, due_at, delays_served=True)

    intercept_responders(node, intercept)


def refusal_held_back(node: Node) -> None:
    """Rejections and failures are delayed until 15 ms before the client's timeout."""

    def intercept(request: Request, responder: Responder) -> Responder:
        due_at = node.clock.now() + _timeout_ms(request) - REJECTED_BEFORE_TIMEOUT_MS
        return DelayedResponder(node, responder, due_at, delays_served=False)

    intercept_responders(node, intercept)


class ResponsesDropped(RejectionsDropped):
    """Drops served responses, rejections and failures."""

    def respond(self, response: Response) -> None:
        """Drop the served response."""


def client_never_answered(node: Node) -> None:
    """The final response of every tenth request is dropped."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    intercept_responders(
        node, lambda _, responder: ResponsesDropped(responder) if is_selected() else responder
    )


class ResponsesRepeated(ForwardingResponder):
    """Sends a served response to its client twice."""

    def respond(self, response: Response) -> None:
        """Forward the response, and write it to the client's connection again."""
        self.responder.respond(response)
        pending = self.responder
        if not isinstance(pending, PendingResponse):
            return
        connection = pending.connection
        if isinstance(connection, ClientConnection) and not connection._writer.is_closing():
            connection._writer.writelines(encode_response(pending.id, response))


def two_answers(node: Node) -> None:
    """Every tenth served response is sent twice."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    intercept_responders(
        node, lambda _, responder: ResponsesRepeated(responder) if is_selected() else responder
    )


class ValueAltered(ForwardingResponder):
    """Changes the last byte of a served value."""

    def respond(self, response: Response) -> None:
        """Forward the response with a different last byte."""
        last = b"%" if response.body.endswith(b"#") else b"#"
        self.responder.respond(Response(response.body[:-1] + last, response.receipt))


def invented_value(node: Node) -> None:
    """The last byte of every tenth value is changed."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    intercept_responders(node, lambda _, responder: ValueAltered(responder) if is_selected() else responder)


def value_mixed_up(node: Node) -> None:
    """Every tenth read gets the value of the read that was served before it."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    previous: Response | None = None

    class PreviousValueServed(ForwardingResponder):
        """Serves every tenth read the previously served value."""

        def respond(self, response: Response) -> None:
            """Forward the response or, for a selected read, the previous one."""
            nonlocal previous
            served = response
            if not response.receipt:
                if previous is not None and is_selected():
                    served = previous
                previous = response
            self.responder.respond(served)

    intercept_responders(node, lambda _, responder: PreviousValueServed(responder))


def trouble_frees_requests(node: Node) -> None:
    """A request that no server answers gets no response at all, as rejections and failures are dropped."""
    intercept_responders(node, lambda _, responder: RejectionsDropped(responder))


def forgets_what_is_behind(node: Node) -> None:
    """Rejections and failures are dropped for requests read while another is open on their connection."""

    def intercept(_: Request, responder: Responder) -> Responder:
        connection = connection_of(responder)
        if connection is not None and len(connection._pipeline) > 1:
            return RejectionsDropped(responder)
        return responder

    intercept_responders(node, intercept)
