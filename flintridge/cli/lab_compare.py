"""`flintridge lab compare`: runs two variants with the same seeds and compares the results."""

from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import CommandError, exit_unless
from flintridge.cli.lab_shared import (
    check_outputs,
    jobs_option,
    json_option,
    report_option,
    seeds_of,
    seeds_option,
    write_json,
    write_text,
)
from flintridge.cli.options import (
    ScenarioName,
    backend_option,
    force_option,
    scenario_argument,
    seed_option,
    set_option,
)

if TYPE_CHECKING:  # the command imports its dependencies when it runs
    from flintridge.lab.experiment.compare import Comparison


@click.command
@scenario_argument
@click.argument("other", type=ScenarioName(), required=False)
@click.option("--a", "of_a", multiple=True, metavar="PATH=VALUE", help="Change one value of A only.")
@click.option("--b", "of_b", multiple=True, metavar="PATH=VALUE", help="Change one value of B only.")
@set_option
@click.option(
    "--tree", type=click.Path(path_type=Path), help="Run B with the node of the source tree in this folder."
)
@seed_option
@seeds_option
@backend_option
@jobs_option
@json_option
@report_option
@force_option
def command(
    scenario: str,
    other: str | None,
    of_a: tuple[str, ...],
    of_b: tuple[str, ...],
    overrides: tuple[str, ...],
    tree: Path | None,
    seed: int,
    count: int,
    backend: str,
    workers: int | None,
    json_file: Path | None,
    report: Path | None,
    force: bool,
) -> None:
    """Run A and B with the same seeds and report the differences, with bootstrap 95% intervals.

    A is SCENARIO; B is OTHER, or SCENARIO again with other values (--b) or another node (--tree). --set
    changes both. The exit code is 1 if a rule is broken in B but not in A, or if a run did not complete.

    \b
    Examples:
      flintridge lab compare calm --b load.rate_per_s=300
      flintridge lab compare calm zone-loss --seeds 20 --report loss.html
      flintridge lab compare calm --tree ../old-checkout
    """
    check_outputs([json_file, report], force)
    from flintridge.lab.experiment.compare import Variant, as_json, compare
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import load

    if other is None and tree is None and tuple(of_a) == tuple(of_b):
        raise click.UsageError("A and B are the same: give OTHER, --a, --b or --tree")
    _check_tree(tree)
    b_name = other or scenario
    a = Variant(label=_label(scenario, of_a), scenario=load(scenario, [*overrides, *of_a]))
    b = Variant(
        label=_label(b_name, of_b, tree),
        scenario=load(b_name, [*overrides, *of_b]),
        tree="" if tree is None else str(tree.resolve()),
    )
    comparison = compare(a, b, seeds_of(seed, count), backend=backend, workers=workers, show=True)
    write_json(json_file, lambda: as_json(comparison))
    write_text(report, lambda: _report(comparison))
    tables.print_compare(comparison)
    exit_unless(comparison.sound)


def _report(comparison: "Comparison") -> str:
    from flintridge.lab.report.html import compare_report

    return compare_report(comparison)


def _check_tree(tree: Path | None) -> None:
    """Raise CommandError if the folder has no source tree of a node that the lab can run."""
    if tree is None:
        return
    from flintridge.lab.experiment.worker import NodeTreeError, check_tree

    try:
        check_tree(tree)
    except NodeTreeError as error:
        raise CommandError(str(error)) from error


def _label(name: str, changes: tuple[str, ...], tree: Path | None = None) -> str:
    """Return the label of a variant in the tables: its scenario and its changes."""
    words = [name, *changes]
    if tree is not None:
        words.append(f"node of {tree.name or tree}")
    return " ".join(words)
