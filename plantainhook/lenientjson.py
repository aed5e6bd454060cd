"""Decode JSON text that has unreadable parts.

A reply of the store contains the entries of many writers. If one of them
can't be decoded, for example because of control characters, its nesting or
the length of a number, the others still count.

``decode`` first decodes the text as a whole. If that fails, it splits the
outermost array or object and decodes its values one by one, and so on. A value
that can't be decoded either becomes None.
"""

import json
import re
import typing
from collections import abc

import msgspec

# Values below this depth are decoded as a whole or not at all.
SPLIT_DEPTH: typing.Final = 6

_TOKEN: typing.Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_KEY: typing.Final = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)


def decode(text: bytes, depth: int = SPLIT_DEPTH) -> typing.Any:
    """Return the value of a JSON text, with None for unreadable parts.

    Invalid UTF-8 is replaced. The result can be encoded as JSON again.
    """
    try:
        value = json.loads(text.decode("utf-8", "replace"))
        # A string may have an escaped surrogate that UTF-8 can't express.
        msgspec.json.encode(value)
        return value
    except (ValueError, RecursionError):
        pass
    stripped = text.strip()
    if depth == 0 or len(stripped) < 2:
        return None
    ends = stripped[:1] + stripped[-1:]
    parts = _split(stripped[1:-1])
    if ends == b"[]":
        return [decode(part, depth - 1) for part in parts]
    if ends == b"{}":
        return dict(_decode_members(parts, depth - 1))
    return None


def _decode_members(
    parts: abc.Iterable[bytes], depth: int
) -> abc.Iterator[tuple[str, typing.Any]]:
    """Decode the members of an object; skip those without a valid key."""
    for part in parts:
        matched = _KEY.match(part)
        key = decode(matched.group(1), 0) if matched else None
        if matched and isinstance(key, str):
            yield key, decode(part[matched.end() :], depth)


def _split(text: bytes) -> list[bytes]:
    """Split a text at the commas that are in no string, array or object."""
    parts = []
    level = 0
    begin = 0
    for matched in _TOKEN.finditer(text):
        token = matched.group()
        if token in b"[{":
            level += 1
        elif token in b"]}":
            level -= 1
        elif token == b"," and level == 0:
            parts.append(text[begin : matched.start()])
            begin = matched.end()
    if parts or text[begin:].strip():
        parts.append(text[begin:])
    return parts
