"""What connections from a node are alike at a cache server and at the origin: how they begin and end, how
long they may lie idle, and what the log says of their attempts."""

import asyncio
from typing import TYPE_CHECKING, Protocol

from flintridge.lab.records import AttemptDropped, AttemptReceived, AttemptServed, MalformedMessage
from flintridge.lab.world.sockets import reset

if TYPE_CHECKING:
    from flintridge.lab.world.server_host import ServerHost


class Arrived(Protocol):
    """An attempt, as the log tells of it."""

    number: int
    uid: str
    key: str
    write: bool
    idem: str
    ran: bool


class ServerConnection(asyncio.Protocol):
    """One connection from `node`, as long as its host takes it; who derives from it reads and answers."""

    __slots__ = ("_host", "_idle", "_node", "_number", "_open", "_transport", "_used_at")
    _transport: asyncio.Transport

    def __init__(self, host: "ServerHost", node: str) -> None:
        self._host = host
        self._node = node
        self._number = host.objects.connections.next()
        self._open = False
        self._idle: asyncio.TimerHandle | None = None
        self._used_at = 0.0

    # What the transport says

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        host = self._host
        if not host.up or len(host.connections) >= host.most_connections:
            reset(transport)
            return
        self._open = True
        host.connections[self] = None
        self._used_at = now = host.clock.now()
        self._idle = host.clock.call_at(now + host.idle_ms, self._on_idle)

    def eof_received(self) -> bool:
        """To end its sending is how a node gives up: the connection ends with it."""
        self._end(self._host.clock.now())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(self._host.clock.now())

    # What differs

    def _is_busy(self) -> bool:
        """Whether attempts are out on it."""
        raise NotImplementedError

    def _is_mute(self) -> bool:
        """Whether a fault keeps it from saying anything, goodbye too."""
        raise NotImplementedError

    def _forsake(self, now: float) -> None:
        """It has ended: what was out on it has no answer any more."""
        raise NotImplementedError

    # Ends

    def kill(self, now: float) -> None:
        """Reset it."""
        if self._open:
            reset(self._transport)
            self._end(now)

    def _close(self, now: float) -> None:
        """End it once what was written has left."""
        self._transport.close()
        self._end(now)

    def _end(self, now: float) -> None:
        if not self._open:
            return
        self._open = False
        self._host.connections.pop(self, None)
        if self._idle is not None:
            self._idle.cancel()
        self._forsake(now)

    def _on_idle(self) -> None:
        if not self._open or self._is_mute():
            return
        host = self._host
        now = host.clock.now()
        until = (now if self._is_busy() else self._used_at) + host.idle_ms
        if until > now:
            self._idle = host.clock.call_at(until, self._on_idle)
            return
        self._close(now)

    # The log

    def _log_attempt(
        self, now: float, began: float, request: Arrived, wait_ms: float, work_ms: float, digest: str
    ) -> None:
        host = self._host
        host.log.add(
            AttemptReceived(
                at_ms=now,
                started_ms=began,
                node=self._node,
                server=host.id,
                is_origin=host.is_origin,
                connection=self._number,
                attempt_id=request.number,
                request_id=request.uid,
                key=request.key,
                write=request.write,
                time_left_ms=wait_ms,
                idempotency_key=request.idem,
                work_ms=work_ms,
                value_digest=digest,
            )
        )

    def _log_made(self, now: float, request: Arrived, outcome: str, made: str, lost: bool = False) -> None:
        """`made`: the token of the value or receipt."""
        self._host.log.add(
            AttemptServed(
                at_ms=now,
                server=self._host.id,
                attempt_id=request.number,
                request_id=request.uid,
                outcome=outcome,
                executed=request.ran,
                body_digest=made,
                lost=lost,
            )
        )

    def _log_dropped(self, now: float, request: Arrived) -> None:
        host = self._host
        host.log.add(
            AttemptDropped(at_ms=now, server=host.id, attempt_id=request.number, request_id=request.uid)
        )

    def _log_malformed(self, now: float, text: str) -> None:
        host = self._host
        host.log.add(MalformedMessage(at_ms=now, node=self._node, server=host.id, text=text))
