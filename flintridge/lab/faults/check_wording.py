"""Messages shared by the checks of a scenario, each as `path: what is wrong; what is allowed`."""

from collections import Counter
from collections.abc import Iterator, Sequence

MAX_LISTED = 12  # names in a message; of a longer list only the first three and the last are shown


def listed(names: Sequence[str]) -> str:
    """Return names as a comma-separated list, abbreviated if there are more than `MAX_LISTED`."""
    if len(names) <= MAX_LISTED:
        return ", ".join(names)
    return f"{', '.join(names[:3])} ... {names[-1]}"


def unknown_name(path: str, name: str | None, known: Sequence[str], what: str) -> Iterator[str]:
    """Yield a contradiction if a name is given that is not known.

    Args:
        path: The path of the name in the scenario.
        name: The name; empty or None if none is given.
        known: The names that are allowed.
        what: The kind of thing that is named, for the message.
    """
    if name and name not in known:
        yield f"{path}: there is no {what} {name!r}; allowed are {listed(known)}"


def duplicate_names(path: str, names: Sequence[str]) -> Iterator[str]:
    """Yield a contradiction for each name that occurs more than once.

    Args:
        path: The path of the list of names in the scenario.
        names: All names of the list.
    """
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{path}: {name!r} occurs {count} times; each name may occur once"
