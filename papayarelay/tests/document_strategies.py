"""Hypothesis strategies that generate invalid documents from a valid one."""

import copy
import json

from hypothesis import settings
from hypothesis import strategies as st

MAX_EXAMPLES = 3_000
DETERMINISTIC = settings(
    max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None
)

# Invalid as the value of any key in the settings and the configuration.
INVALID_VALUES = st.one_of(
    st.none(),
    st.floats(max_value=-1.0),
    st.just(float("nan")),
    st.integers(max_value=-1),
    st.integers(min_value=2**40),
    st.text(min_size=1).map(lambda text: f"\x00{text}"),
    st.lists(st.one_of(st.none(), st.integers(), st.just("")), min_size=1),
    st.dictionaries(st.text(), st.none(), min_size=1),
)


def list_paths(value: object, path: tuple = ()) -> list[tuple]:
    """Return the path of every entry of nested objects."""
    if not isinstance(value, dict):
        return []
    paths = []
    for name, entry in value.items():
        paths.append((*path, name))
        paths += list_paths(entry, (*path, name))
    return paths


def get_entry(document: dict, path: tuple) -> object:
    """Return the entry at a path."""
    for name in path:
        document = document[name]
    return document


@st.composite
def invalid_documents(draw, document: dict, required: tuple[str, ...]) -> str:
    """Return the text of a document with at least one error.

    ``required`` lists the keys that have no default.
    """
    text = json.dumps(document)
    mutation = draw(
        st.sampled_from(["value", "key", "absent", "text", "cut", "repeat"])
    )
    if mutation == "text":
        return draw(st.text(alphabet=st.characters(exclude_characters="{"))) + "]"
    if mutation == "cut":
        return text[: draw(st.integers(0, len(text) - 1))]
    if mutation == "repeat":
        name = draw(st.sampled_from(sorted(document)))
        return f"{text[:-1]}, {json.dumps(name)}: {json.dumps(document[name])}}}"
    changed = copy.deepcopy(document)
    paths = list_paths(changed)
    if mutation == "absent":
        paths = [path for path in paths if path[-1] in required]
    for path in draw(st.lists(st.sampled_from(paths), min_size=1, max_size=3)):
        try:
            parent = get_entry(changed, path[:-1])
            if mutation == "absent":
                parent.pop(path[-1], None)
            elif mutation == "value":
                parent[path[-1]] = draw(INVALID_VALUES)
            else:
                parent[f"{path[-1]} {draw(st.text(max_size=9))}"] = draw(INVALID_VALUES)
        except (KeyError, TypeError, IndexError):
            continue
    return json.dumps(changed)
