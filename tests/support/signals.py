"""Signal dispositions of the processes that tests start."""

import signal


def restore_default_signals() -> None:
    """Handle no signal and block none; as the `preexec_fn` of a process that a test sends signals to.

    Guards tests run in the background of a shell that has no job control: SIGINT is ignored there, and
    whatever is started inherits that.
    """
    for number in signal.valid_signals() - {signal.SIGKILL, signal.SIGSTOP}:
        if signal.getsignal(number) is not None:  # else it is the C library's own
            signal.signal(number, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_SETMASK, ())
