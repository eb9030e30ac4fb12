"""From a day that fails to the least one that still fails the same way, by delta debugging.

A pass offers candidates, boldest first; the first *in that order* that still fails is taken, however many
are played at once and whichever ends first, so the result depends on the scenario, the seed and the budget
alone. Passes are gone through again until none of them gets anywhere. The budget counts candidates up to the
one that was taken; those played beside it for speed are not counted.

A failure that hangs on a few milliseconds is gone as soon as anything else changes, under that seed. Each
candidate is therefore played under some more seeds, and whichever fails first becomes the seed of the result.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import msgspec

from flintridge.lab.experiment.fluid import flows, severity
from flintridge.lab.experiment.jobs import PLAY, Job, Outcome, Runner, failure, runner_name
from flintridge.lab.experiment.pool import Pool
from flintridge.lab.experiment.space import contradictions
from flintridge.lab.result import Result
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

replace = msgspec.structs.replace
LATER_S = 3.0  # of the day that is kept after the first breach: what proves it may come after it


class DoesNotFail(ValueError):
    """The scenario does not fail in the way that was asked for."""


# What "fails the same way" means


class Breaks(msgspec.Struct, frozen=True, tag="breaks"):
    """A rule is broken, by its name."""

    rule: str

    def __call__(self, outcome: Outcome) -> bool:
        return isinstance(outcome, Result) and outcome.rules.get(self.rule, 0) > 0

    def __str__(self) -> str:
        return f"rule {self.rule} broken"


class Under(msgspec.Struct, frozen=True, tag="under"):
    """Goodput is below `goodput` on a run that was played whole.

    A smaller fleet under the same load would get there by itself, so a candidate must be fair: neither more
    loaded nor harder hit by its faults than the scenario that was given (`fluid.py`).
    """

    goodput: float

    def __call__(self, outcome: Outcome) -> bool:
        return (
            isinstance(outcome, Result) and outcome.end_reason == "whole" and outcome.goodput < self.goodput
        )

    def __str__(self) -> str:
        return f"goodput under {self.goodput:g}"


class Unfinished(msgspec.Struct, frozen=True, tag="unfinished"):
    """The run does not come to its end: it raises, dies, hangs or is cut short."""

    def __call__(self, outcome: Outcome) -> bool:
        return bool(failure(outcome))

    def __str__(self) -> str:
        return "run not finished"


Predicate = Breaks | Under | Unfinished


class Step(msgspec.Struct, kw_only=True):
    """A candidate that was played, and whether it still failed and was taken."""

    number: int  # runs used up to here
    taken: bool
    text: str


class Shrunk(msgspec.Struct, kw_only=True, tag_field="what", tag="shrink"):
    scenario: Scenario
    seed: int  # that it fails with: not always the one that was given
    fails: str
    runs: int
    steps: list[Step]
    before: dict[str, float]
    after: dict[str, float]
    ended: str = "nothing smaller fails"


def usual(outcome: Outcome) -> Predicate:
    """How a run fails, where nobody said: an unfinished run, or its most broken rule. Raises DoesNotFail."""
    if isinstance(outcome, Result):
        broken = [(-count, name) for name, count in outcome.rules.items() if count]
        if broken:
            return Breaks(min(broken)[1])
    if failure(outcome):
        return Unfinished()
    raise DoesNotFail("the run is whole and breaks no rule; name a goodput it should fall under")


def size(scenario: Scenario) -> dict[str, float]:
    """What shrinking makes less of."""
    return {
        "faults": len(scenario.faults),
        "nodes": scenario.nodes.count,
        "servers": _servers(scenario),
        "zones": len(scenario.zones),
        "classes": len(scenario.classes),
        "keys": scenario.keys.count,
        "seconds": scenario.length_s,
        "rate_per_s": scenario.load.rate_per_s,
    }


def shrink(
    scenario: Scenario,
    seed: int,
    predicate: Predicate | None = None,
    *,
    budget: int = 500,
    tries: int = 3,
    backend: str = "virtual",
    defect: str | None = None,
    workers: int | None = None,
    runner: str | Runner = PLAY,
    on_step: Callable[[Step], None] = lambda step: None,
    limit_s: float | None = None,
) -> Shrunk:
    """Shrink with at most `budget` counted runs, `tries` seeds a candidate. Raises DoesNotFail when the
    scenario as given does not fail."""
    play = runner_name(runner)
    with Pool(workers) as pool:

        def run(offers: Sequence[Offer]) -> list[Outcome | None]:
            alike = Job(
                scenario=scenario, seed=seed, backend=backend, defect=defect, runner=play, limit_s=limit_s
            )
            return pool.run([replace(alike, scenario=o.scenario, seed=o.seed) for o in offers])

        given = Offer("as given", scenario, seed)
        first = run([given])[0]
        assert first is not None
        predicate = predicate or usual(first)
        if not predicate(first):
            told = failure(first) or (f"goodput {first.goodput:.4f}" if isinstance(first, Result) else "")
            raise DoesNotFail(f"does not fail as asked ({predicate}): {told}")
        work = _Work(given, predicate, first, run, pool.size, budget, tries, on_step)
        work.until_nothing_helps()
    least = expecting(work.least.scenario, predicate, scenario.name, work.least.seed)
    return Shrunk(
        scenario=least,
        seed=work.least.seed,
        fails=str(predicate),
        runs=work.runs,
        steps=work.steps,
        before=size(scenario),
        after=size(least),
        ended="the budget is used up" if work.runs >= budget else "nothing smaller fails",
    )


def expecting(scenario: Scenario, predicate: Predicate, name: str, seed: int) -> Scenario:
    """With what a run of it shows written down: a broken rule as known, a goodput as not yet reached."""
    expect = model.Expect()
    if isinstance(predicate, Breaks):
        expect = model.Expect(breaks=(predicate.rule,))
    elif isinstance(predicate, Under):
        expect = model.Expect(goodput_at_least=predicate.goodput)
    about = f"shrunk from {name}: {predicate} with --seed {seed}"
    return replace(scenario, name=f"{name[:57]}-least", about=about, expect=expect)


class Offer(NamedTuple):
    """A candidate: how it came about, and the seed it is played with."""

    text: str
    scenario: Scenario
    seed: int


class _Work:
    """The state of one shrinking: the least scenario so far, and what its run gave."""

    def __init__(
        self,
        given: Offer,
        predicate: Predicate,
        outcome: Outcome,
        run: Callable[[Sequence[Offer]], list[Outcome | None]],
        width: int,
        budget: int,
        tries: int,
        on_step: Callable[[Step], None],
    ) -> None:
        self.least, self.outcome = given, outcome
        self.runs = 1
        self.steps: list[Step] = []
        self._predicate, self._run, self._width, self._budget = predicate, run, width, budget
        self._tries, self._on_step = tries, on_step
        self._load, self._severity = flows(given.scenario).load, severity(given.scenario)
        self._tried: set[tuple[Scenario, int]] = set()  # what did not fail

    def until_nothing_helps(self) -> None:
        helped = True
        while helped and self.runs < self._budget:
            helped = False
            for name, offers in PASSES:
                # By their texts: the same step on a smaller day is left for the next round.
                rejected: set[str] = set()
                while self.runs < self._budget and self._pass(name, offers, rejected):
                    helped = True

    def _pass(self, name: str, offers: "Offers", rejected: set[str]) -> bool:
        """Take the first candidate of a pass that still fails; whether there was one."""
        batch: list[Offer] = []
        for offer in self._seeded(offers, frozenset(rejected)):
            batch.append(offer)
            if len(batch) == min(self._width, self._budget - self.runs):
                if self._any(name, batch, rejected):
                    return True
                batch = []
                if self.runs >= self._budget:
                    return False
        return bool(batch) and self._any(name, batch, rejected)

    def _seeded(self, offers: "Offers", rejected: frozenset[str]) -> Iterator[Offer]:
        """Candidates worth a run, each under the seed that is known to fail and then under others."""
        known = self.least.seed
        seeds = [known, *(seed for seed in range(1, self._tries + 1) if seed != known)][: self._tries]
        seen: set[Scenario] = {self.least.scenario}
        for text, candidate in offers(self.least.scenario, self.outcome):
            if text in rejected or candidate in seen or not self._worth_a_run(candidate):
                continue
            seen.add(candidate)
            for seed in seeds:
                if (candidate, seed) not in self._tried:
                    yield Offer(text, candidate, seed)

    def _worth_a_run(self, candidate: Scenario) -> bool:
        """Without contradictions, and fair."""
        if contradictions(candidate):
            return False
        if not isinstance(self._predicate, Under):
            return True
        return (
            flows(candidate).load <= max(self._load * 1.02, 0.05)
            and severity(candidate) <= self._severity * 1.02 + 0.005
        )

    def _any(self, name: str, batch: Sequence[Offer], rejected: set[str]) -> bool:
        """Whether one of them still fails; the first such is the least scenario from now on."""
        for offer, outcome in zip(batch, self._run(batch), strict=True):
            self.runs += 1
            taken = outcome is not None and self._predicate(outcome)
            seed = "" if offer.seed == self.least.seed else f" (seed {offer.seed})"
            step = Step(number=self.runs, taken=taken, text=f"{name}: {offer.text}{seed}")
            self.steps.append(step)
            self._on_step(step)
            if taken and outcome is not None:
                self.least, self.outcome = offer, outcome
                rejected.discard(offer.text)
                return True
            self._tried.add((offer.scenario, offer.seed))
            rejected.add(offer.text)
        return False


# Candidates, boldest first

Found = Iterator[tuple[str, Scenario]]
Offers = Callable[[Scenario, Outcome], Found]


def _without(items: Sequence[Any]) -> Iterator[tuple[str, tuple[Any, ...]]]:
    """All gone; then without each half, quarter ... single one: the complements of delta debugging."""
    count = len(items)
    if count:
        yield f"none of {count}", ()
    chunk = count // 2
    while chunk >= 1:
        for at in range(0, count, chunk):
            gone = "only" if chunk == 1 else f"{min(chunk, count - at)}"
            yield f"without {gone} at {at}", (*items[:at], *items[at + chunk :])
        chunk //= 2


def _fewer(now: int, least: int = 1) -> Iterator[int]:
    """Smaller whole numbers: the least, a quarter, half, three quarters, one less."""
    found = dict.fromkeys([least, now // 4, now // 2, now * 3 // 4, now - 1])
    yield from (number for number in found if least <= number < now)


def _faults(day: Scenario, _: Outcome) -> Found:
    for text, faults in _without(day.faults):
        yield text, replace(day, faults=faults)


def _seconds(day: Scenario, outcome: Outcome) -> Found:
    """Up to shortly after the first breach, then by shares; faults end with the day."""
    ends = []
    if isinstance(outcome, Result) and outcome.violations:
        ends.append(max(1.0, min(b.at_ms for b in outcome.violations) / 1000 + LATER_S))
    ends += [day.length_s * share for share in (0.25, 0.5, 0.75, 0.9)]
    for end in dict.fromkeys(round(end, 1) for end in ends):
        if 1 <= end < day.length_s - 0.4:
            yield f"{end:g} s", _until(day, end)
    for warmup in (0.0, round(day.warmup_s / 2, 1)):
        if warmup < day.warmup_s - 0.4:
            yield f"{warmup:g} s of warm-up", replace(day, warmup_s=warmup)


def _until(day: Scenario, end: float) -> Scenario:
    faults = []
    for fault in day.faults:
        if fault.at_s >= end:
            continue
        if isinstance(fault, model.TimedFault) and fault.at_s + fault.for_s > end:
            fault = replace(fault, for_s=round(max(0.1, end - fault.at_s - 0.1), 1))
        faults.append(fault)
    return replace(day, length_s=end, faults=tuple(faults))


def _earlier(day: Scenario, _: Outcome) -> Found:
    """All faults together nearer to the day's start, which leaves less of it to play."""
    if not day.faults:
        return
    first = min(fault.at_s for fault in day.faults)
    for start in (0.5, round(first / 2, 1)):
        if start < first - 0.4:
            moved = tuple(replace(f, at_s=round(f.at_s - first + start, 3)) for f in day.faults)
            shorter = round(max(1.0, day.length_s - first + start), 1)
            yield f"{first - start:g} s earlier", replace(day, faults=moved, length_s=shorter)


