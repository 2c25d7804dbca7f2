"""Settings and inputs of the tests that feed arbitrary data to decoders.

`LIMPETYARD_FUZZ_EXAMPLES` sets the number of examples of each test. With its
default, the examples are the same in each run; with another number they are
random, so that long runs by hand search further.
"""

import copy
import json
import os
from collections.abc import Coroutine

import msgspec
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st

from limpetyard import _events
from limpetyard._http_client import HttpResponse

EXAMPLES_ENV = "LIMPETYARD_FUZZ_EXAMPLES"
DEFAULT_EXAMPLES = 200
MAX_EXAMPLES = 1_000_000

# Deeper than the recursion limit of any decoder.
DEPTH = 10_000

# Texts that stand for JSON that no Python value is encoded to.
_JSON_MARKS = {
    b'"@lists"': b"[" * DEPTH + b"]" * DEPTH,
    b'"@objects"': b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b'"@open"': b"[" * DEPTH,
    b'"@1e400"': b"1e400",
    b'"@digits"': b"9" * 5000,
    b'"@-digits"': b"-" + b"9" * 4000,
    b'"@long"': b'"' + b"x" * 300_000 + b'"',
    b'"@not utf-8"': b'"\xff\xfe"',
}
# The same for MessagePack; a text of up to 31 bytes begins with its length.
_MSGPACK_MARKS = {
    b"\xa6@lists": b"\x91" * DEPTH + b"\xc0",
    b"\xa8@objects": b"\x81\xa1a" * DEPTH + b"\xc0",
    b"\xa5@open": b"\xdd\xff\xff\xff\xff",
    b"\xa6@bytes": b"\xc6\xff\xff\xff\xff",
    b"\xa4@ext": b"\xd6\xff\x00\x00\x00\x01",
    b"\xaa@not utf-8": b"\xa2\xff\xfe",
}


def _example_count() -> int:
    text = os.environ.get(EXAMPLES_ENV, str(DEFAULT_EXAMPLES))
    if not text.isascii() or not text.isdigit():
        raise ValueError(f"{EXAMPLES_ENV}={text!r} must be a whole number")
    if not 1 <= int(text[:20]) <= MAX_EXAMPLES:
        raise ValueError(f"{EXAMPLES_ENV}={text} must be 1 to {MAX_EXAMPLES}")
    return int(text)


EXAMPLES = _example_count()

fuzzed = settings(
    derandomize=EXAMPLES == DEFAULT_EXAMPLES,
    database=None,
    deadline=None,
    max_examples=EXAMPLES,
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
    # Bombs are large inputs.
    suppress_health_check=list(HealthCheck),
)

# What is done to a part of a valid value; most often it gets another value of
# its type.
_CHANGES = ("like", "like", "like", "any", "add", "drop", "twice")

# Samples with repetitions are weighted choices; `one_of` has no weights.
_replaces_all = st.sampled_from((False,) * 19 + (True,))
_change_counts = st.sampled_from((0, 1, 1, 1, 2, 2, 3))
_damages = st.sampled_from((None,) * 12 + ("cut", "splice", "bytes"))
_descends = st.sampled_from((True, True, True, False))

EDGE_INTS = (
    -1,
    0,
    1,
    2**31,
    2**53 - 1,
    2**53,
    2**53 + 1,
    2**63 - 1,
    2**63,
    2**64 - 1,
)
_HUGE_INTS = (2**64, -(2**63) - 1, 10**400)
_EDGE_FLOATS = (0.5, -0.0, 1e300, -1e300)
_NOT_FINITE = (float("nan"), float("inf"), float("-inf"))
_TEXTS = ("", "1", "-1", "a\nb", "\x00", "\u2028", "9" * 5000, "x" * 300)


def _values(scalars, marks):
    names = [mark[mark.index(b"@") :].strip(b'"').decode() for mark in marks]
    leaves = st.one_of(
        st.none(),
        st.booleans(),
        st.sampled_from(EDGE_INTS),
        st.integers(-(2**63), 2**64 - 1),
        st.sampled_from(_EDGE_FLOATS),
        st.sampled_from(_TEXTS),
        st.text(max_size=20),
        st.sampled_from(names),
        *scalars,
    )
    nested = st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=4),
            st.dictionaries(st.text(max_size=5), inner, max_size=4),
        ),
        max_leaves=6,
    )
    return st.one_of(nested, nested, st.sampled_from(names))


# Any text, also what UTF-8 cannot encode.
_ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=10)

