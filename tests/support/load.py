"""Helpers for tests of the lab's clients: clients in virtual time, connected to scripted nodes."""

import asyncio
from dataclasses import dataclass, field
from typing import TypeVar

from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import RequestAbandoned, RequestNotAccepted, RequestSent, ResponseReceived
from flintridge.lab.scenario.model import Clients, RequestClass, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import FixedLink, Network, run

R = TypeVar("R")


@dataclass
class ReceivedCommand:
    """A command that a scripted node read.

    Attributes:
        line: The command line.
        index: Position among all commands of the node, from 0.
        connection_index: Position among the commands of its connection, from 0.
        at: When it was read.
    """

    line: str
    index: int
    connection_index: int
    at: float

    @property
    def request_id(self) -> str:
        return next(w[1:] for w in self.line.split(" ") if w.startswith("O"))

    @property
    def options(self) -> dict[str, str]:
        pairs = next(w[1:] for w in self.line.split(" ") if w.startswith("P")).split(",")
        return dict(p.split("=") for p in pairs)

    @property
    def served(self) -> bytes:
        return f"VA 2 O{self.request_id}\r\nok\r\n".encode()


class NodeConnection(asyncio.Protocol):
    """A connection of a scripted node."""

    def __init__(self, node: "ScriptedNode") -> None:
        self.node = node
        self.buffer = b""
        self.command_count = 0
        self.noise = 0  # number of lines that are no commands; at 200 it stops parsing

    def connection_made(self, transport):
        self.transport = transport
        self.node.connections += 1
        if self.node.pauses_reading:
            transport.pause_reading()

    def connection_lost(self, error):
        self.node.closed_ms.append(round(self.node.fabric.clock.now()))

    def data_received(self, data):
        self.buffer = self.buffer[-3000:] + data  # enough for every valid command
        at = 0
        while self.noise < 200 and (end := self.buffer.find(b"\r\n", at)) >= 0:
            line = self.buffer[at:end]
            end += 2
            if line.startswith(b"ms ") and (size := line.split(b" ")[2]).isdigit():
                end += int(size) + 2
                if len(self.buffer) < end:
                    break
            at = end
            if line == b"mn":
                self.transport.write(b"MN\r\n" if self.node.ready else b"SERVER_ERROR starting\r\n")
                continue
            self.noise += line[:1] != b"m"
            command = ReceivedCommand(
                line.decode(), len(self.node.received), self.command_count, self.node.fabric.clock.now()
            )
            self.command_count += 1
            self.node.received.append(command)
            self.respond(self.node.script(command))
        self.buffer = self.buffer[at:]

    def respond(self, response):
        """Carry out a response: bytes to write, None for nothing, "close", or (delay in ms, response)."""
        match response:
            case (float(delay), then):
                self.node.fabric.clock.call_later(delay, self.respond, then)
            case "close":
                self.transport.close()
            case bytes():
                self.transport.write(response)


@dataclass
class ScriptedNode:
    """A node whose responses a script determines.

    Attributes:
        script: Returns the response to a command, in the form that `NodeConnection.respond` accepts.
        received: The commands that were read.
        closed_ms: When connections closed.
        connections: Number of accepted connections.
        ready: Whether it confirms `mn`.
        pauses_reading: Whether it does not read from new connections.
    """

    fabric: VirtualFabric
    name: str
    script: object
    received: list = field(default_factory=list)
    closed_ms: list = field(default_factory=list)
    connections: int = 0
    ready: bool = True
    pauses_reading: bool = False

    async def listen(self):
        self.listener = await self.fabric.network.host(self.name).run(
            self.fabric.loop.create_server(lambda: NodeConnection(self), *self.address)
        )

    @property
    def address(self):
        return self.fabric.address("listen", self.name)


class LoadTrial:
    """A run of clients against scripted nodes.

    Requests are sent at the times in `requests`, or as the scenario defines. `during` runs concurrently once
    the nodes listen.
    """

    def __init__(self, script, scenario=None, nodes=1, requests=(), during=None, window=1 << 18, seed=1):
        self.scenario = scenario or one_class()
        self.script = script
        self.requests = requests
        self.during = during
        self.names = [f"n{i}" for i in range(nodes)]
        self.log = RecordLog()
        self.seed = seed
        run(self.play(), Network(lambda a, b: FixedLink(0.5), window=window), start_s=100.0)

    async def play(self):
        loop = asyncio.get_running_loop()
        fabric = VirtualFabric(loop, None, loop.time() + 2)
        self.fabric = fabric
        self.nodes = {name: ScriptedNode(fabric, name, self.script) for name in self.names}
        zones = dict(zip(self.names, self.scenario.zones * 9, strict=False))
        seeds = Seeds(self.seed)
        self.truth = GroundTruth()
        load = LoadDriver(self.scenario, seeds, self.log, self.truth, fabric, self.names, zones)
        self.load = load
        for node in self.nodes.values():
            await node.listen()
        await load.start()
        for name in self.names:
            load.load_balancer.node_started(name)
        if self.during is not None:
            fabric.loop.create_task(self.during(self))
        await load.wait_until_ready(1000)
        if self.requests:
            for i, at in enumerate(self.requests):
                request = GeneratedRequest(
                    at,
                    self.scenario.classes[0].name,
                    "",
                    f"k{i}",
                    self.scenario.classes[0].write,
                    1,
                    9,
                    "east",
                )
                fabric.clock.call_at(at, load._clients.start, request, seeds.of(f"r{i}"))
            await fabric.clock.sleep_until(max(self.requests))
            await load._clients.idle.wait()
        else:
            await load.run()
        assert load.open_requests == 0
        self.end = fabric.clock.now()
        await load.close()
        await asyncio.sleep(0.01)
        self.open_connections = sum(fabric.network.host(f"c{i}").open_connections for i in range(8))

    def of(self, kind: type[R]) -> list[R]:
        return [r for r in self.log if type(r) is kind]

    @property
    def events(self):
        """The client-side records of requests, abbreviated: the response's kind, or the record's type."""
        return [
            type(r).__name__ if isinstance(r, RequestSent | RequestAbandoned | RequestNotAccepted) else r.kind
            for r in self.log
            if isinstance(r, RequestSent | RequestAbandoned | RequestNotAccepted | ResponseReceived)
        ]


def one_class(effect="safe", pipeline=1, **settings) -> Scenario:
    request_class = RequestClass(
        name="x",
        effect=effect,
        write=effect != "safe",
        deadline_ms=1000,
        deduplication_window_ms=300,
        deduplication_scope="all",
    )
    settings = {"backoff": "none", "retries": 2, "pools": 1, "honour": 0.0, "pipeline": pipeline} | settings
    return Scenario(classes=(request_class,), clients=Clients(**settings))
