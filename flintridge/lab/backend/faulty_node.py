"""The node's program on a faulty operating system.

    python -m flintridge.lab.backend.faulty_node CHANNEL SEED

It replaces functions of `socket`, `os` and `time` by its own, which fail, transfer less, take longer or have
another time as the lab sets it on the channel, and runs `python -m flintridge` unchanged.
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
FOLDER_PREFIX = "flintridge-"  # of the folder in TMPDIR that the processes of a node share
HALF_WRITTEN = b'{"pid": '
INTERNET_FAMILIES = (socket.AF_INET, socket.AF_INET6)

_real_time = time.time
_real_time_ns = time.time_ns
_real_open = os.open
_real_utime = os.utime


class FaultySystem:
    """What is wrong with this process's operating system, as the channel has it."""

    def __init__(self, channel: FaultChannel, seed: str) -> None:
        """Begin with the state on the channel.

        Args:
            channel: To the lab.
            seed: Of the draws.
        """
        self._channel = channel
        self._injector = Injector(f"{seed}/{os.getpid()}")
        self._reported: dict[str, int] = {}
        self._load_state()

    def current(self) -> Injector:
        """Return the injector with the lab's current state, for one call."""
        if (state := self._channel.changed_state()) is not None:
            self._change_state(state)
        return self._injector

    def report(self) -> None:
        """Report the faults injected since the last time to the lab."""
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
        """Leave files as a process does that was killed while it wrote."""
        for folder in Path(os.environ["TMPDIR"]).glob(f"{FOLDER_PREFIX}*"):
            for index in range(files):
                (folder / f"{os.getpid()}-half-{index}").write_bytes(HALF_WRITTEN)
                self._injector.counts["injected_half_written"] += 1


class FaultySocket(socket.socket):
    """A socket whose calls fail, transfer less or take longer where it is a TCP socket.

    Attributes:
        system: What is wrong with this process's operating system.
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
        """As a socket does, or fail where a new one is to be made."""
        if fileno is None and family in INTERNET_FAMILIES and type & socket.SOCK_STREAM:
            _fail(self.system, "socket")
        super().__init__(family, type, proto, fileno)
        self._opened = False  # by this process, not accepted

    def accept(self) -> tuple[socket.socket, Any]:
        """As a socket does, or fail before anything is accepted."""
        if _is_tcp(self):
            _fail(self.system, "accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        """As a socket does; one that is interrupted goes on by itself."""
        if _is_tcp(self):
            self._opened = True
            try:
                _fail(self.system, "connect")
            except InterruptedError:
                super().connect(address)
                raise
        super().connect(address)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """As a socket does, of fewer bytes."""
        return super().recv(self._before_read(size), flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """As a socket does, of fewer bytes."""
        return super().recv_into(buffer, self._before_read(nbytes or len(memoryview(buffer))), flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """As a socket does, later and of fewer bytes."""
        size = len(data)
        taken = self._before_write(size)
        if taken == size:
            return super().send(data, flags)
        with memoryview(data) as view, view[:taken] as part:  # released: the caller shrinks its buffer
            return super().send(part, flags)

    def sendmsg(self, buffers: Iterable[Any], *rest: Any) -> int:
        """As a socket does, later and of fewer bytes."""
        whole = b"".join(buffers)
        return super().sendmsg([whole[: self._before_write(len(whole))]], *rest)

    def sendto(self, data: Any, *rest: Any) -> int:
        """As a socket does, later."""
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
    """Raise OSError where the call is to fail."""
    error = system.current().error(call, opened)
    if error is not None:
        system.report()
        try:
            raise error
        finally:
            del error  # else it would hold its own traceback, with the caller's buffers in it


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
    """Have the wall clock be ahead as the lab sets it; the monotonic one stays as it is."""
    time.time = lambda: _real_time() + system.current().state.clock_offset_ms / 1000
    time.time_ns = lambda: _real_time_ns() + round(system.current().state.clock_offset_ms * 1e6)


def replace_folder_calls(system: FaultySystem) -> None:
    """Have calls on the node's own folder fail, and its new files have the time of the stepped clock."""
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
    """Run the node's program; it ends the process.

    Args:
        arguments: The channel's file, and the seed of the draws.
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
