"""A soak of the node program: one seeded run with disturbed servers, a crowd, and signals in series."""

import asyncio
import json
import math
import random
import signal
import time
from collections import deque
from dataclasses import dataclass, replace
from pathlib import Path

from support import crowd
from support.network import ScriptedServer
from support.program import Program
from support.reserved_port import reserved_port
from support.soak_clients import TIMEOUT_MS, Client, Judge, leave_early
from support.soak_message_faults import PointFaultCache, PointFaultOrigin
from support.soak_pipelines import PipeliningClient
from support.soak_repeated_responses import RepeatingOrigin, receipt_of, send_again, send_bursts
from support.soak_servers import DisturbedCache, DisturbedOrigin, DisturbedServer, Received

CLIENTS = 8
REPEATING_CLIENTS = 6
PIPELINING_CLIENTS = 4  # only where faults begin at any point of a message
KILL_AFTER_TERM_S = 0.7 + 3.0  # the earliest: the longest deadline, at most 3 s, and 0.7 s
KEPT_LOG_LINES = 20_000
KILL_NOTICED_S = 1.0  # within which its clients have read the end of their connections
CROWD_LEFT_S = 0.5  # within which the node has closed the connections of a crowd that left
CROWDS = (
    crowd.half_value,
    crowd.part_of_long_value,
    crowd.many_short_fields,
    crowd.many_no_ops,
    crowd.many_short_reads,
    crowd.partial_lines,
    crowd.reads_of_short_values,
    crowd.reads_of_long_values,
)


@dataclass(frozen=True)
class Plan:
    """What a seed draws.

    Attributes:
        memory_mb: The node's memory limit in megabytes.
        sockets: The node's descriptors.
        fault_fraction: The fraction of the servers' responses that are disturbed.
        crowd_size: The number of clients that connect at once; 0 for none.
        endings: How each process of the node ends, in order.
    """

    memory_mb: int
    sockets: int
    fault_fraction: float
    crowd_size: int
    endings: tuple[str, ...]

    @classmethod
    def draw(cls, rng: random.Random) -> "Plan":
        """Draw a plan."""
        return cls(
            memory_mb=rng.choice([32, 64, 96, 192]),
            sockets=rng.choice([256, 512, 1_024]),
            fault_fraction=rng.choice([0.0, 0.1, 0.4]),
            crowd_size=rng.choice([0, 150, 400]),
            endings=tuple(rng.choice(["term", "terms", "kill", "upgrade"]) for _ in range(2)),
        )


@dataclass(frozen=True)
class Result:
    """The result of a run.

    Attributes:
        plan: What the seed drew.
        findings: What broke a rule, one line each.
        requests: The number of requests that were judged.
        rejected: How many of them were rejected or failed.
        peak_mb: The highest memory of any process of the node, in megabytes.
        log_lines: The lines of the nodes' logs that name a request of a finding, or that memory was short.
    """

    plan: Plan
    findings: list[str]
    requests: int
    rejected: int
    peak_mb: float
    log_lines: list[str]


