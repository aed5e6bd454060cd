"""Split a JSON text into the texts of its parts without decoding them.

Parts are told apart by brackets and quotes alone, so the bytes between them
need not be JSON. Where brackets don't pair or a string does not end, it is not
known to which part the bytes that follow belong; ``split_array`` returns them
as one rest and never guesses where the next part begins.

The time is linear in the length of the text. The splitters are generators that
yield where other tasks may run, see ``lenientjson.run_in_steps``.
"""

import re
import typing
from collections import abc

# The brackets that are passed in one step.
STEP_COUNT: typing.Final = 1000

_STRING: typing.Final = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_BLANK: typing.Final = re.compile(rb"[ \t\n\r]*+")
_NAME: typing.Final = re.compile(
    rb"(" + _STRING + rb")[ \t\n\r]*+:[ \t\n\r]*+", re.DOTALL
)
# A list or object without others in it is passed in one step.
_FLAT: typing.Final = rb'(?:[^"\[\]{}]++|' + _STRING + rb")*+"
_FLAT_PART: typing.Final = rb"\[" + _FLAT + rb"\]|\{" + _FLAT + rb"\}"
# What precedes the next bracket, and the end of a flat value.
_TO_BRACKET: typing.Final = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb"|" + _FLAT_PART + rb")*+", re.DOTALL
)
_TO_END: typing.Final = re.compile(
    rb'(?:[^"\[\]{},]++|' + _STRING + rb")*+", re.DOTALL
)
_CLOSING: typing.Final = {b"[": b"]", b"{": b"}"}

T = typing.TypeVar("T")
Steps = abc.Generator[None, None, T]


class Span(typing.NamedTuple):
    """Represent a part of a text by where it starts and ends."""

    start: int
    end: int


class Split(typing.NamedTuple):
    """Represent the array of a text by its values.

    ``end`` is where the values end, or the text that can't be split begins.
    ``members`` are the other members of the object that contains the array,
    by name; those after it are missing unless the text ``is_whole``.
    """

    values: list[Span]
    end: int
    members: dict[bytes, bytes]
    is_whole: bool


def split_array(text: bytes, name: bytes) -> Steps[Split | None]:
    """Split an object of which one member is an array.

    Returns None if the text does not begin with such an object.
    """
    scanner = _Scanner(text)
    values: list[Span] | None = None
    members: dict[bytes, bytes] = {}
    is_whole = scanner.pass_token(b"{")
    while is_whole and not scanner.pass_token(b"}"):
        member = scanner.read_name()
        if member == name and values is None and scanner.pass_token(b"["):
            values = []
            is_whole = yield from scanner.read_values(values)
        elif member is not None:
            span = yield from scanner.read_value()
            is_whole = span is not None
            if span is not None:
                members[member] = text[span.start : span.end]
        else:
            is_whole = False
        is_whole = is_whole and scanner.pass_separator(b"}")
    if values is None:
        return None
    is_whole = is_whole and scanner.at == len(text)
    return Split(values, scanner.values_end, members, is_whole)


def split_members(text: bytes) -> Steps[dict[bytes, bytes] | None]:
    """Return the members of an object by name; None if it can't be split."""
    scanner = _Scanner(text)
    members: dict[bytes, bytes] = {}
    if not scanner.pass_token(b"{"):
        return None
    while not scanner.pass_token(b"}"):
        name = scanner.read_name()
        span = None if name is None else (yield from scanner.read_value())
        if name is None or span is None or not scanner.pass_separator(b"}"):
            return None
        members[name] = text[span.start : span.end]
    return members if scanner.at == len(text) else None


class _Scanner:
    """Read a text from left to right; ``at`` is the place.

    ``values_end`` is where the values of an array end that could be read.
    """

    def __init__(self, text: bytes) -> None:
        self.text = text
        self.at = 0
        self.values_end = 0
        self._pass(_BLANK)

    def pass_token(self, token: bytes) -> bool:
        """Pass a token and the blanks after it; return whether it is here."""
        if not self.text.startswith(token, self.at):
            return False
        self.at += len(token)
        self._pass(_BLANK)
        return True

    def pass_separator(self, closing: bytes) -> bool:
        """Pass a comma; return False unless it or the closing token is here.

        The closing token is not passed.
        """
        return self.pass_token(b",") or self.text.startswith(closing, self.at)

    def read_name(self) -> bytes | None:
        """Read the name of a member, without its quotes."""
        matched = _NAME.match(self.text, self.at)
        if matched is None:
            return None
        self.at = matched.end()
        return matched[1][1:-1]

    def read_values(self, values: list[Span]) -> Steps[bool]:
        """Add the values of an array; return whether all could be read."""
        self.values_end = self.at
        while not self.pass_token(b"]"):
            span = yield from self.read_value()
            if span is None:
                return False
            values.append(span)
            self.values_end = self.at
            if not self.pass_separator(b"]"):
                return False
        return True

    def read_value(self) -> Steps[Span | None]:
        """Read a value to the comma or bracket after it; None if it is cut."""
        began = self.at
        closings: list[bytes] = []
        count = 0
        while True:
            self._pass(_TO_BRACKET if closings else _TO_END)
            token = self.text[self.at : self.at + 1]
            if not closings and token and token in b",]}":
                return Span(began, self.at)
            if token in _CLOSING:
                closings.append(_CLOSING[token])
            elif not closings or token != closings.pop():
                return None
            self.at += 1
            count += 1
            if count % STEP_COUNT == 0:
                yield

    def _pass(self, pattern: re.Pattern[bytes]) -> None:
        matched = pattern.match(self.text, self.at)
        if matched is not None:
            self.at = matched.end()
