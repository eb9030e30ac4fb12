"""Files that commands write: whole or not at all, and never over what is there without being told to."""

import os
import tempfile
from pathlib import Path
from typing import Any

import orjson


def write(path: Path, content: str | bytes) -> None:
    """Put the file there in one step, readable as the umask has it; raises OSError."""
    data = content.encode() if isinstance(content, str) else content
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
        mask = os.umask(0)
        os.umask(mask)
        os.chmod(temporary, 0o666 & ~mask)
        os.replace(temporary, path)
    except BaseException:
        Path(temporary).unlink(missing_ok=True)
        raise


def write_new(path: Path, content: str | bytes) -> bool:
    """The same, but leaves alone what is there; whether it wrote."""
    if path.exists():
        return False
    write(path, content)
    return True


def json_text(value: Any) -> bytes:
    """Indented JSON with a line end."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS) + b"\n"
