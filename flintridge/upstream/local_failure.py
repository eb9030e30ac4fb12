"""Failures of this machine, not of a server, as a connection is opened: which they are.

They say nothing of the server that was to be reached: it gets no connect backoff for them.
"""

import errno

# What connect(2) and socket(2) document for a lack of ports, memory, descriptors or routes of this machine.
LOCAL_ERRNOS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
# One of them that may also be about the way to one server: where it lasts, the server is out of reach.
ROUTE_ERRNO = errno.ENETUNREACH


def is_local_failure(error: OSError) -> bool:
    """Whether an error of a system call is a matter of this machine."""
    return error.errno in LOCAL_ERRNOS


def describe_errno(error: OSError) -> str:
    """The symbolic name of an error's number, as `ENOBUFS`; the error itself where it has none."""
    return errno.errorcode.get(error.errno or 0, repr(error))
