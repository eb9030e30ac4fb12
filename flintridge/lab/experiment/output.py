"""Writes the output files of commands atomically, and does not overwrite existing files unless requested."""

import os
import tempfile
from pathlib import Path
from typing import Any

import orjson


def write(path: Path, content: str | bytes) -> None:
    """Write a file atomically, with the permissions that the umask allows.

    Args:
        path: The path of the file; an existing file is replaced.
        content: The content; text is encoded as UTF-8.

    Raises:
        OSError: The file cannot be written; an existing file is unchanged.
    """
    data = content.encode() if isinstance(content, str) else content
    descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
        mask = os.umask(0)
        os.umask(mask)
        os.chmod(temporary, 0o666 & ~mask)
        os.replace(temporary, path)
    except BaseException:
        Path(temporary).unlink(missing_ok=True)
        raise


def write_new(path: Path, content: str | bytes) -> bool:
    """Write a file atomically unless it exists, and return whether it was written."""
    if path.exists():
        return False
    write(path, content)
    return True


def json_text(value: Any) -> bytes:
    """Return a value as indented JSON with sorted keys and a final newline."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS) + b"\n"
