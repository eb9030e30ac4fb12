"""Start a program that dies with the process that asked for it: child.py PARENT SOCKETS PROGRAM ARGUMENT...

Run as a file, with nothing but the standard library: it becomes the program at once. Whatever way the lab
ends, SIGKILL included, the kernel then ends the program too.
"""

import ctypes
import os
import resource
import signal
import sys

PR_SET_PDEATHSIG = 1


def main(arguments: list[str]) -> int:
    parent, sockets, *command = arguments
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0) != 0:
        print(f"prctl: {os.strerror(ctypes.get_errno())}", file=sys.stderr)
        return 126
    if os.getppid() != int(parent):  # it died before the line above; nobody would end us
        return 125
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = min(int(sockets), hard) if hard != resource.RLIM_INFINITY else int(sockets)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    os.execv(command[0], command)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
