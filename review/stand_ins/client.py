"""A stand-in for a client: sends requests on one connection, and reads the answers in their order."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass

from review.stand_ins.record import Record, clip

HOST = "127.0.0.1"
_numbers = itertools.count(1)


@dataclass
class Sent:
    """A request and its answer.

    Attributes:
        id: The id.
        what: What was asked, for the record.
        sent_at: When its last byte was written, in seconds of the record.
        timeout_s: How long the client waits.
        line: The first line of the answer; empty if there is none yet.
        value: The value that came with it.
        answered_at: When the last byte of the answer arrived.
        ended: How the connection ended while there was no whole answer; empty if it did not.
    """

    id: str
    what: str
    sent_at: float
    timeout_s: float
    line: str = ""
    value: bytes = b""
    answered_at: float = 0.0
    ended: str = ""

    @property
    def answered(self) -> bool:
        """Whether the whole answer has arrived."""
        return self.answered_at > 0.0


def new_id() -> str:
    """A new request id."""
    return f"{next(_numbers):016x}"


def read_command(key: str, request_id: str, timeout_ms: int = 2_400) -> bytes:
    """A read."""
    return f"mg {key} v O{request_id} Pc=menu-read,t=canteen,d={timeout_ms}\r\n".encode()


def write_command(key: str, request_id: str, value: bytes, timeout_ms: int = 3_900) -> bytes:
    """An order, with an idempotency key of its own."""
    head = f"ms {key} {len(value)} O{request_id} Pc=place-order,t=canteen,d={timeout_ms},k=k{request_id}\r\n"
    return head.encode() + value + b"\r\n"


class Client:
    """One connection to a node, and the requests sent on it.

    Attributes:
        sent: The requests, in order.
        closed: How the connection ended; empty while it is open.
        writer: Writes to the node, once connected.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.sent: list[Sent] = []
        self.closed = ""
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._changed = asyncio.Event()  # set when an answer or the end of the connection arrives
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int) -> None:
        """Connect to a node."""
        self._reader, self.writer = await asyncio.open_connection(HOST, port)

    def note_sent(self, request_id: str, what: str, timeout_s: float) -> Sent:
        """Note a request whose last byte is written now."""
        sent = Sent(request_id, what, self._record.now(), timeout_s)
        self.sent.append(sent)
        self._record.add(self._name, f"sent {what} id {request_id}")
        return sent

    async def read_answers(self) -> None:
        """Read answers, in the order of the requests, until the connection ends."""
        assert self._reader is not None
        position = 0
        try:
            while True:
                line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("ascii", "replace")
                sent = self.sent[position] if position < len(self.sent) else None
                if sent is not None:
                    sent.line = line
                value = b""
                if line.startswith("VA "):
                    length = int(line.split(" ")[1])
                    value = (await self._reader.readexactly(length + 2))[:-2]
                self._record.add(self._name, f"got {line} {clip(value, 20)}")
                if sent is not None:
                    sent.value = value
                    sent.answered_at = self._record.now()
                    self._changed.set()
                position += 1
        except asyncio.IncompleteReadError as error:
            self.closed = f"closed by the node after {len(error.partial)} bytes of an answer"
        except OSError as error:
            self.closed = f"broken: {error!r}"
        self._record.add(self._name, f"connection {self.closed}")
        for sent in self.sent[position:]:
            sent.ended = self.closed
        self._changed.set()

    async def wait_until_answered(self, requests: list[Sent], wait_s: float) -> None:
        """Wait until all these requests have their answers, the connection has ended, or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.closed and not all(sent.answered for sent in requests):
                    self._changed.clear()
                    await self._changed.wait()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
