"""`flintridge budgets`."""

import json
import sys
from collections.abc import Iterable
from typing import Any, NamedTuple

import click

from flintridge.cli.calls import call
from flintridge.cli.exits import CommandError, ExitCode

PATH = "/admin/budgets"
COLUMNS = ("budget", "whole", "even part", "used", "unit", "own", "lent", "borrowed", "usable", "need")
SLACK = 0.001  # even parts; a sum that is over by less is one of rounded numbers


class Terms(NamedTuple):
    """A budget as the nodes that agree on it have it: sums are of those alone."""

    budget: str
    whole: float
    parts: int  # as many as nodes


@click.command
@click.option(
    "--console", "consoles", multiple=True, required=True, metavar="ADDR", help="A node's; may be repeated."
)
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
    looks = []
    for address in consoles:
        looks.append(said := _look(address))
        if as_json:
            click.echo(json.dumps(said))
        else:
            _print(said)
    if len(consoles) == 1:
        return
    sums = _sums(looks)
    over = _over(sums)
    if not as_json:
        _print_sums(looks, sums)
    for terms in over:
        _tell(f"{terms.budget}: seen over, {sums[terms]:g} of {terms.parts} even parts; looking again")
    if not over:
        return
    # The other way round: a loan that moves from the first to the last does not count twice again.
    again = _sums([_look(address) for address in reversed(consoles)])
    broken = [terms for terms in _over(again) if terms in over]
    for terms in over:
        verdict = "over again" if terms in broken else "not over now: a loan moved between the looks"
        _tell(f"{terms.budget}: {verdict}, {again.get(terms, 0):g} of {terms.parts} even parts")
    if broken:
        sys.exit(ExitCode.FINDING)


def _look(address: str) -> dict[str, Any]:
    status, said = call(address, PATH)
    if status == 404:
        raise CommandError(
            f"{address}: that node shares no budgets: its configuration has no table [budgets]"
        )
    if status != 200:
        raise CommandError(f"{address}: {said.get('error', status)}")
    return said


def _processes(looks: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Each once, whatever addresses it answers at."""
    return list({(said["name"], said["life"]): said for said in looks}.values())


def _sums(looks: Iterable[dict[str, Any]]) -> dict[Terms, float]:
    """What all that were asked may use, in even parts."""
    sums: dict[Terms, float] = {}
    for said in _processes(looks):
        for one in said["budgets"]:
            terms = Terms(one["name"], one["whole"], said["of"])
            sums[terms] = sums.get(terms, 0.0) + one["usable"]
    return sums


def _over(sums: dict[Terms, float]) -> list[Terms]:
    return [terms for terms, usable in sums.items() if usable > terms.parts + SLACK]


def _print(said: dict[str, Any]) -> None:
    beside = "" if said["alone"] else "; beside another process of this node: half of each, and lends nothing"
    strict = "; strict" if said["strict"] else ""
    click.echo(
        f"{said['name']} ({said['life']}): hears {said['heard']} of {said['of']} nodes, itself included;"
        f" loans of {said['lease_ms']:g} ms, floor {said['floor']:g}{strict}{beside}"
    )
    rows = [COLUMNS, *map(_row, said["budgets"])]
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    for row in rows:
        click.echo(
            "  " + "  ".join(f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)).rstrip()
        )
    for one in said["budgets"]:
        for loan in one["lent"]:
            whom = f"to {loan['to']} ({loan['life']})"
            click.echo(f"  {one['name']}: lent {loan['amount']:.4g} {whom}, ends in {_ms(loan)}")
        for loan in one["borrowed"]:
            whom = f"from {loan['from']}"
            click.echo(f"  {one['name']}: borrowed {loan['amount']:.4g} {whom}, ends in {_ms(loan)}")
    counts = ", ".join(f"{name} {count}" for name, count in said["counts"].items() if count)
    click.echo(f"  since the start: {counts or 'nothing asked or lent'}")


def _row(one: dict[str, Any]) -> tuple[str, ...]:
    in_unit = [f"{one[name]:.4g}" for name in ("whole", "even", "used")]
    lent, borrowed = (sum(loan["amount"] for loan in one[name]) for name in ("lent", "borrowed"))
    in_parts = [f"{amount:.4g}" for amount in (one["own"], lent, borrowed, one["usable"], one["need"])]
    return (one["name"], *in_unit, one["unit"], *in_parts)


def _print_sums(looks: list[dict[str, Any]], sums: dict[Terms, float]) -> None:
    processes = _processes(looks)
    click.echo(f"together, {len(processes)} processes of {len({said['name'] for said in processes})} nodes:")
    names = [terms.budget for terms in sums]
    for terms, usable in sums.items():
        differ = "; nodes differ on its size" if names.count(terms.budget) > 1 else ""
        click.echo(
            f"  {terms.budget}: usable {usable:.4g} of {terms.parts} even parts"
            f" (the whole: {terms.whole:.4g}){differ}"
        )


def _tell(line: str) -> None:
    click.echo(line, err=True)


def _ms(loan: dict[str, Any]) -> str:
    return f"{loan['ends_in_ms']:.0f} ms"
