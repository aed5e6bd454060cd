"""Tests of the decoding of JSON text that has unreadable parts."""

import json
import typing

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import lenientjson

# Control characters, nesting, a long number, and a lone surrogate.
UNREADABLE: typing.Final = (
    b'"a\x01\xff"',
    b"[" * 1500 + b"]" * 1500,
    b"9" * 5000,
    b'"\\ud800"',
)
VALUES: typing.Final = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)


class LenientJsonTest(testtools.TestCase):
    """Check what is left of a text with unreadable parts."""

    def test_unreadable_value(self) -> None:
        """Guard against one value that hides all others."""
        for part in UNREADABLE:
            text = b'{"a": [1, %s, "x,]"], "b": {"c": %s, "d": 2}}' % (
                part,
                part,
            )
            decoded = lenientjson.decode(text)
            self.assertEqual([1, "x,]"], decoded["a"][::2])
            self.assertEqual(2, decoded["b"]["d"])
            json.dumps(decoded).encode()

    def test_invalid_text(self) -> None:
        """Guard against an error instead of a missing value."""
        for text in (b"", b"[", b"{", b"]", b"nonsense", b'{"a', b"[" * 9999):
            self.assertIs(None, lenientjson.decode(text))

    @hypothesis.given(VALUES, VALUES, st.sampled_from(UNREADABLE))
    def test_other_parts_hold(
        self, before: object, after: object, part: bytes
    ) -> None:
        """Guard against parts that change beside an unreadable one."""
        text = b"[%s, %s, %s]" % (
            json.dumps(before).encode(),
            part,
            json.dumps(after).encode(),
        )
        decoded = lenientjson.decode(text)
        self.assertEqual([before, after], decoded[::2])

    @hypothesis.given(st.binary(max_size=60))
    def test_any_bytes(self, text: bytes) -> None:
        """Guard against bytes that raise an error."""
        lenientjson.decode(text)
        lenientjson.decode(b'{"items": [' + text + b"]}")
