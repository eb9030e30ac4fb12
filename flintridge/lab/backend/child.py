"""Start a program that dies with the process that asked for it.

    child.py PARENT DESCRIPTORS PROGRAM ARGUMENT...

Run as a file, with nothing but the standard library: it becomes the program at once. Whatever way the lab
ends, SIGKILL included, the kernel then ends the program too.
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
    """Become the program.

    Args:
        arguments: Number of the parent process, maximum of open descriptors, and the command.

    Returns:
        The exit code where the program cannot be started.
    """
    parent, descriptors, *command = arguments
    code = _prepare(int(parent), int(descriptors))
    if code == 0:
        os.execv(command[0], command)
    return code


def _prepare(parent: int, descriptors: int) -> int:
    """Have the kernel end this process with its parent, and limit its descriptors.

    Returns:
        0, or the exit code where that is not possible.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0) != 0:
        print(f"prctl: {os.strerror(ctypes.get_errno())}", file=sys.stderr)
        return EXIT_NO_PRCTL
    if os.getppid() != parent:  # it died before prctl(): nothing would end this process
        return EXIT_NO_PARENT
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
