"""Base class of the connections from nodes to cache servers and to the origin.

It covers their start and end, the idle timeout and the records of their attempts.
"""

import asyncio
from typing import Generic, Protocol, TypeVar

from flintridge.lab.records import AttemptDropped, AttemptReceived, AttemptServed, MalformedMessage
from flintridge.lab.world.server_host import ServerHost
from flintridge.lab.world.sockets import reset

HostT = TypeVar("HostT", bound=ServerHost)


class Attempt(Protocol):
    """The properties of an attempt that its records need."""

    attempt_id: int
    request_id: str
    key: str
    write: bool
    idempotency_key: str
    executed: bool


class ServerConnection(asyncio.Protocol, Generic[HostT]):
    """One connection from a node; subclasses read its requests and write the responses."""

    __slots__ = ("_host", "_idle_timer", "_node", "_number", "_open", "_transport", "_used_at")
    _transport: asyncio.Transport

    def __init__(self, host: HostT, node: str) -> None:
        """Create the connection from `node` to `host`."""
        self._host = host
        self._node = node
        self._number = host.objects.connections.next()
        self._open = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._used_at = 0.0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it if the host is down or at its limit of connections."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        host = self._host
        if not host.up or len(host.connections) >= host.max_connections:
            reset(transport)
            return
        self._open = True
        host.connections[self] = None
        now = host.clock.now()
        self._used_at = now
        self._idle_timer = host.clock.call_at(now + host.idle_ms, self._on_idle)

    def eof_received(self) -> bool:
        """End the connection: a node that closes its sending side has given up."""
        self._end(self._host.clock.now())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection."""
        self._end(self._host.clock.now())

    # Implemented by subclasses

    def _is_busy(self) -> bool:
        """Whether attempts are in flight on the connection."""
        raise NotImplementedError

    def _is_unresponsive(self) -> bool:
        """Whether a fault prevents the connection from sending and from closing."""
        raise NotImplementedError

    def _abandon_attempts(self, now: float) -> None:
        """Drop the attempts in flight, which get no response because the connection has ended."""
        raise NotImplementedError

    # End of the connection

    def kill(self, now: float) -> None:
        """Reset the connection with a RST at `now` (ms)."""
        if self._open:
            reset(self._transport)
            self._end(now)

    def _close(self, now: float) -> None:
        """Close the connection after all written bytes have been sent."""
        self._transport.close()
        self._end(now)

    def _end(self, now: float) -> None:
        if not self._open:
            return
        self._open = False
        self._host.connections.pop(self, None)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._abandon_attempts(now)

    def _on_idle(self) -> None:
        if not self._open or self._is_unresponsive():
            return
        host = self._host
        now = host.clock.now()
        idle_since = now if self._is_busy() else self._used_at
        closes_at = idle_since + host.idle_ms
        if closes_at > now:
            self._idle_timer = host.clock.call_at(closes_at, self._on_idle)
            return
        self._close(now)

    # Records

    def _log_received(
        self,
        now: float,
        attempt: Attempt,
        *,
        started_at: float,
        time_left_ms: float,
        work_ms: float,
        value_digest: str,
    ) -> None:
        host = self._host
        host.log.add(
            AttemptReceived(
                at_ms=now,
                started_ms=started_at,
                node=self._node,
                server=host.id,
                is_origin=host.is_origin,
                connection=self._number,
                attempt_id=attempt.attempt_id,
                request_id=attempt.request_id,
                key=attempt.key,
                write=attempt.write,
                time_left_ms=time_left_ms,
                idempotency_key=attempt.idempotency_key,
                work_ms=work_ms,
                value_digest=value_digest,
            )
        )

    def _log_served(
        self, now: float, attempt: Attempt, outcome: str, body_digest: str, *, lost: bool = False
    ) -> None:
        host = self._host
        host.log.add(
            AttemptServed(
                at_ms=now,
                server=host.id,
                attempt_id=attempt.attempt_id,
                request_id=attempt.request_id,
                outcome=outcome,
                executed=attempt.executed,
                body_digest=body_digest,
                lost=lost,
            )
        )

    def _log_dropped(self, now: float, attempt: Attempt) -> None:
        host = self._host
        host.log.add(
            AttemptDropped(
                at_ms=now, server=host.id, attempt_id=attempt.attempt_id, request_id=attempt.request_id
            )
        )

    def _log_malformed(self, now: float, text: str) -> None:
        host = self._host
        host.log.add(MalformedMessage(at_ms=now, node=self._node, server=host.id, text=text))
