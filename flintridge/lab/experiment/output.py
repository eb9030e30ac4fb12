"""Files that commands write: whole or not at all, and never over what is there without being asked to."""

import os
import tempfile
from pathlib import Path
from typing import Any

import orjson


def write(path: Path, content: str | bytes) -> None:
    """Write a file in one step, with the permissions that the umask allows.

    Args:
        path: The file, replaced where it exists.
        content: Bytes, or text that is encoded as UTF-8.

    Raises:
        OSError: It cannot be written; what was there is unchanged.
    """
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
    """Write a file as `write` does unless it exists; return whether it was written."""
    if path.exists():
        return False
    write(path, content)
    return True


def json_text(value: Any) -> bytes:
    """Return indented JSON with a line end."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS) + b"\n"
