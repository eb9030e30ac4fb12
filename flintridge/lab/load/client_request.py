"""One request of a client: its consecutive attempts, their timeouts, and how they end."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.attempt_log import Attempt, AttemptLog
from flintridge.lab.load.commands import CommandEncoder, new_id
from flintridge.lab.load.connection import ClientConnection, ConnectionEnd
from flintridge.lab.load.connection_pool import ConnectionPools
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.load_balancer import LoadBalancer
from flintridge.lab.load.responses import Response, kind_for
from flintridge.lab.load.retry_schedule import RetryPolicy, RetrySchedule
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Clients as ClientSettings
from flintridge.lab.truth import RequestFacts

CONNECT_TIMEOUT_MS = 1000.0
MIN_SEND_MS = 1  # no attempt is sent with less time left than this


@dataclass(frozen=True, slots=True)
class ClientContext:
    """What the requests of all clients share.

    Attributes:
        settings: The scenario's settings of clients.
        retry_policy: When clients retry.
        linger_ms: How long a client that has timed out keeps its connection for a late response.
        encoder: Encodes the clients' commands.
        clock: The run's clock.
        log: Receives the clients' records.
        load_balancer: Chooses the node of a request.
        pools: The clients' connections.
        put_facts: Registers the ground truth about an attempt by its id, before it is sent.
        on_finished: Called when a request has ended.
    """

    settings: ClientSettings
    retry_policy: RetryPolicy
    linger_ms: float
    encoder: CommandEncoder
    clock: RunClock
    log: RecordLog
    load_balancer: LoadBalancer
    pools: ConnectionPools
    put_facts: Callable[[str, RequestFacts], None]
    on_finished: Callable[["ClientRequest"], None]


@dataclass(frozen=True, slots=True)
class ClientTraits:
    """How the client of one request behaves.

    Attributes:
        machine: Name of the client machine, such as `c0`.
        follows_retry_after: Whether it waits for the retry-after time of a rejection.
        uses_dedicated_connections: Whether each attempt has a new connection that is never used again.
        leaves_after: Fraction of the first attempt's timeout after which it leaves; 0: it stays.
    """

    machine: str
    follows_retry_after: bool
    uses_dedicated_connections: bool
    leaves_after: float

    @classmethod
    def generate(cls, settings: ClientSettings, rng: random.Random) -> "ClientTraits":
        """Draw the traits of one client."""
        machine = f"c{int(rng.random() * settings.pools)}"
        follows_retry_after = rng.random() < settings.honour
        uses_dedicated_connections = rng.random() < settings.once
        leaves = rng.random() < settings.leave_early
        leaves_after = rng.random()
        return cls(machine, follows_retry_after, uses_dedicated_connections, leaves_after if leaves else 0.0)


class ClientRequest:
    """One request with all its attempts, of which only one is in flight at a time.

    Attributes:
        request_id: The id of the current attempt.
    """

    __slots__ = (
        "_attempt",
        "_attempt_timeout_ms",
        "_connection",
        "_context",
        "_first_request_id",
        "_hint_us",
        "_idempotency_key",
        "_log",
        "_request",
        "_rng",
        "_schedule",
        "_timer",
        "_traits",
        "request_id",
    )

    def __init__(
        self, context: ClientContext, request: GeneratedRequest, rng: random.Random, counted: bool
    ) -> None:
        """Create a request that is not started yet.

        Args:
            context: What the requests of all clients share.
            request: The contents of the request.
            rng: The request's own random generator.
            counted: Whether metrics count the request; False during the warm-up.
        """
        settings = context.settings
        encoder = context.encoder
        request_class = encoder.classes[request.class_name]
        deadline_ms = request.scheduled_ms + request_class.deadline_ms
        self._context = context
        self._request = request
        self._rng = rng
        self._traits = ClientTraits.generate(settings, rng)
        self._hint_us = encoder.work_hint_us(request, rng)
        self._idempotency_key = new_id(rng) if encoder.is_keyed(request) else ""
        self._schedule = RetrySchedule(
            context.retry_policy, request_class, deadline_ms, self._traits.follows_retry_after
        )
        self._attempt_timeout_ms = settings.try_share * request_class.deadline_ms
        self._log = AttemptLog(context.log, context.clock, request, self._idempotency_key, counted)
        self._first_request_id = ""
        self._attempt = Attempt("", "", -1)
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.request_id = ""

    def start_attempt(self) -> None:
        """Start the next attempt."""
        self._timer = None
        self._schedule.start_attempt()
        self.request_id = new_id(self._rng)
        self._first_request_id = self._first_request_id or self.request_id
        self._attempt = Attempt(self.request_id, self._first_request_id, self._schedule.attempt_number)
        self._route(on_new_connection=self._traits.uses_dedicated_connections)

    def stop(self) -> None:
        """End the request without a record, at the end of the run."""
        self._stop_waiting()

    # ResponseHandler

    def on_connected(self, connection: ClientConnection) -> None:
        """Write the attempt's command, unless it is too late for it."""
        context = self._context
        attempt = self._attempt
        now_ms = context.clock.now()
        attempt.timeout_ms = int(min(self._attempt_timeout_ms, self._schedule.deadline_ms - now_ms))
        if attempt.timeout_ms < MIN_SEND_MS or not self._schedule.is_in_window(now_ms):
            connection.return_to_pool()
            self._not_accepted("too late to be sent")
            return
        command = context.encoder.encode(
            self._request,
            self.request_id,
            attempt.timeout_ms,
            attempt.number,
            self._hint_us,
            self._idempotency_key,
        )
        context.put_facts(self.request_id, command.facts)
        self._connection = connection
        attempt.value_digest = command.value_digest
        attempt.write_started_ms = now_ms
        self._set_timer(now_ms)
        connection.write(self, command.data)

    def on_connect_failed(self, reason: str) -> None:
        """Record that no node accepted the attempt, and retry."""
        self._not_accepted(reason)

    def on_written(self) -> None:
        """Record that the last byte has been sent, and start to wait for the response."""
        connection = self._connection
        assert connection is not None
        attempt = self._attempt
        now_ms = self._context.clock.now()
        if self._timer is not None and attempt.write_started_ms < now_ms:
            self._set_timer(now_ms)
        attempt.is_written = True
        self._schedule.attempt_sent(now_ms)
        self._log.sent(attempt, connection)

    def on_response(self, response: Response) -> bool:
        """Finish or retry; return False if the response can't be one to this attempt."""
        kind = kind_for(response, self.request_id, self._request.write)
        self._stop_waiting()
        self._log.responded(self._attempt, response, kind)
        if kind == "served":
            self._finish()
        else:
            self._retry(is_harmless=kind == "refused", retry_after_ms=response.retry_after_ms)
        return kind != "garbled"

    def on_connection_closed(self, end: ConnectionEnd) -> None:
        """Send the attempt again if the close may have crossed it, else retry."""
        attempt = self._attempt
        self._stop_waiting()
        if not attempt.is_written:
            self._not_accepted(f"{end.kind} before all was sent")
            return
        self._log.connection_closed(attempt, end)
        if end.may_have_crossed and not attempt.is_resent:
            attempt.is_resent = True
            self._route(on_new_connection=True)
        else:
            self._retry(is_harmless=False)

    def on_connection_dropped(self) -> None:
        """Record the end of the attempt, and retry."""
        self._stop_waiting()
        if self._attempt.is_written:
            self._log.abandoned(self._attempt, left_early=True)
            self._retry(is_harmless=False)
        else:
            self._not_accepted("closed before all was sent")

    # The attempt

    def _route(self, on_new_connection: bool) -> None:
        """Choose a node by the load balancer, and send the attempt on a connection to it."""
        attempt = self._attempt
        attempt.is_written = False
        balancer = self._context.load_balancer
        zone = self._request.zone
        fraction = self._rng.random()
        remaining_ms = self._schedule.deadline_ms - self._context.clock.now()
        choose = balancer.choose if on_new_connection else balancer.choose_open
        node = choose(zone, fraction)
        connection = None
        if node is not None and not on_new_connection and remaining_ms >= MIN_SEND_MS:
            connection = self._take(node)
            if connection is None and balancer.is_terminating(node):
                node = balancer.choose(zone, fraction)  # a terminating node gets no new connections
                connection = None if node is None else self._take(node)
        attempt.node = node or ""
        if node is None:
            self._not_accepted("no node in use")
        elif remaining_ms < MIN_SEND_MS:
            self._not_accepted("no time left")
        elif connection is None:
            pool = self._context.pools.of(self._traits.machine, node)
            pool.open(self, min(CONNECT_TIMEOUT_MS, remaining_ms), self._traits.uses_dedicated_connections)
        else:
            self.on_connected(connection)

    def _take(self, node: str) -> ClientConnection | None:
        return self._context.pools.of(self._traits.machine, node).take()

    def _set_timer(self, sent_ms: float) -> None:
        """Set the timer that ends the wait for the response."""
        if self._timer is not None:
            self._timer.cancel()
        attempt = self._attempt
        clock = self._context.clock
        leaves_after = self._traits.leaves_after
        if leaves_after and not attempt.number:
            self._timer = clock.call_at(sent_ms + leaves_after * attempt.timeout_ms, self._leave)
        else:
            end_ms = min(sent_ms + attempt.timeout_ms, self._schedule.deadline_ms)
            self._timer = clock.call_at(end_ms, self._time_out)

    def _time_out(self) -> None:
        attempt = self._attempt
        connection = self._connection
        if attempt.is_written and connection is not None:
            linger_ms = self._context.linger_ms
            self._log.abandoned(attempt, left_early=False, lingers_ms=linger_ms)
            self._stop_waiting()
            connection.await_late_response(self, LateResponse(self._log, attempt), linger_ms)
        else:
            self._log.not_accepted(attempt, "not sent in time")
            self._close()
        self._retry(is_harmless=not attempt.is_written)

    def _leave(self) -> None:
        """End the request because the client leaves early."""
        if self._attempt.is_written:
            self._log.abandoned(self._attempt, left_early=True)
        else:
            self._log.not_accepted(self._attempt, "left before all was sent")
        self._close()
        self._finish()

    def _close(self) -> None:
        connection = self._connection
        self._stop_waiting()
        if connection is not None:
            connection.abandon(self)

    def _stop_waiting(self) -> None:
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Retries and the end

    def _not_accepted(self, reason: str) -> None:
        self._log.not_accepted(self._attempt, reason)
        self._retry(is_harmless=True)

    def _retry(self, is_harmless: bool, retry_after_ms: float = 0.0) -> None:
        """Retry, or finish; `is_harmless` says that the ended attempt was surely not executed."""
        clock = self._context.clock
        at_ms = self._schedule.next_attempt_ms(clock.now(), is_harmless, retry_after_ms, self._rng)
        if at_ms is None:
            self._finish()
        else:
            self._timer = clock.call_at(at_ms, self.start_attempt)

    def _finish(self) -> None:
        self._context.on_finished(self)


class LateResponse:
    """The handler of an attempt that timed out: it only records a response that arrives soon after."""

    __slots__ = ("_attempt", "_log", "request_id")

    def __init__(self, log: AttemptLog, attempt: Attempt) -> None:
        self._log = log
        self._attempt = attempt
        self.request_id = attempt.request_id

    def on_connected(self, connection: ClientConnection) -> None:
        """Raise an error: the attempt already had its connection."""
        raise RuntimeError("an attempt that has timed out can't be sent")

    def on_connect_failed(self, reason: str) -> None:
        """Raise an error: the attempt already had its connection."""
        raise RuntimeError("an attempt that has timed out needs no connection")

    def on_written(self) -> None:
        """Do nothing: the attempt was written before it timed out."""

    def on_response(self, response: Response) -> bool:
        """Record the response; the client then closes the connection."""
        kind = kind_for(response, self.request_id, self._log.request.write)
        self._log.responded(self._attempt, response, kind)
        return False

    def on_connection_closed(self, end: ConnectionEnd) -> None:
        """Record the end of the connection."""
        self._log.connection_closed(self._attempt, end._replace(is_partial=False))

    def on_connection_dropped(self) -> None:
        """Do nothing: the client no longer waits."""
