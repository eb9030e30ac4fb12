"""A cache server on a fabric: its lives, its listeners, and the model's time."""

from functools import partial

from flintridge.lab.fabric import Fabric
from flintridge.lab.records import AttemptExecuted, RecordLog, ServerStateChanged
from flintridge.lab.scenario.model import Kind, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.cache import CacheModel, Machine
from flintridge.lab.world.cache_conn import CacheConnection, Request
from flintridge.lab.world.commands import BUSY, FAILED, miss_answer, value_answer
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.server_host import ServerHost
from flintridge.lab.world.store import Store


class CacheHost(ServerHost):
    """One server, by its id as discovery lists it.

    `model` is of its present or last life; knobs set on it hold for later lives too. `started_at` is the
    start on the day's clock (ms), `started_unix` the same as discovery tells it; both 0: long ago. It listens
    at the address of `listen_as`, and its links are those of that party.
    """

    def __init__(
        self,
        id: str,
        kind: Kind,
        zone: str,
        cell: int,
        weight: float,
        fabric: Fabric,
        log: RecordLog,
        truth: GroundTruth,
        objects: Objects,
        scenario: Scenario,
        seeds: Seeds,
        nodes: list[str],
    ) -> None:
        idle_ms = kind.idle_s * 1000
        probes = scenario.limits.health_checks
        super().__init__(id, fabric, log, truth, objects, probes, nodes, kind.connections, idle_ms)
        self.kind = kind
        self.zone = zone
        self.cell = cell
        self.weight = weight
        self.listen_as = id
        self.started_at = 0.0
        self.started_unix = 0.0
        self.wire_rng = seeds.of(f"server/{id}/wire")
        self._rules = scenario.rules
        self._seeds = seeds
        self._machine = Machine(kind, seeds.of(f"server/{id}"))
        self._store = Store(objects, kind.memory_mb, scenario.keys.ttl_s)
        self._lives = 0
        self.model = self._new_model(cold=False)
        objects.register(id, self._store, lambda: self.up)

    def _new_model(self, cold: bool) -> CacheModel:
        rng = self._seeds.of(f"server/{self.id}/life/{self._lives}")
        now = self.clock.now()
        return CacheModel(self.kind, self._machine, self._rules, self._store, rng, now, cold, self.catch_up)

    # Its life

    @property
    def draining(self) -> bool:
        """Whether it is up and turns new work away because it was told to drain."""
        return self.up and self.model.draining

    async def start(self, cold: bool, at_address_of: str | None = None) -> None:
        """A new life: cold and empty, or warm with the copies of the last one. The first one, if warm, began
        long ago. Raises RuntimeError where it is up, OSError where it cannot listen."""
        if self.up:
            raise RuntimeError(f"server {self.id} is up")
        if at_address_of is not None:
            self.listen_as = at_address_of
        old, now = self.model, self.clock.now()
        if cold:
            self._store.clear()
        self._lives += 1
        long_ago = self._lives == 1 and not cold
        self.started_at = 0.0 if long_ago else now
        self.started_unix = 0.0 if long_ago else self.clock.unix_ms(now)
        self.model = self._new_model(cold)
        self.model.take_knobs(old)
        self.up = True
        self._say_started()
        try:
            await self._listen(self.listen_as, partial(CacheConnection, self))
        except OSError:
            self.stop()
            raise

    def _say_started(self) -> None:
        model = self.model
        self.log.add(
            ServerStateChanged(
                at_ms=self.clock.now(),
                server=self.id,
                state="started",
                zone=self.zone,
                cell=self.cell,
                capacity=model.warm_capacity,
                initial_fraction=self.kind.cold_from if model.cold_ms else 1.0,
                warm_up_ms=model.cold_ms,
            )
        )

    def stop(self, how: str = "crash") -> None:
        """The process ends: connections are reset, new ones refused, all it did is lost. `how` "gone" and
        "fallen" are recorded by that name, anything else as stopped. Nothing happens where it is down."""
        if not self.up:
            return
        self._shut()
        now = self.clock.now()
        state = how if how in ("gone", "fallen") else "stopped"
        self.log.add(
            ServerStateChanged(at_ms=now, server=self.id, state=state, zone=self.zone, cell=self.cell)
        )
        self.reset_connections()

    def fall(self) -> None:
        """Pushed over (rule 4): it stays down until somebody starts it."""
        self.stop("fallen")

    def drain(self) -> None:
        """It knows that it drains: new work is turned away, what it has goes on."""
        if self.up and not self.model.draining:
            self.model.draining = True
            now = self.clock.now()
            self.log.add(
                ServerStateChanged(
                    at_ms=now, server=self.id, state="draining", zone=self.zone, cell=self.cell
                )
            )

    # Time

    def catch_up(self) -> None:
        """Bring the model up to date, as before and after a knob is turned."""
        if self.up:
            self.settle(self.clock.now())

    def settle(self, now: float) -> None:
        """Answer what has ended, and be called again when more does."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, Request)
            if not self.up:  # it ended over the answer to another
                return
            self.finish(now, job)
            if job.connection is not None:
                job.connection.flush(now)
        if model.fallen:
            self.fall()
            return
        self._wake_at(model.due())

    def finish(self, now: float, job: Request) -> None:
        """A job has its outcome: make the answer, which leaves in its turn."""
        outcome, uid = job.outcome, job.uid
        if job.ran:
            self.log.add(
                AttemptExecuted(
                    at_ms=now, server=self.id, attempt_id=job.number, request_id=uid, idempotency_key=job.idem
                )
            )
        if outcome == "value":
            if job.connection is not None:
                job.body = self.objects.body(job.key, job.version, self.id, uid)
                job.answer = value_answer(uid, job.body)
        elif outcome == "miss":
            if not job.write:
                self.objects.missed(uid, self.id)
            job.answer = miss_answer(uid)
        else:
            job.answer = BUSY if outcome == "busy" else FAILED