def _nodes(day: Scenario, _: Outcome) -> Found:
    for count in _fewer(day.nodes.count):
        faults = tuple(_for_nodes(fault, count) for fault in day.faults)
        yield f"{count} nodes", replace(day, nodes=replace(day.nodes, count=count), faults=faults)


def _for_nodes(fault: Any, count: int) -> Any:
    """Its nodes among those that are left."""
    if not hasattr(fault, "nodes") or isinstance(fault, model.ZoneLoss):
        return fault
    return replace(fault, nodes=tuple(n for n in fault.nodes if n < count), count=min(fault.count, count))


def _servers(day: Scenario) -> int:
    return sum(group.count for group in day.servers)


def _fleet(day: Scenario, _: Outcome) -> Found:
    """Fewer servers: with load and origin in proportion, then with those as they are; then by groups."""
    total = _servers(day)
    for count in _fewer(total):
        smaller = _tidy(replace(day, servers=_dealt(day.servers, count)))
        share = count / total
        load = replace(day.load, rate_per_s=max(1.0, round(day.load.rate_per_s * share, 1)))
        slots = max(1, round(day.origin.slots * share))
        yield (
            f"{count} servers and their load",
            replace(smaller, load=load, origin=replace(day.origin, slots=slots)),
        )
        yield f"{count} servers", smaller
    if len(day.servers) > 1:
        for text, groups in _without(day.servers):
            if groups and sum(group.count for group in groups):
                yield f"groups {text}", _tidy(replace(day, servers=groups))


