"""The nodes as real processes: started, signalled, watched, and never left behind."""

import asyncio
import atexit
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

import flintridge
from flintridge.lab.backend.node_faults import NodeFaults
from flintridge.lab.fabric import Fabric, RunClock
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.partial.peer_network import PeerNetwork
from flintridge.lab.records import ConnectionCount, NodeLogLine, NodeStateChanged, RecordLog
from flintridge.lab.scenario.model import Scenario, keeps_lines

ROOT = Path(flintridge.__file__).resolve().parent.parent
CHILD = Path(__file__).with_name("child.py")
NODE = (sys.executable, "-m", "flintridge")
KEPT_LINES = 2000  # of each node's output
LONGEST_LINE = 64 * 1024  # bytes; what is longer is cut
SAMPLE_S = 1.0  # between two looks at what the nodes take
NO_PEERS = 4  # sockets of a node that lead to no peer: its listener, its loop's own pair, its watch
BUSY = 0.95  # of a core: a second above it is a busy one
LEAVE_S = 3.0  # beyond the longest deadline: how long nodes may take to end after SIGTERM
KILL_S = 5.0  # that the kernel may take over SIGKILL
TEXT = 300  # characters of output in a record
TICKS_A_S = os.sysconf("SC_CLK_TCK")

Looked = tuple[float, float]  # seconds on the monotonic clock, seconds of CPU


class Event(msgspec.Struct):
    """A line of a node's log, as far as it is read here."""

    event: str


_events = msgspec.json.Decoder(Event)


