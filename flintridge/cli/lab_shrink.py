"""`flintridge lab shrink`."""

from pathlib import Path

import click

from flintridge.cli.exits import Wrong
from flintridge.cli.lab_shared import claim, jobs_option, json_option, path_option
from flintridge.cli.options import backend_option, force_option, scenario_argument, seed_option, set_option


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
@click.option("--tries", type=click.IntRange(1, 100), default=3, show_default=True, help="Seeds a candidate.")
@path_option("--out", told="File for the scenario found.", required=True)
@path_option("--log", told="Write every step to this file.")
@click.option("--limit", "limit_s", type=click.FloatRange(min=1), help="Seconds that a run may take.")
@backend_option
@jobs_option
@json_option
@click.option("--defect", hidden=True, help="Plant a defect of flintridge.lab.defects in every node.")
@force_option
def command(
    scenario: str,
    seed: int,
    overrides: tuple[str, ...],
    rule: str | None,
    goodput_under: float | None,
    unfinished: bool,
    budget: int,
    tries: int,
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
    if (rule is not None) + (goodput_under is not None) + unfinished > 1:
        raise click.UsageError("one of --rule, --goodput-under and --unfinished")
    claim([out, log, json_file], force)
    import msgspec

    from flintridge.lab.experiment import output
    from flintridge.lab.experiment.failure_predicates import (
        Breaks,
        DidNotComplete,
        GoodputBelow,
        Predicate,
        ScenarioDoesNotFailError,
    )
    from flintridge.lab.experiment.shrink import Step, shrink
    from flintridge.lab.report import tables
    from flintridge.lab.scenario.load import dump, load

    predicate: Predicate | None = None
    if rule is not None:
        predicate = Breaks(rule)
    elif goodput_under is not None:
        predicate = GoodputBelow(goodput_under)
    elif unfinished:
        predicate = DidNotComplete()

    def told(step: Step) -> None:
        if step.taken:
            click.echo(f"{step.number:5d}  {step.text}", err=True)

    day = load(scenario, list(overrides))
    try:
        found = shrink(
            day,
            seed,
            predicate,
            budget=budget,
            seeds_per_candidate=tries,
            backend=backend,
            defect=defect,
            workers=workers,
            on_step=told,
            limit_s=limit_s,
        )
    except ScenarioDoesNotFailError as error:
        raise Wrong(f"{scenario}: {error}") from error
    output.write(out, dump(found.scenario))
    if log is not None:
        lines = [f"{s.number:5d}  {'taken' if s.taken else '-':5}  {s.text}\n" for s in found.steps]
        output.write(log, "".join(lines))
    if json_file is not None:
        output.write(json_file, output.json_text(msgspec.to_builtins(found)))
    tables.print_shrunk(found)
    click.echo(f"play it: flintridge lab run {out} --seed {found.seed}")
