"""Run the self-check of the figures for a short time."""

from unittest import mock

import loguru
import testtools

from plantainhook import aggregationplan, reportselfcheck

# With six hours between writes, a run takes about three seconds.
TICK_S = 21_600.0


class SelfCheckTest(testtools.TestCase):
    """Check simulated months against their replays."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("plantainhook")
        self.addCleanup(loguru.logger.enable, "plantainhook")

    def test_seeds(self) -> None:
        """Guard against figures that differ from the replay."""
        for seed in range(2):
            outcome = reportselfcheck.run_selfcheck(seed, 1500, TICK_S)
            self.assertEqual([], outcome.differences)
            self.assertEqual(outcome.killed_count, outcome.gap_count)
            self.assertTrue(outcome.lost_count)
            self.assertTrue(outcome.corrected_count)

    def test_defect_is_seen(self) -> None:
        """Guard against a self-check that doesn't detect double counting."""
        with mock.patch.object(
            aggregationplan, "merged_folded_versions", lambda *_: {}
        ):
            outcome = reportselfcheck.run_selfcheck(0, 1500, TICK_S)
        self.assertNotEqual([], outcome.differences)
