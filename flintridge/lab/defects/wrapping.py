"""Tools for planting: replacing what an object does, and standing between the core and its replies."""

from collections.abc import Callable

from flintridge.net.envelope import Envelope, Passage, Reply, Served
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
    """A Reply that passes everything on; its heirs do not."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply

    def look(self) -> None:
        self.reply.look()

    def begin(self, length: int) -> Passage:
        return self.reply.begin(length)

    def served(self, served: Served) -> None:
        self.reply.served(served)

    def defer(self, retry_after_ms: float) -> None:
        self.reply.defer(retry_after_ms)

    def failed(self) -> None:
        self.reply.failed()


def wrap_replies(node: Node, alter: Callable[[Envelope, Reply], Reply]) -> None:
    """Have each request's reply replaced by what `alter` makes of it."""
    submit = node.core.submit

    def wrapped(envelope: Envelope, reply: Reply, kept: int = 0) -> str:
        return submit(envelope, alter(envelope, reply), kept)

    put(node.core, "submit", wrapped)
