"""The client's records of the attempts of a request."""

from dataclasses import dataclass

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.connection import ClientConnection, ConnectionEnd
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.responses import Response, ResponseKind, response_record
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import RequestAbandoned, RequestNotAccepted, RequestSent, ResponseReceived


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        request_id: The attempt's own id.
        first_request_id: The id of the request's first attempt.
        number: 0 for the first attempt.
        node: The node that it is sent to; empty if no node is in use.
        timeout_ms: How long the client will wait for the response.
        value_digest: Digest of the value that it writes; empty for a read.
        write_started_ms: When its first byte was written.
        is_written: Whether its last byte has been written to the network.
        is_resent: Whether it was sent again after a close of the connection crossed it.
    """

    request_id: str
    first_request_id: str
    number: int
    node: str = ""
    timeout_ms: int = 0
    value_digest: str = ""
    write_started_ms: float = 0.0
    is_written: bool = False
    is_resent: bool = False


class AttemptLog:
    """Records the progress of the attempts of one request.

    Attributes:
        request: The request.
    """

    __slots__ = ("_clock", "_counted", "_idempotency_key", "_log", "request")

    def __init__(
        self,
        log: RecordLog,
        clock: RunClock,
        request: GeneratedRequest,
        idempotency_key: str,
        counted: bool,
    ) -> None:
        self._log = log
        self._clock = clock
        self._idempotency_key = idempotency_key
        self._counted = counted
        self.request = request

    def sent(self, attempt: Attempt, connection: ClientConnection) -> None:
        """Record that an attempt's last byte has been sent."""
        request = self.request
        self._log.add(
            RequestSent(
                at_ms=self._clock.now(),
                node=attempt.node,
                connection=connection.number,
                request_id=attempt.request_id,
                first_request_id=attempt.first_request_id,
                attempt_number=attempt.number,
                scheduled_ms=request.scheduled_ms,
                class_name=request.class_name,
                tenant=request.tenant,
                key=request.key,
                write=request.write,
                time_left_ms=float(attempt.timeout_ms),
                idempotency_key=self._idempotency_key,
                work_ms=request.work_ms,
                value_digest=attempt.value_digest,
                counted=self._counted,
            )
        )

    def not_accepted(self, attempt: Attempt, reason: str) -> None:
        """Record that no node received an attempt completely."""
        request = self.request
        self._log.add(
            RequestNotAccepted(
                at_ms=self._clock.now(),
                node=attempt.node,
                request_id=attempt.request_id,
                first_request_id=attempt.first_request_id,
                attempt_number=attempt.number,
                scheduled_ms=request.scheduled_ms,
                class_name=request.class_name,
                tenant=request.tenant,
                key=request.key,
                write=request.write,
                work_ms=request.work_ms,
                counted=self._counted,
                reason=reason,
            )
        )

    def responded(self, attempt: Attempt, response: Response, kind: ResponseKind) -> None:
        """Record a response to an attempt; `kind` is its kind as a response to this request."""
        now_ms = self._clock.now()
        self._log.add(response_record(now_ms, attempt.node, attempt.request_id, response, kind))

    def connection_closed(self, attempt: Attempt, end: ConnectionEnd) -> None:
        """Record that an attempt's connection ended without a complete response."""
        self._log.add(
            ResponseReceived(
                at_ms=self._clock.now(),
                node=attempt.node,
                request_id=attempt.request_id,
                kind=end.kind,
                text="in the middle of the answer" if end.is_partial else "",
            )
        )

    def abandoned(self, attempt: Attempt, left_early: bool, lingers_ms: float = 0.0) -> None:
        """Record that the client no longer waits for the response.

        Args:
            attempt: The attempt.
            left_early: Whether the client left before the timeout that it had sent.
            lingers_ms: How long the client keeps the connection open for a late response.
        """
        self._log.add(
            RequestAbandoned(
                at_ms=self._clock.now(),
                node=attempt.node,
                request_id=attempt.request_id,
                left_early=left_early,
                lingers_ms=lingers_ms,
            )
        )
