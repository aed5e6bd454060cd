"""Test that the extra calls of all daemons together keep the budget."""

import typing
from collections import abc

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


SideOf = abc.Callable[[int], int]
# Cuts of a fleet, by what they separate.
CUTS: typing.Final[dict[str, SideOf]] = {
    "each from all": lambda number: number,
    "one from all": lambda number: int(number == 0),
    "half from half": lambda number: number % 2,
    "data centres": lambda number: number % 3,
}


class CutFleetTest(testtools.TestCase):
    """Check cuts between daemons that all reach leafs and callers.

    Pattern: leafs refuse, and daemons take the others for dead.
    """

    def play(
        self,
        count: int,
        side_of: SideOf,
        before_s: float = 30.0,
        requests_per_s: float = 60.0,
    ) -> float:
        """Cut a fleet; return the worst part of the allowed calls."""
        fleet = budgetfleet.Fleet(("abc" * count)[:count])
        fleet.set_load(requests_per_s)
        fleet.run(before_s)
        fleet.fails = True
        fleet.cut(side_of)
        fleet.run(35.0)
        return fleet.worst_ratio

    def test_cuts_of_small_fleets(self) -> None:
        """Guard against daemons that each use the budget of lost ones."""
        for count in (7, 16):
            for name, side_of in CUTS.items():
                for requests_per_s in (20.0, 60.0):
                    worst = self.play(count, side_of, 30.0, requests_per_s)
                    self.assertTrue(worst <= 1.0, (count, name, worst))

    def test_cuts_of_a_large_fleet(self) -> None:
        """Guard against sides that each choose gatherers for the fleet."""
        for name in ("half from half", "data centres"):
            worst = self.play(77, CUTS[name])
            self.assertTrue(worst <= 1.0, (name, worst))

    def test_cut_just_after_the_start(self) -> None:
        """Guard against daemons that count only whom they met at first."""
        for count in (7, 16):
            worst = self.play(count, CUTS["each from all"], 1.0)
            self.assertTrue(worst <= 1.0, (count, worst))

    def test_cut_that_heals(self) -> None:
        """Guard against an excess while the members come back."""
        fleet = budgetfleet.Fleet("abcabca")
        fleet.set_load(60.0)
        fleet.run(30.0)
        fleet.fails = True
        fleet.cut(CUTS["each from all"])
        fleet.run(25.0)
        fleet.cut(lambda number: 0)
        fleet.run(20.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_kills_at_a_cut(self) -> None:
        """Guard against daemons that start while others count the lost."""
        for name, side_of in CUTS.items():
            fleet = budgetfleet.Fleet("abcabca")
            fleet.set_load(60.0)
            fleet.run(30.0)
            fleet.fails = True
            fleet.cut(side_of)
            for daemon in fleet.daemons[5:]:
                daemon.start()
            fleet.run(35.0)
            self.assertTrue(
                fleet.worst_ratio <= 1.0, (name, fleet.worst_ratio)
            )

    def test_restart_of_half_in_a_cut(self) -> None:
        """Guard against daemons that learn only of their side of a cut.

        Pattern: a release or a crash restarts daemons while data centres
        don't reach one another.
        """
        fleet = budgetfleet.Fleet("abcabca")
        fleet.set_load(60.0)
        fleet.run(30.0)
        fleet.fails = True
        fleet.cut(CUTS["data centres"])
        fleet.run(30.0)
        for daemon in fleet.daemons[3:]:
            daemon.start()
        fleet.run(35.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)

    def test_many_daemons_that_find_no_seed(self) -> None:
        """Guard against more daemons than each assumes."""
        fleet = budgetfleet.Fleet("abc" * 8)
        for daemon in fleet.daemons:
            daemon.is_known = False
        fleet.set_load(60.0)
        fleet.fails = True
        fleet.run(35.0)
        self.assertTrue(fleet.worst_ratio <= 1.0, fleet.worst_ratio)
