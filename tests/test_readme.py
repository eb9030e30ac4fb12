import re

from support.paths import ROOT


def test_the_example_runs(capsys):
    text = (ROOT / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    lines = capsys.readouterr().out.split("\n")
    assert re.fullmatch(r"send r1 to 10\.0\.0\.[123]:8080", lines[0])
    assert lines[1] == "then []"
