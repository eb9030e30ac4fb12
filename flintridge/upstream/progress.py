"""How far an attempt or a health check got."""

from dataclasses import dataclass, field

from flintridge.api import Outcome
from flintridge.core.response import AttemptResult
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.connection_pool import ConnectionPool


def _connect_failed() -> AttemptResult:
    return AttemptResult(Outcome.CONNECT_FAILED)


@dataclass(slots=True)
class Progress:
    """Progress of an attempt or a health check.

    Attributes:
        connection: Its connection, which is closed when it ends unless it was released to the pool before.
        result: The result if it ended now. The default is a failed connect, because the server executes
            nothing until the last byte of the request is written.
    """

    connection: UpstreamConnection | None = None
    result: AttemptResult = field(default_factory=_connect_failed)

    @property
    def request_written(self) -> bool:
        """Whether the request was written completely, so that the server may execute it."""
        return self.connection is not None and self.connection.request_written

    def release(self, server: str, pool: ConnectionPool, names_request: bool = True) -> None:
        """Release the connection to the pool.

        Args:
            server: The id of the server.
            pool: The pool that the connection came from.
            names_request: Whether the last response carried the request's id.
        """
        assert self.connection is not None
        pool.release(server, self.connection, names_request)
        self.connection = None
