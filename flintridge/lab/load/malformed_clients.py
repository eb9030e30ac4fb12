"""Clients that send malformed data at full speed, and the records of what nodes respond."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from flintridge.lab.fabric import Fabric, RunClock
from flintridge.lab.load.commands import CommandEncoder
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.load_balancer import LoadBalancer
from flintridge.lab.load.malformed_scripts import (
    MALFORMED_KINDS,
    TIMEOUT_MS,
    MalformedScript,
    ValidPrefix,
    malformed_script,
)
from flintridge.lab.load.responses import Response, ResponseParser, response_record
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import MalformedClientEnded, RequestAbandoned, RequestSent, ResponseReceived
from flintridge.lab.truth import RequestFacts

CONNECT_TIMEOUT_MS = 1000.0

Outcome = Literal["nothing", "closed", "error", "served", "anew"]
"""`anew`: served, but for a request id that was free again because its first use had been rejected."""


class MalformedClient(asyncio.Protocol):
    """One malformed client on its own connection: sends its script as fast as it can, and reads responses.

    Attributes:
        finished: Done when the client has ended.
    """

    def __init__(
        self, kind: str, node: str, script: MalformedScript, clock: RunClock, log: RecordLog, number: int
    ) -> None:
        """Create a client.

        Args:
            kind: The kind of its script.
            node: The node that it connects to.
            script: The data that it sends.
            clock: The run's clock.
            log: Receives its records.
            number: The number of its connection, from the same count as those of regular clients.
        """
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._kind = kind
        self._node = node
        self._script = script
        self._clock = clock
        self._log = log
        self._number = number
        self._parser = ResponseParser()
        self._prefix = script.valid_prefix  # None once its response has arrived
        self._prefix_was_rejected = False
        self._sent_bytes = 0
        self._may_write = True
        self._started_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to send the script."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._started_ms = self._clock.now()
        self._timer = self._clock.call_later(self._script.limit_ms, self._end, "nothing")
        if self._script.first:
            transport.write(self._script.first)
            self._sent_bytes = len(self._script.first)
        if self._prefix is not None:
            self._log.add(_sent_record(self._started_ms, self._node, self._number, self._prefix))
        self._write_more()

    def pause_writing(self) -> None:
        """Stop sending until the transport accepts more."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Continue to send."""
        self._may_write = True
        self._write_more()

    def data_received(self, data: bytes) -> None:
        """Read the response to the valid request, if there is one, then that to the malformed data."""
        for response in self._parser.feed(data):
            if self._prefix is not None:
                now_ms = self._clock.now()
                self._log.add(response_record(now_ms, self._node, self._prefix.request_id, response))
                self._prefix = None
                self._prefix_was_rejected = response.kind == "refused"
            else:
                self._end(self._outcome(response))
                return

    def eof_received(self) -> None:
        """Handle the end of the node's data as the end of the connection."""
        self._end("closed")

    def connection_lost(self, error: Exception | None) -> None:
        """End the client."""
        self._end("closed")

    def stop(self) -> None:
        """End the client without a record."""
        if not self.finished.done():
            self.finished.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _outcome(self, response: Response) -> Outcome:
        if response.kind not in ("served", "ready"):
            return "error"
        # A rejected request was not executed and its id is free again, so the second use is a valid request.
        return "anew" if self._prefix_was_rejected else "served"

    def _write_more(self) -> None:
        transport = self._transport
        script = self._script
        assert transport is not None
        while self._may_write and self._sent_bytes < script.total_bytes and not transport.is_closing():
            chunk = script.repeated[: script.total_bytes - self._sent_bytes]
            self._sent_bytes += len(chunk)
            transport.write(chunk)

    def _end(self, outcome: Outcome) -> None:
        if self.finished.done():
            return
        now_ms = self._clock.now()
        if self._prefix is not None:
            self._log.add(_unanswered_record(now_ms, self._node, self._prefix, outcome))
        self._log.add(
            MalformedClientEnded(
                at_ms=now_ms,
                node=self._node,
                kind=self._kind,
                outcome=outcome,
                elapsed_ms=now_ms - self._started_ms,
                limit_ms=self._script.limit_ms,
            )
        )
        self.stop()


