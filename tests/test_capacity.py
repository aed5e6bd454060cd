"""Tests of the arithmetic of ``capacity`` and its tables."""

import testtools

from plantainhook import capacity, capacitytables

POINTS = (
    capacity.Point(1, 5.0),
    capacity.Point(2, 7.0),
    capacity.Point(4, 11.0),
)


class FitTest(testtools.TestCase):
    """Check the line through the points."""

    def test_straight_points(self) -> None:
        """Guards against a wrong base or slope."""
        line = capacity.fit_line(POINTS)
        self.assertAlmostEqual(3.0, line.intercept)
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(1.0, line.r_squared)
        self.assertAlmostEqual(0.0, line.deviation_ratio)
        self.assertAlmostEqual(203.0, line.cost_at(100))

    def test_bent_points_show(self) -> None:
        """Guards against a bent cost that is reported as a line."""
        bent = [capacity.Point(size, size**2) for size in (1, 2, 3, 4)]
        line = capacity.fit_line(bent)
        self.assertAlmostEqual(125 / 129, line.r_squared)
        self.assertAlmostEqual(1.0, line.deviation_ratio)

    def test_two_points_are_refused(self) -> None:
        """Guards against a fit that is exact by construction."""
        self.assertRaises(ValueError, capacity.fit_line, POINTS[:2])


class SettingsTest(testtools.TestCase):
    """Check the size of a whole copy."""

    def test_grows_with_leafs(self) -> None:
        """Guards against a copy that leaves groups out."""
        small = capacity.settings_bytes(40)
        large = capacity.settings_bytes(80)
        self.assertGreater(large - small, 40 * 100)
        self.assertLess(large - small, 40 * 200)


class TablesTest(testtools.TestCase):
    """Check sizes, limits and the page."""

    def test_target_per_daemon(self) -> None:
        """Guards against rates that do not follow from the target."""
        target = capacitytables.ScaleTarget()
        self.assertEqual(143, round(target.queries_per_daemon_s))
        self.assertEqual(22_857, round(target.shard_requests_per_daemon_s))
        self.assertEqual(25_900, target.vm_count)

    def test_cores(self) -> None:
        """Guards against a confusion of units."""
        self.assertAlmostEqual(0.5, capacitytables.required_cores(1_000, 500))

    def test_breaking_size(self) -> None:
        """Guards against a limit that is placed at the wrong size."""
        line = capacity.fit_line(POINTS)
        self.assertEqual(50, capacitytables.size_at_limit(line, 103.0))
        self.assertEqual(0, capacitytables.size_at_limit(line, 1.0))

    def test_flat_cost_never_breaks(self) -> None:
        """Guards against a division by a slope of zero."""
        flat = [capacity.Point(size, 2.0) for size in (1, 2, 3)]
        line = capacity.fit_line(flat)
        self.assertIsNone(capacitytables.size_at_limit(line, 5.0))

    def test_row_names_where_the_limit_is_reached(self) -> None:
        """Guards against a row that hides a missed limit."""
        slope = capacitytables.Slope("cost", "leafs", POINTS, 100, 103.0)
        row = capacitytables.slope_row(slope)
        self.assertIn("| 203 | 103 | 50 leafs |", row)

    def test_replace_table_keeps_the_rest(self) -> None:
        """Guards against a rewrite that damages the text around it."""
        page = "a\n<!-- begin t -->\nold\n<!-- end t -->\nb\n"
        new = capacitytables.replace_table(page, "t", "new")
        self.assertEqual(page.replace("old", "new"), new)

    def test_page_without_a_place_is_refused(self) -> None:
        """Guards against figures that are dropped without a word."""
        self.assertRaises(
            ValueError, capacitytables.replace_table, "a", "t", "new"
        )
