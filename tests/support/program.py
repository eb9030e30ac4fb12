"""The real program, started as it is deployed."""

import asyncio
import json
import os
import resource
import subprocess
import sys

from support.network import Peer
from support.paths import ROOT

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


def id_of(command: bytes) -> bytes:
    return command.split(b" O")[1].split()[0]


def cache(command: bytes) -> bytes:
    """Holds the key `kept` and no other."""
    held = command.startswith(b"mg kept ")
    return b"VA 4 O%b h1\r\nmenu\r\n" % id_of(command) if held else b"EN O%b h0\r\n" % id_of(command)


def origin(request: bytes) -> bytes:
    body = b"r77" if request.startswith(b"PUT ") else b"fresh\r\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Program:
    def __init__(self, tmp_path, peers: dict[str, Peer], discovery: Peer) -> None:
        members = [
            {"id": name, "host_port": f"127.0.0.1:{peer.port}", "flavor": name, "phase": "in_service"}
            for name, peer in peers.items()
        ]
        self.config = tmp_path / "config.json"
        config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"revision": 41, "complete": True, "members": members},
            "settings": SETTINGS,
        }
        self.config.write_text(json.dumps(config))

    async def start(self, files: int | None = None, text: str | None = None) -> int:
        """`files`: the descriptors that it may hold. `text`: a program that runs it, in place of itself."""
        program = ("-m", "flintridge") if text is None else ("-c", text)
        limit = files and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files)))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *program, cwd=ROOT, stdout=subprocess.PIPE, preexec_fn=limit,
            env={**os.environ, "PROXY_CONFIG": str(self.config)},
        )  # fmt: skip
        return (await self.event("serving"))["port"]

    async def event(self, name: str) -> dict:
        async for line in self.process.stdout:
            if (event := json.loads(line))["event"] == name:
                return event
        raise AssertionError(f"the program ended without {name!r}")