def _sent_record(at_ms: float, node: str, connection: int, prefix: ValidPrefix) -> RequestSent:
    facts = prefix.command.facts
    return RequestSent(
        at_ms=at_ms,
        node=node,
        connection=connection,
        request_id=prefix.request_id,
        first_request_id=prefix.request_id,
        attempt_number=0,
        scheduled_ms=at_ms,
        class_name=facts.class_name,
        tenant=facts.tenant,
        key=facts.key,
        write=facts.write,
        time_left_ms=float(TIMEOUT_MS),
        idempotency_key=facts.idempotency_key,
        work_ms=facts.work_ms,
        value_digest=prefix.command.value_digest,
        counted=False,
    )


def _unanswered_record(
    at_ms: float, node: str, prefix: ValidPrefix, outcome: Outcome
) -> ResponseReceived | RequestAbandoned:
    """Return the record of how a valid request without a response ended."""
    if outcome == "closed":
        return ResponseReceived(at_ms=at_ms, node=node, request_id=prefix.request_id, kind="closed")
    return RequestAbandoned(at_ms=at_ms, node=node, request_id=prefix.request_id)


@dataclass(frozen=True, slots=True)
class MalformedClientContext:
    """What all malformed clients share.

    Attributes:
        fabric: Opens their connections.
        load_balancer: Chooses the nodes that they connect to.
        log: Receives their records.
        encoder: Encodes their valid commands.
        rng: Their random generator.
        generate: Generates a regular request that is scheduled at a time of the run (ms).
        put_facts: Registers the ground truth about a valid request by its id.
        machine_count: The number of client machines.
        next_number: Returns the number of the next connection.
    """

    fabric: Fabric
    load_balancer: LoadBalancer
    log: RecordLog
    encoder: CommandEncoder
    rng: random.Random
    generate: Callable[[float], GeneratedRequest]
    put_facts: Callable[[str, RequestFacts], None]
    machine_count: int
    next_number: Callable[[], int]


class MalformedClients:
    """Starts malformed clients at a rate, between `start` and `stop`."""

    def __init__(self, context: MalformedClientContext) -> None:
        self._context = context
        self._per_ms = 0.0
        self._kinds: tuple[str, ...] = MALFORMED_KINDS
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(self, per_s: float, kinds: tuple[str, ...]) -> None:
        """Begin to start malformed clients at random times, in place of those of an earlier call.

        Args:
            per_s: Mean number of clients a second; 0: none.
            kinds: Their kinds; empty: all kinds.

        Raises:
            ValueError: A kind is unknown.
        """
        self.stop()
        unknown = [kind for kind in kinds if kind not in MALFORMED_KINDS]
        if unknown:
            raise ValueError(f"unknown kind of bad client: {unknown[0]!r}")
        if per_s > 0:
            self._per_ms = per_s / 1000
            self._kinds = kinds or MALFORMED_KINDS
            self._set_timer()

    def stop(self) -> None:
        """Start no further clients."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def wait_until_finished(self) -> None:
        """Wait until all started clients have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Start no further clients, and end all that are running."""
        self.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _set_timer(self) -> None:
        delay_ms = self._context.rng.expovariate(self._per_ms)
        self._timer = self._context.fabric.clock.call_later(delay_ms, self._start_one)

    def _start_one(self) -> None:
        task = asyncio.ensure_future(self._run_one(self._context.rng.choice(self._kinds)))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        self._set_timer()

    async def _run_one(self, kind: str) -> None:
        context = self._context
        rng = context.rng
        clock = context.fabric.clock
        request = context.generate(clock.now())
        script = malformed_script(kind, request, context.encoder, rng)
        node = context.load_balancer.choose(request.zone, rng.random())
        machine = f"c{rng.randrange(context.machine_count)}"
        if node is None:
            return
        if script.valid_prefix is not None:
            context.put_facts(script.valid_prefix.request_id, script.valid_prefix.command.facts)
        client = MalformedClient(kind, node, script, clock, context.log, context.next_number())
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await context.fabric.connect(machine, node, lambda: client)
            await client.finished
        except OSError:
            pass  # the node is down: nothing was sent, so no response is expected
        finally:
            client.stop()
