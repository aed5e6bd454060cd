"""Find the line numbers of key paths in a TOML file.

``tomllib`` returns no positions, so the text is scanned once an error has to
be reported. The scan recognises table headers, keys, and arrays with one
inline table per line. A path that it does not recognise gets the line of its
nearest parent.
"""

import dataclasses
import re
import tomllib
import typing
from collections import abc

KeyPath = tuple[str | int, ...]

STRING_PATTERN: typing.Final = re.compile(
    r'"""|\'\'\'|"(?:\\.|[^"\\])*"|\'[^\']*\''
)
KEY_PATTERN: typing.Final = re.compile(
    r"""^((?:"(?:\\.|[^"\\])*"|'[^']*'|[\w-]+|\s*\.\s*)+)\s*="""
)
BARE_KEYS_PATTERN: typing.Final = re.compile(
    r"\[{0,2}([\w-]+(?:\.[\w-]+)*)(?:\]{1,2}\s*| = 0)"
)
TOML_POSITION_PATTERN: typing.Final = re.compile(r"at line (\d+)")


@dataclasses.dataclass(slots=True)
class _ScanState:
    """Represent the state of a scan between lines.

    ``table`` and ``array`` are the paths of the current table and of the last
    key, ``element`` is the index of the last inline table in that array, and
    ``counts`` holds the last index of each array of tables. ``depth`` counts
    open brackets, and ``in_text`` is true within a multi-line string.
    """

    lines: dict[KeyPath, int]
    table: KeyPath = ()
    array: KeyPath = ()
    depth: int = 0
    element: int = -1
    counts: dict[KeyPath, int] = dataclasses.field(default_factory=dict)
    in_text: bool = False


def scan(text: str) -> dict[KeyPath, int]:
    """Return the line number of each key path of a valid TOML text."""
    state = _ScanState(lines={})
    for number, line in enumerate(text.splitlines(), start=1):
        _scan_line(state, number, line.strip())
    return state.lines


def line_of(lines: abc.Mapping[KeyPath, int], path: KeyPath) -> int:
    """Return the line of a path or of its nearest parent, or 0."""
    for length in range(len(path), 0, -1):
        number = lines.get(path[:length])
        if number is not None:
            return number
    return 0


def syntax_error_line(message: str) -> int:
    """Return the line number in a message of ``tomllib``, or 0."""
    found = TOML_POSITION_PATTERN.search(message)
    return int(found.group(1)) if found else 0


def _scan_line(state: _ScanState, number: int, line: str) -> None:
    """Process one line, without spaces at its ends."""
    plain = _without_strings(state, line)
    if state.in_text or not line or line.startswith("#"):
        return
    if state.depth > 0:
        _scan_array_line(state, number, line)
    elif line.startswith("["):
        _scan_header(state, number, line)
        return
    else:
        _scan_key(state, number, line)
    state.depth += sum(plain.count(c) for c in "[{")
    state.depth -= sum(plain.count(c) for c in "]}")


def _without_strings(state: _ScanState, line: str) -> str:
    """Return a line without strings and comment.

    Also track whether a multi-line string is open.
    """

    def replace(found: re.Match[str]) -> str:
        if len(found.group()) == 3 and found.group() in ('"""', "'''"):
            state.in_text = not state.in_text
        return "_"

    return STRING_PATTERN.sub(replace, line).partition("#")[0]


def _scan_header(state: _ScanState, number: int, line: str) -> None:
    """Enter a table; the elements of an array of tables get an index."""
    keys = _keys(line.split("#")[0] if '"' not in line else line)
    path: KeyPath = ()
    for i, key in enumerate(keys):
        path = (*path, key)
        last = i == len(keys) - 1
        if last and line.startswith("[["):
            state.counts[path] = state.counts.get(path, -1) + 1
            state.lines.setdefault(path, number)
        if path in state.counts:
            path = (*path, state.counts[path])
    state.table = path
    state.lines.setdefault(path, number)


def _scan_key(state: _ScanState, number: int, line: str) -> None:
    """Record the line of a key and of its parents."""
    found = KEY_PATTERN.match(line)
    if found is None:
        return
    path = (*state.table, *_keys(f"{found.group(1)} = 0"))
    for length in range(len(state.table) + 1, len(path) + 1):
        state.lines.setdefault(path[:length], number)
    state.array = path
    state.element = -1


def _scan_array_line(state: _ScanState, number: int, line: str) -> None:
    """Record the line of an inline table that is an element of an array."""
    if line.startswith("{") and state.depth == 1:
        state.element += 1
        state.lines.setdefault((*state.array, state.element), number)


def _keys(toml: str) -> list[str]:
    """Return the keys in the line of a header or key, or none."""
    bare = BARE_KEYS_PATTERN.fullmatch(toml)
    if bare is not None:
        return bare.group(1).split(".")
    try:
        value: typing.Any = tomllib.loads(toml)
    except tomllib.TOMLDecodeError:
        return []
    keys = []
    while isinstance(value, dict | list) and value:
        if isinstance(value, list):
            value = value[0]
            continue
        key = next(iter(value))
        keys.append(key)
        value = value[key]
    return keys
