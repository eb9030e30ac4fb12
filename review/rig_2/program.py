"""The node program as a separate process, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import signal
import tomllib
from pathlib import Path

from review.rig_2.network import ask_once
from review.rig_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
MAX_LOG_LINE_BYTES = 4 * 1024 * 1024


def run_command() -> str:
    """The command of the deploy file that starts a node."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class CaseCouldNotRunError(Exception):
    """The case could not run: its result says nothing about the rule."""


class NodeProcess:
    """One process of a node.

    Attributes:
        name: The name in the record.
        config: The configuration file.
        events: The names of the log events so far.
    """

    def __init__(self, name: str, config: Path, temporary: Path, record: Record) -> None:
        """Prepare a process with `config`; processes of one node share the folder `temporary`."""
        self.name = name
        self.config = config
        self.events: list[dict[str, object]] = []
        self._temporary = temporary
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, **environment: str) -> None:
        """Start the process; `environment` has further variables."""
        self._temporary.mkdir(parents=True, exist_ok=True)
        variables = {"PROXY_CONFIG": str(self.config), "TMPDIR": str(self._temporary), **environment}
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env={**os.environ, **variables},
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, limit=MAX_LOG_LINE_BYTES,
        )  # fmt: skip
        self._record.add(self.name, "started")
        self._reading = asyncio.ensure_future(self._read_log(self._process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            text = line.decode(errors="replace").strip()
            self._record.add(self.name, f"log {text[:600]}")
            with contextlib.suppress(ValueError):
                self.events.append(json.loads(text))
        code = await process.wait()
        self._record.add(self.name, f"ended with {code}")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def has_logged(self, event: str) -> bool:
        """Whether an event of that name was logged."""
        return any(logged.get("event") == event for logged in self.events)

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None and self.is_running:
            self._record.add(self.name, f"signal {number.name}")
            self._process.send_signal(number)

    async def wait_ready(self, port: int, timeout_s: float = 30.0) -> None:
        """Wait until `mn` is answered with `MN` at `port`."""
        async with asyncio.timeout(timeout_s):
            while await ask_once(port, b"mn\r\n", 1.0) != b"MN":
                if not self.is_running:
                    raise CaseCouldNotRunError(f"{self.name} ended before it was ready")
                await asyncio.sleep(0.05)
        self._record.add(self.name, "answers MN")

    async def wait_ended(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; None if it still runs after `timeout_s`."""
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kill the process if it runs, also if it is stopped."""
        if self._process is not None and self.is_running:
            self._record.add(self.name, "signal SIGKILL")
            self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            await self._reading
