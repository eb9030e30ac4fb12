"""`flintridge budgets`: the fleet-wide limits that running nodes lease to one another."""

import json
import sys
from collections.abc import Iterable
from typing import NamedTuple

import click

from flintridge.cli.calls import JsonObject, call, consoles_option, print_columns, response_fields
from flintridge.cli.exits import ExitCode

PATH = "/admin/budgets"
NO_BUDGETS = "leases no budgets: its configuration has no table [budgets]"
COLUMNS = ("budget", "whole", "even part", "used", "unit", "own", "lent", "borrowed", "usable", "need")
ROUNDING_TOLERANCE = 0.001  # in even parts; the numbers that are summed are rounded


class BudgetGroup(NamedTuple):
    """A budget as a group of nodes is configured with it; only nodes of one group are summed.

    Attributes:
        budget: The budget's name.
        limit: The whole budget, in its unit.
        nodes: The number of nodes that it is divided among evenly.
    """

    budget: str
    limit: float
    nodes: int


@click.command
@consoles_option
@click.option("--json", "as_json", is_flag=True, help="Print the responses as JSON, one line each.")
def command(consoles: tuple[str, ...], as_json: bool) -> None:
    """Show a node's parts of the fleet's budgets: what it lent and borrowed, and until when.

    With several consoles, also shows the sum of what their nodes may use. The exit code is 1 if two
    successive sums are over a budget. A single sum is no proof: consoles are not read at the same instant, so
    a loan that moves between two nodes may be counted at both.

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
    return response_fields(address, call(address, PATH), NO_BUDGETS)


def _confirmed_excess(consoles: tuple[str, ...], sums: dict[BudgetGroup, float]) -> list[BudgetGroup]:
    """Return the budgets that the given sums exceed, and that second sums, read now, exceed again."""
    exceeded = _exceeded_budgets(sums)
    for group in exceeded:
        _warn(f"{group.budget}: over budget, {sums[group]:g} of {group.nodes} even parts; reading again")
    if not exceeded:
        return []
    # Reads in reverse order: a loan that moves from the first to the last node is not counted twice again.
    second_sums = _sums([_read(address) for address in reversed(consoles)])
    confirmed = [group for group in _exceeded_budgets(second_sums) if group in exceeded]
    for group in exceeded:
        verdict = "over budget again" if group in confirmed else "not over now: a loan moved between reads"
        _warn(f"{group.budget}: {verdict}, {second_sums.get(group, 0):g} of {group.nodes} even parts")
    return confirmed


def _processes(allocations: Iterable[JsonObject]) -> list[JsonObject]:
    """Return each process once, even if several of the addresses reach it."""
    by_incarnation = {(process["name"], process["life"]): process for process in allocations}
    return list(by_incarnation.values())


def _sums(allocations: Iterable[JsonObject]) -> dict[BudgetGroup, float]:
    """Sum what the processes may use of each budget, in even parts."""
    sums: dict[BudgetGroup, float] = {}
    for process in _processes(allocations):
        for budget in process["budgets"]:
            group = BudgetGroup(budget["name"], budget["whole"], process["of"])
            sums[group] = sums.get(group, 0.0) + budget["usable"]
    return sums


def _exceeded_budgets(sums: dict[BudgetGroup, float]) -> list[BudgetGroup]:
    return [group for group, usable in sums.items() if usable > group.nodes + ROUNDING_TOLERANCE]


def _print(process: JsonObject) -> None:
    other_process = ""
    if not process["alone"]:
        other_process = "; beside another process of this node: half of each part, and lends nothing"
    strict = "; strict" if process["strict"] else ""
    click.echo(
        f"{process['name']} ({process['life']}): hears {process['heard']} of {process['of']} nodes, itself"
        f" included; loans of {process['lease_ms']:g} ms, floor {process['floor']:g}{strict}{other_process}"
    )
    print_columns([COLUMNS, *map(_row, process["budgets"])])
    for budget in process["budgets"]:
        _print_leases(budget)
    counts = ", ".join(f"{name} {count}" for name, count in process["counts"].items() if count)
    click.echo(f"  since the start: {counts or 'nothing requested or lent'}")


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


def _print_sums(allocations: list[JsonObject], sums: dict[BudgetGroup, float]) -> None:
    processes = _processes(allocations)
    nodes = {process["name"] for process in processes}
    click.echo(f"together, {len(processes)} processes of {len(nodes)} nodes:")
    names = [group.budget for group in sums]
    for group, usable in sums.items():
        differ = "; nodes differ on its size" if names.count(group.budget) > 1 else ""
        click.echo(
            f"  {group.budget}: usable {usable:.4g} of {group.nodes} even parts"
            f" (the whole: {group.limit:.4g}){differ}"
        )


def _warn(line: str) -> None:
    click.echo(line, err=True)


def _remaining(lease: JsonObject) -> str:
    return f"{lease['ends_in_ms']:.0f} ms"
