"""`flintridge lab shrink`."""

from pathlib import Path
from typing import TYPE_CHECKING

import click

from flintridge.cli.exits import CommandError
from flintridge.cli.lab_shared import (
    check_outputs,
    defect_option,
    jobs_option,
    json_option,
    path_option,
    write_json,
    write_text,
)
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option

if TYPE_CHECKING:  # what the command needs is imported when it runs
    from flintridge.lab.experiment.failure_predicates import Predicate
    from flintridge.lab.experiment.shrink import Step


@click.command
@scenario_argument
@seed_option
@set_option
@click.option("--rule", help="The rule that has to stay broken.  [default: the one broken most]")
@click.option("--goodput-under", type=click.FloatRange(0, 1), help="The goodput has to stay under this.")
@click.option("--unfinished", is_flag=True, help="The run has to stay one that does not come to its end.")
@click.option(
    "--budget", type=click.IntRange(2, 100_000), default=500, show_default=True, help="Runs at most."
)
@click.option(
    "--tries",
    "seeds_a_candidate",
    type=click.IntRange(1, 100),
    default=3,
    show_default=True,
    help="Seeds a candidate.",
)
@path_option("--out", help_text="File for the scenario found.", required=True)
@path_option("--log", help_text="Write every step to this file.")
@click.option("--limit", "limit_s", type=click.FloatRange(min=1), help="Seconds that a run may take.")
@backend_option
@jobs_option
@json_option
@defect_option
@force_option
def command(
    scenario: str,
    seed: int,
    overrides: tuple[str, ...],
    rule: str | None,
    goodput_under: float | None,
    unfinished: bool,
    budget: int,
    seeds_a_candidate: int,
    out: Path,
    log: Path | None,
    limit_s: float | None,
    backend: str,
    workers: int | None,
    json_file: Path | None,
    defect: str | None,
    force: bool,
) -> None:
    """Cut a day that goes wrong to the fewest faults, nodes, servers, keys and seconds that still do.

    What is found is an ordinary scenario that expects its broken rule (expect.breaks); the seed that it goes
    wrong with is told. A day that does not go wrong as asked is wrong input: exit code 2.

    \b
    Examples:
      flintridge lab shrink found/kept/found-7-000042.toml --seed 123 --out small.toml
      flintridge lab shrink day.toml --rule drain --out small.toml --log steps.txt
      flintridge lab shrink day.toml --goodput-under 0.6 --out small.toml
    """
    _check_one_goal(rule, goodput_under, unfinished)
    check_outputs([out, log, json_file], force)
    import msgspec

    from flintridge.lab.experiment.failure_predicates import ScenarioDoesNotFailError
    from flintridge.lab.experiment.shrink import shrink
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import dump, load

    failing = load(scenario, list(overrides))
    try:
        shrunk = shrink(
            failing,
            seed,
            _predicate(rule, goodput_under, unfinished),
            budget=budget,
            seeds_per_candidate=seeds_a_candidate,
            backend=backend,
            defect=defect,
            workers=workers,
            on_step=_print_step,
            limit_s=limit_s,
        )
    except ScenarioDoesNotFailError as error:
        raise CommandError(f"{scenario}: {error}") from error
    write_text(out, lambda: dump(shrunk.scenario))
    write_text(log, lambda: "".join(map(_log_line, shrunk.steps)))
    write_json(json_file, lambda: msgspec.to_builtins(shrunk))
    tables.print_shrunk(shrunk)
    click.echo(f"play it: flintridge lab run {out} --seed {shrunk.seed}")


def _check_one_goal(rule: str | None, goodput_under: float | None, unfinished: bool) -> None:
    """Raises UsageError where more than one option says what has to stay wrong."""
    goals = [rule is not None, goodput_under is not None, unfinished]
    if goals.count(True) > 1:
        raise click.UsageError("one of --rule, --goodput-under and --unfinished")


def _predicate(rule: str | None, goodput_under: float | None, unfinished: bool) -> "Predicate | None":
    """What has to stay wrong, by the options; None for the rule that is broken most."""
    from flintridge.lab.experiment.failure_predicates import Breaks, DidNotComplete, GoodputBelow

    if rule is not None:
        return Breaks(rule)
    if goodput_under is not None:
        return GoodputBelow(goodput_under)
    if unfinished:
        return DidNotComplete()
    return None


def _print_step(step: "Step") -> None:
    if step.taken:
        click.echo(f"{step.number:5d}  {step.text}", err=True)


def _log_line(step: "Step") -> str:
    outcome = "taken" if step.taken else "-"
    return f"{step.number:5d}  {outcome:5}  {step.text}\n"