json_values = _values(
    (st.sampled_from(_HUGE_INTS), st.sampled_from(_NOT_FINITE), _ANY_TEXT),
    _JSON_MARKS,
)
msgpack_values = _values(
    (st.sampled_from(_NOT_FINITE), st.binary(max_size=9)), _MSGPACK_MARKS
)


def _to_json(value: object) -> bytes:
    return _replace_marks(json.dumps(value).encode(), _JSON_MARKS)


def _to_msgpack(value: object) -> bytes:
    return _replace_marks(msgspec.msgpack.encode(value), _MSGPACK_MARKS)


def _replace_marks(data: bytes, marks: dict[bytes, bytes]) -> bytes:
    for mark, replacement in marks.items():
        data = data.replace(mark, replacement)
    return data


def _draw_path(draw, value: object) -> tuple:
    """Draws the path of a part of a value; () is the value itself."""
    path = ()
    while isinstance(value, dict | list) and value and draw(_descends):
        keys = list(value) if isinstance(value, dict) else range(len(value))
        key = draw(st.sampled_from(keys))
        path, value = (*path, key), value[key]
    return path


def _like(value: object) -> st.SearchStrategy:
    """Other values of the same type, which a decoder may well accept."""
    if isinstance(value, bool) or value is None:
        return st.sampled_from((True, False, None))
    if isinstance(value, int):
        return st.one_of(
            st.integers(-2, 12),
            st.sampled_from(EDGE_INTS),
            st.sampled_from((value - 1, value + 1)),
        )
    if isinstance(value, float):
        return st.one_of(st.floats(), st.sampled_from(EDGE_INTS))
    if isinstance(value, str):
        return st.one_of(
            st.sampled_from((*_TEXTS, value.upper(), " " + value, value[:-1])),
            st.text(max_size=20),
        )
    if isinstance(value, list):
        return st.one_of(
            st.permutations(value), st.just(value * 2), st.just([])
        )
    return st.just({})


@st.composite
def changed(draw, valid, values=json_values):
    """A valid value, of which up to three parts are changed.

    Args:
        draw: Given by hypothesis.
        valid: Value of dicts, lists and scalars.
        values: Strategy for parts of any type.
    """
    if draw(_replaces_all):
        return draw(values)
    value = copy.deepcopy(valid)
    for _ in range(draw(_change_counts)):
        path = _draw_path(draw, value)
        change = draw(st.sampled_from(_CHANGES))
        parent, part = None, value
        for key in path:
            parent, part = part, part[key]
        if change == "add" and isinstance(part, dict):
            part[draw(st.text(max_size=5))] = draw(values)
        elif parent is None:
            continue
        elif change == "any":
            parent[path[-1]] = draw(values)
        elif change == "drop":
            del parent[path[-1]]
        elif change == "twice" and isinstance(parent, list):
            parent.insert(path[-1], copy.deepcopy(part))
        else:
            parent[path[-1]] = draw(_like(part))
    return value


@st.composite
def _encoded(draw, values, encode):
    """Encoded values, sometimes cut off or with other bytes, or any bytes."""
    damage = draw(_damages)
    if damage == "bytes":
        return draw(st.binary(max_size=40))
    data = encode(draw(values))
    position = draw(st.integers(0, min(len(data), 2000))) if damage else 0
    if damage == "cut":
        return data[:position]
    if damage == "splice":
        part = draw(st.binary(min_size=1, max_size=4))
        return data[:position] + part + data[position:]
    return data


def json_bodies(valid: object) -> st.SearchStrategy[bytes]:
    """Bodies that resemble a valid one, and any bytes."""
    return _encoded(changed(valid), _to_json)


def msgpack_records(valid: object) -> st.SearchStrategy[bytes]:
    """Records that resemble a valid one, and any bytes."""
    return _encoded(changed(valid, msgpack_values), _to_msgpack)


def run(coro: Coroutine):
    """Runs a coroutine that waits for nothing but the next iteration."""
    try:
        while True:
            coro.send(None)
    except StopIteration as exc:
        return exc.value


class Reply:
    """Stands in for `HttpClient`: each call gets the same reply."""

    def __init__(self, status: int, body: bytes):
        self._reply = HttpResponse(status, body)

    async def call(self, *args) -> HttpResponse:
        """Returns the reply."""
        return self._reply


class LoggedLines:
    """Formats each event as its log line while it is entered."""

    def __enter__(self):
        _events.add_listener(self._check)
        return self

    def __exit__(self, *args):
        _events._listeners.remove(self._check)

    def _check(self, name: str, fields: dict[str, object]) -> None:
        for value in fields.values():
            line = _events._quote(value)
            if not line.encode() or "\n" in line:
                raise AssertionError(f"{name} is no line: {value!r}")