class Process:
    """One process of a node, from its start to its end."""

    def __init__(self, node: str, popen: subprocess.Popen[bytes]) -> None:
        assert popen.stdout is not None
        self.node = node
        self.popen = popen
        self.pidfd = os.pidfd_open(popen.pid)
        self.output = popen.stdout.fileno()
        os.set_blocking(self.output, False)
        self.over = asyncio.Event()
        self.told: Callable[[str, bytes], None] = lambda event, line: None
        self.asked = ""  # term, kill or close: who ends without was not meant to
        self.lines: deque[str] = deque(maxlen=KEPT_LINES)
        self.events: Counter[str] = Counter()
        self.counters: dict[str, int] = {}  # as it last told them
        self.cpu_s = self.memory_mb = 0.0
        self.busiest = 0.0  # most CPU in a second, in cores
        self.busy_s = self.longest_busy_s = 0.0  # busy seconds in a row
        self._looked: Looked = (time.monotonic(), 0.0)
        self._part = b""

    def send(self, number: int) -> None:
        """Through the pidfd: it can't hit another process that got the same number."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    # Its output

    def read(self) -> bool:
        """Take in what it wrote; False at the end."""
        while True:
            try:
                data = os.read(self.output, 64 * 1024)
            except BlockingIOError:
                return True
            if not data:
                if self._part:
                    self._line(self._part)
                    self._part = b""
                return False
            *whole, self._part = (self._part + data).split(b"\n")
            for line in whole:
                self._line(line)
            self._part = self._part[:LONGEST_LINE]

    def _line(self, line: bytes) -> None:
        self.lines.append(line[:LONGEST_LINE].decode(errors="replace"))
        try:
            event = _events.decode(line).event
        except msgspec.MsgspecError:  # a trace, or a line that got broken
            return
        self.events[event] += 1
        self.told(event, line)
        if event == "counters":
            told = msgspec.json.decode(line)
            self.counters = {name: count for name, count in told.items() if isinstance(count, int)}

    def last_words(self) -> str:
        """The end of what it wrote that is no event: a trace or a complaint."""
        said = [line.strip() for line in self.lines if line.strip() and not line.startswith("{")]
        return " | ".join(said[-3:])[-TEXT:]

    # What it takes

    def look(self) -> None:
        """A sample of its CPU time and memory; what cannot be read any more is left out."""
        try:
            stat = Path(f"/proc/{self.popen.pid}/stat").read_text()
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return
        fields = stat[stat.rindex(")") + 2 :].split()
        now = (time.monotonic(), (int(fields[11]) + int(fields[12])) / TICKS_A_S)
        self._note_cpu(now)
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb = max(self.memory_mb, int(line.split()[1]) / 1024)  # KiB

    def _note_cpu(self, now: Looked) -> None:
        passed, used = now[0] - self._looked[0], now[1] - self._looked[1]
        self.cpu_s = now[1]
        if passed < SAMPLE_S / 2:  # too short for the kernel's ticks to tell a rate
            return
        self._looked = now
        rate = used / passed
        self.busiest = max(self.busiest, rate)
        self.busy_s = self.busy_s + passed if rate >= BUSY else 0.0
        self.longest_busy_s = max(self.longest_busy_s, self.busy_s)

    def sockets(self) -> int | None:
        """Sockets that it has open; None where that cannot be read any more."""
        count = 0
        try:
            for entry in os.scandir(f"/proc/{self.popen.pid}/fd"):
                with contextlib.suppress(FileNotFoundError):
                    count += os.readlink(entry.path).startswith("socket:")
        except OSError:
            return None
        return count

    def reap(self) -> int | None:
        """Its exit code (negative: the signal), once it has ended."""
        pid, status, took = os.wait4(self.popen.pid, os.WNOHANG)
        if not pid:
            return None
        self.cpu_s = took.ru_utime + took.ru_stime
        self.popen.returncode = os.waitstatus_to_exitcode(status)
        return self.popen.returncode

    def let_go(self) -> None:
        os.close(self.pidfd)
        assert self.popen.stdout is not None
        self.popen.stdout.close()


class ProcessNodes:
    """A NodeRunner on real processes. Make it in a running loop; `close` leaves nothing behind.

    Nodes die with the thread that started them, so that is to be the lab's main thread.
    """

    def __init__(
        self,
        fabric: Fabric,
        log: RecordLog,
        clock: RunClock,
        config_of: Callable[[str], dict[str, Any]],
        scenario: Scenario,
        *,
        command: Sequence[str] = NODE,
        leave_s: float | None = None,
        clients_of: Callable[[str], int] = lambda _: 0,
    ) -> None:
        """`command` starts a node; `leave_s` is what nodes are given at the end before they are killed;
        `clients_of` counts the connections that clients hold to a node."""
        self.peers: PeerNetwork | None = None  # set before the first start where the nodes hear one another
        self._keeps_lines = keeps_lines(scenario)
        longest = max(known.deadline_ms for known in scenario.classes) / 1000
        self._fabric = fabric
        self._log = log
        self._clock = clock
        self._config_of = config_of
        self._sockets = scenario.nodes.sockets
        self._command = tuple(command)
        self._clients_of = clients_of
        self._leave_s = LEAVE_S + longest if leave_s is None else leave_s
        self._loop = asyncio.get_running_loop()
        self._folder = Path(tempfile.mkdtemp(prefix="flintridge-lab-"))
        self._faults = NodeFaults(self._folder, scenario)
        self._lives: dict[str, list[Process]] = {}
        self.unexpected: list[str] = []  # ends that nobody asked for, and nodes that would not end
        self._closed = False
        self._sampler: asyncio.TimerHandle | None = None
        atexit.register(self._kill_now)
        self._sample()

    # NodeRunner

    async def start(self, node: str) -> None:
        """Raises RuntimeError where it runs already or all is closed, ValueError for an odd name."""
        if self._closed:
            raise RuntimeError("the nodes are closed")
        if self.running(node):
            raise RuntimeError(f"node {node!r} is running already")
        if not node.isalnum():
            raise ValueError(f"node {node!r}: letters and digits only")
        await self.ended(node)  # the one before must be gone from its port
        if self.peers is not None:
            await self.peers.open()
        config = self._config_of(node)
        self._write_config(node, config)
        self._say(node, "started")
        try:
            process = Process(node, self._spawn(node, seed=str(config.get("seed", ""))))
        except OSError as error:
            self._unexpected(node, 127, str(error))
            return
        self._attend(node, process)

    def _attend(self, node: str, process: Process) -> None:
        process.told = partial(self._line, node)
        self._lives.setdefault(node, []).append(process)
        self._loop.add_reader(process.pidfd, self._exited, process)
        self._loop.add_reader(process.output, self._readable, process)

    async def start_beside(self, node: str, console: str) -> str:
        """A second process of a node that runs, as in an upgrade: the same configuration but for its console.
        The name by which it is called here. Raises RuntimeError where that runs already, OSError."""
        beside = f"{node}+"
        if self._closed or self.running(beside):
            raise RuntimeError(f"node {beside!r} runs already, or the nodes are closed")
        config = json.loads(self._path(node).read_text())
        self._path(beside).write_text(json.dumps({**config, "console": console}))
        self._say(beside, "started")
        self._attend(beside, Process(beside, self._spawn(node, self._path(beside))))
        return beside

    def kill(self, node: str) -> None:
        if self.running(node):
            process = self._lives[node][-1]
            process.asked = "kill"
            process.look()
            process.send(signal.SIGKILL)
            self._say(node, "killed", -signal.SIGKILL)

    def term(self, node: str) -> None:
        if self.running(node):
            self._say(node, "term")
            self._lives[node][-1].asked = "term"
            self._lives[node][-1].send(signal.SIGTERM)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        if self.running(node):
            self._write_config(node, config)
            self._say(node, "hup")
            self._lives[node][-1].send(signal.SIGHUP)

    def pause(self, node: str) -> None:
        if self.running(node):
            self._say(node, "paused")
            self._lives[node][-1].send(signal.SIGSTOP)

    def resume(self, node: str) -> None:
        if self.running(node):
            self._say(node, "resumed")
            self._lives[node][-1].send(signal.SIGCONT)

    def quiesce(self, node: str) -> None:
        raise NotImplementedError("node_drain is played in virtual time only: no console is opened here")

    def unquiesce(self, node: str) -> None:
        raise NotImplementedError("node_drain is played in virtual time only: no console is opened here")

    def set_system(self, node: str, state: SystemState) -> None:
        """Tell a node's processes what is wrong with their operating system from now on."""
        self._faults.tell(node, state)

    def _line(self, node: str, event: str, line: bytes) -> None:
        if self._keeps_lines:
            self._log.add(
                NodeLogLine(
                    at_ms=self._clock.now(), node=node, event=event, fields=line.decode(errors="replace")
                )
            )

    def running(self, node: str) -> bool:
        """Also while it leaves after SIGTERM, not once it was killed."""
        if node not in self._lives:
            return False
        process = self._lives[node][-1]
        return not process.over.is_set() and process.asked != "kill"

    async def ended(self, node: str) -> None:
        if node in self._lives:
            await self._lives[node][-1].over.wait()

    async def close(self) -> None:
        """SIGTERM to all, SIGKILL to those that do not end in time; then nothing of them is left."""
        self._closed = True  # a fault's end may still want to start one
        if self.peers is not None:
            self.peers.close()
        left = self._living()
        try:
            for process in left:
                process.look()
                process.asked = process.asked or "close"
                process.send(signal.SIGTERM)
                process.send(signal.SIGCONT)  # one that stands still could not end
            await self._wait(left, self._leave_s)
            for process in self._living():
                if process.asked != "kill":
                    text = f"did not end within {self._leave_s:g} s of SIGTERM"
                    self.unexpected.append(f"{process.node} {text}")
                    self._say(process.node, "stuck", text=text)
                process.asked = "kill"
                process.send(signal.SIGKILL)
            await self._wait(self._living(), KILL_S)
        finally:  # also where the wait was interrupted
            if self._sampler is not None:
                self._sampler.cancel()
            self._kill_now()
            atexit.unregister(self._kill_now)

    def usage(self) -> dict[str, Any]:
        """`node_cpu_s`, `node_memory_mb`, `counters` by node (those of lives that told them), and:

        `nodes`: by node `cpu_s`, `memory_mb` (peak), `busiest` (most CPU in a second, in cores),
        `longest_busy_s` (seconds in a row of a full core) and `lives`; `unexpected`: ends nobody asked for.
        """
        for process in self._living():
            process.look()
        return {
            "node_cpu_s": sum(life.cpu_s for lives in self._lives.values() for life in lives),
            "node_memory_mb": max(
                (life.memory_mb for lives in self._lives.values() for life in lives), default=0.0
            ),
            "counters": {
                node: _counted(lives) | self._faults.counts(node) for node, lives in self._lives.items()
            },
            "nodes": {node: _taken(lives) for node, lives in self._lives.items()},
            "unexpected": list(self.unexpected),
        }

    # For tests and reports

    def pid(self, node: str) -> int:
        """Raises KeyError for a node that was never started."""
        return self._lives[node][-1].popen.pid

    def lines(self, node: str) -> list[str]:
        """The last lines that the node's latest process wrote."""
        return list(self._lives[node][-1].lines)

    @property
    def folder(self) -> Path:
        return self._folder

    # Inner

    def _spawn(self, node: str, config: Path | None = None, seed: str = "") -> subprocess.Popen[bytes]:
        host, port = self._fabric.address("listen", node)
        discovery = self._fabric.address("discovery", node)
        env = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        env |= {
            "PROXY_CONFIG": str(config or self._path(node)),
            "PROXY_NAME": node,
            "PROXY_LISTEN": f"{host}:{port}",
            "PROXY_DISCOVERY": f"{discovery[0]}:{discovery[1]}",
        }
        command = self._command
        if self._faults.may_hit(node):
            command = self._faults.command(node, seed)
            env |= self._faults.environment(node)
        helper = [sys.executable, "-I", "-S", str(CHILD), str(os.getpid()), str(self._sockets)]
        return subprocess.Popen(
            [*helper, *command],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            start_new_session=True,  # a Ctrl-C at the terminal is the lab's to deal with
        )

    def _path(self, node: str) -> Path:
        return self._folder / f"{node}.json"

    def _write_config(self, node: str, config: dict[str, Any]) -> None:
        """Whole or not at all: a node that reads it just now must not see half of it."""
        if self.peers is not None:
            config = self.peers.node_file(node, config)
        new = self._path(node).with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self._path(node))

    def _readable(self, process: Process) -> None:
        if not process.read():
            self._loop.remove_reader(process.output)

    def _exited(self, process: Process) -> None:
        code = process.reap()
        if code is None:
            return
        process.read()
        self._let_go(process)
        meant = code == 0 or code == -signal.SIGTERM  # the latter: it had not come so far as to mind signals
        if process.asked == "term":
            self._say(process.node, "exited", code, process.last_words())
        if not process.asked or (process.asked != "kill" and not meant):
            self._unexpected(process.node, code, process.last_words(), said=process.asked == "term")

    def _let_go(self, process: Process) -> None:
        if not self._loop.is_closed():
            self._loop.remove_reader(process.pidfd)
            self._loop.remove_reader(process.output)
        process.let_go()
        process.over.set()

    def _unexpected(self, node: str, code: int, text: str, said: bool = False) -> None:
        if not said:
            self._say(node, "exited", code, text)
        self.unexpected.append(f"{node} exited with {code}" + (f": {text}" if text else ""))

    def _living(self) -> list[Process]:
        return [lives[-1] for lives in self._lives.values() if not lives[-1].over.is_set()]

    async def _wait(self, processes: list[Process], most_s: float) -> None:
        if processes:
            waits = [asyncio.ensure_future(process.over.wait()) for process in processes]
            try:
                await asyncio.wait(waits, timeout=most_s)
            finally:
                for wait in waits:
                    wait.cancel()

    def _sample(self) -> None:
        for process in self._living():
            process.look()
            sockets = process.sockets()
            if sockets is not None:
                clients = self._clients_of(process.node)
                servers = max(0, sockets - clients - NO_PEERS)
                self._log.add(
                    ConnectionCount(
                        at_ms=self._clock.now(), node=process.node, server_side=servers, client_side=clients
                    )
                )
        self._sampler = self._loop.call_later(SAMPLE_S, self._sample)

    def _kill_now(self) -> None:
        """Without the loop: for an end in the middle of things."""
        for process in self._living():
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(process.popen.pid, signal.SIGKILL)
            with contextlib.suppress(ChildProcessError, subprocess.TimeoutExpired):
                process.popen.wait(KILL_S)
            self._let_go(process)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _say(self, node: str, state: str, code: int = 0, text: str = "") -> None:
        self._log.add(
            NodeStateChanged(at_ms=self._clock.now(), node=node, state=state, code=code, text=text[:TEXT])
        )


def _counted(lives: list[Process]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for life in lives:
        total.update(life.counters)
        total.update({f"log_{event}": count for event, count in life.events.items()})
    return dict(sorted(total.items()))


def _taken(lives: list[Process]) -> dict[str, float]:
    return {
        "cpu_s": sum(life.cpu_s for life in lives),
        "memory_mb": max(life.memory_mb for life in lives),
        "busiest": max(life.busiest for life in lives),
        "longest_busy_s": max(life.longest_busy_s for life in lives),
        "lives": float(len(lives)),
    }
