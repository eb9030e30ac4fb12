"""`flintridge lab report`: writes an HTML report of a saved result."""

from pathlib import Path

import click

from flintridge.cli.exits import CommandError
from flintridge.cli.lab_shared import check_outputs
from flintridge.cli.options import ScenarioName, force_option


@click.command
@click.argument("saved", type=click.Path(path_type=Path), metavar="JSON")
@click.option(
    "--out", type=click.Path(path_type=Path), help="The HTML file.  [default: JSON's name with .html]"
)
@click.option("--scenario", type=ScenarioName(), help="The scenario of the run, to include in the report.")
@force_option
def command(saved: Path, out: Path | None, scenario: str | None, force: bool) -> None:
    """Write the HTML report of a run, comparison, sweep or search that was saved as JSON.

    \b
    Examples:
      flintridge lab report day.json
      flintridge lab report found/search.json --out found.html
    """
    out = saved.with_suffix(".html") if out is None else out
    data = saved.read_bytes()
    check_outputs([out], force)
    import msgspec

    from flintridge.lab.experiment import output
    from flintridge.lab.report.html import report_of_json
    from flintridge.lab.scenario.load import dump, load

    loaded = None if scenario is None else load(scenario)
    try:
        page = report_of_json(data, loaded, "" if loaded is None else dump(loaded))
    except (msgspec.MsgspecError, ValueError) as error:
        raise CommandError(f"{saved}: is not a result of the lab: {error}") from error
    output.write(out, page)
    click.echo(out)
