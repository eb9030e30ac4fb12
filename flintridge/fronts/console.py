"""The operators' console: one HTTP/1.1 call and its answer, by h11, fed bytes.

    GET  /admin/health     200 once this process can serve, drained or not; else 503
    POST /admin/quiesce    end the service, not the process
    POST /admin/resume     serve again

Bodies are JSON objects that tell the state. Those of calls are read past, but for the routes that take one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
import orjson

MAX_HEAD = 8 * 1024
MAX_BODY = 64 * 1024  # of a call

# What answers a call: an HTTP status and the body's fields.
Said = tuple[int, dict[str, Any]]


@dataclass(slots=True, frozen=True)
class Taking:
    """A route that is given the call's query and body, which may be empty."""

    call: Callable[[bytes, bytes], Said]


Routes = dict[bytes, dict[bytes, Callable[[], Said] | Taking]]


class AdminExchange:
    """One call. `feed` gives the answer's parts once the call is whole, or cannot become a good one."""

    def __init__(self, routes: Routes) -> None:
        """`routes`: by path and method, what carries the call out."""
        self._routes = routes
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self._call: h11.Request | None = None
        self._size = 0
        self._body = bytearray()  # of a route that takes it
        self._takes = False
        self.answered = False

    def feed(self, data: bytes) -> list[bytes] | None:
        """`data`: what came, not empty. None while more is to come, and after the answer."""
        if self.answered:
            return None
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Request):
                    self._call = event
                    path = event.target.partition(b"?")[0]
                    self._takes = isinstance(self._routes.get(path, {}).get(event.method), Taking)
                elif isinstance(event, h11.Data):
                    self._size += len(event.data)
                    if self._size > MAX_BODY:
                        return self._answer(413, {"error": f"a body over {MAX_BODY} bytes"})
                    if self._takes:
                        self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return self._carry_out()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            return self._answer(status if 400 <= status < 600 else 400, {"error": str(error)})

    def late(self) -> list[bytes]:
        """The call did not become whole in time."""
        return self._answer(408, {"error": "the call was not whole in time"})

    def _carry_out(self) -> list[bytes]:
        assert self._call is not None
        path, _, query = self._call.target.partition(b"?")
        methods = self._routes.get(path)
        if methods is None:
            return self._answer(404, {"error": "no such path", "paths": [p.decode() for p in self._routes]})
        if (call := methods.get(self._call.method)) is None:
            allowed = b", ".join(methods)
            return self._answer(405, {"error": f"only {allowed.decode()}"}, [(b"Allow", allowed)])
        return self._answer(*(call.call(query, bytes(self._body)) if isinstance(call, Taking) else call()))

    def _answer(
        self, status: int, said: dict[str, Any], more: list[tuple[bytes, bytes]] | None = None
    ) -> list[bytes]:
        self.answered = True
        body = orjson.dumps(said) + b"\n"
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
            *(more or ()),
        ]
        # h11 itself would not write after an error of the caller's head; the head is written by a fresh one.
        writer = self._connection
        if writer.our_state is h11.ERROR or writer.their_state is h11.ERROR:
            writer = h11.Connection(h11.SERVER)
        head = h11.Response(status_code=status, headers=headers)
        parts = list(writer.send_with_data_passthrough(head) or ())
        if self._call is None or self._call.method != b"HEAD":
            parts.append(body)
        return parts
