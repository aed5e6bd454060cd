"""Test the control plane against its budget, with the benchmark."""

import typing

import testtools

from plantainhook import controlbench

IN_FORCE_LIMIT_S: typing.Final = 20.0
BYTES_LIMIT_PER_S: typing.Final = 4096.0
MEMORY_LIMIT_MB: typing.Final = 256.0


class ControlBenchTest(testtools.TestCase):
    """Compare a small fleet with the budget."""

    def test_budget_with_loss(self) -> None:
        """Guard against traffic, memory or delays above the budget.

        The run has a packet loss of 20% and a partition of a data centre.
        """
        options = controlbench.BenchOptions(daemon_count=21, loss_ratio=0.2)
        report = controlbench.run(options)
        delays_s = [*report.in_force_s, report.partition_in_force_s]
        delays_s.append(report.heal_in_force_s)
        self.assertGreaterEqual(min(delays_s), 0.0)
        self.assertLess(max(delays_s), IN_FORCE_LIMIT_S)
        self.assertGreater(report.steady.bytes_per_s, 0.0)
        self.assertLess(report.steady.bytes_per_s_max, BYTES_LIMIT_PER_S)
        self.assertLess(report.memory_mb_per_daemon, MEMORY_LIMIT_MB)

    def test_dissemination_strategies(self) -> None:
        """Guard against a strategy other than push that delivers nothing."""
        for spread in ("digest", "poll"):
            options = controlbench.BenchOptions(spread=spread, partition=False)
            report = controlbench.run(options)
            self.assertGreaterEqual(min(report.in_force_s), 0.0, spread)
