"""Errors that end a run in virtual time early."""

from flintridge.errors import FlintridgeError


class DeadlockError(FlintridgeError, RuntimeError):
    """No callback is ready and no timer is set, but the awaited result is not done."""


class LivelockError(BaseException):
    """Code runs without end: too many handles at one virtual time, or more real time than allowed.

    Derives from BaseException, so that code that catches Exception does not suppress it.

    Attributes:
        host: The name of the host whose code was running.
    """

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(f"{host}: {reason}")
        self.host = host
