"""`flintridge budgets`."""

import json
import sys
from collections.abc import Iterable
from typing import NamedTuple

import click

from flintridge.cli.calls import JsonObject, call, consoles_option, fields_of, print_columns
from flintridge.cli.exits import ExitCode

PATH = "/admin/budgets"
NO_BUDGETS = "shares no budgets: its configuration has no table [budgets]"
COLUMNS = ("budget", "whole", "even part", "used", "unit", "own", "lent", "borrowed", "usable", "need")
ROUNDING_TOLERANCE = 0.001  # even fractions; the sums are of rounded numbers


class Terms(NamedTuple):
    """A budget as the nodes that agree on it have it: sums are of those alone.

    Attributes:
        budget: Its name.
        limit: In its unit.
        nodes: Among how many it is divided evenly.
    """

    budget: str
    limit: float
    nodes: int


@click.command
@consoles_option
@click.option("--json", "as_json", is_flag=True, help="The consoles' answers, a JSON line each.")
def command(consoles: tuple[str, ...], as_json: bool) -> None:
    """What a node holds of the fleet's budgets, what it lent and borrowed, and until when.

    With several consoles also the sum of what they may use. Exits with 1 where it is over the budget in two
    looks, one after the other: consoles are not asked at one instant, and a loan that moves between two of
    them may count at both.

    \b
    Examples:
      flintridge budgets --console 127.0.0.1:9100
      flintridge budgets --console 127.0.0.1:9100 --console 127.0.0.1:9101 --json
    """
    allocations = []
    for address in consoles:
        allocation = _read(address)
        allocations.append(allocation)
        if as_json:
            click.echo(json.dumps(allocation))
        else:
            _print(allocation)
    if len(consoles) == 1:
        return
    sums = _sums(allocations)
    if not as_json:
        _print_sums(allocations, sums)
    if _confirmed_excess(consoles, sums):
        sys.exit(ExitCode.FINDING)


def _read(address: str) -> JsonObject:
    return fields_of(address, call(address, PATH), NO_BUDGETS)


def _confirmed_excess(consoles: tuple[str, ...], sums: dict[Terms, float]) -> list[Terms]:
    """The budgets that are exceeded by a first sum, and by a second that is read now."""
    exceeded = _exceeded(sums)
    for terms in exceeded:
        _warn(f"{terms.budget}: seen over, {sums[terms]:g} of {terms.nodes} even parts; looking again")
    if not exceeded:
        return []
    # The other way round: a loan that moves from the first to the last does not count twice again.
    second_sums = _sums([_read(address) for address in reversed(consoles)])
    confirmed = [terms for terms in _exceeded(second_sums) if terms in exceeded]
    for terms in exceeded:
        verdict = "over again" if terms in confirmed else "not over now: a loan moved between the looks"
        _warn(f"{terms.budget}: {verdict}, {second_sums.get(terms, 0):g} of {terms.nodes} even parts")
    return confirmed


def _processes(allocations: Iterable[JsonObject]) -> list[JsonObject]:
    """Each once, whatever addresses it answers at."""
    by_incarnation = {(process["name"], process["life"]): process for process in allocations}
    return list(by_incarnation.values())


def _sums(allocations: Iterable[JsonObject]) -> dict[Terms, float]:
    """What all that were asked may use, in even fractions."""
    sums: dict[Terms, float] = {}
    for process in _processes(allocations):
        for budget in process["budgets"]:
            terms = Terms(budget["name"], budget["whole"], process["of"])
            sums[terms] = sums.get(terms, 0.0) + budget["usable"]
    return sums


def _exceeded(sums: dict[Terms, float]) -> list[Terms]:
    return [terms for terms, usable in sums.items() if usable > terms.nodes + ROUNDING_TOLERANCE]


def _print(process: JsonObject) -> None:
    beside = ""
    if not process["alone"]:
        beside = "; beside another process of this node: half of each, and lends nothing"
    strict = "; strict" if process["strict"] else ""
    click.echo(
        f"{process['name']} ({process['life']}): hears {process['heard']} of {process['of']} nodes, itself"
        f" included; loans of {process['lease_ms']:g} ms, floor {process['floor']:g}{strict}{beside}"
    )
    print_columns([COLUMNS, *map(_row, process["budgets"])])
    for budget in process["budgets"]:
        _print_leases(budget)
    counts = ", ".join(f"{name} {count}" for name, count in process["counts"].items() if count)
    click.echo(f"  since the start: {counts or 'nothing asked or lent'}")


def _row(budget: JsonObject) -> tuple[str, ...]:
    lent = sum(lease["amount"] for lease in budget["lent"])
    borrowed = sum(lease["amount"] for lease in budget["borrowed"])
    in_unit = [f"{budget[name]:.4g}" for name in ("whole", "even", "used")]
    in_fractions = [
        f"{amount:.4g}" for amount in (budget["own"], lent, borrowed, budget["usable"], budget["need"])
    ]
    return (budget["name"], *in_unit, budget["unit"], *in_fractions)


def _print_leases(budget: JsonObject) -> None:
    for lease in budget["lent"]:
        borrower = f"to {lease['to']} ({lease['life']})"
        click.echo(f"  {budget['name']}: lent {lease['amount']:.4g} {borrower}, ends in {_remaining(lease)}")
    for lease in budget["borrowed"]:
        lender = f"from {lease['from']}"
        click.echo(
            f"  {budget['name']}: borrowed {lease['amount']:.4g} {lender}, ends in {_remaining(lease)}"
        )


def _print_sums(allocations: list[JsonObject], sums: dict[Terms, float]) -> None:
    processes = _processes(allocations)
    nodes = {process["name"] for process in processes}
    click.echo(f"together, {len(processes)} processes of {len(nodes)} nodes:")
    names = [terms.budget for terms in sums]
    for terms, usable in sums.items():
        differ = "; nodes differ on its size" if names.count(terms.budget) > 1 else ""
        click.echo(
            f"  {terms.budget}: usable {usable:.4g} of {terms.nodes} even parts"
            f" (the whole: {terms.limit:.4g}){differ}"
        )


def _warn(line: str) -> None:
    click.echo(line, err=True)


def _remaining(lease: JsonObject) -> str:
    return f"{lease['ends_in_ms']:.0f} ms"
