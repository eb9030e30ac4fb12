"""Discovery, two cache servers and an origin in one process on loopback, to try a node by hand.

Run it from the repository's root: python -m examples.toy_server
"""

import asyncio

import h11
import orjson

from flintridge.api import RequestClass, Settings, Tenant
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import NoOp
from flintridge.core.request import Request

HOST = "127.0.0.1"
DISCOVERY, ORIGIN, BOXES = 8500, 8600, (8701, 8702)
SETTINGS = Settings(classes=(RequestClass("read"), RequestClass("put")), tenants=(Tenant("acme"),))


class Toy:
    """The origin's values, and the copies that the boxes hold of them."""

    def __init__(self) -> None:
        self.values = {"menu": b"rice and beans"}
        self.copies: dict[int, dict[str, bytes]] = {port: {} for port in BOXES}
        self.missed: dict[str, list[int]] = {}  # by request id: the boxes that store what the origin answers
        self.receipts = 0

    def members(self) -> bytes:
        flavors = {ORIGIN: "origin"} | dict.fromkeys(BOXES, "box")
        entries = [
            {"id": f"s-{port}", "host_port": f"{HOST}:{port}", "locality": "here", "flavor": flavor}
            | {"cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
            for port, flavor in flavors.items()
        ]
        return orjson.dumps({"revision": 1, "complete": True, "members": entries})

    async def box(self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = CommandParser(SETTINGS)
        while data := await reader.read(65536):
            for command in parser.feed(data):
                if isinstance(command, Request):
                    writer.write(self.look_up(port, command))
                else:
                    writer.write(b"MN\r\n" if isinstance(command, NoOp) else b"CLIENT_ERROR bad\r\n")
        writer.close()

    def look_up(self, port: int, command: Request) -> bytes:
        value = self.copies[port].get(command.key.decode())
        print(f"box {port}: {command.key.decode()} {'hit' if value is not None else 'miss'}", flush=True)
        if value is not None and not command.write:
            return b"VA %d O%b\r\n%b\r\n" % (len(value), command.id, value)
        self.missed.setdefault(command.id.decode(), []).append(port)
        return b"EN O%b\r\n" % command.id

    async def http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                status, answer = await self.answer(request, body)
                head = h11.Response(status_code=status, headers=[("Content-Length", str(len(answer)))])
                for part in (head, h11.Data(data=answer), h11.EndOfMessage()):
                    writer.write(connection.send(part) or b"")
                if connection.our_state is not h11.DONE:
                    break
                connection.start_next_cycle()
            else:
                break
        writer.close()

    async def answer(self, request: h11.Request, body: bytes) -> tuple[int, bytes]:
        path = request.target.decode()
        if path.startswith("/api/targets"):
            if "after=1&" in path:
                await asyncio.sleep(3)  # nothing ever changes here
                return 200, b'{"revision":1,"complete":false,"members":[]}'
            return 200, self.members()
        key = path[1:]
        print(f"origin: {request.method.decode()} {key}", flush=True)
        if request.method == b"PUT":
            self.values[key] = body
            self.receipts += 1
            for copies in self.copies.values():
                copies.pop(key, None)
            return 200, b"r%d" % self.receipts
        if key not in self.values:
            return 500, b""
        for port in self.missed.pop(dict(request.headers).get(b"req-id", b"").decode(), ()):
            self.copies[port][key] = self.values[key]
        return 200, self.values[key]


async def main() -> None:
    toy = Toy()
    for port in BOXES:
        await asyncio.start_server(lambda r, w, port=port: toy.box(port, r, w), HOST, port)
    for port in (DISCOVERY, ORIGIN):
        await asyncio.start_server(toy.http, HOST, port)
    print(f"discovery {DISCOVERY}, origin {ORIGIN}, boxes {BOXES}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
