"""Faults of a node's operating system, in the scenario format: calls, clock, scheduler and folder."""

import errno
from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import schema_description
from flintridge.lab.scenario.fault_base import Count, Fault, Fraction, TimedFault

MAX_STALL_MS = 150.0  # between reading the clock and writing
MAX_STEP_S = 3600.0  # of a wall clock, forward or back

Call = Literal["accept", "connect", "socket", "read", "write"]
Errno = Annotated[str, Meta(min_length=1, max_length=32)]

# What Linux documents for each call of a TCP socket. EAGAIN is no error of a call that does not block.
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
    """A fault of these nodes, or of so many drawn by the seed; of all where neither is given."""

    nodes: tuple[Count, ...] = ()
    count: Count = 0


class SystemCallErrors(NodeFault, tag="system_call_errors", kw_only=True, frozen=True):
    """A share of the calls on TCP sockets fails, each with one of `errors` drawn for it.

    `read` and `write` errors other than EINTR break the connection. They hit only connections that the node
    itself opened: no node could answer on a client's connection that is broken.
    """

    call: Call
    errors: Annotated[tuple[Errno, ...], Meta(min_length=1)]
    part: Fraction = 0.05


class ShortIo(NodeFault, tag="short_io", kw_only=True, frozen=True):
    """A share of reads and writes on TCP sockets takes `most_bytes` at the most."""

    part: Fraction = 0.2
    most_bytes: Annotated[int, Meta(ge=1, le=1_000_000)] = 16


@schema_description(
    "The wall clock of nodes steps, for good; their monotonic clock runs on. Steps add up, and a process\n"
    "that is started later starts with the stepped clock."
)
class ClockStep(Fault, tag="clock_step", kw_only=True, frozen=True):
    """The wall clock of nodes steps, for good; their monotonic clock runs on.

    Steps add up, and a process that is started later starts with the stepped clock.
    """

    seconds: Annotated[float, Meta(ge=-MAX_STEP_S, le=MAX_STEP_S)]
    nodes: tuple[Count, ...] = ()
    count: Count = 0


class Stall(NodeFault, tag="stall", kw_only=True, frozen=True):
    """A node is held up before a share of its writes on TCP sockets, after it read its clock."""

    part: Fraction = 0.005
    most_ms: Annotated[float, Meta(gt=0, le=MAX_STALL_MS)] = MAX_STALL_MS  # each draws up to this


@schema_description(
    "Calls on a node's temporary folder fail: all of them by EIO, those that make something by ENOSPC. On\n"
    "loopback only."
)
class FolderErrors(NodeFault, tag="folder_errors", kw_only=True, frozen=True):
    """Calls on a node's temporary folder fail. On loopback only.

    All of them by EIO, those that make something by ENOSPC.
    """

    errors: Annotated[tuple[Literal["ENOSPC", "EIO"], ...], Meta(min_length=1)] = ("ENOSPC", "EIO")
    part: Fraction = 1.0
    half_written: Count = 0  # files that lie in it from the beginning of the fault on, as a kill leaves them


SystemFault = SystemCallErrors | ShortIo | ClockStep | Stall | FolderErrors
