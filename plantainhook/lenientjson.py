"""Decode JSON text that has unreadable parts.

A reply of the store contains the entries of many writers. If one of them
can't be decoded, for example because of control characters, its nesting or
the length of a number, the others still count.

The text is decoded as a whole if possible. Otherwise the outermost array or
object is read value by value, and so on down to ``SPLIT_DEPTH``. A value that
can't be decoded either becomes None.

Another writer's entry can be as large as the store accepts. Whatever it
contains, the time is linear in the length of the text, and a value inside an
entry that has too many parts is not read part by part. ``decode_in_steps``
lets other tasks run meanwhile.
"""

import contextlib
import gc
import json
import re
import time
import typing
from collections import abc

import msgspec
import trio

# Values below this depth are decoded as a whole or not at all.
SPLIT_DEPTH: typing.Final = 6
# Values from here on belong to one entry. Those with more parts are decoded as
# a whole or not at all.
ENTRY_DEPTH: typing.Final = 3
UNREADABLE_MAX_COUNT: typing.Final = 32
PARTS_MAX_COUNT: typing.Final = 1000
# Other tasks run after so long.
STEP_S: typing.Final = 0.002
# The values that are read, or brackets that are skipped, in one step.
STEP_COUNT: typing.Final = 1000

_DECODER: typing.Final[typing.Any] = json.JSONDecoder()
_SCAN: typing.Final = _DECODER.scan_once
_CLOSING: typing.Final = {"[": "]", "{": "}"}
_BLANK: typing.Final = re.compile(r"[ \t\n\r]*+")
_STRING: typing.Final = r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)'
_NAME: typing.Final = re.compile(
    _STRING + r"[ \t\n\r]*+:[ \t\n\r]*+", re.DOTALL
)
# What comes before the next bracket, and before the end of a flat value. A
# string without an end extends to the end of the text.
_TO_BRACKET: typing.Final = re.compile(
    rf'(?:[^"\[\]{{}}]++|{_STRING})*+', re.DOTALL
)
_TO_END: typing.Final = re.compile(
    rf'(?:[^"\[\]{{}},]++|{_STRING})*+', re.DOTALL
)

T = typing.TypeVar("T")
# A generator yields where other tasks may run.
Steps = abc.Generator[None, None, typing.Any]


def decode(text: bytes) -> typing.Any:
    """Return the value of a JSON text, with None for unreadable parts.

    Invalid UTF-8 is replaced. The result can be encoded as JSON again.
    """
    steps = _decode(text)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


async def decode_in_steps(text: bytes) -> typing.Any:
    """Return the same as ``decode``, and let other tasks run meanwhile."""
    return await run_in_steps(_decode(text))


async def run_in_steps(steps: abc.Generator[None, None, T]) -> T:
    """Return the result of a generator; let other tasks run meanwhile."""
    step_end_s = time.perf_counter() + STEP_S
    while True:
        try:
            next(steps)
        except StopIteration as end:
            value: T = end.value
            return value
        if time.perf_counter() >= step_end_s:
            await trio.lowlevel.checkpoint()
            step_end_s = time.perf_counter() + STEP_S


@contextlib.contextmanager
def _paused_collection() -> abc.Iterator[None]:
    """Don't look for garbage meanwhile.

    A value of many empty containers would cause it often, each time through
    all objects of the process, and a value has no cycles.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _decode(text: bytes) -> Steps:
    """Decode a whole text."""
    decoded = text.decode("utf-8", "replace").strip(" \t\n\r")
    try:
        with _paused_collection():
            value = json.loads(decoded)
        # A string may have an escaped surrogate that UTF-8 can't express.
        msgspec.json.encode(value)
        return value
    except (ValueError, RecursionError):
        yield
    reader = _Reader(decoded)
    value = yield from reader.read_parts(SPLIT_DEPTH)
    return value if reader.at == len(decoded) else None


class _Reader:
    """Read a text of which some parts are unreadable; ``at`` is the place."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0

    def read_parts(self, depth: int) -> Steps:
        """Read the value here, which can't be decoded as a whole."""
        opening = self.text[self.at : self.at + 1]
        if depth == 0 or opening not in _CLOSING:
            yield from self._skip_to_end()
            return None
        self._pass(opening)
        values: list[typing.Any] = []
        members: dict[str, typing.Any] = {}
        count = unreadable_count = 0
        is_given_up = False
        while self.text[self.at : self.at + 1] not in "]}":
            name = None if opening == "[" else self._read_name()
            value, is_readable = yield from self._read_value(depth - 1)
            if opening == "[":
                values.append(value)
            elif name is not None:
                members[name] = value
            else:
                is_readable = False
            count += 1
            if count % STEP_COUNT == 0:
                yield
            unreadable_count += not is_readable
            is_given_up = depth <= ENTRY_DEPTH and (
                count >= PARTS_MAX_COUNT
                or unreadable_count >= UNREADABLE_MAX_COUNT
            )
            if is_given_up:
                yield from self._skip_to_end(_TO_BRACKET)
                continue
            yield from self._skip_to_end()
            self._pass(",")
        is_closed = self._pass(_CLOSING[opening])
        if not is_closed:
            # The other bracket ends the value, but does not make it readable.
            self.at += 1
            self._pass_match(_BLANK)
        if is_given_up or not is_closed:
            return None
        return values if opening == "[" else members

    def _read_value(
        self, depth: int
    ) -> abc.Generator[None, None, tuple[typing.Any, bool]]:
        """Read the value here, or what can be read of it.

        Return whether it is readable as a whole too.
        """
        began = self.at
        try:
            with _paused_collection():
                value, self.at = _SCAN(self.text, began)
            self._pass_match(_BLANK)
            if self.text[self.at : self.at + 1] in (",", "]", "}"):
                msgspec.json.encode(value)
                return value, True
        except (StopIteration, ValueError, RecursionError):
            pass
        yield
        self.at = began
        value = yield from self.read_parts(depth)
        return value, False

    def _read_name(self) -> str | None:
        """Read the name of a member; None if it can't be read."""
        matched = _NAME.match(self.text, self.at)
        if matched is None:
            return None
        try:
            name, _ = _SCAN(self.text, self.at)
            msgspec.json.encode(name)
        except (StopIteration, ValueError):
            return None
        self.at = matched.end()
        return str(name)

    def _skip_to_end(self, pattern: re.Pattern[str] = _TO_END) -> Steps:
        """Skip to the end of a value, before the comma or bracket there.

        With ``_TO_BRACKET`` the rest of the values of a container is skipped.
        """
        level = 0
        count = 0
        while True:
            self._pass_match(_TO_BRACKET if level else pattern)
            token = self.text[self.at : self.at + 1]
            if not token or (level == 0 and token in ",]}"):
                return
            level += 1 if token in _CLOSING else -1
            self.at += 1
            count += 1
            if count % STEP_COUNT == 0:
                yield

    def _pass_match(self, pattern: re.Pattern[str]) -> None:
        matched = pattern.match(self.text, self.at)
        if matched is not None:
            self.at = matched.end()

    def _pass(self, token: str) -> bool:
        """Pass a token and the blanks after it; return whether it is here."""
        if not self.text.startswith(token, self.at):
            return False
        self.at += len(token)
        self._pass_match(_BLANK)
        return True
