"""Test the arithmetic of ``capacity`` and its tables."""

import testtools

from plantainhook import capacity, capacitytables

POINTS = (
    capacity.Point(1, 5.0),
    capacity.Point(2, 7.0),
    capacity.Point(4, 11.0),
)


class FitTest(testtools.TestCase):
    """Check the least-squares fit."""

    def test_straight_points(self) -> None:
        """Guard against a wrong intercept or slope."""
        line = capacity.fit_line(POINTS)
        self.assertAlmostEqual(3.0, line.intercept)
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(1.0, line.r_squared)
        self.assertAlmostEqual(0.0, line.deviation_ratio)
        self.assertAlmostEqual(203.0, line.cost_at(100))

    def test_nonlinear_points(self) -> None:
        """Guard against a nonlinear cost that is reported as linear."""
        points = [capacity.Point(size, size**2) for size in (1, 2, 3, 4)]
        line = capacity.fit_line(points)
        self.assertAlmostEqual(125 / 129, line.r_squared)
        self.assertAlmostEqual(1.0, line.deviation_ratio)

    def test_two_points_are_rejected(self) -> None:
        """Guard against a line through two points, which always fits."""
        self.assertRaises(ValueError, capacity.fit_line, POINTS[:2])


class SettingsTest(testtools.TestCase):
    """Check the size of a full copy of the settings."""

    def test_grows_with_leafs(self) -> None:
        """Guard against a copy that omits groups."""
        small = capacity.settings_bytes(40)
        large = capacity.settings_bytes(80)
        self.assertGreater(large - small, 40 * 100)
        self.assertLess(large - small, 40 * 200)


class TablesTest(testtools.TestCase):
    """Check derived sizes, limits and the page."""

    def test_target_per_daemon(self) -> None:
        """Guard against rates that do not match the scale target."""
        target = capacitytables.ScaleTarget()
        self.assertEqual(143, round(target.queries_per_daemon_s))
        self.assertEqual(22_857, round(target.shard_requests_per_daemon_s))
        self.assertEqual(25_900, target.vm_count)

    def test_cores(self) -> None:
        """Guard against a cost that is read in the wrong unit."""
        self.assertAlmostEqual(0.5, capacitytables.required_cores(1_000, 500))

    def test_size_at_limit(self) -> None:
        """Guard against a wrong size at which a limit is reached."""
        line = capacity.fit_line(POINTS)
        self.assertEqual(50, capacitytables.size_at_limit(line, 103.0))
        self.assertEqual(0, capacitytables.size_at_limit(line, 1.0))

    def test_flat_cost_never_reaches_limit(self) -> None:
        """Guard against a division by a slope of zero."""
        flat = [capacity.Point(size, 2.0) for size in (1, 2, 3)]
        line = capacity.fit_line(flat)
        self.assertIsNone(capacitytables.size_at_limit(line, 5.0))

    def test_row_states_size_at_limit(self) -> None:
        """Guard against a row that hides an exceeded limit."""
        slope = capacitytables.Slope("cost", "leafs", POINTS, 100, 103.0)
        row = capacitytables.build_slope_row(slope)
        self.assertIn("| 203 | 103 | 50 leafs |", row)

    def test_replace_table_keeps_the_rest(self) -> None:
        """Guard against a change of the text around the table."""
        page = "a\n<!-- begin t -->\nold\n<!-- end t -->\nb\n"
        new = capacitytables.replace_table(page, "t", "new")
        self.assertEqual(page.replace("old", "new"), new)

    def test_page_without_markers_is_rejected(self) -> None:
        """Guard against figures that are silently discarded."""
        self.assertRaises(
            ValueError, capacitytables.replace_table, "a", "t", "new"
        )
