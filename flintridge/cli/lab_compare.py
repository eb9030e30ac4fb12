"""`flintridge lab compare`."""

import sys
from pathlib import Path

import click

from flintridge.cli.exits import BROKEN, Wrong
from flintridge.cli.lab_shared import claim, jobs_option, json_option, report_option, seeds_of, seeds_option
from flintridge.cli.options import (
    ScenarioName,
    backend_option,
    force_option,
    scenario_argument,
    seed_option,
    set_option,
)


@click.command
@scenario_argument
@click.argument("other", type=ScenarioName(), required=False)
@click.option("--a", "of_a", multiple=True, metavar="PATH=VALUE", help="Change one value of A alone.")
@click.option("--b", "of_b", multiple=True, metavar="PATH=VALUE", help="Change one value of B alone.")
@set_option
@click.option(
    "--tree", type=click.Path(path_type=Path), help="Take B's node from the source tree in this folder."
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
    """Play A and B under the same seeds and tell what differs, with a bootstrap 95% interval.

    A is SCENARIO; B is OTHER, or SCENARIO again with other values (--b) or another node (--tree). --set
    changes both. The exit code is 1 if a rule breaks in B that holds in A, or if a run did not end.

    \b
    Examples:
      flintridge lab compare calm --b load.rate_per_s=300
      flintridge lab compare calm zone-loss --seeds 20 --report loss.html
      flintridge lab compare calm --tree ../old-checkout
    """
    claim([json_file, report], force)
    from flintridge.lab.experiment import output
    from flintridge.lab.experiment.compare import Variant, as_json, compare
    from flintridge.lab.experiment.worker import NodeTreeError, check_tree
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import load

    if other is None and tree is None and tuple(of_a) == tuple(of_b):
        raise click.UsageError("A and B are the same: name OTHER, --a, --b or --tree")
    if tree is not None:
        try:
            check_tree(tree)
        except NodeTreeError as error:
            raise Wrong(str(error)) from error
    b_name = other or scenario
    a = Variant(label=_label(scenario, of_a), scenario=load(scenario, [*overrides, *of_a]))
    b = Variant(
        label=_label(b_name, of_b, tree),
        scenario=load(b_name, [*overrides, *of_b]),
        tree="" if tree is None else str(tree.resolve()),
    )
    found = compare(a, b, seeds_of(seed, count), backend=backend, workers=workers, show=True)
    if json_file is not None:
        output.write(json_file, output.json_text(as_json(found)))
    if report is not None:
        from flintridge.lab.report.html import compare_report

        output.write(report, compare_report(found))
    tables.print_compare(found)
    if not found.sound:
        sys.exit(BROKEN)


def _label(name: str, changes: tuple[str, ...], tree: Path | None = None) -> str:
    parts = [name, *changes]
    if tree is not None:
        parts.append(f"node of {tree.name or tree}")
    return " ".join(parts)
