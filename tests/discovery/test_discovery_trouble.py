"""Discovery that is down for minutes, slow, overloaded or resets: changes are known in time once it is back.

A change counts as notified 6 s after discovery had it and was reachable, or 4 s after SIGHUP. The tests run
whole nodes in virtual time against a scripted discovery.
"""

import asyncio
from dataclasses import replace

import pytest
from support.network import NS_PER_MS, log_and_counters
from support.node import endpoint_list, json_response

from flintridge import api
from flintridge.api import DiscoveryMode, EndpointState
from flintridge.config.address import Address
from flintridge.config.node_config import NodeConfig
from flintridge.lab import virtual
from flintridge.node import Node
from flintridge.runtime.clock import SystemClock

NOTIFIED_S = 6.0
NOTIFIED_AFTER_SIGHUP_S = 4.0
GRACE_MS = 500.0  # how long attempts may still begin at a draining server
OUTAGE_S = 300.0


class Discovery:
    """A scripted discovery: it reports changes at once, and fails in the way that `trouble` states."""

    def __init__(self) -> None:
        self.trouble: str | None = None
        self.list = endpoint_list(1, s1="in_service")
        self.changed = asyncio.Event()
        self.calls = 0
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.byte_pause_s = 0.0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Refuse new calls, and end those that wait."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def change(self, revision: int, **phases: str) -> None:
        self.list = endpoint_list(revision, **phases)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                if not await self.answer(request, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(task)

    async def answer(self, request: bytes, writer: asyncio.StreamWriter) -> bool:
        if self.trouble == "crowded":
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.trouble == "resets":
            writer.transport.abort()
            return False
        if self.trouble == "silent":
            await asyncio.Event().wait()
        if b"after=%d&" % self.list["revision"] in request:
            wait_s = int(request.split(b"wait_ms=")[1].split(b" ")[0]) / 1000
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                if self.trouble == "silent":
                    await asyncio.Event().wait()
                unchanged = {"revision": self.list["revision"], "complete": False, "members": []}
                writer.write(json_response(unchanged))
                return True
        response = json_response(self.list)
        if not self.byte_pause_s:
            writer.write(response)
            return True
        for byte in response:
            writer.write(bytes([byte]))
            await asyncio.sleep(self.byte_pause_s)
        return True


class WatchingNode:
    """One node in virtual time with its discovery; measures when the node learns of a drain."""

    def __init__(self, discovery: Discovery, mode: DiscoveryMode, seed: int = 1) -> None:
        settings = api.Settings(rules=api.Rules(drain_grace_ns=int(GRACE_MS * NS_PER_MS)), discovery=mode)
        listen, discovery_address = Address("127.0.0.1", 0), Address("127.0.0.1", discovery.port)
        self.config = NodeConfig(
            "n1", listen, discovery_address, seed, settings, known=endpoint_list(1, s1="in_service")
        )
        self.loop = asyncio.get_running_loop()
        self.node = Node(self.config, SystemClock(self.loop), *log_and_counters())

    def state(self, server: str = "s1") -> EndpointState | None:
        known = self.node.core.policy_driver.policy.servers.get(server)
        return known and known.endpoint.state

    async def seconds_until_draining(self, limit_s: float = 30.0) -> float:
        started_at = self.loop.time()
        while self.state() is not EndpointState.DRAINING:
            assert self.loop.time() < started_at + limit_s, "the node did not learn of the drain"
            await asyncio.sleep(0.01)
        return self.loop.time() - started_at


each_mode = pytest.mark.parametrize("mode", [DiscoveryMode.POLLED, DiscoveryMode.PUSHED])


@each_mode
@pytest.mark.parametrize("trouble", ["down", "crowded", "resets", "silent"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_change_when_discovery_was_in_trouble_for_minutes_then_is_known_in_time_after_its_recovery(
    mode, trouble, seed
):
    async def test():
        discovery = Discovery()
        await discovery.open()
        watching = WatchingNode(discovery, mode, seed)
        await watching.node.start()
        await asyncio.sleep(10)
        if trouble == "down":
            discovery.close()
        discovery.trouble = trouble
        for task in list(discovery.tasks):
            if trouble != "silent":
                task.cancel()  # watch calls end when discovery goes down
        discovery.list = endpoint_list(2, s1="terminating")
        await asyncio.sleep(OUTAGE_S)
        calls = discovery.calls
        discovery.trouble = None
        if trouble == "down":
            await discovery.open()
        assert await watching.seconds_until_draining() <= NOTIFIED_S
        assert calls <= OUTAGE_S * 5  # an overloaded discovery is not polled without pauses
        await watching.node.close()
        discovery.close()

    virtual.run(test())


@each_mode
@pytest.mark.parametrize("taken_s", [0.5, 1.5, 2.5])
def test_change_when_discovery_answers_byte_by_byte_then_is_known(mode, taken_s):
    """A response takes up to a call's limit: calls must not time out half way and start again forever."""

    async def test():
        discovery = Discovery()
        await discovery.open()
        discovery.byte_pause_s = taken_s / len(json_response(endpoint_list(2, s1="terminating")))
        watching = WatchingNode(discovery, mode)
        await watching.node.start()
        await asyncio.sleep(OUTAGE_S / 10)
        discovery.change(2, s1="terminating")
        assert await watching.seconds_until_draining() <= NOTIFIED_S
        await watching.node.close()
        discovery.close()

    virtual.run(test())


@each_mode
def test_change_when_nothing_had_happened_for_an_hour_then_is_known_at_once(mode):
    async def test():
        discovery = Discovery()
        await discovery.open()
        watching = WatchingNode(discovery, mode)
        await watching.node.start()
        await asyncio.sleep(3_600)
        discovery.change(2, s1="terminating")
        assert await watching.seconds_until_draining() <= 0.5
        await watching.node.close()
        discovery.close()

    virtual.run(test())


@each_mode
@pytest.mark.parametrize("trouble", [None, "crowded", "silent", "resets"])
def test_reload_when_discovery_moves_there_and_back_at_once_then_the_last_address_is_used(mode, trouble):
    """Several reloads in one turn of the event loop and within 100 ms, while watch calls are pending.

    The discovery at the other address may be in trouble.
    """

    async def test():
        first, second = Discovery(), Discovery()
        await first.open()
        await second.open()
        watching = WatchingNode(first, mode)
        await watching.node.start()
        await asyncio.sleep(10)
        second.trouble = trouble
        second.list = endpoint_list(90, s1="in_service")
        first.list = endpoint_list(2, s1="terminating")  # changed while the watch was at the other address
        ports = [second.port, first.port, second.port, first.port]
        for number, port in enumerate(ports * 3):
            watching.node.reload(_moved(watching.config, port))
            if number >= len(ports):
                await asyncio.sleep(0.01 * (number % 3))
        assert await watching.seconds_until_draining() <= NOTIFIED_AFTER_SIGHUP_S
        calls = first.calls, second.calls
        await asyncio.sleep(20)
        assert second.calls == calls[1]  # no call to the other discovery is left
        assert watching.state() is EndpointState.DRAINING
        assert first.calls - calls[0] <= 25  # one watch, not several
        await watching.node.close()
        first.close()
        second.close()

    virtual.run(test())


def _moved(config: NodeConfig, port: int) -> NodeConfig:
    return replace(config, discovery=Address("127.0.0.1", port))


@each_mode
@pytest.mark.parametrize("trouble", ["crowded", "resets", "silent"])
@pytest.mark.parametrize("back_s", [0.0, 0.05, 0.6, 2.9])
def test_reload_when_the_new_discovery_is_in_trouble_at_first_then_its_change_is_known_in_time(
    mode, trouble, back_s
):
    async def test():
        first, second = Discovery(), Discovery()
        await first.open()
        await second.open()
        watching = WatchingNode(first, mode)
        await watching.node.start()
        await asyncio.sleep(10)
        second.trouble = trouble
        second.list = endpoint_list(2, s1="terminating")
        watching.node.reload(_moved(watching.config, second.port))
        await asyncio.sleep(back_s)
        second.trouble = None
        # Due 4 s after SIGHUP, or 6 s after discovery is reachable again if it was not reachable then.
        assert await watching.seconds_until_draining() + back_s <= max(
            NOTIFIED_AFTER_SIGHUP_S, back_s + NOTIFIED_S
        )
        await watching.node.close()
        first.close()
        second.close()

    virtual.run(test())
