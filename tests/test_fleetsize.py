"""Test the number of daemons among which limits are divided."""

import dataclasses

import testtools

from plantainhook import blackboard, clock, fleetsize

MIN_COUNT = 9


def member(
    number: int, alive: bool = True, draining: bool = False
) -> blackboard.MemberInfo:
    """Return a member of the fleet."""
    return blackboard.MemberInfo(
        number, "", "", "a", f"d{number}", "", alive, draining
    )


class FleetSizeTest(testtools.TestCase):
    """Check what a daemon assumes about members that it doesn't know."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock.ManualClock()
        self.board = blackboard.Blackboard(0, members={0: member(0)})
        self.fleet = fleetsize.FleetSize(self.board, self.clock, MIN_COUNT)

    def test_daemon_that_finds_no_seed(self) -> None:
        """Guard against daemons that each use the whole of a limit."""
        self.clock.advance(60.0)
        self.assertEqual(MIN_COUNT, self.fleet.count())
        self.assertEqual(MIN_COUNT - 1, self.fleet.unknown_count())

    def test_known_members(self) -> None:
        """Guard against a limit that is never used completely."""
        self.board.members = {n: member(n) for n in range(3)}
        self.assertEqual(MIN_COUNT, self.fleet.count())
        self.clock.advance(fleetsize.RETENTION_S)
        self.assertEqual(3, self.fleet.count())
        self.assertEqual(0, self.fleet.unknown_count())

    def lose(self, draining: bool) -> None:
        """Let members 1 and 2 of three disappear, after a long time."""
        self.board.members = {n: member(n, True, draining) for n in range(3)}
        self.clock.advance(fleetsize.JOIN_S)
        self.assertEqual(3, self.fleet.count())
        self.board.members = {0: member(0), 1: member(1, False, draining)}
        self.assertEqual(3, self.fleet.count())
        self.assertEqual(2, self.fleet.lost_count())

    def test_last_daemon(self) -> None:
        """Guard against parts that lost daemons keep for ever."""
        self.lose(draining=False)
        self.clock.advance(fleetsize.LOST_RETENTION_S + 1.0)
        self.assertEqual(1, self.fleet.count())
        self.assertEqual(0, self.fleet.lost_count())

    def test_daemons_that_can_not_be_reached(self) -> None:
        """Guard against a cut-off daemon that takes itself for the fleet."""
        self.lose(draining=False)
        self.clock.advance(fleetsize.LOST_RETENTION_S - 1.0)
        self.assertEqual(3, self.fleet.count())
        self.board.members = {n: member(n) for n in range(3)}
        self.assertEqual(3, self.fleet.count())
        self.assertEqual(0, self.fleet.lost_count())

    def test_planned_stop(self) -> None:
        """Guard against parts that are unused long after a planned stop."""
        self.lose(draining=True)
        self.clock.advance(fleetsize.RETENTION_S / 2)
        self.assertEqual(3, self.fleet.count())
        self.clock.advance(fleetsize.RETENTION_S)
        self.assertEqual(1, self.fleet.count())

    def test_restart_at_the_same_address(self) -> None:
        """Guard against a daemon that counts for each of its runs."""
        self.board.members = {n: member(n) for n in range(3)}
        self.clock.advance(fleetsize.JOIN_S)
        self.fleet.count()
        info = dataclasses.replace(member(2), incarnation=7)
        self.board.members = {0: member(0), 1: member(1), 7: info}
        self.assertEqual(3, self.fleet.count())

    def test_members_lost_while_joining(self) -> None:
        """Guard against a cut before all members are known."""
        self.board.members = {n: member(n) for n in range(4)}
        self.clock.advance(fleetsize.RETENTION_S + 1.0)
        self.assertEqual(4, self.fleet.count())
        self.board.members = {n: member(n) for n in range(2)}
        self.assertEqual(MIN_COUNT, self.fleet.count())
        self.clock.advance(fleetsize.JOIN_S)
        self.assertEqual(MIN_COUNT, self.fleet.count())

    def test_one_member_lost_while_joining(self) -> None:
        """Guard against parts that shrink whenever a daemon is lost."""
        self.board.members = {n: member(n) for n in range(4)}
        self.clock.advance(fleetsize.RETENTION_S + 1.0)
        self.assertEqual(4, self.fleet.count())
        self.board.members = {n: member(n) for n in range(3)}
        self.assertEqual(4, self.fleet.count())
