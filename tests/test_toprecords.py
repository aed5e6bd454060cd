"""Tests of the merge of records."""

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import toprecords


class RecordsTest(testtools.TestCase):
    """Compare the merge with a plain one."""

    @hypothesis.given(
        st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8)
    )
    def test_greatest_records(self, parts: list[bytes], limit: int) -> None:
        """Guards against lost, repeated or half records."""
        found = []
        for part in parts:
            while len(part) >= toprecords.RECORD_BYTES:
                found.append(part[: toprecords.RECORD_BYTES])
                part = part[toprecords.RECORD_BYTES :]
        wanted = b"".join(sorted(found, reverse=True)[:limit])
        self.assertEqual(wanted, toprecords.merge_top_records(parts, limit))
