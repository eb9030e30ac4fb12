"""Tools for planting defects: replace an object's attributes and intercept the core's calls to responders."""

from collections.abc import Callable

from flintridge.core.request import Request
from flintridge.core.response import Responder, Response, StreamedResponse
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.pipeline import PendingResponse
from flintridge.node import Node
from flintridge.policy.balancer import Balancer

SAMPLE_INTERVAL = 10  # a defect that affects only some requests affects every tenth one


def replace_attribute(owner: object, name: str, value: object) -> None:
    """Replace an attribute of one object.

    Raises:
        AttributeError: The object has no attribute of this name, as after a renaming in the node's code.
    """
    getattr(owner, name)
    setattr(owner, name, value)


def every_multiple_of(interval: int) -> Callable[[], bool]:
    """Build a function that returns True at each call whose number is a multiple of `interval`."""
    calls = 0

    def is_selected() -> bool:
        nonlocal calls
        calls += 1
        return calls % interval == 0

    return is_selected


class ForwardingResponder:
    """A Responder that forwards every call to another one; subclasses override some of the calls."""

    def __init__(self, responder: Responder) -> None:
        self.responder = responder

    def check_client(self) -> None:
        """See `Responder.check_client`."""
        self.responder.check_client()

    def hold_later_commands(self) -> bool:
        """See `Responder.hold_later_commands`."""
        return self.responder.hold_later_commands()

    def start_stream(self, length: int) -> StreamedResponse:
        """See `Responder.start_stream`."""
        return self.responder.start_stream(length)

    def respond(self, response: Response) -> None:
        """See `Responder.respond`."""
        self.responder.respond(response)

    def reject(self, retry_after_ms: float) -> None:
        """See `Responder.reject`."""
        self.responder.reject(retry_after_ms)

    def fail(self) -> None:
        """See `Responder.fail`."""
        self.responder.fail()


class RejectionsDropped(ForwardingResponder):
    """Forwards served responses, and drops rejections and failures."""

    def reject(self, retry_after_ms: float) -> None:
        """Drop the rejection."""

    def fail(self) -> None:
        """Drop the failure."""


def intercept_responders(node: Node, intercept: Callable[[Request, Responder], Responder]) -> None:
    """Replace each request's responder by the one that `intercept` returns."""
    submit = node.core.submit

    def submit_intercepted(
        request: Request, responder: Responder, reserved_bytes: int = 0, arrived_after: float | None = None
    ) -> str:
        return submit(request, intercept(request, responder), reserved_bytes, arrived_after)

    replace_attribute(node.core, "submit", submit_intercepted)


def connection_of(responder: Responder) -> ClientConnection | None:
    """Return the client connection of a responder; None if the responder belongs to no client connection."""
    if not isinstance(responder, PendingResponse):
        return None
    connection = responder.connection
    return connection if isinstance(connection, ClientConnection) else None


def balancer_of(node: Node) -> Balancer:
    """Return the node's balancer.

    Raises:
        TypeError: The node uses another policy, for which these defects are not made.
    """
    policy = node.core.policy_driver.policy
    if not isinstance(policy, Balancer):
        raise TypeError(
            f"the policy is {type(policy).__name__}; these defects can only be planted in a Balancer"
        )
    return policy
