"""Datagrams: lost, duplicated, reordered, dropped and refused."""

import asyncio

from flintridge.lab.virtual import FixedLink, Network, run


class Receiver(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list = []
        self.errors: list = []
        self.lost = False

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.received.append((data, address))

    def error_received(self, error):
        self.errors.append(type(error))

    def connection_lost(self, error):
        self.lost = True


class ScriptedLink(FixedLink):
    """A link that delays (ms), loses and duplicates its first datagrams as listed."""

    def __init__(self, delays: list[float], lost: list[bool], duplicated: list[bool]) -> None:
        super().__init__()
        self.delays = delays
        self.lost_next = lost
        self.duplicated_next = duplicated

    def delay(self, now, size):
        return self.delays.pop(0) if self.delays else 0.1

    def lost(self):
        return bool(self.lost_next) and self.lost_next.pop(0)

    def duplicated(self):
        return bool(self.duplicated_next) and self.duplicated_next.pop(0)


def test_datagrams_when_sent_then_have_the_outcomes_that_the_link_determines():
    link = ScriptedLink(
        delays=[3.0, 1.0, 2.0, 2.0], lost=[False, False, True, False], duplicated=[False, False, True]
    )
    outcomes = []

    async def main():
        loop = asyncio.get_running_loop()
        loop.network.on_datagram = lambda source, target, data, outcome: outcomes.append((data, outcome))
        a = loop.network.host("a")
        b = loop.network.host("b")
        b.ip = "10.0.0.2"
        _, server = await b.run(loop.create_datagram_endpoint(Receiver, local_addr=("0.0.0.0", 53)))
        _, client = await a.run(loop.create_datagram_endpoint(Receiver, remote_addr=("10.0.0.2", 53)))
        for text in (b"slow", b"fast", b"lost", b"twice"):
            client.transport.sendto(text)
        await asyncio.sleep(1)
        assert [data for data, _ in server.received] == [b"fast", b"twice", b"twice", b"slow"]
        assert outcomes == [
            (b"slow", "passed"),
            (b"fast", "passed"),
            (b"lost", "lost"),
            (b"twice", "passed"),
            (b"twice", "doubled"),
        ]
        server.transport.sendto(b"back", server.received[0][1])
        client.transport.sendto(b"x" * 70_000)
        await asyncio.sleep(1)
        assert client.received == [(b"back", ("10.0.0.2", 53))]
        assert client.errors == [OSError]
        b.pause()
        for _ in range(10):
            client.transport.sendto(b"x" * 60_000)
        await asyncio.sleep(1)
        b.resume()
        await asyncio.sleep(1)
        assert len(server.received) == 4 + 3  # the buffer of the paused host holds 3 of the 10 datagrams
        server.transport.close()
        client.transport.sendto(b"nobody")
        await asyncio.sleep(1)
        assert server.lost
        assert client.errors == [OSError, ConnectionRefusedError]

    run(main(), Network(lambda source, target: link))
