"""Files with changed, removed or added values, for property tests with arbitrary input."""

import copy

from hypothesis import settings
from hypothesis import strategies as st

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=150)

any_value = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 10**20)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(["crash", "read", "1.2s", "through", "x" * 500, 10**400, "127.0.0.1:1"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=5,
)


def paths_in(value, path=()):
    """Yield the path of a value and of every value nested in it."""
    yield path
    entries = ()
    if isinstance(value, dict):
        entries = value.items()
    elif isinstance(value, list):
        entries = enumerate(value)
    for step, entry in entries:
        yield from paths_in(entry, (*path, step))


@st.composite
def malformed(draw, valid_values):
    """The values of a valid file with up to three of them changed, removed or added under a random name."""
    values = copy.deepcopy(valid_values)
    for _ in range(draw(st.integers(1, 3))):
        *path, last = draw(st.sampled_from([path for path in paths_in(values) if path]))
        parent = values
        for step in path:
            parent = parent[step]
        change = draw(st.integers(0, 4))
        if change == 0:
            del parent[last]
        elif change == 1 and isinstance(parent, dict):
            parent[draw(st.text(min_size=1, max_size=8))] = draw(any_value)
        else:
            parent[last] = draw(any_value)
        if not values:
            break
    return values
