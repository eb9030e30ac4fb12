"""The watch on discovery, on loopback and in virtual time."""

import asyncio

import orjson
from support.network import SETTINGS, HandClock, Peer, quiet, until

from flintridge.api import UpdateKind
from flintridge.config.address import Address
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.discovery.watcher import DiscoveryWatcher


def response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def test_the_watch_goes_on_from_each_answer_and_a_failure_is_told(play):
    async def test():
        clock, told = HandClock(), []
        answers = [
            response(200, orjson.dumps({"revision": 43, "complete": False, "members": []})),
            response(200, b'{"revision":44}'),
            response(503, b""),
            response(200, orjson.dumps({"revision": 50, "complete": True, "members": []})),
            b"",
        ]
        async with Peer(lambda _: answers.pop(0)) as peer:
            transports = EndpointList((), (), SETTINGS, clock)
            transports.apply({"revision": 41, "complete": True, "members": []})
            watch = DiscoveryWatcher(
                Address("127.0.0.1", peer.port), transports, clock, told.append, *quiet()
            )
            watch.watch(True)
            watch.watch(True)  # never two at once
            await until(lambda: len(told) == 1)
            assert (told[0].kind, told[0].version) == (UpdateKind.DELTA, 43) and len(peer.got) == 1
            await until(lambda: clock.due[0][2] is not None)
            clock.go(150)  # well before the 200 ms that end a watch
            await until(lambda: len(told) == 2)
            assert b"after=43&wait_ms=" in peer.got[1] and told[1].kind is UpdateKind.FAILED
            clock.go(60_000)
            await asyncio.sleep(0.01)
            assert len(peer.got) == 2  # when to ask again is the module's decision
            watch.watch(True)
            await until(lambda: len(told) == 3)
            assert told[2].kind is UpdateKind.FAILED
            watch.fetch()
            await until(lambda: len(told) == 4)
            assert b"GET /api/targets HTTP" in peer.got[3] and told[3].kind is UpdateKind.FULL
            watch.watch(True)  # silence ends a call too
            await until(lambda: len(peer.got) == 5)
            clock.go(60_000)
            await until(lambda: len(told) == 5)
            assert told[4].kind is UpdateKind.FAILED
            await watch.close()

    play(test)


def test_a_moved_watch_ends_the_old_call_and_begins_with_the_whole_list(play):
    async def test():
        clock, told = HandClock(), []
        whole = response(200, orjson.dumps({"revision": 3, "complete": True, "members": []}))
        answers = [response(503, b""), whole, b""]
        async with Peer(lambda _: b"") as old, Peer(lambda _: answers.pop(0)) as new:
            transports = EndpointList((), (), SETTINGS, clock)
            transports.apply({"revision": 41, "complete": True, "members": []})
            watch = DiscoveryWatcher(Address("127.0.0.1", old.port), transports, clock, told.append, *quiet())
            watch.watch(True)
            await until(lambda: old.got)
            watch.move(Address("127.0.0.1", new.port))
            watch.watch(True)  # never two at once
            await until(lambda: told)  # without any time passing
            assert [t.kind for t in told] == [UpdateKind.FAILED]
            await until(lambda: old.writers[0].transport.is_closing())
            watch.watch(True)  # as the module asks; still there was no whole list
            await until(lambda: len(told) == 2)
            assert (told[1].kind, told[1].version) == (UpdateKind.FULL, 3)
            await until(lambda: clock.due[0][2] is not None)
            clock.go(150)
            await until(lambda: len(new.got) == 3)
            targets = [call.split()[1] for call in new.got]
            assert targets[:2] == [b"/api/targets"] * 2 and targets[2].startswith(b"/api/targets?after=3&")
            assert len(old.got) == 1 and new.connections == 2
            await watch.close()

    play(test)
