"""One HTTP/1.1 call of the admin API and its response, as an I/O-free state machine on h11.

    GET  /admin/health     200 if this process can serve, whether or not it is drained; otherwise 503
    POST /admin/quiesce    start a drain: stop serving without ending the process
    POST /admin/resume     cancel a drain: serve again

Response bodies are JSON objects that contain the node's state. Request bodies are discarded unless the route
takes one. A call that may change something is executed only if its caller still waits for the response.
"""

from collections.abc import Callable

import h11
import orjson

from flintridge.codec.http.exchange import check_body_framing
from flintridge.core.admin_routes import AdminResponse, Routes, RouteWithInput

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024  # limit for a request body, even if it is discarded

BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
SERVICE_UNAVAILABLE = 503
END_OF_ERROR_STATUSES = 600
SAFE_METHODS = frozenset({b"GET", b"HEAD"})  # their calls change nothing


def _accept_call() -> AdminResponse | None:
    """Default check: every call is executed."""
    return None


class AdminExchange:
    """One call. `feed` returns the response's buffers once the call is complete or found invalid."""

    def __init__(
        self, routes: Routes, check_caller: Callable[[], AdminResponse | None] = _accept_call
    ) -> None:
        """Wait for a call.

        Args:
            routes: The handler of each path and method.
            check_caller: Called right before a call is executed that may change something. Returns the
                response if it must not be executed, otherwise None.
        """
        self._routes = routes
        self._check_caller = check_caller
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0
        self._body = bytearray()  # stays empty unless the route takes a body
        self._takes_body = False
        self._responded = False

    def feed(self, data: bytes) -> list[bytes] | None:
        """Process bytes of the call.

        Args:
            data: The bytes that were read; not empty.

        Returns:
            The response's buffers; None if more bytes are needed, or if the response was already returned.
        """
        if self._responded:
            return None
        try:
            self._connection.receive_data(data)
            return self._next_response()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if not BAD_REQUEST <= status < END_OF_ERROR_STATUSES:
                status = BAD_REQUEST
            return self._respond_with_error(status, str(error))

    def time_out(self) -> list[bytes]:
        """Return the response's buffers for a call that was not complete in time."""
        return self._respond_with_error(REQUEST_TIMEOUT, "the call was not complete in time")

    def _next_response(self) -> list[bytes] | None:
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Request):
                self._request = event
                check_body_framing(event)
                path = event.target.partition(b"?")[0]
                self._takes_body = isinstance(self._routes.get(path, {}).get(event.method), RouteWithInput)
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_BODY_BYTES:
                    return self._respond_with_error(BODY_TOO_LARGE, f"body exceeds {MAX_BODY_BYTES} bytes")
                if self._takes_body:
                    self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return self._dispatch_call()

    def _dispatch_call(self) -> list[bytes]:
        assert self._request is not None
        path, _, query = self._request.target.partition(b"?")
        methods = self._routes.get(path)
        if methods is None:
            paths = [known.decode() for known in self._routes]
            return self._respond(AdminResponse(NOT_FOUND, {"error": "no such path", "paths": paths}))
        route = methods.get(self._request.method)
        if route is None:
            allowed = b", ".join(methods)
            response = AdminResponse(METHOD_NOT_ALLOWED, {"error": f"only {allowed.decode()}"})
            return self._respond(response, [(b"Allow", allowed)])
        refusal = None if self._request.method in SAFE_METHODS else self._check_caller()
        if refusal is not None:
            return self._respond(refusal)
        if isinstance(route, RouteWithInput):
            return self._respond(route.call(query, bytes(self._body)))
        return self._respond(route())

    def _respond_with_error(self, status: int, error: str) -> list[bytes]:
        return self._respond(AdminResponse(status, {"error": error}))

    def _respond(
        self, response: AdminResponse, extra_headers: list[tuple[bytes, bytes]] | None = None
    ) -> list[bytes]:
        self._responded = True
        body = orjson.dumps(response.fields) + b"\n"
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
            *(extra_headers or ()),
        ]
        # After a malformed head h11 refuses to write to the connection, so a new one writes the response.
        writer = self._connection
        if writer.our_state is h11.ERROR or writer.their_state is h11.ERROR:
            writer = h11.Connection(h11.SERVER)
        head = h11.Response(status_code=response.status, headers=headers)
        buffers = list(writer.send_with_data_passthrough(head) or ())
        if self._request is None or self._request.method != b"HEAD":
            buffers.append(body)
        return buffers
