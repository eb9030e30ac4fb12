"""Helpers for tests of the virtual network: an echo server on a host, and links with random delays."""

import asyncio
import random
from itertools import pairwise

from flintridge.lab.virtual import FixedLink, Network, run

READ_SIZE = 1 << 16
ECHO_ADDRESS = ("10.0.0.1", 80)


class EchoNetwork:
    """A network with changeable links and an echo server at 10.0.0.1:80 on the host "server"."""

    def __init__(self, **options) -> None:
        self.links: dict[tuple[str, str], FixedLink] = {}
        self.network = Network(self._link, **options)
        self.server = self.network.host("server")
        self.client = self.network.host("client")
        self.effects: list = []

    def _link(self, source, target):
        return self.links.setdefault((source, target), FixedLink(1.0))

    async def serve(self):
        return await asyncio.start_server(self.echo, *ECHO_ADDRESS)

    async def echo(self, reader, writer):
        try:
            while data := await reader.read(READ_SIZE):
                writer.write(data)
        except OSError as error:
            self.effects.append(("server", type(error)))
        finally:
            self.effects.append("finally")
            writer.write(b"last words")
            self.connecting = asyncio.ensure_future(asyncio.open_connection(*ECHO_ADDRESS))

    async def ask(self, streams, text=b"ask"):
        reader, writer = streams
        writer.write(text)
        return await reader.read(READ_SIZE)

    def connect(self):
        """Return a task of the client that connects to the server."""
        return self.client.run(asyncio.open_connection(*ECHO_ADDRESS))

    def set_links(self, state, source, target):
        """Set the state of the links in both directions."""
        for ends in ((source, target), (target, source)):
            self.network.link(*ends).state = state
        self.network.links_changed()

    def play(self, test):
        """Run `test` with a working connection from the client to the server."""

        async def main():
            await self.server.run(self.serve())
            streams = await self.connect()
            assert await self.client.run(self.ask(streams)) == b"ask"
            await test(streams)

        run(main(), self.network)


async def outcome_of(task):
    """Return the task's result, the type of its error, or "pending" after a minute."""
    await asyncio.wait([task], timeout=60)
    if not task.done():
        return "pending"
    return task.result() if task.exception() is None else type(task.exception())


class RandomLink(FixedLink):
    """A link that splits and delays data at random, from a seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)

    def delay(self, now, size):
        return self.random.random() * 5

    def segment_sizes(self, size):
        offsets = sorted({self.random.randrange(size + 1) for _ in range(4)} | {0, size})
        return [end - start for start, end in pairwise(offsets)]
