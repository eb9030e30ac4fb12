"""A node's connection to a cache server."""

import asyncio
from collections import deque
from dataclasses import dataclass

from flintridge.lab.record_log import body_digest
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.cache_request import CacheRequest
from flintridge.lab.world.corruption import corrupt
from flintridge.lab.world.memcache import (
    BUSY,
    MAX_PIPELINED,
    READY,
    UNKNOWN,
    Command,
    CommandKind,
    CommandReader,
    error_response,
    stats_response,
)
from flintridge.lab.world.request_check import describe_mismatch
from flintridge.lab.world.server_connection import ServerConnection

HEALTH_CHECK_WORK_MS = 0.2
CORRUPTED = "spoilt"  # outcome in records of a response that was corrupted


@dataclass(slots=True, frozen=True)
class PlainResponse:
    """The response to a command that is not an attempt of a client's request.

    Attributes:
        response: The bytes to send.
        closes: Whether the connection is closed after it.
    """

    response: bytes
    closes: bool = False


class CacheConnection(ServerConnection[CacheHost]):
    """Reads commands and writes their responses in the order of the commands."""

    __slots__ = ("_backlog", "_handshake_done", "_handshake_started", "_pending", "_reader", "_unresponsive")

    def __init__(self, host: CacheHost, node: str) -> None:
        """Create the connection from `node` to `host`."""
        super().__init__(host, node)
        self._reader = CommandReader()
        self._pending: deque[CacheRequest | PlainResponse] = deque()  # started, in the order of responses
        self._backlog: deque[CacheRequest | PlainResponse] = deque()  # beyond MAX_PIPELINED, not started
        self._unresponsive = False  # nothing is sent or read any more
        self._handshake_done = host.kind.handshake_ms <= 0
        self._handshake_started = False  # requests received before its end wait for it

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection and start the work of its handshake."""
        super().connection_made(transport)
        if self._open:
            host = self._host
            now = self._used_at
            host.model.add_background(now, host.kind.handshake_ms)
            host.settle(now)

    def data_received(self, data: bytes) -> None:
        """Start the commands that are complete now."""
        if not self._open or self._unresponsive:
            return
        host = self._host
        now = host.clock.now()
        if host.model.faults.stale_after_ms and self._drop_if_stale(now):
            return
        self._used_at = now
        for command in self._reader.feed(data, host.fabric.sent_at(self._transport)):
            self._handle(now, command)
            if not self._open:
                return
        self.flush(now)
        host.settle(now)

    # Commands

    def _handle(self, now: float, command: Command) -> None:
        host = self._host
        match command.kind:
            case CommandKind.READ | CommandKind.WRITE:
                self._handle_request(now, command)
            case CommandKind.MALFORMED:
                self._reject(now, command, command.reason)
            case CommandKind.NOOP:
                rejects = host.probes and host.model.draining
                self._add_plain(PlainResponse(BUSY if rejects else READY))
            case CommandKind.LOAD_STATS:
                self._add_plain(PlainResponse(self._load_report(now)))

    def _handle_request(self, now: float, command: Command) -> None:
        host = self._host
        model = host.model
        fact = host.truth.get(command.request_id)
        write = command.kind is CommandKind.WRITE
        reason = describe_mismatch(fact, command.key, write, command.extras)
        if reason or fact is None:
            self._reject(now, command, reason)
            return
        request = self._make_request(now, command, fact.work_ms)
        self._log_received(
            now,
            request,
            started_at=command.started_at,
            time_left_ms=command.time_left_ms,
            work_ms=model.arrive(now, request),
            value_digest=body_digest(command.value) if command.value is not None else "",
        )
        if model.overloaded:
            self._pending.append(request)  # the crash then records it as dropped, like all others
            host.crash_by_overload()
            return
        if len(self._pending) >= MAX_PIPELINED:
            self._backlog.append(request)
            self._transport.pause_reading()
            return
        self._pending.append(request)
        self._start_after_handshake(now, request)
        reset_fraction = model.faults.reset_fraction
        if reset_fraction and host.wire_rng.random() < reset_fraction:
            self.kill(now)
            host.settle(now)

    def _make_request(self, now: float, command: Command, work_ms: float) -> CacheRequest:
        return CacheRequest(
            self,
            self._host.objects.attempts.next(),
            command.request_id,
            command.extras.get("k", ""),
            key=command.key,
            write=command.kind is CommandKind.WRITE,
            work_ms=work_ms,
            expires_at=now + command.time_left_ms,
        )

    def _start_after_handshake(self, now: float, request: CacheRequest) -> None:
        host = self._host
        if self._handshake_done:
            self._start(now, request)
        elif not self._handshake_started:
            self._handshake_started = True
            host.clock.call_later(host.kind.handshake_ms, self._on_handshake_done)

    def _start(self, now: float, request: CacheRequest) -> None:
        if self._host.model.offer(now, request) is not None:
            self._host.finish(now, request)

    def _on_handshake_done(self) -> None:
        """Start the requests that were received during the handshake."""
        if not self._open or self._handshake_done:
            return
        self._handshake_done = True
        host = self._host
        now = host.clock.now()
        for item in list(self._pending):
            if isinstance(item, CacheRequest):
                self._start(now, item)
        self.flush(now)
        host.settle(now)

    def _add_plain(self, response: PlainResponse) -> None:
        if len(self._pending) >= MAX_PIPELINED:
            self._backlog.append(response)
        else:
            self._pending.append(response)

    def _reject(self, now: float, command: Command, reason: str) -> None:
        self._log_malformed(now, f"{reason}: {command.request_id or command.kind.value}")
        self._add_plain(PlainResponse(error_response(reason), command.fatal))

    def _load_report(self, now: float) -> bytes:
        host = self._host
        if not host.probes:
            return UNKNOWN
        host.model.add_background(now, HEALTH_CHECK_WORK_MS)
        return stats_response(host.model.report(now))

    # Responses

    def flush(self, now: float) -> None:
        """Write the responses that are ready at `now` (ms), in the order of their commands."""
        pending = self._pending
        while self._open and pending and pending[0].response is not None:
            chunks: list[bytes] = []
            closes = False
            while pending and not closes and (response := pending[0].response) is not None:
                item = pending.popleft()
                if isinstance(item, CacheRequest):
                    response = self._finish_response(now, item, response)
                else:
                    closes = item.closes
                if not self._unresponsive:
                    chunks.append(response)
            self._used_at = now
            if chunks:
                self._transport.write(chunks[0] if len(chunks) == 1 else b"".join(chunks))
            if closes:
                self._close(now)
            elif self._backlog:
                self._start_backlog(now)

    def _start_backlog(self, now: float) -> None:
        while self._backlog and len(self._pending) < MAX_PIPELINED:
            item = self._backlog.popleft()
            self._pending.append(item)
            if isinstance(item, CacheRequest) and self._handshake_done:
                self._start(now, item)
        if not self._backlog:
            self._transport.resume_reading()

    def _finish_response(self, now: float, request: CacheRequest, response: bytes) -> bytes:
        """Record a response and return its bytes; faults may corrupt the response or lose it."""
        assert request.outcome is not None
        host = self._host
        faults = host.model.faults
        outcome: str = request.outcome.value
        if faults.lost_fraction and host.wire_rng.random() < faults.lost_fraction:
            # A later response on this connection would be taken for the response to the wrong command.
            self._unresponsive = True
        elif faults.corrupted_fraction and host.wire_rng.random() < faults.corrupted_fraction:
            corrupted = corrupt(host.wire_rng, request.request_id, response, request.body)
            response = corrupted.data
            if not corrupted.response_intact:
                outcome = CORRUPTED
        digest = ""
        if request.body is not None and outcome == "value":
            digest = body_digest(request.body)
        self._log_served(now, request, outcome, digest, lost=self._unresponsive)
        request.connection = None
        return response

    # End of the connection

    def _abandon_attempts(self, now: float) -> None:
        host = self._host
        for item in (*self._pending, *self._backlog):
            if isinstance(item, CacheRequest):
                item.connection = None
                self._log_dropped(now, item)
                if host.up:
                    host.model.cancel(now, item)
        self._pending.clear()
        self._backlog.clear()
        if host.up:
            host.settle(now)

    def _is_busy(self) -> bool:
        return bool(self._pending or self._backlog)

    def _is_unresponsive(self) -> bool:
        return self._unresponsive

    def _drop_if_stale(self, now: float) -> bool:
        """Apply the fault that a middlebox forgets idle connections; return whether it forgot this one."""
        faults = self._host.model.faults
        if self._is_busy() or now - self._used_at <= faults.stale_after_ms:
            return False
        if faults.stale_unresponsive:
            self._unresponsive = True
        else:
            self.kill(now)
        return True
