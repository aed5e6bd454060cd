"""Test the merge of records."""

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import toprecords


class TopRecordsTest(testtools.TestCase):
    """Compare the merge with a simple implementation."""

    @hypothesis.given(
        st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8)
    )
    def test_merge_top_records(self, parts: list[bytes], limit: int) -> None:
        """Guard against records that are lost, repeated or incomplete."""
        merged = []
        for part in parts:
            while len(part) >= toprecords.RECORD_BYTES:
                merged.append(part[: toprecords.RECORD_BYTES])
                part = part[toprecords.RECORD_BYTES :]
        expected = b"".join(sorted(merged, reverse=True)[:limit])
        self.assertEqual(expected, toprecords.merge_top_records(parts, limit))

    @hypothesis.given(
        st.lists(
            st.lists(
                st.lists(
                    st.sampled_from([bytes([n]) * 16 for n in range(9)]),
                    max_size=5,
                ).map(b"".join),
                max_size=4,
            ),
            max_size=4,
        ),
        st.integers(1, 8),
    )
    def test_merge_of_merges(
        self, branches: list[list[bytes]], limit: int
    ) -> None:
        """Guard against records that a merge in two levels loses.

        The parts contain equal records, and some are empty.
        """
        merged = [
            toprecords.merge_top_records(parts, limit) for parts in branches
        ]
        flat = [part for parts in branches for part in parts]
        self.assertEqual(
            toprecords.merge_top_records(flat, limit),
            toprecords.merge_top_records(merged, limit),
        )
