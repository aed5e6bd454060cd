"""Test the rules of the figures."""

import decimal

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import figures, reportreplay, schema, tallies
from tests import casefiles

ZONES = ["UTC", "Europe/Helsinki", "Asia/Kathmandu", "America/St_Johns"]


def wrong_percentile(case: casefiles.Case) -> object:
    values = case["values"]
    ranks = figures.percentile_ranks(
        decimal.Decimal(case["percentile"]),
        len(values),
        schema.PercentileMethod(case["method"]),
    )
    found = ranks.value(lambda rank: values[rank - 1])
    return None if abs(found - case["expected"]) < 1e-9 else found


def wrong_rounding(case: casefiles.Case) -> object:
    for rounding in schema.Rounding:
        found = str(
            figures.round_value(case["value"], case["digits"], rounding)
        )
        if found != case[rounding]:
            return f"{rounding}: {found}"
    return None


def wrong_boundary(case: casefiles.Case) -> object:
    month = figures.parse_month(case["month"])
    start = figures.month_start(month, case["zone"]) * figures.QUARTER_HOUR_S
    replayed = reportreplay.find_month_start(month, case["zone"])
    if start == replayed == case["starts"].timestamp():
        return None
    return f"{figures.utc_time(start)}, {figures.utc_time(replayed)}"


class RuleCasesTest(testtools.TestCase):
    """Check the rules against cases worked out by hand."""

    def test_percentiles(self) -> None:
        """Guard against ranks that are off by one."""
        self.assertEqual(
            [], casefiles.failures("percentiles", wrong_percentile)
        )

    def test_roundings(self) -> None:
        """Guard against rounding the binary fraction of a decimal value."""
        self.assertEqual([], casefiles.failures("roundings", wrong_rounding))

    def test_boundaries(self) -> None:
        """Guard against month boundaries at the wrong UTC offset."""
        found = casefiles.failures("month_boundaries", wrong_boundary)
        self.assertEqual([], found)


class SliceTest(testtools.TestCase):
    """Check that every month is a union of slices."""

    @hypothesis.given(
        st.integers(min_value=1_577_836_800, max_value=1_893_456_000),
        st.sampled_from(ZONES),
    )
    def test_slice_lies_in_the_month_of_its_moment(
        self, wall_s: int, zone: str
    ) -> None:
        """Guard against slices that cross a month boundary."""
        slice_start = figures.slice_of(wall_s)
        month = figures.month_of_quarter_hour(wall_s // figures.QUARTER_HOUR_S)
        for adjacent in (month.shift(-1), month, month.shift(1)):
            quarter_hours = figures.month_range(adjacent, zone)
            self.assertEqual(
                quarter_hours.contains(wall_s // figures.QUARTER_HOUR_S),
                quarter_hours.contains(slice_start),
            )

    def test_bad_months(self) -> None:
        """Guard against months that the calendar doesn't have."""
        for text in ("2026-13", "2026-1", "0000-01", "2026-10-01", ""):
            self.assertRaises(ValueError, figures.parse_month, text)


class HistogramTest(testtools.TestCase):
    """Check the stated resolution of the histograms."""

    @hypothesis.given(
        st.lists(
            st.integers(0, tallies.LATENCY_LIMIT_US), min_size=1, max_size=20
        )
    )
    def test_resolution(self, values: list[int]) -> None:
        """Guard against a resolution that is coarser than stated."""
        first, second = (
            tallies.Histogram(tallies.LATENCY_LIMIT_US) for _ in range(2)
        )
        for number, value in enumerate(values):
            (first, second)[number % 2].record(value)
        first.merge_encoded(second.encode())
        at_rank = tallies.Histogram(
            tallies.LATENCY_LIMIT_US, first.encode()
        ).value_at_ranks()
        for rank, value in enumerate(sorted(values), start=1):
            found = at_rank(rank)
            limit = found * tallies.RESOLUTION_RATIO if value >= 2048 else 0
            self.assertTrue(abs(found - value) <= limit, (found, value))
