"""What becomes of a connection for each way in which an attempt or a health check on it can end."""

import itertools
from dataclasses import dataclass

import pytest
from support.downstream_termination import turns
from support.network import ScriptedServer, until
from support.upstream import UpstreamHarness

from flintridge.api import Outcome
from flintridge.upstream.connection_pool import QUARANTINE_MS

ID, OTHER_ID = b"Req-Id: a1\r\n", b"Req-Id: a0\r\n"
DECLINED = b"Srv-Declined: 1\r\n"


def answer(headers: bytes = b"", body: bytes = b"r1", status: bytes = b"200 OK") -> bytes:
    """Return a response of an origin."""
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


@dataclass(frozen=True)
class Ending:
    """How the first of two attempts ends.

    Attributes:
        flavor: The kind of the server.
        response: What the server sends to the first attempt's request; empty if it sends nothing.
        outcome: The outcome of the attempt.
        is_kept: Whether the second attempt may use the connection.
        value: The value that the attempt writes; None for a read.
    """

    flavor: str
    response: bytes
    outcome: Outcome
    is_kept: bool = False
    value: bytes | None = b"x"


LONG_BODY = b"v" * 300_000
ENDINGS = {
    "origin names the request": Ending("origin", answer(ID), Outcome.OK, is_kept=True),
    "origin names no request": Ending("origin", answer(), Outcome.OK, is_kept=True),
    "origin declines": Ending("origin", answer(DECLINED, b"", b"504 Late"), Outcome.FULL, is_kept=True),
    "origin fails": Ending("origin", answer(body=b"", status=b"500 Failed"), Outcome.ERROR, is_kept=True),
    "origin names another request": Ending("origin", answer(OTHER_ID), Outcome.ERROR),
    "origin names another read": Ending("origin", answer(OTHER_ID), Outcome.ERROR, value=None),
    "origin names another read, long": Ending(
        "origin", answer(OTHER_ID, LONG_BODY), Outcome.ERROR, value=None
    ),
    "origin declines another request": Ending(
        "origin", answer(OTHER_ID + DECLINED, b"", b"504 Late"), Outcome.ERROR
    ),
    "no receipt": Ending("origin", answer(body=b"no receipt"), Outcome.ERROR),
    "no receipt, and names the request": Ending("origin", answer(ID, b"no receipt"), Outcome.ERROR),
    "second response behind": Ending("origin", answer(ID) * 2, Outcome.OK),
    "noise behind": Ending("origin", answer(ID) + b"noise", Outcome.ERROR),
    "closes": Ending("origin", answer(ID + b"Connection: close\r\n"), Outcome.OK),
    "origin is silent": Ending("origin", b"", Outcome.TIMEOUT),
    "cache writes": Ending("m2", b"HD Oa1 cr1\r\n", Outcome.OK, is_kept=True),
    "cache misses": Ending("m2", b"EN Oa1\r\n", Outcome.MISS, is_kept=True, value=None),
    "cache is busy": Ending("m2", b"SERVER_ERROR busy\r\n", Outcome.FULL, is_kept=True),
    "cache fails": Ending("m2", b"SERVER_ERROR failed\r\n", Outcome.ERROR, is_kept=True),
    "cache rejects": Ending("m2", b"CLIENT_ERROR no\r\n", Outcome.ERROR, is_kept=True),
    "cache names another write": Ending("m2", b"HD Oa0 cr1\r\n", Outcome.ERROR),
    "cache names another read": Ending("m2", b"VA 1 Oa0\r\nv\r\n", Outcome.ERROR, value=None),
    "cache names another miss": Ending("m2", b"EN Oa0\r\n", Outcome.ERROR, value=None),
    "cache sends no receipt": Ending("m2", b"HD Oa1\r\n", Outcome.ERROR),
    "cache sends a second response behind": Ending("m2", b"HD Oa1 cr1\r\n" * 2, Outcome.OK),
    "cache sends noise behind": Ending("m2", b"HD Oa1 cr1\r\nnoise", Outcome.OK),
    "cache is silent": Ending("m2", b"", Outcome.TIMEOUT),
}
# What a server still sends on the first attempt's connection when the second one's request has come.
LATE_RESPONSES = {"origin": answer(DECLINED, b"", b"503 Full"), "m2": b"SERVER_ERROR busy\r\n"}
SECOND_RESPONSES = {"origin": answer(body=b"r2"), "m2": b"HD Oa2 cr2\r\n"}


