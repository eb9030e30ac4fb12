"""Faults of the system calls that a host's process makes on its sockets."""

import errno
from typing import Literal, Protocol

SystemCall = Literal["accept", "connect", "socket", "read", "write"]

OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # asyncio then pauses accepting
FAILED_CALL_S = 20e-6  # duration of a call that fails and is repeated: time must not stand still


class SystemCallFaults(Protocol):
    """Draws which calls of a host's process fail, are cut short or take long."""

    def error(self, call: SystemCall, opened: bool = True) -> OSError | None:
        """How the next call fails.

        Args:
            call: The system call.
            opened: Whether it is made on a connection that the process itself opened.

        Returns:
            The error, or None where the call succeeds.
        """

    def short(self, size: int) -> int:
        """How many of `size` bytes one call transfers."""

    def stall_s(self) -> float:
        """How long (s) the process stands still before a write."""


def too_many_open_files() -> OSError:
    """The error of a process that has no descriptor left."""
    return OSError(errno.EMFILE, "Too many open files")


def check_connect_calls(faults: SystemCallFaults) -> None:
    """Make the calls that open a connection; an interrupted connect completes by itself.

    Raises:
        OSError: If one of them is to fail.
    """
    error = faults.error("socket") or faults.error("connect")
    if error is not None and not isinstance(error, InterruptedError):
        raise error
