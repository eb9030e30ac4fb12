"""What passes between a front, the core and the drivers; it knows neither memcache nor HTTP."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from flintridge.api import Outcome


@dataclass(slots=True, frozen=True)
class Envelope:
    """One request as a front took it in. Key, id, value and extras are passed on as they are."""

    id: bytes
    key: bytes
    extras: bytes  # the list of names and values
    wait_span: tuple[int, int] | None  # where in `extras` the time to wait stands
    value: bytes | bytearray | None = None  # of a write; nobody changes it
    wait_ms: float | None = None  # how long the client waits; None: as long as its class
    cls: int = 0
    tenant: int = 0
    retry: bool = False
    work_us: float | None = None
    size: float | None = None

    @property
    def write(self) -> bool:
        return self.value is not None

    def extras_told(self, wait_ms: float) -> list[bytes]:
        """`extras` for a server, in parts: the time to wait is `wait_ms`, what is left of the client's.

        Guards servers, the origin as well, against work for a client that will be gone: a further attempt
        begins late in its client's time. Where the client told no time, none is told.
        """
        if self.wait_span is None:
            return [self.extras]
        start, end = self.wait_span
        return [self.extras[:start], b"%d" % max(1, wait_ms), self.extras[end:]]


@dataclass(slots=True, frozen=True)
class Served:
    """A final answer made by a server: a read's value, or a write's receipt."""

    body: bytes
    receipt: bool


@dataclass(slots=True, frozen=True)
class Answer:
    """How an attempt ended, as its server told it."""

    outcome: Outcome
    served: Served | None = None
    note: int | None = None
    load: dict[str, float] = field(default_factory=dict)
    spoilt: bool = False  # what came could not be read as an answer to this, or a kept connection had ended


class Passage(Protocol):
    """The way of a long value to its client, in pieces. After `begin`, `end` or `cut` is called, once."""

    async def room(self) -> None:
        """Until more may be written. Raises Gone where the client is, or reads nothing for too long."""

    def write(self, pieces: list[bytes]) -> None: ...

    def end(self) -> None:
        """The value was whole."""

    def cut(self) -> None:
        """It was not, and the client shall be able to tell."""


class Gone(ConnectionError):
    """Nobody reads the value that is passed on."""


class Reply(Protocol):
    """The sender side's end of a request: exactly one of the calls below `look` is made, once."""

    def look(self) -> None:
        """See whether its client has left by now, though nobody may have been told yet; it is told then
        (`Core.gone`)."""

    def begin(self, length: int) -> Passage:
        """Served with a long value, which is to go through in pieces."""

    def served(self, served: Served) -> None: ...

    def defer(self, retry_after_ms: float) -> None: ...

    def failed(self) -> None: ...


class Long(Protocol):
    """A long value that goes through in pieces."""

    @property
    def length(self) -> int: ...

    @property
    def answer(self) -> Answer:
        """What was told ahead of it."""

    def taken(self) -> list[bytes]:
        """The pieces that may go out now."""


class Exchange(Protocol):
    """A question to a server and its answer: a state machine that is fed bytes and knows no socket."""

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""

    @property
    def named(self) -> bool:
        """Whether the answer told which request it was for, so that a second copy passes for no other."""

    @property
    def long(self) -> "Long | None":
        """The long value that has begun to come, if any; the answer follows with its end."""

    def question(self) -> list[bytes | bytearray]: ...

    def feed(self, data: bytes) -> Answer | None: ...

    def end(self) -> Answer | None:
        """The server ended its sending: the answer, if this completes it."""


def _at_nobody() -> None:
    """There is no client to look at."""


@dataclass(slots=True)
class DeliveryAttempt:
    """One attempt to have a request served by a server."""

    id: str
    number: int
    server: str
    envelope: Envelope
    sent_at: float
    until: float  # the node stops waiting then
    begin_by: float = math.inf  # its first byte may go until then,
    written_by: float = math.inf  # and its last
    over: bool = False  # its request has ended: what is not begun is not to be written any more
    look: Callable[[], None] = _at_nobody  # to be called before its first byte: it may be `over` upon that
    ended: bool = False
    give_up: Callable[[], object] | None = None  # set by the driver that carries it
