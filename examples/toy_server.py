"""A discovery service, two cache servers and an origin in one process on loopback, to try a node by hand.

Run it from the repository's root: python -m examples.toy_server
"""

import asyncio
from dataclasses import dataclass
from functools import partial

import h11
import orjson

from flintridge.api import RequestClass, Settings, Tenant
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import NoOp, ValueAnnounced
from flintridge.core.request import Request

HOST = "127.0.0.1"
DISCOVERY_PORT = 8500
ORIGIN_PORT = 8600
CACHE_PORTS = (8701, 8702)
READ_BYTES = 65536
POLL_S = 3  # how long discovery holds a long poll for changes, which never occur here
SETTINGS = Settings(classes=(RequestClass("read"), RequestClass("put")), tenants=(Tenant("acme"),))


@dataclass(frozen=True)
class HttpResponse:
    """A response of the origin or of the discovery service."""

    status: int
    body: bytes


class ToyFleet:
    """The values of the origin, and the copies of them that the cache servers store."""

    def __init__(self) -> None:
        self.values = {"menu": b"rice and beans"}
        self.copies: dict[int, dict[str, bytes]] = {port: {} for port in CACHE_PORTS}
        # The ports of the cache servers that had a miss, by request id. They store the origin's response.
        self.missed: dict[str, list[int]] = {}
        self.write_count = 0

    def endpoint_list(self) -> bytes:
        """The encoded endpoint list, with all servers."""
        flavors = {ORIGIN_PORT: "origin"} | dict.fromkeys(CACHE_PORTS, "box")
        entries = [
            {"id": f"s-{port}", "host_port": f"{HOST}:{port}", "locality": "here", "flavor": flavor}
            | {"cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
            for port, flavor in flavors.items()
        ]
        return orjson.dumps({"revision": 1, "complete": True, "members": entries})

    async def serve_cache(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the memcache commands of one connection to the cache server at `port`."""
        parser = CommandParser(SETTINGS)
        while data := await reader.read(READ_BYTES):
            parser.feed(data)
            while (command := parser.next_command()) is not None:
                if isinstance(command, Request):
                    writer.write(self.look_up(port, command))
                elif isinstance(command, ValueAnnounced):
                    parser.admit_value(True)
                else:
                    writer.write(b"MN\r\n" if isinstance(command, NoOp) else b"CLIENT_ERROR bad\r\n")
        writer.close()

    def look_up(self, port: int, command: Request) -> bytes:
        """The response of the cache server at `port` to a read or write."""
        key = command.key.decode()
        value = self.copies[port].get(key)
        outcome = "hit" if value is not None else "miss"
        print(f"cache {port}: {key} {outcome}", flush=True)
        if value is not None and not command.write:
            return b"VA %d O%b\r\n%b\r\n" % (len(value), command.id, value)
        self.missed.setdefault(command.id.decode(), []).append(port)
        return b"EN O%b\r\n" % command.id

    async def serve_http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the HTTP requests of one connection to the origin or the discovery service."""
        connection = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
                body = b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                response = await self.respond(request, body)
                writer.write(_encode(connection, response))
                if connection.our_state is not h11.DONE:
                    break
                connection.start_next_cycle()
            else:
                break
        writer.close()

    async def respond(self, request: h11.Request, body: bytes) -> HttpResponse:
        """The response of the discovery service or the origin, depending on the path."""
        path = request.target.decode()
        if path.startswith("/api/targets"):
            if "after=1&" in path:
                await asyncio.sleep(POLL_S)  # the list never changes
                return HttpResponse(200, b'{"revision":1,"complete":false,"members":[]}')
            return HttpResponse(200, self.endpoint_list())
        return self._origin_response(request, path[1:], body)

    def _origin_response(self, request: h11.Request, key: str, body: bytes) -> HttpResponse:
        print(f"origin: {request.method.decode()} {key}", flush=True)
        if request.method == b"PUT":
            self.values[key] = body
            self.write_count += 1
            for copies in self.copies.values():
                copies.pop(key, None)
            return HttpResponse(200, b"r%d" % self.write_count)
        if key not in self.values:
            return HttpResponse(500, b"")
        request_id = dict(request.headers).get(b"req-id", b"").decode()
        for port in self.missed.pop(request_id, ()):
            self.copies[port][key] = self.values[key]
        return HttpResponse(200, self.values[key])


def _encode(connection: h11.Connection, response: HttpResponse) -> bytes:
    headers = [("Content-Length", str(len(response.body)))]
    events: list[h11.Event] = [
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    ]
    return b"".join(connection.send(event) or b"" for event in events)


async def main() -> None:
    """Serve until the process is terminated."""
    fleet = ToyFleet()
    for port in CACHE_PORTS:
        await asyncio.start_server(partial(fleet.serve_cache, port), HOST, port)
    for port in (DISCOVERY_PORT, ORIGIN_PORT):
        await asyncio.start_server(fleet.serve_http, HOST, port)
    print(f"discovery {DISCOVERY_PORT}, origin {ORIGIN_PORT}, caches {CACHE_PORTS}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
