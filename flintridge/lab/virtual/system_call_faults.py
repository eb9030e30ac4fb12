"""Faults of the system calls that a host's process makes on its sockets."""

import errno
from typing import Literal, Protocol

SystemCall = Literal["accept", "connect", "socket", "read", "write"]

# asyncio pauses accepting on these errors.
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
FAILED_CALL_S = 20e-6  # duration of a failed call; without it retries would run at one virtual time forever


class SystemCallFaults(Protocol):
    """Draws at random which system calls of a process fail, transfer fewer bytes or take long."""

    def error(self, call: SystemCall, opened: bool = True) -> OSError | None:
        """Draw whether and how the next call fails.

        Args:
            call: The system call.
            opened: Whether the call is made on a connection that the process itself opened.

        Returns:
            The error, or None if the call succeeds.
        """

    def short(self, size: int) -> int:
        """Draw how many of `size` bytes one call transfers."""

    def stall_s(self) -> float:
        """Draw how long (s) the process is stalled before a write."""


def too_many_open_files() -> OSError:
    """Return the error of a process that has no descriptor left (EMFILE)."""
    return OSError(errno.EMFILE, "Too many open files")


def check_connect_calls(faults: SystemCallFaults) -> None:
    """Check the system calls that open a connection; an interrupted connect completes by itself.

    Raises:
        OSError: If one of the calls fails.
    """
    error = faults.error("socket") or faults.error("connect")
    if error is not None and not isinstance(error, InterruptedError):
        raise error
