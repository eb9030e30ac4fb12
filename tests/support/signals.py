"""Signal dispositions of the processes that tests start."""

import signal


def restore_default_signals() -> None:
    """Restore the default action of all signals and unblock them, as `preexec_fn` of a test's process.

    Otherwise tests fail when run in the background of a shell without job control: SIGINT is ignored there,
    and child processes inherit that.
    """
    for number in signal.valid_signals() - {signal.SIGKILL, signal.SIGSTOP}:
        if signal.getsignal(number) is not None:  # None: the signal is reserved by the C library
            signal.signal(number, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_SETMASK, ())
