"""Parser of a node's call to discovery, from the target of the HTTP request."""

from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

PATH = "/api/targets"
MAX_DIGITS = 15


class MalformedCallError(ValueError):
    """A call has a form that no correct node sends."""


@dataclass(slots=True, frozen=True)
class ListCall:
    """A call for the endpoint list.

    Attributes:
        after: The revision that the node has; 0 asks for the complete list.
        wait_ms: How long the call may wait for a newer revision (ms).
    """

    after: int
    wait_ms: float


def read_target(target: str) -> ListCall:
    """Parse the target of a call.

    Raises:
        MalformedCallError: No correct node makes such a call.
    """
    url = urlsplit(target)
    if url.path != PATH:
        raise MalformedCallError(f"unknown path: {url.path[:100]}")
    values = {"after": 0, "wait_ms": 0}
    for name, text in parse_qsl(url.query, keep_blank_values=True):
        if name not in values or not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
            raise MalformedCallError(f"invalid query parameter: {name[:40]}={text[:40]}")
        values[name] = int(text)
    return ListCall(values["after"], float(values["wait_ms"]))
