"""The node program, started as in a deployment, and responses of its servers."""

import asyncio
import contextlib
import json
import os
import resource
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from support.network import ScriptedServer
from support.paths import ROOT

MAX_LOG_LINE_BYTES = 4 * 1024 * 1024  # a line with the endpoint list of a large fleet
SETTINGS = {
    "services": [
        {"name": "read", "effect": "retryable", "sloNs": 10**9, "hardLimitNs": 10 * 10**9},
        {"name": "put", "effect": "dedup", "sloNs": 10**9, "hardLimitNs": 10 * 10**9, "windowNs": 10**9},
    ],
    "permissions": {"attemptsCap": 4, "connIdleNs": 5 * 10**9, "connectTimeoutNs": 2 * 10**9},
    "discovery": "on_request",
    "familyInfo": {"mode": "aside", "originKind": 1},
    "kinds": ["box", "origin"],
}


def request_id(command: bytes) -> bytes:
    """Return the request id in a memcache command."""
    return command.split(b" O")[1].split()[0]


def cache(command: bytes) -> bytes:
    """Return the response of a cache server that stores a value for the key `kept` only."""
    if command.startswith(b"mg kept "):
        return b"VA 4 O%b h1\r\nmenu\r\n" % request_id(command)
    return b"EN O%b h0\r\n" % request_id(command)


def origin(request: bytes) -> bytes:
    """Return the response of an origin server."""
    body = b"r77" if request.startswith(b"PUT ") else b"fresh\r\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Program:
    """A process of the node program with its own configuration."""

    def __init__(
        self,
        tmp_path,
        peers: dict[str, ScriptedServer],
        discovery: ScriptedServer,
        memory_mb: float = 192,
        sockets: int = 256,
    ) -> None:
        """Write the configuration. In `peers`, a server's kind is its name up to the first dash."""
        members = [
            {"id": name, "host_port": f"127.0.0.1:{peer.port}", "flavor": flavor, "phase": "in_service"}
            for name, flavor, peer in ((name, name.partition("-")[0], peer) for name, peer in peers.items())
        ]
        self.config = tmp_path / "config.json"
        config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"revision": 41, "complete": True, "members": members},
            "settings": SETTINGS,
        }
        self.config.write_text(json.dumps(config))

    async def start(self, max_descriptors: int | None = None, text: str | None = None) -> int:
        """Start the process, wait until it serves, and return the port of its listener.

        `max_descriptors` limits its open descriptors. `text` is Python code to run instead of the module.
        """
        program = ("-m", "flintridge") if text is None else ("-c", text)
        limits = (max_descriptors, max_descriptors)
        set_limits = max_descriptors and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *program, cwd=ROOT, stdout=subprocess.PIPE, preexec_fn=set_limits,
            limit=MAX_LOG_LINE_BYTES,
            env={**os.environ, "PROXY_CONFIG": str(self.config)},
        )  # fmt: skip
        return (await self.event("serving"))["port"]

    @contextlib.asynccontextmanager
    async def running(self, max_descriptors: int | None = None) -> AsyncIterator[int]:
        """Start the process as `start` does, and kill it at the end if it still runs."""
        port = await self.start(max_descriptors)
        try:
            yield port
        finally:
            self.kill()
            await self.process.wait()

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process.returncode is None:
            self.process.kill()

    def peak_memory_mb(self) -> float:
        """Return the highest resident memory that the process has had, as the kernel recorded it."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("VmHWM:"))

    async def event(self, name: str) -> dict:
        """Read the log up to the next event with a name, and return its fields."""
        async for line in self.process.stdout:
            event = json.loads(line)
            if event["event"] == name:
                return event
        code = await self.process.wait()
        raise AssertionError(f"the program ended with {code}, without {name!r}")
