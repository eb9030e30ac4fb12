"""A node's connection to the origin: HTTP/1.1, one request after another."""

from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

import h11

from flintridge.lab.records import body_digest
from flintridge.lab.truth import RequestFacts
from flintridge.lab.world.check import mismatch
from flintridge.lab.world.commands import MAX_KEY, MAX_VALUE, TOKEN, Unreadable, read_extras
from flintridge.lab.world.origin import OriginJob
from flintridge.lab.world.server_conn import ServerConnection

if TYPE_CHECKING:
    from flintridge.lab.world.origin_host import OriginHost

STATUS = {"value": 200, "receipt": 200, "busy": 503, "error": 500}
DECLINED = ("Srv-Declined", "1")


class OriginRequest(OriginJob):
    """An attempt, from its last byte to its answer."""

    __slots__ = ("connection", "number", "receipt", "uid")

    def __init__(
        self,
        connection: "OriginConnection",
        number: int,
        uid: str,
        key: str,
        write: bool,
        over_at: float,
        idem: str,
        window_ms: float,
    ) -> None:
        super().__init__(key, write, over_at, idem, window_ms)
        self.connection: OriginConnection | None = connection  # None: nobody waits for it any more
        self.number = number
        self.uid = uid
        self.receipt = b""


class OriginConnection(ServerConnection):
    __slots__ = ("_began", "_body", "_head", "_http", "_request", "_size")
    _host: "OriginHost"

    def __init__(self, host: "OriginHost", node: str) -> None:
        super().__init__(host, node)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._began: float | None = None  # when the request that is being read was begun
        self._request: OriginRequest | None = None  # awaits its answer

    # What the transport says

    def data_received(self, data: bytes) -> None:
        if not self._open:
            return
        now = self._host.clock.now()
        self._used_at = now
        sent_at = self._host.fabric.sent_at(self._transport)
        if self._began is None:
            self._began = sent_at
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(now, str(error))
            return
        self._read(now, sent_at)

    # Requests

    def _read(self, now: float, sent_at: float) -> None:
        """Events until one request is whole; the next one waits for its answer."""
        while self._open and self._request is None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(now, str(error))
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._body, self._size = [], 0
                if self._began is None:
                    self._began = sent_at
            elif isinstance(event, h11.Data):
                self._body.append(bytes(event.data))
                self._size += len(event.data)
                if self._size > MAX_VALUE:
                    self._refuse(now, "a value over 64 KiB")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._take(now)
            else:
                return

    def _take(self, now: float) -> None:
        head, body = self._head, b"".join(self._body)
        assert head is not None
        self._body = []
        headers = dict(head.headers)
        if b"req-id" not in headers and head.target in (b"/-/healthy", b"/-/load"):
            self._probe(head.target)
            return
        try:
            write, key, uid, extras, wait_ms = _parts(head, headers, body)
        except Unreadable as error:
            self._refuse(now, str(error))
            return
        fact = self._host.truth.get(uid)
        wrong = mismatch(fact, key, write, extras)
        if wrong or fact is None:
            self._refuse(now, f"{wrong}: {uid}")
            return
        self._attempt(now, fact, uid, extras.get("k", ""), wait_ms, body_digest(body) if write else "")

    def _attempt(
        self, now: float, fact: RequestFacts, uid: str, idem: str, wait_ms: float, digest: str
    ) -> None:
        host, key, write = self._host, fact.key, fact.write
        number = host.objects.attempts.next()
        window_ms = host.window_ms(fact.class_name)
        request = OriginRequest(self, number, uid, key, write, now + wait_ms, idem, window_ms)
        began = now if self._began is None else self._began
        self._log_attempt(now, began, request, wait_ms, host.model.arrive(now, request), digest)
        self._began = None
        self._request = request
        if now < host.model.fallen_until:
            host.fall()
            return
        if host.model.offer(now, request) is not None:
            host.finish(now, request)
        host.settle(now)

    def _probe(self, target: bytes) -> None:
        host = self._host
        if host.model.down:
            self._respond(503, b"", [])
        elif target == b"/-/healthy":
            self._respond(200, b"ok", [])
        elif not host.probes:
            self._respond(404, b"", [])
        else:
            report = ",".join(f"{name}={value:.6g}" for name, value in host.model.report().items())
            self._respond(200, report.encode(), [("Srv-Load", report)])

    def _refuse(self, now: float, reason: str) -> None:
        self._log_malformed(now, reason)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(400, reason.encode("ascii", "replace"), [("Connection", "close")])
        self._close(now)

    # Answers

    def answer(self, now: float, request: OriginRequest, body: bytes) -> None:
        """The answer to the request that is out; nothing where the origin is silent."""
        host, outcome = self._host, request.outcome
        if not self._open or self._request is not request or host.model.down == "silent":
            return
        self._request = request.connection = None
        self._used_at = now
        self._log_made(now, request, outcome, body_digest(body) if body else "")
        self._respond(STATUS[outcome], body, [DECLINED] if outcome == "busy" else [])
        self._read(now, now)

    def _respond(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        http = self._http
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body))), *headers])
        out = http.send(head) or b""
        if body:
            out += http.send(h11.Data(data=body)) or b""
        out += http.send(h11.EndOfMessage()) or b""
        self._transport.write(out)
        self._began = None
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        elif http.our_state is h11.MUST_CLOSE:
            self._close(self._host.clock.now())

    # Ends

    def _forsake(self, now: float) -> None:
        """The origin goes on with what was out on it."""
        request, self._request = self._request, None
        if request is not None:
            request.connection = None
            self._log_dropped(now, request)

    def _is_busy(self) -> bool:
        return self._request is not None

    def _is_mute(self) -> bool:
        return self._host.model.down == "silent"


def _parts(
    head: h11.Request, headers: dict[bytes, bytes], body: bytes
) -> tuple[bool, str, str, dict[str, str], float]:
    """Whether it is a write, the key, the id, the names and values, and `d` in ms. Raises Unreadable."""
    if head.method not in (b"GET", b"PUT"):
        raise Unreadable("neither GET nor PUT")
    write = head.method == b"PUT"
    if body and not write:
        raise Unreadable("a read with a body")
    if write and b"content-length" not in headers and b"transfer-encoding" not in headers:
        raise Unreadable("a write without a body")
    key = unquote_to_bytes(head.target[1:])
    if not head.target.startswith(b"/") or not 0 < len(key) <= MAX_KEY or not TOKEN.fullmatch(key):
        raise Unreadable("not a key")
    uid, extras = headers.get(b"req-id", b""), headers.get(b"req-extra", b"")
    if not uid or not TOKEN.fullmatch(uid):
        raise Unreadable("no id")
    if not TOKEN.fullmatch(extras):
        raise Unreadable("no list of names and values")
    if len(headers) != len(head.headers):
        raise Unreadable("a header twice")
    said, wait_ms = read_extras(extras.decode("ascii"))
    return write, key.decode("ascii"), uid.decode("ascii"), said, wait_ms