@pytest.mark.parametrize("ending", ENDINGS.values(), ids=ENDINGS.keys())
def test_connection_when_an_attempt_ended_carries_another_only_if_nothing_can_still_arrive(play, ending):
    """Guards against the late response to a request that got a malformed one being taken for another's."""

    async def test():
        async with ScriptedServer(lambda _: b"") as server:
            harness = UpstreamHarness(server.port, flavor=ending.flavor)
            await harness.start(value=ending.value)
            await until(lambda: server.received)
            server.writers[0].write(ending.response)
            if not ending.response:
                harness.clock.advance(400)
            await until(lambda: harness.results)
            assert harness.outcomes == [ending.outcome]
            await turns()
            harness.clock.advance(QUARANTINE_MS)

            received = len(server.received)
            await harness.start(request_id="a2", value=b"y")
            await until(lambda: len(server.received) > received)
            assert server.connections == (1 if ending.is_kept else 2)
            if not ending.is_kept:
                server.writers[0].write(LATE_RESPONSES[ending.flavor])
                await turns()
            server.writers[-1].write(SECOND_RESPONSES[ending.flavor])
            await until(lambda: len(harness.results) == 2)
            assert harness.results[1].outcome is Outcome.OK
            assert harness.results[1].response.body == b"r2"
            await harness.dispatcher.close()

    play(test)


@pytest.mark.parametrize("end", ["cancelled", "times out"])
@pytest.mark.parametrize("flavor", ["origin", "m2"])
def test_connection_when_an_attempt_is_given_up_within_its_response_carries_no_other(play, flavor, end):
    async def test():
        async with ScriptedServer(lambda _: b"") as server:
            harness = UpstreamHarness(server.port, flavor=flavor)
            attempt = await harness.start(value=b"x")
            await until(lambda: server.received)
            server.writers[0].write(SECOND_RESPONSES[flavor][:4])
            (connection,) = harness.connections
            await until(lambda: connection.reader.read_bytes == 4)
            if end == "cancelled":
                attempt.abort()
            else:
                harness.clock.advance(400)
            await until(lambda: harness.results)
            harness.clock.advance(QUARANTINE_MS)
            await harness.start(request_id="a2", value=b"y")
            await until(lambda: server.connections == 2)
            await harness.dispatcher.close()

    play(test)


@pytest.mark.parametrize(
    ("response", "outcome", "is_kept"),
    [
        (answer(body=b"cpu=0.5"), Outcome.OK, True),
        (answer(ID), Outcome.ERROR, False),
    ],
    ids=["load report", "late response to a request"],
)
def test_connection_when_a_health_check_ended_carries_another_only_if_it_was_answered(
    play, response, outcome, is_kept
):
    """Guards against the late response to a request being taken for a load report, which then comes late."""

    async def test():
        async with ScriptedServer(lambda _: response) as server:
            harness = UpstreamHarness(server.port, flavor="origin")
            results = []
            harness.dispatcher.check_health("s1", results.append)
            await until(lambda: results)
            assert results[0].outcome is outcome
            harness.clock.advance(QUARANTINE_MS)
            server.answer = lambda _: answer()
            assert (await harness.outcome(value=b"y")) is Outcome.OK
            assert server.connections == (1 if is_kept else 2)
            await harness.dispatcher.close()

    play(test)


def test_connections_when_requests_cross_at_a_sound_origin_are_all_reused(play):
    """An origin that names the request in all, some or none of its responses loses no connection."""

    async def test():
        for names_every in (1, 2, 1_000):
            numbers = itertools.count(1)

            def respond(data: bytes, numbers=numbers, names_every=names_every) -> bytes:
                request_id = data.lower().split(b"req-id: ")[1].split(b"\r\n")[0]
                names_request = next(numbers) % names_every == 0
                return answer(b"Req-Id: %b\r\n" % request_id if names_request else b"")

            async with ScriptedServer(respond) as server:
                harness = UpstreamHarness(server.port, flavor="origin")
                for count in range(0, 200, 4):
                    for sent in range(4):
                        await harness.start(request_id=f"b{count + sent}", value=b"x")
                    await until(lambda harness=harness, ended=count + 4: len(harness.results) == ended)
                    harness.clock.advance(QUARANTINE_MS)
                assert set(harness.outcomes) == {Outcome.OK}
                assert server.connections == 4
                await harness.dispatcher.close()

    play(test)
