"""Tests of the output files of commands."""

import pytest

from flintridge.lab.experiment import output


def test_a_file_is_written_completely_or_not_at_all(tmp_path):
    path = tmp_path / "x.json"
    output.write(path, b"one")
    assert not output.write_new(path, b"two") and path.read_bytes() == b"one"
    with pytest.raises(UnicodeEncodeError):
        output.write(path, "\ud800")
    with pytest.raises(FileNotFoundError):
        output.write(tmp_path / "none" / "x", b"")
    assert [p.name for p in tmp_path.iterdir()] == ["x.json"] and path.read_bytes() == b"one"
