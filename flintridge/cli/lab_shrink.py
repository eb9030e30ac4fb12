"""`flintridge lab shrink`: reduces a failing scenario to a minimal one that still fails."""

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

if TYPE_CHECKING:  # the command imports its dependencies when it runs
    from flintridge.lab.experiment.failure_predicates import Predicate
    from flintridge.lab.experiment.shrink import Step


@click.command
@scenario_argument
@seed_option
@set_option
@click.option("--rule", help="The rule that must remain broken.  [default: the one broken most]")
@click.option("--goodput-under", type=click.FloatRange(0, 1), help="The goodput must remain below this.")
@click.option("--unfinished", is_flag=True, help="The run must remain one that does not complete.")
@click.option(
    "--budget",
    type=click.IntRange(2, 100_000),
    default=500,
    show_default=True,
    help="Maximum number of runs.",
)
@click.option(
    "--tries",
    "seeds_a_candidate",
    type=click.IntRange(1, 100),
    default=3,
    show_default=True,
    help="Number of seeds per candidate.",
)
@path_option("--out", help_text="File for the reduced scenario.", required=True)
@path_option("--log", help_text="Write every step to this file.")
@click.option(
    "--limit", "limit_s", type=click.FloatRange(min=1), help="Maximum duration of a run, in seconds."
)
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
    """Reduce a failing scenario to the fewest faults, nodes, servers, keys and seconds that still fail.

    The output is an ordinary scenario that expects its broken rule (expect.breaks); the seed with which it
    fails is printed. A scenario that does not fail as requested is invalid input: exit code 2.

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
    click.echo(f"run it: flintridge lab run {out} --seed {shrunk.seed}")


def _check_one_goal(rule: str | None, goodput_under: float | None, unfinished: bool) -> None:
    """Raise UsageError if more than one option says which failure must remain."""
    goals = [rule is not None, goodput_under is not None, unfinished]
    if goals.count(True) > 1:
        raise click.UsageError("give only one of --rule, --goodput-under and --unfinished")


def _predicate(rule: str | None, goodput_under: float | None, unfinished: bool) -> "Predicate | None":
    """Return the failure that must remain, by the options; None for the rule that is broken most."""
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
