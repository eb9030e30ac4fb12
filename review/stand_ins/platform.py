"""A stand-in for the platform: starts nodes with the commands of the deploy file, and ends them."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from review.stand_ins.record import Record

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_WITHIN_S = 30.0


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def run_command() -> str:
    """The command of the deploy file that starts a node."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


class Node:
    """One node: a process that `run` of the deploy file starts.

    Attributes:
        port: The port on which clients connect.
        console: The port of the operators' address.
        process: The process, once started.
    """

    def __init__(self, record: Record, name: str = "n1", port: int = 0) -> None:
        self.port = port or free_port()
        self.console = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._name = name
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self._folder / "tmp").mkdir()
        self._log = self._folder / "log"

    def configure(
        self, discovery_port: int, settings: dict[str, Any], known: dict[str, Any], **limits: float
    ) -> None:
        """Write the configuration file."""
        config = {
            "name": self._name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "console": f"{HOST}:{self.console}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
            "known": known,
            "settings": settings,
        }
        temporary = self._folder / "config.new"
        temporary.write_text(json.dumps(config), encoding="utf-8")
        temporary.rename(self._folder / "config.json")

    def start(self) -> None:
        """Start the process."""
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "PROXY_NAME": self._name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(self._folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.add("platform", f"started node {self._name}")

    async def wait_until_ready(self) -> bool:
        """Wait until `mn` is answered with `MN`; returns False if the node does not get ready."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + READY_WITHIN_S
        while loop.time() < give_up_at and self.running:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"mn\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"MN\r\n":
                    self._record.add("platform", f"node {self._name} is ready")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.running:
            self._record.add("platform", f"sends {number.name} to node {self._name}")
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """The resident memory of the process, in megabytes; 0 if it has ended."""
        if self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        lines = (line.split() for line in status.splitlines())
        return next((int(words[1]) / 1024 for words in lines if words and words[0] == "VmRSS:"), 0.0)

    async def call_console(self, method: str, path: str) -> int:
        """Make one operators' call; returns the status, 0 if there was no answer."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.console)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 3.0)
            writer.close()
            status = int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            status = 0
        self._record.add("operator", f"{method} {path} -> {status}")
        return status

    def end(self) -> None:
        """Kill the process if it still runs, record its log, and remove its folder."""
        if self.process is not None:
            if self.running:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
            self._record.add("platform", f"node {self._name} has ended with {self.process.returncode}")
        if self._log.exists():
            for line in self._log.read_text(encoding="utf-8", errors="replace").splitlines()[-200:]:
                self._record.add(f"log of {self._name}", line[:300])
        shutil.rmtree(self._folder, ignore_errors=True)
