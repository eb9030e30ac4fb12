"""Tests of the tables for the terminal, and of the modules that they import."""

import subprocess
import sys
from pathlib import Path

from support.lab_reports import HOSTILE_TEXT, result

from flintridge.lab.experiment.search_results import Search, SearchRun
from flintridge.lab.report import tables


def test_tables_print_any_text_of_a_result(capsys):
    tables.print_run(result(), ["rule drain broken 1 time"], ())
    tables.print_search(
        Search(
            seed=1,
            space_version=1,
            runs=[SearchRun(number=0, seed=2, name=HOSTILE_TEXT, failure=HOSTILE_TEXT)],
        ),
        HOSTILE_TEXT,
    )
    output = capsys.readouterr().out
    assert "unsound: rule drain" in output and "[bold] {{ 7*7 }}" in output


def test_matplotlib_is_loaded_only_for_reports():
    code = (
        "import sys, flintridge.lab.report.tables, flintridge.cli.lab_run, flintridge.lab.experiment.shrink\n"
        "assert 'matplotlib' not in sys.modules and 'jinja2' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=Path(__file__).parents[3])
