"""Test the number of daemons among which limits are divided."""

import testtools

from plantainhook import blackboard, clock, fleetsize

MIN_COUNT = 9


def member(number: int, alive: bool = True) -> blackboard.MemberInfo:
    """Return a member of the fleet."""
    return blackboard.MemberInfo(
        number, "", "", "a", f"d{number}", "", alive, False
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

    def test_last_daemon(self) -> None:
        """Guard against parts that lost daemons keep for ever."""
        self.board.members = {n: member(n) for n in range(3)}
        self.clock.advance(fleetsize.RETENTION_S)
        self.fleet.count()
        self.board.members = {0: member(0), 1: member(1, alive=False)}
        self.clock.advance(fleetsize.RETENTION_S / 2)
        self.assertEqual(3, self.fleet.count())
        self.clock.advance(fleetsize.RETENTION_S)
        self.assertEqual(1, self.fleet.count())
