"""Recognizes errors of opening a connection that are caused by this machine and not by the server.

They are no evidence about the server, which gets no connect backoff for them.
"""

import errno

# Errors that connect(2) and socket(2) document for a lack of ports, memory, descriptors or routes on this
# machine.
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
# The one local error that may also concern the route to a single server: if it persists, that server is
# unreachable.
ROUTE_ERRNO = errno.ENETUNREACH


def is_local_failure(error: OSError) -> bool:
    """Whether an error of a system call is caused by this machine."""
    return error.errno in LOCAL_ERRNOS


def describe_errno(error: OSError) -> str:
    """The symbolic name of an error's number, such as `ENOBUFS`; the error's `repr` if it has none."""
    return errno.errorcode.get(error.errno or 0, repr(error))
