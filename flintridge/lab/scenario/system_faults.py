"""Faults of a node's operating system in the scenario format: socket calls, clock, scheduler and folder."""

import errno
from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import schema_description
from flintridge.lab.scenario.fault_base import Count, Fault, Fraction, TimedFault

MAX_STALL_MS = 150.0  # the longest stall between reading the clock and writing
MAX_STEP_S = 3600.0  # the largest step of a wall clock, forward or back

Call = Literal["accept", "connect", "socket", "read", "write"]
Errno = Annotated[str, Meta(min_length=1, max_length=32)]

# The errors that Linux documents for each call on a TCP socket. EAGAIN is left out: for a non-blocking call
# it is not an error.
ERRORS_OF_CALL: dict[Call, tuple[str, ...]] = {
    "accept": (
        "ECONNABORTED",
        "EINTR",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "EPROTO",
        "ENETDOWN",
        "EHOSTUNREACH",
        "ENETUNREACH",
    ),
    "connect": (
        "EADDRNOTAVAIL",
        "ECONNREFUSED",
        "EHOSTUNREACH",
        "EINTR",
        "ENETUNREACH",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "ETIMEDOUT",
    ),
    "socket": ("EACCES", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "read": ("ECONNRESET", "EHOSTUNREACH", "EINTR", "ENETUNREACH", "ENOBUFS", "ENOMEM", "ETIMEDOUT"),
    "write": (
        "ECONNRESET",
        "EHOSTUNREACH",
        "EINTR",
        "ENETUNREACH",
        "ENOBUFS",
        "ENOMEM",
        "EPIPE",
        "ETIMEDOUT",
    ),
}
assert all(hasattr(errno, name) for names in ERRORS_OF_CALL.values() for name in names)


class NodeFault(TimedFault, kw_only=True, frozen=True):
    """A fault of the given nodes, or of `count` nodes drawn by the seed; of all nodes if neither is given."""

    nodes: tuple[Count, ...] = ()
    count: Count = 0


class SystemCallErrors(NodeFault, tag="system_call_errors", kw_only=True, frozen=True):
    """A fraction of the calls on TCP sockets fails, each with a randomly drawn one of `errors`.

    `read` and `write` errors other than EINTR break the connection. They affect only connections that the
    node itself opened, because no node could respond on a broken connection of a client.
    """

    call: Call
    errors: Annotated[tuple[Errno, ...], Meta(min_length=1)]
    part: Fraction = 0.05


class ShortIo(NodeFault, tag="short_io", kw_only=True, frozen=True):
    """A fraction of reads and writes on TCP sockets transfers at most `most_bytes`."""

    part: Fraction = 0.2
    most_bytes: Annotated[int, Meta(ge=1, le=1_000_000)] = 16


@schema_description(
    "The wall clock of nodes steps permanently; their monotonic clock is not affected. Steps add up, and a\n"
    "process that is started later starts with the stepped clock."
)
class ClockStep(Fault, tag="clock_step", kw_only=True, frozen=True):
    """The wall clock of nodes steps permanently; their monotonic clock is not affected.

    Steps add up, and a process that is started later starts with the stepped clock.
    """

    seconds: Annotated[float, Meta(ge=-MAX_STEP_S, le=MAX_STEP_S)]
    nodes: tuple[Count, ...] = ()
    count: Count = 0


class Stall(NodeFault, tag="stall", kw_only=True, frozen=True):
    """A node stalls before a fraction of its writes on TCP sockets, after it has read its clock."""

    part: Fraction = 0.005
    # The maximum duration of a stall; each duration is drawn from 0 to this.
    most_ms: Annotated[float, Meta(gt=0, le=MAX_STALL_MS)] = MAX_STALL_MS


@schema_description(
    "Calls on a node's temporary folder fail: any call with EIO, calls that may allocate space also with\n"
    "ENOSPC. Supported on the loopback backend only."
)
class FolderErrors(NodeFault, tag="folder_errors", kw_only=True, frozen=True):
    """Calls on a node's temporary folder fail. Supported on the loopback backend only.

    Any call may fail with EIO, and calls that may allocate space also with ENOSPC.
    """

    errors: Annotated[tuple[Literal["ENOSPC", "EIO"], ...], Meta(min_length=1)] = ("ENOSPC", "EIO")
    part: Fraction = 1.0
    # The number of incomplete files in the folder from the start of the fault on, such as a killed process
    # leaves behind.
    half_written: Count = 0


SystemFault = SystemCallErrors | ShortIo | ClockStep | Stall | FolderErrors
