"""Test that the extra calls of all daemons together keep the budget."""

import testtools

from tests import budgetfleet


class FleetBudgetTest(testtools.TestCase):
    """Check the windows around changes of the fleet."""

    def build(
        self, places: str = "aabbcc", leafs: str = "ab"
    ) -> budgetfleet.Fleet:
        """Return a fleet that has served 60 requests a second for 30 s."""
        fleet = budgetfleet.Fleet(places, leafs)
        fleet.set_load(60.0)
        fleet.run(30.0)
        return fleet

    def test_steady_load(self) -> None:
        """Guard against a budget that is hardly used while leafs fail."""
        fleet = self.build()
        fleet.fails = True
        fleet.run(25.0)
        self.assertTrue(0.6 < fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_restart_of_all(self) -> None:
        """Guard against calls of an earlier run that nobody remembers.

        Pattern: leafs refuse, and then all daemons are killed at once.
        """
        for before_s in (0.3, 2.0, 5.0, 9.0):
            fleet = self.build()
            fleet.fails = True
            fleet.run(before_s)
            for daemon in fleet.daemons:
                daemon.start()
            fleet.run(15.0)
            self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_restart_one_by_one(self) -> None:
        """Guard against the same with kills that follow one another."""
        fleet = self.build()
        fleet.fails = True
        for daemon in fleet.daemons:
            fleet.run(1.3)
            daemon.start()
        fleet.run(15.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_planned_stop_of_half(self) -> None:
        """Guard against the part of a stopping daemon that is used twice.

        It serves for some seconds, and what it has called still counts.
        """
        fleet = self.build()
        fleet.fails = True
        fleet.run(5.0)
        for daemon in fleet.daemons[::2]:
            daemon.is_draining = True
        fleet.run(4.0)
        for daemon in fleet.daemons[::2]:
            daemon.is_up = False
        fleet.run(1.0)
        for daemon in fleet.daemons[::2]:
            daemon.start()
        fleet.run(15.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_lost_daemons(self) -> None:
        """Guard against a lost daemon's part that is used too soon."""
        fleet = self.build()
        fleet.fails = True
        fleet.run(2.0)
        for daemon in fleet.daemons[1::2]:
            daemon.is_up = False
        fleet.run(15.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_load_that_moves(self) -> None:
        """Guard against requests that count at two daemons.

        Pattern: the callers of one data centre move to another.
        """
        fleet = self.build()
        fleet.set_load(300.0, "a")
        fleet.run(12.0)
        fleet.set_load(300.0, "bc")
        fleet.run(6.0)
        fleet.set_load(300.0)
        fleet.fails = True
        fleet.run(15.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_leafs_that_move(self) -> None:
        """Guard against parts that change hands within a window."""
        fleet = self.build(leafs="a")
        fleet.fails = True
        fleet.run(5.0)
        fleet.set_leafs("bc")
        fleet.run(15.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_daemons_that_know_nobody(self) -> None:
        """Guard against a just started daemon that uses the whole budget."""
        fleet = budgetfleet.Fleet()
        for daemon in fleet.daemons:
            daemon.is_known = False
        fleet.set_load(60.0)
        fleet.fails = True
        fleet.run(11.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)
