"""Tools for planting: replacing what an object does, and standing between the core and its replies."""

from collections.abc import Callable

from flintridge.core.request import Request
from flintridge.core.response import Responder, Response, StreamedResponse
from flintridge.node import Node


def put(owner: object, name: str, value: object) -> None:
    """Replace an attribute of one object. Raises AttributeError where it has none of this name.

    Guards against a defect that is planted beside the code, after a part of the node was renamed.
    """
    getattr(owner, name)
    setattr(owner, name, value)


def every(count: int) -> Callable[[], bool]:
    """True at each so-manieth call."""
    calls = 0

    def hit() -> bool:
        nonlocal calls
        calls += 1
        return calls % count == 0

    return hit


class Alter:
    """A Responder that passes everything on; its heirs do not."""

    def __init__(self, reply: Responder) -> None:
        self.reply = reply

    def check_client(self) -> None:
        self.reply.check_client()

    def start_stream(self, length: int) -> StreamedResponse:
        return self.reply.start_stream(length)

    def respond(self, response: Response) -> None:
        self.reply.respond(response)

    def reject(self, retry_after_ms: float) -> None:
        self.reply.reject(retry_after_ms)

    def fail(self) -> None:
        self.reply.fail()


def wrap_replies(node: Node, alter: Callable[[Request, Responder], Responder]) -> None:
    """Have each request's reply replaced by what `alter` makes of it."""
    submit = node.core.submit

    def wrapped(request: Request, reply: Responder, kept: int = 0, arrived_after: float | None = None) -> str:
        return submit(request, alter(request, reply), kept, arrived_after)

    put(node.core, "submit", wrapped)