class Soak:
    """One run."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        message_faults: bool = False,
        timeout_ms: int = TIMEOUT_MS,
        repeats: bool = False,
    ) -> None:
        """Draw the plan of a run.

        Args:
            seed: Draws everything that varies.
            folder: Where the node's processes have their files.
            message_faults: Whether the servers' faults begin at any point of a message.
            timeout_ms: How long the clients wait for a response.
            repeats: Whether responses come twice and writes come again under their ids. There are no crowds
                then, and processes end by upgrades only, as a process that is killed forgets its ids.
        """
        self._message_faults = message_faults
        self._repeats = repeats
        self._rng = random.Random(seed)
        self._plan = Plan.draw(self._rng)
        if repeats:
            self._plan = replace(self._plan, memory_mb=192, crowd_size=0, endings=("upgrade", "upgrade"))
        self._folder = folder
        self._received = Received()
        self._judge = Judge(self._received, timeout_ms, receipt_of if repeats else lambda _: b"r1")
        self._peak_mb = 0.0
        self._process_count = 0
        self._log: deque[str] = deque(maxlen=KEPT_LOG_LINES)
        self._log_readers: list[asyncio.Task[None]] = []
        self._port = 0

    async def run(self) -> Result:
        """Play the run and judge it."""
        with reserved_port() as self._port:
            return await self._play()

    async def _play(self) -> Result:
        cache, origin = self._make_servers()
        await cache.start()
        await origin.start()
        tasks: list[asyncio.Task[None]] = [asyncio.create_task(self._received.watch_stalls())]
        async with ScriptedServer(lambda _: b"") as discovery:
            servers = {"box": cache, "origin": origin}
            program = await self._start(servers, discovery)
            try:
                tasks += self._start_clients()
                for ending in self._plan.endings:
                    await self._disturb(program)
                    program = await self._end(ending, program, servers, discovery)
                await self._disturb(program)
                self._check_memory(program)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                program.kill()
                await program.process.wait()
        cache.close()
        origin.close()
        self._judge.close()
        await asyncio.gather(*self._log_readers)
        return Result(
            self._plan,
            self._judge.findings,
            self._judge.requests,
            self._judge.rejected,
            self._peak_mb,
            self._lines_of_findings(),
        )

    def _make_servers(self) -> tuple[DisturbedServer, DisturbedServer]:
        """Create the cache server and the origin."""
        cache_class = PointFaultCache if self._message_faults else DisturbedCache
        origin_class = PointFaultOrigin if self._message_faults else DisturbedOrigin
        cache = cache_class(random.Random(self._rng.random()), self._received, self._plan.fault_fraction)
        if self._repeats:
            origin: DisturbedServer = RepeatingOrigin(random.Random(self._rng.random()), self._received)
        else:
            origin = origin_class(
                random.Random(self._rng.random()), self._received, self._plan.fault_fraction
            )
        return cache, origin

    def _start_clients(self) -> list[asyncio.Task[None]]:
        """Start the clients, whose tasks run until cancelled."""
        makers = [lambda *client: Client(*client).run()] * CLIENTS
        if self._message_faults:
            makers += [lambda *client: PipeliningClient(*client).run()] * PIPELINING_CLIENTS
        makers.append(leave_early)
        if self._repeats:
            makers += [send_again] * REPEATING_CLIENTS + [send_bursts]
        return [
            asyncio.create_task(make(self._port, random.Random(self._rng.random()), self._judge))
            for make in makers
        ]

    async def _read_log(self, program: Program) -> None:
        async for line in program.process.stdout:
            self._log.append(f"process {program.config.parent.name}: {line.decode().strip()}")

    def _lines_of_findings(self) -> list[str]:
        words = {word for finding in self._judge.findings for word in finding.split()}
        names = [f'"id":"{word}"' for word in words]
        if words:
            names.append('"event":"memory')
        return [line for line in self._log if any(name in line for name in names)]

    async def _start(self, servers: dict, discovery: ScriptedServer) -> Program:
        self._process_count += 1
        folder = self._folder / str(self._process_count)
        folder.mkdir()
        program = Program(folder, servers, discovery, self._plan.memory_mb, self._plan.sockets)
        config = json.loads(program.config.read_text()) | {"listen": f"{crowd.HOST}:{self._port}"}
        config["settings"]["services"][1]["effect"] = "fragile"
        program.config.write_text(json.dumps(config))
        await program.start(max_descriptors=self._plan.sockets)
        self._log_readers.append(asyncio.create_task(self._read_log(program)))
        return program

    async def _disturb(self, program: Program) -> None:
        """Send signals that end nothing, in series, beside a crowd if there is one."""
        await asyncio.sleep(self._rng.uniform(0.3, 1.0))
        for _ in range(self._rng.randrange(4)):
            program.process.send_signal(self._rng.choice([signal.SIGHUP, signal.SIGUSR1]))
        if self._plan.crowd_size:
            clients = crowd.Crowd(self._port, self._plan.crowd_size, self._rng.choice(CROWDS))
            self._judge.crowded_until = math.inf
            try:
                async with clients:
                    for _ in range(5):
                        await asyncio.sleep(self._rng.uniform(0.1, 0.4))
                        await clients.read_some()
            except OSError:
                pass  # the node refuses or resets a part of the crowd
            finally:
                self._judge.crowded_until = time.monotonic() + CROWD_LEFT_S
        await asyncio.sleep(self._rng.uniform(0.3, 1.0))

    async def _end(self, ending: str, program: Program, servers: dict, discovery: ScriptedServer) -> Program:
        """End a process as the plan says; returns its successor."""
        self._check_memory(program)
        process = program.process
        if ending == "kill":
            self._judge.killed_at = math.inf  # until it has ended, the kernel accepts connections for it
            await self._kill(process)
            self._judge.killed_at = time.monotonic()
            return await self._start(servers, discovery)
        successor = None
        if ending == "upgrade":
            successor = await self._start(servers, discovery)
        kill_at = time.monotonic() + KILL_AFTER_TERM_S
        for _ in range(1 if ending == "term" else 3):
            process.terminate()
            await asyncio.sleep(0.05)
        try:
            await asyncio.wait_for(process.wait(), kill_at - time.monotonic())
        except TimeoutError:
            await self._kill(process)
        else:
            if process.returncode:
                self._judge.findings.append(f"exit code {process.returncode} after SIGTERM")
        return successor or await self._start(servers, discovery)

    async def _kill(self, process: asyncio.subprocess.Process) -> None:
        self._judge.values_cut_by_kill_until = math.inf
        process.kill()
        await process.wait()
        self._judge.values_cut_by_kill_until = time.monotonic() + KILL_NOTICED_S

    def _check_memory(self, program: Program) -> None:
        if program.process.returncode is not None:
            self._judge.findings.append(f"the process ended by itself with {program.process.returncode}")
            return
        peak_mb = program.peak_memory_mb()
        self._peak_mb = max(self._peak_mb, peak_mb)
        if peak_mb > self._plan.memory_mb:
            self._judge.findings.append(f"{peak_mb:.1f} MB of {self._plan.memory_mb} MB")
