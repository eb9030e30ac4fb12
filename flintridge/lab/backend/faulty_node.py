"""Runs the node's program with simulated faults of its operating system.

    python -m flintridge.lab.backend.faulty_node CHANNEL SEED

Replaces functions of `socket`, `os` and `time` and then runs `python -m flintridge` unchanged. The replaced
functions fail, transfer fewer bytes, take longer or return another time, as the lab sets it on the channel.
"""

import os
import runpy
import socket
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.faults.injection import NO_FAULTS, Injector, SystemState

PROGRAM = "flintridge"
FOLDER_PREFIX = "flintridge-"  # prefix of the folder in TMPDIR that the processes of a node share
HALF_WRITTEN = b'{"pid": '
INTERNET_FAMILIES = (socket.AF_INET, socket.AF_INET6)

_real_time = time.time
_real_time_ns = time.time_ns
_real_open = os.open
_real_utime = os.utime


class FaultySystem:
    """The faults of this process's operating system, as set on the channel."""

    def __init__(self, channel: FaultChannel, seed: str) -> None:
        """Start with the current state of the channel.

        Args:
            channel: The channel to the lab.
            seed: The seed for drawing faults at random.
        """
        self._channel = channel
        self._injector = Injector(f"{seed}/{os.getpid()}")
        self._reported: dict[str, int] = {}
        self._load_state()

    def current(self) -> Injector:
        """Return the injector with the lab's current state; to be called before each system call."""
        if (state := self._channel.changed_state()) is not None:
            self._change_state(state)
        return self._injector

    def report(self) -> None:
        """Report the faults injected since the last report to the lab."""
        for name, count in self._injector.counts.items():
            if increment := count - self._reported.get(name, 0):
                self._reported[name] = count
                self._channel.add(name, increment)

    def _load_state(self) -> None:
        self._injector.state = self._channel.changed_state() or NO_FAULTS
        if self._injector.state.clock_offset_ms:
            self._injector.counts["injected_clock_step"] += 1
        self.report()

    def _change_state(self, state: SystemState) -> None:
        before = self._injector.state
        self._injector.state = state
        if state.clock_offset_ms != before.clock_offset_ms:
            self._injector.counts["injected_clock_step"] += 1
        if state.folder != before.folder:
            self._leave_half_written(sum(folder.half_written for folder in state.folder))
        self.report()

    def _leave_half_written(self, files: int) -> None:
        """Leave incomplete files, as a process does that is killed while it writes."""
        for folder in Path(os.environ["TMPDIR"]).glob(f"{FOLDER_PREFIX}*"):
            for index in range(files):
                (folder / f"{os.getpid()}-half-{index}").write_bytes(HALF_WRITTEN)
                self._injector.counts["injected_half_written"] += 1


