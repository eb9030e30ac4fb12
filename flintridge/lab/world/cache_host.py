"""A cache server on a fabric: runs its incarnations, its listeners and the time of its model."""

import asyncio
from collections.abc import Callable
from enum import Enum
from functools import partial

from flintridge.lab.records import AttemptExecuted, ServerStateChanged
from flintridge.lab.world.cache_model import CacheModel, Machine
from flintridge.lab.world.cache_request import CacheRequest
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.environment import Environment
from flintridge.lab.world.fleet_plan import ServerPlan
from flintridge.lab.world.memcache import BUSY, FAILED, miss_response, value_response
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.server_host import ServerHost

ConnectionFactory = Callable[["CacheHost", str], asyncio.Protocol]
"""Creates a connection from the host and the name of the node."""


class StopReason(Enum):
    """Why a server stops; the values are the states in `flintridge.lab.records.ServerStateChanged`."""

    CRASHED = "stopped"
    REMOVED = "gone"
    OVERLOADED = "fallen"


class CacheHost(ServerHost):
    """One cache server, identified by the id that discovery lists.

    Attributes:
        kind: Kind of the server.
        zone: Zone of the server.
        cell: Cell of the server within its zone.
        weight: Weight of the server as discovery lists it.
        model: Model of the current or last incarnation; faults set on it apply to later incarnations too.
        party: The party at whose addresses it listens; its links are those of this party.
        started_at: When the incarnation started (ms of the run); 0 if long before the run.
        started_unix_ms: The same as Unix time (ms); 0 if long before the run.
        wire_rng: Draws the faults of its connections.
    """

    def __init__(
        self, plan: ServerPlan, environment: Environment, make_connection: ConnectionFactory
    ) -> None:
        """Create a server that is down.

        Args:
            plan: Plan of the server.
            environment: Objects that all servers share.
            make_connection: Creates its connections.
        """
        kind = plan.kind
        super().__init__(plan.id, environment, kind.connections, kind.idle_s * 1000)
        scenario = environment.scenario
        seeds = environment.seeds
        self.kind = kind
        self.zone = plan.zone
        self.cell = plan.cell
        self.weight = plan.weight
        self.party = plan.id
        self.started_at = 0.0
        self.started_unix_ms = 0.0
        self.wire_rng = seeds.of(f"server/{self.id}/wire")
        self._make_connection = make_connection
        self._machine = Machine(kind, seeds.of(f"server/{self.id}"))
        self._store = CacheStore(self.objects, kind.memory_mb, scenario.keys.ttl_s)
        self._incarnations = 0
        self.model = self._new_model(warms_up=False)
        self.objects.register(self.id, self._store, lambda: self.up)

    def _new_model(self, *, warms_up: bool) -> CacheModel:
        return CacheModel(
            self.kind,
            self._machine,
            self.environment.scenario.rules,
            self._store,
            self.environment.seeds.of(f"server/{self.id}/life/{self._incarnations}"),
            self.clock.now(),
            warms_up,
            self.catch_up,
        )

    # Incarnations

    @property
    def draining(self) -> bool:
        """Whether the server is up and rejects new requests because it drains."""
        return self.up and self.model.draining

    async def start(self, *, cold: bool, at_address_of: str | None = None) -> None:
        """Start a new incarnation. A warm first incarnation counts as started long before the run.

        Args:
            cold: Whether it starts empty and warms up, instead of keeping the copies of the last incarnation.
            at_address_of: The party at whose addresses it listens from now on; None for no change.

        Raises:
            RuntimeError: The server is already up.
            OSError: It cannot listen.
        """
        if self.up:
            raise RuntimeError(f"server {self.id} is already up")
        if at_address_of is not None:
            self.party = at_address_of
        earlier = self.model
        now = self.clock.now()
        if cold:
            self._store.clear()
        self._incarnations += 1
        long_ago = self._incarnations == 1 and not cold
        self.started_at = 0.0 if long_ago else now
        self.started_unix_ms = 0.0 if long_ago else self.clock.unix_ms(now)
        self.model = self._new_model(warms_up=cold)
        self.model.faults.copy_from(earlier.faults)
        self.up = True
        self._log_started()
        try:
            await self._listen(self.party, partial(self._make_connection, self))
        except OSError:
            self.stop()
            raise

    def _log_started(self) -> None:
        model = self.model
        self.log.add(
            ServerStateChanged(
                at_ms=self.clock.now(),
                server=self.id,
                state="started",
                zone=self.zone,
                cell=self.cell,
                capacity=model.warm_capacity,
                initial_fraction=self.kind.cold_from if model.warm_up_ms else 1.0,
                warm_up_ms=model.warm_up_ms,
            )
        )

    def _log_state(self, state: str) -> None:
        self.log.add(
            ServerStateChanged(
                at_ms=self.clock.now(), server=self.id, state=state, zone=self.zone, cell=self.cell
            )
        )

    def stop(self, reason: StopReason = StopReason.CRASHED) -> None:
        """End the process: open connections are reset, new ones are refused and all its work is lost.

        Does nothing if the server is down.
        """
        if not self.up:
            return
        self._shut_down()
        self._log_state(reason.value)
        self.reset_connections()

    def crash_by_overload(self) -> None:
        """Stop because too much work arrived during the warm-up; the server stays down until `start`."""
        self.stop(StopReason.OVERLOADED)

    def drain(self) -> None:
        """Reject new requests from now on; requests in flight are completed."""
        if self.up and not self.model.draining:
            self.model.draining = True
            self._log_state("draining")

    # Time

    def catch_up(self) -> None:
        """Advance the model to the current time; called before and after a fault is set."""
        if self.up:
            self.settle(self.clock.now())

    def settle(self, now: float) -> None:
        """Respond to requests that ended by `now` (ms) and set the timer for the next end."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, CacheRequest)
            if not self.up:  # the server stopped while an earlier response was sent
                return
            self.finish(now, job)
            if job.connection is not None:
                job.connection.flush(now)
        if model.overloaded:
            self.crash_by_overload()
            return
        self._wake_at(model.due())

    def finish(self, now: float, request: CacheRequest) -> None:
        """Build the response of a request; the connection sends it in the order of its commands.

        Args:
            now: Time of the run in milliseconds.
            request: The request, whose outcome is set.
        """
        request_id = request.request_id
        if request.executed:
            self.log.add(
                AttemptExecuted(
                    at_ms=now,
                    server=self.id,
                    attempt_id=request.attempt_id,
                    request_id=request_id,
                    idempotency_key=request.idempotency_key,
                )
            )
        match request.outcome:
            case Outcome.VALUE:
                if request.connection is not None:
                    request.body = self.objects.body(request.key, request.version, self.id, request_id)
                    request.response = value_response(request_id, request.body)
            case Outcome.MISS:
                if not request.write:
                    self.objects.record_miss(request_id, self.id)
                request.response = miss_response(request_id)
            case Outcome.BUSY:
                request.response = BUSY
            case _:
                request.response = FAILED
