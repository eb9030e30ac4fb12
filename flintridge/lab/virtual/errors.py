"""Errors by which a run in virtual time ends early."""

from flintridge.errors import FlintridgeError


class DeadlockError(FlintridgeError, RuntimeError):
    """Nothing can run and no timer is set, yet what is waited for is not done."""


class LivelockError(BaseException):
    """A host runs without end: handles without time advancing, or real time beyond the limit.

    Not an Exception, so that code which survives its own errors does not survive this one.

    Attributes:
        host: The name of the host whose code ran.
    """

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(f"{host}: {reason}")
        self.host = host
