"""Clients of a soak that send several commands at once."""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass

from support.soak_clients import LONG_VALUE_BYTES, ConnectedClient
from support.soak_servers import value_of

SLOW_VALUE_S = 11.0  # after its first bytes a value may come slowly; a silent server is given up before
SIZES = ("tiny", "tiny", "short", "long", "huge")
_numbers = itertools.count(1)


@dataclass(frozen=True)
class Command:
    """A read or a write."""

    request_id: str
    key: str
    is_write: bool
    timeout_ms: int

    def encode(self) -> bytes:
        """Return its bytes."""
        if not self.is_write:
            return f"mg {self.key} v O{self.request_id} Pc=read,d={self.timeout_ms}\r\n".encode()
        value = value_of(self.key)
        options = f"Pc=put,d={self.timeout_ms}"
        return f"ms {self.key} {len(value)} O{self.request_id} {options}\r\n".encode() + value + b"\r\n"


class PipeliningClient(ConnectedClient):
    """A client that sends up to five commands at once and reads their responses."""

    async def run(self) -> None:
        """Send commands until cancelled."""
        try:
            while True:
                await self._send_batch()
                await asyncio.sleep(self._rng.uniform(0.0, 0.2))
        finally:
            self._disconnect()

    def _draw(self) -> Command:
        key = f"{self._rng.choice(SIZES)}-{self._rng.randrange(50)}"
        return Command(f"p{next(_numbers)}", key, self._rng.random() < 0.3, self._judge.timeout_ms)

    async def _send_batch(self) -> None:
        remaining = [self._draw() for _ in range(self._rng.randrange(1, 6))]
        ends: list[str] = []
        while remaining and len(ends) < 2:
            commands = remaining
            sent_at = time.monotonic()
            remaining, end = await self._exchange(commands)
            if not remaining:
                return
            self._disconnect()
            if self._judge.killed_at >= sent_at:  # their effects are unknown: they are not sent again
                return
            # What crosses the end of a connection is sent once more; what was read has to be answered.
            for command in remaining:
                if self._judge.was_attempted(command.request_id):
                    self._judge.unanswered(
                        command.request_id, f"sent on, and then its connection ended: {end}"
                    )
                    return
            may_close_unread = sent_at < self._judge.crowded_until
            ends = [] if may_close_unread or len(remaining) < len(commands) else [*ends, end]
        if remaining:
            self._judge.unanswered(remaining[0].request_id, f"two connections ended: {ends}")

    async def _exchange(self, commands: list[Command]) -> tuple[list[Command], str]:
        """Send commands and judge the responses.

        Returns:
            The commands that got none, and how the connection ended.
        """
        await self._connect()
        assert self._writer is not None
        remaining = list(commands)
        written = [asyncio.Event() for _ in commands]
        writing = asyncio.create_task(self._write(self._writer, commands, written))
        try:
            for event in written:
                if not await self._receive(remaining[0], event):
                    self._disconnect()
                    return remaining[1:], "broken value"
                remaining.pop(0)
        except (OSError, asyncio.IncompleteReadError) as error:
            return remaining, f"{error!r} at {time.monotonic():.3f}"
        finally:
            writing.cancel()
        return [], ""

    @staticmethod
    async def _write(
        writer: asyncio.StreamWriter, commands: list[Command], written: list[asyncio.Event]
    ) -> None:
        """Write commands beside the reading of responses; sets each event when the kernel has the command."""
        with contextlib.suppress(OSError):
            for command, event in zip(commands, written, strict=True):
                writer.write(command.encode())
                await writer.drain()
                event.set()

    async def _receive(self, command: Command, written: asyncio.Event) -> bool:
        """Read and judge one response; False if the connection cannot be used any more."""
        assert self._reader is not None
        line = value = b""
        reading = asyncio.ensure_future(self._reader.readuntil(b"\r\n"))
        waiting = asyncio.ensure_future(written.wait())
        try:
            # The time of a response begins with the last byte of its command, and after the one before it.
            await asyncio.wait([reading, waiting], return_when=asyncio.FIRST_COMPLETED)
            async with asyncio.timeout(self._judge.latest_response_s) as limit:
                line = await reading
                if line.startswith(b"VA "):
                    length = int(line.split()[1])
                    value = await self._reader.readexactly(1)
                    if length > LONG_VALUE_BYTES:
                        limit.reschedule(limit.when() + SLOW_VALUE_S)
                    value += (await self._reader.readexactly(length + 1))[:-2]
        except TimeoutError:
            what = f"{'write' if command.is_write else 'read'} of {command.key}"
            self._judge.unanswered(command.request_id, f"pipelined {what}: no response in time")
            return False
        except (OSError, asyncio.IncompleteReadError):
            if not line:
                raise
            self._judge.value_broken_off(command.request_id)
            return False
        finally:
            reading.cancel()
            waiting.cancel()
        self._judge.response(command.request_id, command.key, command.is_write, line, value)
        return True
