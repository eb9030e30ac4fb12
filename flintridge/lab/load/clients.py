"""The clients of a run, which start requests and keep track of the open ones."""

import asyncio
import random
from collections import deque
from typing import NamedTuple

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.client_request import ClientContext, ClientRequest
from flintridge.lab.load.commands import CommandEncoder
from flintridge.lab.load.connection_pool import ConnectionPools
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.load_balancer import LoadBalancer
from flintridge.lab.load.retry_schedule import RetryPolicy
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth, RequestFacts

EXTRA_LINGER_MS = 5.0  # beyond the tolerance of the rules on responses, so that its end is surely seen
FACTS_RETENTION_MS = 60_000.0


class _Expiry(NamedTuple):
    put_ms: float
    request_id: str


class RecentFacts:
    """Ground truth about attempts, which is dropped after a minute to bound the memory of a long run."""

    def __init__(self, ground_truth: GroundTruth, clock: RunClock) -> None:
        self._ground_truth = ground_truth
        self._clock = clock
        self._expiries: deque[_Expiry] = deque()

    def put(self, request_id: str, facts: RequestFacts) -> None:
        """Set the ground truth about an attempt, before it is sent."""
        now_ms = self._clock.now()
        while self._expiries and self._expiries[0].put_ms < now_ms - FACTS_RETENTION_MS:
            self._ground_truth.forget(self._expiries.popleft().request_id)
        self._ground_truth.put(request_id, facts)
        self._expiries.append(_Expiry(now_ms, request_id))


class Clients:
    """Starts the requests of all clients.

    Attributes:
        encoder: Encodes the requests' commands.
        facts: Ground truth about recent attempts.
        open: The requests that have not ended, in the order of their starts.
        idle: Set while no request is open.
    """

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        clock: RunClock,
        log: RecordLog,
        ground_truth: GroundTruth,
        load_balancer: LoadBalancer,
        pools: ConnectionPools,
    ) -> None:
        self.encoder = CommandEncoder(scenario)
        self.facts = RecentFacts(ground_truth, clock)
        self.open: dict[ClientRequest, None] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self._context = ClientContext(
            settings=scenario.clients,
            retry_policy=RetryPolicy.of(scenario, seeds),
            linger_ms=scenario.rules.answer_slack_ms + EXTRA_LINGER_MS,
            encoder=self.encoder,
            clock=clock,
            log=log,
            load_balancer=load_balancer,
            pools=pools,
            put_facts=self.facts.put,
            on_finished=self._on_finished,
        )

    def start(self, request: GeneratedRequest, rng: random.Random, counted: bool = True) -> None:
        """Start a request.

        Args:
            request: The request.
            rng: The request's own random generator.
            counted: Whether metrics count the request.
        """
        client_request = ClientRequest(self._context, request, rng, counted)
        self.open[client_request] = None
        self.idle.clear()
        client_request.start_attempt()

    def stop(self) -> None:
        """End all open requests without a record."""
        for client_request in list(self.open):
            client_request.stop()
        self.open.clear()

    def _on_finished(self, client_request: ClientRequest) -> None:
        self.open.pop(client_request, None)
        if not self.open:
            self.idle.set()