class FaultySocket(socket.socket):
    """A socket whose calls, for TCP, may fail, transfer fewer bytes or take longer.

    Attributes:
        system: The faults of this process's operating system.
    """

    __slots__ = ("_opened",)
    system: FaultySystem

    def __init__(
        self,
        family: int = -1,
        type: int = -1,  # noqa: A002, RUF100
        proto: int = -1,
        fileno: int | None = None,
    ) -> None:
        """Create a socket as usual, or fail if a new TCP socket is requested."""
        if fileno is None and family in INTERNET_FAMILIES and type & socket.SOCK_STREAM:
            _fail(self.system, "socket")
        super().__init__(family, type, proto, fileno)
        self._opened = False  # whether this process opened the connection, instead of accepting it

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection as usual, or fail without accepting one."""
        if _is_tcp(self):
            _fail(self.system, "accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect as usual, or fail; an interrupted connect completes by itself."""
        if _is_tcp(self):
            self._opened = True
            try:
                _fail(self.system, "connect")
            except InterruptedError:
                super().connect(address)
                raise
        super().connect(address)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive data as usual, or fail, or receive fewer bytes."""
        return super().recv(self._before_read(size), flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer as usual, or fail, or receive fewer bytes."""
        return super().recv_into(buffer, self._before_read(nbytes or len(memoryview(buffer))), flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send data as usual, or fail, or send fewer bytes, possibly after a stall."""
        size = len(data)
        taken = self._before_write(size)
        if taken == size:
            return super().send(data, flags)
        with memoryview(data) as view, view[:taken] as part:  # released, as the caller shrinks its buffer
            return super().send(part, flags)

    def sendmsg(self, buffers: Iterable[Any], *rest: Any) -> int:
        """Send buffers as usual, or fail, or send fewer bytes, possibly after a stall."""
        whole = b"".join(buffers)
        return super().sendmsg([whole[: self._before_write(len(whole))]], *rest)

    def sendto(self, data: Any, *rest: Any) -> int:
        """Send a datagram as usual, possibly after a stall."""
        if self.family in INTERNET_FAMILIES:
            _stall(self.system)
        return super().sendto(data, *rest)

    def _before_read(self, size: int) -> int:
        if not _is_tcp(self):
            return size
        _fail(self.system, "read", self._opened)
        return _short(self.system, size)

    def _before_write(self, size: int) -> int:
        if not _is_tcp(self):
            return size
        _stall(self.system)
        _fail(self.system, "write", self._opened)
        return _short(self.system, size)


def _is_tcp(sock: socket.socket) -> bool:
    return sock.family in INTERNET_FAMILIES and bool(sock.type & socket.SOCK_STREAM)


def _fail(system: FaultySystem, call: Any, opened: bool = True) -> None:
    """Raise OSError if the call is drawn to fail."""
    error = system.current().error(call, opened)
    if error is not None:
        system.report()
        try:
            raise error
        finally:
            del error  # breaks the reference cycle with its traceback, which holds the caller's buffers


def _short(system: FaultySystem, size: int) -> int:
    taken = system.current().short(size)
    if taken < size:
        system.report()
    return taken


def _stall(system: FaultySystem) -> None:
    stall_s = system.current().stall_s()
    if stall_s:
        system.report()
        time.sleep(stall_s)


def replace_clock(system: FaultySystem) -> None:
    """Shift the wall clock by the offset that the lab sets; the monotonic clock is unchanged."""
    time.time = lambda: _real_time() + system.current().state.clock_offset_ms / 1000
    time.time_ns = lambda: _real_time_ns() + round(system.current().state.clock_offset_ms * 1e6)


def replace_folder_calls(system: FaultySystem) -> None:
    """Make calls on the node's own folder fail, and give its new files the time of the shifted clock."""
    own_prefix = os.path.join(os.environ["TMPDIR"], FOLDER_PREFIX)

    def guard(call: Callable[..., Any], allocates: Callable[..., bool]) -> Callable[..., Any]:
        def guarded(path: Any, *arguments: Any, **named: Any) -> Any:
            if isinstance(path, str) and path.startswith(own_prefix):
                error = system.current().folder_error(allocates(*arguments))
                if error is not None:
                    system.report()
                    raise error
            return call(path, *arguments, **named)

        return guarded

    def stamped_open(path: Any, flags: int, *arguments: Any, **named: Any) -> int:
        descriptor = _real_open(path, flags, *arguments, **named)
        if flags & os.O_CREAT and isinstance(path, str) and path.startswith(own_prefix):
            _real_utime(descriptor, ns=(time.time_ns(), time.time_ns()))
        return descriptor

    os.open = guard(stamped_open, lambda flags, *_: bool(flags & os.O_CREAT))
    os.makedirs = guard(os.makedirs, lambda *_: True)
    for name in ("listdir", "stat", "unlink"):
        setattr(os, name, guard(getattr(os, name), lambda *_: False))


def main(arguments: list[str]) -> None:
    """Run the node's program, which ends the process.

    Args:
        arguments: The path of the channel's file, and the seed for drawing faults.
    """
    channel_path, seed = arguments
    system = FaultySystem(FaultChannel(Path(channel_path)), seed)
    FaultySocket.system = system
    socket.socket = FaultySocket  # type: ignore[misc]
    replace_clock(system)
    replace_folder_calls(system)
    sys.argv[1:] = []
    runpy.run_module(PROGRAM, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
