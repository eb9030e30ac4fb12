"""What a request is, and the bytes that ask for it."""

import itertools
import math
import random
from bisect import bisect_right
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from flintridge.lab.load.arrivals import Slot
from flintridge.lab.load.keys import Keys
from flintridge.lab.records import body_digest
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import RequestFacts
from flintridge.lab.world.draws import draw, lognormal

MAX_VALUE = 64 * 1024  # bytes
ROUGH = 0.3  # sigma of a rough hint's logarithm
_FILL = bytes(97 + i * 7 % 26 for i in range(MAX_VALUE))


class Drawn(msgspec.Struct, gc=False, frozen=True, forbid_unknown_fields=True):
    """A first try, as it was drawn; also one line of a trace."""

    due_ms: float
    cls: str
    tenant: str
    key: str
    write: bool
    work_ms: float  # on a core of speed 1
    size: int  # bytes of the key's value
    zone: str  # of the front that it goes to


class Choice:
    """One of several by weight, from a number between 0 and 1."""

    def __init__(self, weights: Sequence[float]) -> None:
        self._sums = list(itertools.accumulate(weights))

    def at(self, share: float) -> int:
        return min(bisect_right(self._sums, share * self._sums[-1]), len(self._sums) - 1)


def zone_weights(zones: Sequence[str], node_zones: Sequence[str], skew: float) -> list[float]:
    """Shares of the traffic by zone: even over the nodes, the first zone's larger by `skew` at the others'
    cost. Where no node has a zone of these, the zones share evenly."""
    counts = [float(node_zones.count(zone)) for zone in zones]
    if not sum(counts):
        counts = [1.0] * len(zones)
    whole = sum(counts)
    first = min(1.0, counts[0] / whole + skew)
    rest = whole - counts[0]
    if not rest:
        return [1.0] + [0.0] * (len(zones) - 1)
    return [first, *((1 - first) * count / rest for count in counts[1:])]


class Drawing:
    """Draws what comes at a slot: from the slot's own stream, so that no request's draws move another's."""

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        keys: Keys,
        size_of: Callable[[str], int],
        node_zones: Sequence[str],
    ) -> None:
        """`size_of` tells the bytes of a key's value; `node_zones` the zone of each node."""
        self._keys = keys
        self._size_of = size_of
        self._classes = scenario.classes
        self._class = Choice([c.share for c in scenario.classes])
        self._work = [draw(seeds.of(f"load/work/{c.name}"), c.work_ms) for c in scenario.classes]
        # Of the work's logarithm: of no use to an exponential spread, and 0 without any.
        spreads = [c.cv if c.spread == "lognormal" else 0.0 for c in scenario.classes]
        self._sigmas = [math.sqrt(math.log1p(cv * cv)) for cv in spreads]
        self._tenants = scenario.tenants
        sent = [t.share * t.usage for t in scenario.tenants]
        self._tenant = Choice(sent if sum(sent) else [1.0] * max(1, len(sent)))
        self._zones = scenario.zones
        self._zone = Choice(zone_weights(scenario.zones, node_zones, scenario.load.zone_skew))

    def draw(self, slot: Slot, rng: random.Random) -> Drawn:
        """The request of this slot; `rng` is its stream. Slots must come in order of time (keys drift)."""
        mark = rng.random
        index = self._class.at(mark())
        cls, tenant, zone = self._classes[index], mark(), mark()
        sender = self._tenants[self._tenant.at(tenant)] if self._tenants else None
        name = self._keys.sample(mark(), slot.t)
        if mark() < self._keys.part and not cls.write:
            name = self._keys.hot
        return Drawn(
            due_ms=slot.t,
            cls=cls.name,
            tenant="" if sender is None else sender.name,
            key=name,
            write=cls.write,
            work_ms=self._work[index] * self._spread(index, rng),
            size=self._size_of(name),
            zone=(sender and sender.zone) or self._zones[self._zone.at(zone)],
        )

    def _spread(self, index: int, rng: random.Random) -> float:
        """Of a single request's work, with mean 1."""
        if self._classes[index].spread == "exponential":
            return rng.expovariate(1.0)
        sigma = self._sigmas[index]
        return lognormal(rng, sigma) if sigma else 1.0


class Command(NamedTuple):
    """The bytes of one try, and what they are about."""

    data: bytes
    fact: RequestFacts
    digest: str  # of a write's value, by `records.token`


class Writer:
    """Puts requests into commands."""

    def __init__(self, scenario: Scenario) -> None:
        self.classes = {c.name: c for c in scenario.classes}
        self._hints = scenario.load.hints
        self._tells_size = scenario.load.tells_size
        self._marks = scenario.clients.marks_retry

    def hint(self, drawn: Drawn, rng: random.Random) -> int:
        """What the client guesses of the work, in microseconds; 0 where it tells nothing."""
        if self._hints == "none":
            return 0
        off = lognormal(rng, ROUGH)  # drawn for exact ones too, so that the two differ in nothing else
        return max(1, round(drawn.work_ms * 1000 * (off if self._hints == "rough" else 1.0)))

    def is_keyed(self, drawn: Drawn) -> bool:
        """Whether it goes with an idempotency key."""
        return drawn.write and self.classes[drawn.cls].effect == "keyed"

    def command(
        self, drawn: Drawn, uid: str, wait_ms: int, nth: int = 0, hint: int = 0, idem: str = ""
    ) -> Command:
        """A try's command: `wait_ms` is how long the client will wait, `nth` 0 for the first try."""
        value = value_of(drawn.key, uid, drawn.size) if drawn.write else b""
        size = len(value) if drawn.write else drawn.size
        said = f" O{uid} Pc={drawn.cls}"
        if drawn.tenant:
            said += f",t={drawn.tenant}"
        said += f",d={wait_ms}"
        if idem:
            said += f",k={idem}"
        if hint:
            said += f",h={hint}"
        if nth and self._marks:
            said += ",r=1"
        if self._tells_size:
            said += f",size={size}"
        fact = RequestFacts(drawn.cls, drawn.tenant, drawn.key, drawn.write, drawn.work_ms, size, idem)
        if not drawn.write:
            return Command(f"mg {drawn.key} v{said}\r\n".encode(), fact, "")
        line = f"ms {drawn.key} {size}{said}\r\n".encode()
        return Command(b"%b%b\r\n" % (line, value), fact, body_digest(value))


def value_of(key: str, uid: str, size: int) -> bytes:
    """A write's value of about `size` bytes: which key and try it is of can be read in it."""
    head = f"{key}|{uid}|".encode()
    return head + _FILL[: min(size, MAX_VALUE) - len(head)] if size > len(head) else head


def new_id(rng: random.Random) -> str:
    """16 hex digits."""
    return f"{rng.getrandbits(64):016x}"
