"""Wording that the checks of a scenario share: each is `path: what is wrong; what is allowed`."""

from collections import Counter
from collections.abc import Iterator, Sequence

MAX_LISTED = 12  # names; of more the first and the last are shown


def listed(names: Sequence[str]) -> str:
    """Return names as a message shows them."""
    if len(names) <= MAX_LISTED:
        return ", ".join(names)
    return f"{', '.join(names[:3])} ... {names[-1]}"


def unknown_name(path: str, name: str | None, known: Sequence[str], what: str) -> Iterator[str]:
    """Yield a contradiction where a name is given that is not known.

    Args:
        path: Where the name stands in the scenario.
        name: The name; empty or None: none is given.
        known: The names that are allowed.
        what: What is named, for the message.
    """
    if name and name not in known:
        yield f"{path}: there is no {what} {name!r}; allowed are {listed(known)}"


def duplicate_names(path: str, names: Sequence[str]) -> Iterator[str]:
    """Yield a contradiction for each name that is there several times.

    Args:
        path: Where the names stand in the scenario.
        names: All of them.
    """
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{path}: {name!r} is there {count} times; each name may be there once"
