"""Start a program that is killed when its parent process ends.

    child.py PARENT DESCRIPTORS PROGRAM ARGUMENT...

Run as a script that uses only the standard library; it replaces itself with the program. However the lab
ends, even by SIGKILL, the kernel then kills the program too.
"""

import ctypes
import os
import resource
import signal
import sys

PR_SET_PDEATHSIG = 1
EXIT_NO_PARENT = 125
EXIT_NO_PRCTL = 126


def main(arguments: list[str]) -> int:
    """Replace this process with the program.

    Args:
        arguments: The process ID of the parent, the maximum number of open descriptors, and the command.

    Returns:
        The exit code if the program cannot be started.
    """
    parent, descriptors, *command = arguments
    code = _prepare(int(parent), int(descriptors))
    if code == 0:
        os.execv(command[0], command)
    return code


def _prepare(parent: int, descriptors: int) -> int:
    """Have the kernel kill this process when its parent ends, and limit its descriptors.

    Returns:
        0, or the exit code if that is not possible.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0) != 0:
        print(f"prctl: {os.strerror(ctypes.get_errno())}", file=sys.stderr)
        return EXIT_NO_PRCTL
    if os.getppid() != parent:  # the parent died before prctl(): nothing would end this process
        return EXIT_NO_PARENT
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
