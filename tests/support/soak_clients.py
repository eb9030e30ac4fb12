"""Clients of a soak, which judge the responses that they get."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable

from support.soak_servers import HOST, Received, value_of

TIMEOUT_MS = 1_200
LONG_VALUE_BYTES = 64 * 1024
LATE_S = 0.5  # how much later than its client waits a response may come; then the request is lost
_numbers = itertools.count(1)


class Judge:
    """Collects what breaks a rule.

    Attributes:
        findings: One line for each break.
        requests: The number of requests that were judged.
        rejected: How many of them were rejected or failed.
        crowded_until: While a crowd fills the node, until this instant, it may close connections unread.
    """

    def __init__(
        self,
        received: Received,
        timeout_ms: int = TIMEOUT_MS,
        receipt_of: Callable[[str], bytes] = lambda _: b"r1",
    ) -> None:
        self._receipt_of = receipt_of
        self.timeout_ms = timeout_ms  # how long the clients wait
        self.latest_response_s = timeout_ms / 1000 + LATE_S
        self.findings: list[str] = []
        self.requests = 0
        self.rejected = 0
        self.crowded_until = float("-inf")
        self.left: dict[str, float] = {}  # the instant at which the client of each request left
        self.killed_at = float("-inf")  # when a process was last killed without notice
        self.values_cut_by_kill_until = float(
            "-inf"
        )  # a value that ends before may have ended with a process
        self.broken_off: dict[str, float] = {}  # when each value ended that was not whole
        self._received = received
        self._rejected_writes: set[str] = set()

    def response(self, request_id: str, key: str, is_write: bool, line: bytes, value: bytes) -> None:
        """Judge a response."""
        self.requests += 1
        if line.startswith(b"SERVER_ERROR busy"):
            self.rejected += 1
            if is_write:
                self._rejected_writes.add(request_id)
        elif line.startswith(b"SERVER_ERROR"):
            self.rejected += 1
        elif is_write:
            if line != f"HD O{request_id} c".encode() + self._receipt_of(request_id) + b"\r\n":
                self.findings.append(f"wrong receipt of {request_id}: {line!r}")
        elif value != value_of(key) or f" O{request_id}\r\n".encode() not in line:
            self.findings.append(f"wrong value of {key} for {request_id}: {line!r}, {len(value)} bytes")

    def unanswered(self, request_id: str, how: str) -> None:
        """Record a request without a whole response."""
        self.requests += 1
        self.findings.append(f"{request_id} lost: {how}")

    def was_attempted(self, request_id: str) -> bool:
        """Whether a server received the request."""
        return any(one == request_id for _, one in self._received.attempts)

    def value_broken_off(self, request_id: str) -> None:
        """Record a value that began and did not come whole, unless a process was just killed."""
        if time.monotonic() > self.values_cut_by_kill_until:
            self.broken_off[request_id] = time.monotonic()

    def close(self) -> None:
        """Judge what the servers received."""
        for request_id, count in self._received.executed.items():
            if count > 1:
                self.findings.append(f"write {request_id} ran {count} times")
            if request_id in self._rejected_writes:
                self.findings.append(f"write {request_id} ran and was rejected")
        for request_id in self.broken_off.keys() & self._received.closed_while_writing:
            self.findings.append(f"the value of {request_id} was cut off while its server was writing it")
        allowed_s = 0.1 + self._received.longest_stall_s
        for at, request_id in self._received.attempts:
            left_at = self.left.get(request_id)
            if left_at is not None and at > left_at + allowed_s:
                self.findings.append(f"{request_id} sent {at - left_at:.3f} s after its client left")


class ConnectedClient:
    """A client that has one connection to the node, and opens another when that has ended."""

    def __init__(self, port: int, rng: random.Random, judge: Judge) -> None:
        self._port = port
        self._rng = rng
        self._judge = judge
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> None:
        """Connect unless connected, as soon as a node listens."""
        if self._reader is not None and self._reader.at_eof():
            self._disconnect()
        while self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
                # `drain` waits until the kernel has the last byte, from which the time counts.
                self._writer.transport.set_write_buffer_limits(high=0)
            except OSError:
                await asyncio.sleep(0.05)

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class Client(ConnectedClient):
    """A client that sends one request after another, on its connection as long as that stays open."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._request()
                await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        finally:
            self._disconnect()

    async def _request(self) -> None:
        key = f"{self._rng.choice(['tiny', 'tiny', 'short', 'long'])}-{self._rng.randrange(50)}"
        request_id = f"c{next(_numbers)}"
        is_write = self._rng.random() < 0.3
        options = f"P{'c=put' if is_write else 'c=read'},d={self._judge.timeout_ms}"
        if is_write:
            value = value_of(key)
            command = f"ms {key} {len(value)} O{request_id} {options}\r\n".encode() + value + b"\r\n"
        else:
            command = f"mg {key} v O{request_id} {options}\r\n".encode()
        self._ends: list[str] = []
        for try_number in range(2):  # a request that crosses the end of a connection is sent once more
            sent_at = time.monotonic()
            if await self._exchange(command, request_id, key, is_write):
                return
            self._disconnect()
            if self._judge.killed_at >= sent_at:  # its effect is unknown: it is not sent again
                return
            if try_number:
                self._judge.unanswered(request_id, f"two connections ended without a response: {self._ends}")

    async def _exchange(self, command: bytes, request_id: str, key: str, is_write: bool) -> bool:
        """Send a request and judge the response; False if the connection ended without one."""
        await self._connect()
        assert self._reader is not None
        assert self._writer is not None
        line = value = b""
        try:
            self._writer.write(command)
            await self._writer.drain()
            async with asyncio.timeout(self._judge.latest_response_s) as limit:
                line = await self._reader.readuntil(b"\r\n")
                if line.startswith(b"VA "):
                    length = int(line.split()[1])
                    value = await self._reader.readexactly(1)
                    if length > LONG_VALUE_BYTES:  # its first bytes are timed, and its server may be slow
                        limit.reschedule(limit.when() + 10.0)
                    value += (await self._reader.readexactly(length + 1))[:-2]
        except TimeoutError:
            what = f"{'write' if is_write else 'read'} of {key}"
            self._judge.unanswered(
                request_id, f"{what}: no response within {self._judge.latest_response_s} s"
            )
            self._disconnect()
            return True
        except (OSError, asyncio.IncompleteReadError) as error:
            self._ends.append(f"{key} {'write' if is_write else 'read'} {error!r} at {time.monotonic():.3f}")
            if line:  # a long value that its server did not complete: the client can tell
                self._judge.value_broken_off(request_id)
                self._disconnect()
                return True
            return False
        self._judge.response(request_id, key, is_write, line, value)
        return True


async def leave_early(port: int, rng: random.Random, judge: Judge) -> None:
    """Send reads, often more than a node takes at once, and leave; repeat until cancelled."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(HOST, port)
            ids = [f"l{next(_numbers)}" for _ in range(rng.choice([1, 5, 40, 2_000]))]
            reads = [
                f"mg tiny-{index % 50} v O{one} Pc=read,d={judge.timeout_ms}" for index, one in enumerate(ids)
            ]
            writer.write("\r\n".join([*reads, ""]).encode())
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            writer.transport.abort()
            await asyncio.sleep(0)  # the event loop closes the socket in the next iteration
            judge.left.update(dict.fromkeys(ids, time.monotonic()))
        await asyncio.sleep(rng.uniform(0.1, 0.5))
