"""A node's connection to the origin: HTTP/1.1, one request at a time."""

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

import h11

from flintridge.lab.record_log import body_digest
from flintridge.lab.truth import RequestFacts
from flintridge.lab.world.memcache import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    TOKEN,
    Extras,
    MalformedCommandError,
    read_extras,
)
from flintridge.lab.world.origin_host import OriginHost
from flintridge.lab.world.origin_request import OriginRequest
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.request_check import describe_mismatch
from flintridge.lab.world.server_connection import ServerConnection

MAX_HEAD_BYTES = 16 * 1024
STATUS = {Outcome.VALUE: 200, Outcome.RECEIPT: 200, Outcome.BUSY: 503, Outcome.ERROR: 500}
DECLINED_HEADER = ("Srv-Declined", "1")
HEALTHY_PATH = b"/-/healthy"
LOAD_PATH = b"/-/load"


class OriginConnection(ServerConnection[OriginHost]):
    """Reads requests and writes their responses."""

    __slots__ = ("_body", "_body_bytes", "_head", "_http", "_request", "_started_at")

    def __init__(self, host: OriginHost, node: str) -> None:
        """Create the connection from `node` to `host`."""
        super().__init__(host, node)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._started_at: float | None = None  # when the first bytes of the request being read were sent
        self._request: OriginRequest | None = None  # the request that awaits its response

    # asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        """Read received bytes and start a request once it is complete."""
        if not self._open:
            return
        now = self._host.clock.now()
        self._used_at = now
        sent_at = self._host.fabric.sent_at(self._transport)
        if self._started_at is None:
            self._started_at = sent_at
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(now, str(error))
            return
        self._read(now, sent_at)

    # Requests

    def _read(self, now: float, sent_at: float) -> None:
        """Read events until a request is complete; the next request is read after its response."""
        while self._open and self._request is None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(now, str(error))
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._body = []
                self._body_bytes = 0
                if self._started_at is None:
                    self._started_at = sent_at
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_VALUE_BYTES:
                    self._reject(now, "a value over 64 KiB")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._handle(now)
            else:
                return

    def _handle(self, now: float) -> None:
        head = self._head
        assert head is not None
        body = b"".join(self._body)
        self._body = []
        headers = dict(head.headers)
        if b"req-id" not in headers and head.target in (HEALTHY_PATH, LOAD_PATH):
            self._respond_to_health_check(head.target)
            return
        try:
            parsed = _parse_request(head, headers, body)
        except MalformedCommandError as error:
            self._reject(now, str(error))
            return
        fact = self._host.truth.get(parsed.request_id)
        reason = describe_mismatch(fact, parsed.key, parsed.write, parsed.extras.values)
        if reason or fact is None:
            self._reject(now, f"{reason}: {parsed.request_id}")
            return
        self._start(now, fact, parsed, body_digest(body) if parsed.write else "")

    def _start(self, now: float, fact: RequestFacts, parsed: "_ParsedRequest", value_digest: str) -> None:
        host = self._host
        time_left_ms = parsed.extras.time_left_ms
        request = OriginRequest(
            self,
            host.objects.attempts.next(),
            parsed.request_id,
            key=fact.key,
            write=fact.write,
            expires_at=now + time_left_ms,
            idempotency_key=parsed.extras.values.get("k", ""),
            deduplication_window_ms=host.deduplication_window_ms(fact.class_name),
        )
        self._log_received(
            now,
            request,
            started_at=now if self._started_at is None else self._started_at,
            time_left_ms=time_left_ms,
            work_ms=host.model.arrive(now, request),
            value_digest=value_digest,
        )
        self._started_at = None
        self._request = request
        if now < host.model.crashed_until:
            host.crash_by_overload()
            return
        if host.model.offer(now, request) is not None:
            host.finish(now, request)
        host.settle(now)

    def _respond_to_health_check(self, path: bytes) -> None:
        host = self._host
        if host.model.down:
            self._send_response(503, b"", [])
        elif path == HEALTHY_PATH:
            self._send_response(200, b"ok", [])
        elif not host.probes:
            self._send_response(404, b"", [])
        else:
            report = ",".join(f"{name}={value:.6g}" for name, value in host.model.report().items())
            self._send_response(200, report.encode(), [("Srv-Load", report)])

    def _reject(self, now: float, reason: str) -> None:
        self._log_malformed(now, reason)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_response(400, reason.encode("ascii", "replace"), [("Connection", "close")])
        self._close(now)

    # Responses

    def respond(self, now: float, request: OriginRequest, body: bytes) -> None:
        """Send the response to the pending request, unless the origin is silent.

        Args:
            now: Time of the run in milliseconds.
            request: The request, whose outcome is set.
            body: The value or the receipt; empty if there is neither.
        """
        if not self._open or self._request is not request or self._host.model.down == "silent":
            return
        outcome = request.outcome
        assert outcome is not None
        self._request = None
        request.connection = None
        self._used_at = now
        self._log_served(now, request, outcome.value, body_digest(body) if body else "")
        headers = [DECLINED_HEADER] if outcome is Outcome.BUSY else []
        self._send_response(STATUS[outcome], body, headers)
        self._read(now, now)

    def _send_response(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        http = self._http
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body))), *headers])
        data = http.send(head) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        self._started_at = None
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        elif http.our_state is h11.MUST_CLOSE:
            self._close(self._host.clock.now())

    # End of the connection

    def _abandon_attempts(self, now: float) -> None:
        """Detach the request in flight; the origin still completes it."""
        request = self._request
        self._request = None
        if request is not None:
            request.connection = None
            self._log_dropped(now, request)

    def _is_busy(self) -> bool:
        return self._request is not None

    def _is_unresponsive(self) -> bool:
        return self._host.model.down == "silent"


@dataclass(slots=True, frozen=True)
class _ParsedRequest:
    write: bool
    key: str
    request_id: str
    extras: Extras


def _parse_request(head: h11.Request, headers: dict[bytes, bytes], body: bytes) -> _ParsedRequest:
    """Parse a request.

    Raises:
        MalformedCommandError: No correct node sends such a request.
    """
    if head.method not in (b"GET", b"PUT"):
        raise MalformedCommandError("neither GET nor PUT")
    write = head.method == b"PUT"
    if body and not write:
        raise MalformedCommandError("a read with a body")
    if write and b"content-length" not in headers and b"transfer-encoding" not in headers:
        raise MalformedCommandError("a write without a body")
    key = unquote_to_bytes(head.target[1:])
    if not head.target.startswith(b"/") or not 0 < len(key) <= MAX_KEY_BYTES or not TOKEN.fullmatch(key):
        raise MalformedCommandError("not a key")
    request_id = headers.get(b"req-id", b"")
    extras = headers.get(b"req-extra", b"")
    if not request_id or not TOKEN.fullmatch(request_id):
        raise MalformedCommandError("no id")
    if not TOKEN.fullmatch(extras):
        raise MalformedCommandError("no list of names and values")
    if len(headers) != len(head.headers):
        raise MalformedCommandError("a header twice")
    return _ParsedRequest(
        write, key.decode("ascii"), request_id.decode("ascii"), read_extras(extras.decode("ascii"))
    )
