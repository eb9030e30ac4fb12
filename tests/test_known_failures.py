"""KNOWN-RED.txt: failures of listed tests are printed and passed over, all others fail the run."""

from pathlib import Path

import pytest
import support
from support.known_failures import MalformedEntryError, parse

pytest_plugins = ["pytester"]

ENTRY = """\
test: test_it.py::test_wrong
command: pytest -q
seed: 7
seen: assert 1 == 2
 in every run
issue: 45
"""

TESTS = """
    import pytest

    def test_wrong():
        assert 1 == 2

    def test_sound():
        pass

    @pytest.fixture
    def broken():
        raise RuntimeError("no set-up")

    def test_set_up(broken):
        pass
"""


@pytest.fixture
def project(pytester):
    pytester.makeini(f"[pytest]\npythonpath = {Path(support.__file__).parent.parent}")
    pytester.makeconftest("from support.known_failures import pytest_configure")
    pytester.makepyfile(test_it=TESTS)
    return pytester


def run(project, listed, *args):
    if listed is not None:
        (project.path / "KNOWN-RED.txt").write_text(listed)
    return project.runpytest_subprocess("-p", "no:cacheprovider", *args)


def listing(test):
    return ENTRY.replace("test_wrong", test)


def test_an_entry_when_it_is_complete_is_read_with_its_continued_line():
    (entry,) = parse(ENTRY)
    assert (entry.test, entry.command, entry.seed) == ("test_it.py::test_wrong", "pytest -q", "7")
    assert (entry.seen, entry.issue) == ("assert 1 == 2 in every run", 45)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (ENTRY.replace("seed: 7\n", ""), "line 1: the entry has no seed"),
        (ENTRY.replace("seed: 7", "seed:"), "line 1: the entry has no seed"),
        (ENTRY + "why: bad luck\n", "line 7: 'why: bad luck': one of test"),
        (ENTRY + "seed: 8\n", "line 7: seed is given twice"),
        (ENTRY.replace("45", "forty"), "line 1: issue: 'forty' is not a number"),
        (ENTRY.replace("test_it.py::test_wrong", "test_wrong"), "line 1: test: 'test_wrong' is no node id"),
        (ENTRY + "\n" + ENTRY, "line 8: test: 'test_it.py::test_wrong' is listed twice"),
        (" continued", "line 1: continuation line without a field"),
    ],
)
def test_an_entry_when_it_is_malformed_is_rejected_with_its_line(text, message):
    with pytest.raises(MalformedEntryError) as raised:
        parse(text)
    assert message in str(raised.value)


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
def test_a_listed_test_when_it_fails_is_printed_and_passed_over(project, workers):
    listed = listing("test_wrong") + "\n" + listing("test_set_up")
    result = run(project, listed, *workers)
    assert result.ret == 0
    result.stdout.fnmatch_lines_random(
        [
            "*known failures (KNOWN-RED.txt)*",
            "test_it.py::test_wrong: failed, passed over (issue 45)",
            "  expected: assert 1 == 2 in every run",
            "E  * assert 1 == 2",
            "test_it.py::test_set_up: failed, passed over (issue 45)",
            "E  * RuntimeError: no set-up",
        ]
    )


def test_a_listed_test_when_it_passes_is_reported_for_removal(project):
    result = run(project, listing("test_sound"), "-k", "sound")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["test_it.py::test_sound: passed; remove its entry (issue 45)"])


def test_a_listed_test_when_it_is_not_run_is_reported_as_not_run(project):
    result = run(project, listing("test_wrong"), "-k", "sound")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["test_it.py::test_wrong: not run (issue 45)"])


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
@pytest.mark.parametrize("listed", [None, listing("test_wrong")], ids=["no-file", "another-listed"])
def test_a_test_when_it_is_not_listed_fails_the_run(project, listed, workers):
    result = run(project, listed, *workers)
    assert result.ret == 1
    assert ("known failures" in result.stdout.str()) == (listed is not None)


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
def test_a_run_when_the_file_is_malformed_fails_though_its_tests_pass(project, workers):
    result = run(project, "test: test_it.py::test_wrong\n", "-k", "sound", *workers)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt: line 1: the entry has no command, seed, seen, issue*"])