def _dealt(groups: tuple[model.Group, ...], count: int) -> tuple[model.Group, ...]:
    """So many servers, by the groups' shares, the rest to the first ones."""
    total = sum(group.count for group in groups)
    counts = [group.count * count // total for group in groups]
    for i in range(count - sum(counts)):
        counts[i % len(counts)] += 1
    dealt = (replace(group, count=number) for group, number in zip(groups, counts, strict=True))
    return tuple(group for group in dealt if group.count)


def _tidy(day: Scenario) -> Scenario:
    """Without the kinds that no server is of, and with faults of servers that are still there."""
    used = {group.kind for group in day.servers}
    kinds = tuple(kind for kind in day.kinds if kind.name in used)
    total = _servers(day)
    faults = tuple(
        replace(f, count=min(f.count, total)) if isinstance(f, model.ServerFault) else f for f in day.faults
    )
    faults = tuple(f for f in faults if not isinstance(f, model.ServerFault) or f.kind in ("", *used))
    return replace(day, kinds=kinds or day.kinds, faults=faults)


def _zones(day: Scenario, _: Outcome) -> Found:
    """Everything of a zone moved to another one."""
    for gone in day.zones:
        left = tuple(zone for zone in day.zones if zone != gone)
        if left:
            yield f"{gone} into {left[0]}", _merged(day, gone, left)


def _merged(day: Scenario, gone: str, left: tuple[str, ...]) -> Scenario:
    def moved(zone: str | None) -> str | None:
        return left[0] if zone == gone else zone

    groups = tuple(replace(group, zone=moved(group.zone)) for group in day.servers)
    faults = []
    for fault in day.faults:
        if isinstance(fault, model.ServerFault | model.ZoneLoss) and fault.zone == gone:
            fault = replace(fault, zone=left[0])
        elif isinstance(fault, model.Cut | model.SlowLink):
            fault = replace(fault, zone=moved(fault.zone), other=moved(fault.other))
            if fault.zone == fault.other:
                continue
        faults.append(fault)
    return replace(
        day,
        zones=left,
        servers=groups,
        faults=tuple(faults),
        nodes=replace(day.nodes, zones=tuple(str(moved(zone)) for zone in day.nodes.zones)),
        origin=replace(day.origin, zone=moved(day.origin.zone)),
        discovery=replace(day.discovery, zone=moved(day.discovery.zone)),
    )


def _kinds(day: Scenario, _: Outcome) -> Found:
    """All servers of one kind; and that kind as the format has it by default."""
    if len(day.kinds) > 1:
        for kind in day.kinds:
            groups = tuple(replace(group, kind=kind.name) for group in day.servers)
            yield f"all {kind.name}", _tidy(replace(day, servers=groups))
    for i, kind in enumerate(day.kinds):
        for text, plain in _plainer(kind, keep=("name",)):
            yield f"{kind.name}: {text}", replace(day, kinds=(*day.kinds[:i], plain, *day.kinds[i + 1 :]))


def _keys(day: Scenario, _: Outcome) -> Found:
    for count in dict.fromkeys([1, 10, day.keys.count // 10, day.keys.count // 2]):
        if 1 <= count < day.keys.count:
            yield f"{count} keys", replace(day, keys=replace(day.keys, count=count))


def _rate(day: Scenario, _: Outcome) -> Found:
    for share in (0.1, 0.25, 0.5, 0.75):
        rate = round(day.load.rate_per_s * share, 1)
        if rate >= 0.5:
            yield f"{rate:g} a second", replace(day, load=replace(day.load, rate_per_s=rate))


def _classes(day: Scenario, _: Outcome) -> Found:
    for text, classes in _without(day.classes):
        if classes:
            yield f"classes {text}", replace(day, classes=classes)
    for text, tenants in _without(day.tenants):
        yield f"tenants {text}", replace(day, tenants=tenants)


def _shorter_faults(day: Scenario, _: Outcome) -> Found:
    """Each fault for half of its time, and of one server."""
    for i, fault in enumerate(day.faults):
        others = day.faults[:i], day.faults[i + 1 :]
        if isinstance(fault, model.TimedFault) and fault.for_s > 0.5:
            half = replace(fault, for_s=round(fault.for_s / 2, 1))
            yield f"fault {i} for {half.for_s:g} s", replace(day, faults=(*others[0], half, *others[1]))
        if isinstance(fault, model.ServerFault) and (fault.share or fault.count > 1):
            one = replace(fault, share=0.0, count=1)
            yield f"fault {i} of one server", replace(day, faults=(*others[0], one, *others[1]))


PARTS = ("clients", "links", "discovery", "limits", "load", "keys", "origin", "nodes", "goal", "prices")


def _defaults(day: Scenario, _: Outcome) -> Found:
    """Whole tables as the format has them by default, then single values of them, sizes kept."""
    keep = {"load": ("rate_per_s",), "keys": ("count",), "nodes": ("count",), "origin": ("slots", "read_ms")}
    for name in PARTS:
        for text, plain in _plainer(getattr(day, name), keep=keep.get(name, ())):
            yield f"{name}: {text}", replace(day, **{name: plain})


def _plainer(part: Any, keep: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """A table with its values at their defaults, but for those to keep: all, then half of them, then one."""
    fields = {
        field.name: field
        for field in msgspec.structs.fields(part)
        if field.name not in keep
        and field.default is not msgspec.NODEFAULT
        and getattr(part, field.name) != field.default
    }
    plain = {name: field.default for name, field in fields.items()}
    if len(plain) > 1:
        yield "defaults", replace(part, **plain)
    names = list(plain)
    if len(names) > 3:
        for text, half in (("first", names[: len(names) // 2]), ("second", names[len(names) // 2 :])):
            yield f"defaults, {text} half", replace(part, **{name: plain[name] for name in half})
    for name, value in plain.items():
        yield f"default {fields[name].encode_name}", replace(part, **{name: value})


# What makes runs cheapest comes first: the later ones are then played on a small day.
PASSES: tuple[tuple[str, Offers], ...] = (
    ("faults", _faults),
    ("seconds", _seconds),
    ("earlier", _earlier),
    ("rate", _rate),
    ("nodes", _nodes),
    ("servers", _fleet),
    ("zones", _zones),
    ("classes", _classes),
    ("kinds", _kinds),
    ("keys", _keys),
    ("fault sizes", _shorter_faults),
    ("values", _defaults),
)
