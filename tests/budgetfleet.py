"""Play the extra calls of a fleet to one service, without a network.

Each daemon has the budgets and shares of the product. It makes every extra
call that they grant, which is the worst that the leafs can make it do.
"""

import random
import typing
from collections import abc

from plantainhook import (
    blackboard,
    callershares,
    clock,
    fleetsize,
    gatherers,
    routetable,
    shardmap,
    windowbudget,
)

SERVICE: typing.Final = "s"
WINDOW_S: typing.Final = 10.0
RULES: typing.Final = windowbudget.WindowRules(WINDOW_S, 0.2, 54.0)
STEP_S: typing.Final = 0.1
REFRESH_S: typing.Final = 1.0
# Extra calls that a daemon would make for each request, if they were granted.
WANTED_COUNT: typing.Final = 6


class Daemon:
    """One daemon; ``start`` begins a new run that remembers nothing."""

    def __init__(self, fleet: "Fleet", number: int, place: str) -> None:
        self.fleet = fleet
        self.number = number
        self.place = place
        self.is_up = False
        self.is_draining = False
        # Whether it learns of the others, and they of it.
        self.is_known = True
        # Daemons on different sides of a cut don't reach each other.
        self.side = 0
        self.requests_per_s = 0.0

    def start(self) -> None:
        """Start a run."""
        self.is_up, self.is_draining = True, False
        fleet = self.fleet
        self.board = blackboard.Blackboard(self.number)
        self.board.routes = fleet.routes
        self.size = fleetsize.FleetSize(self.board, fleet.clock, 9)
        self.choice = gatherers.GathererChoice(
            self.board, gatherers.GathererOptions()
        )
        self.shares = callershares.CallerShares(
            self.board, self.place, self.choice, True, fleet.clock
        )
        self.budgets = windowbudget.WindowBudgets(
            RULES, self.shares.divisor, fleet.clock.now_s()
        )

    def refresh(self) -> None:
        """Learn the members and leafs, and update the counts."""
        self.board.settings = self.fleet.settings
        self.board.members = self.fleet.members_seen_by(self)
        self.shares.counts = callershares.FleetCounts(
            self.size.count(),
            self.choice.count(),
            self.size.unknown_count(),
            self.size.lost_count(),
        )
        self.shares.refresh((SERVICE,))


class Fleet:
    """Advance daemons in data centres a, b and c, and judge the calls.

    ``places`` has one letter for each daemon. ``worst_ratio`` is the largest
    part of the allowed extra calls that any window had.
    """

    def __init__(self, places: str = "aabbcc", leafs: str = "ab") -> None:
        self.clock = clock.ManualClock()
        gather = routetable.Gather((SERVICE,), 5, 1.0)
        route = routetable.Route(
            "r", "h", "/", True, 1.0, 1.0, 2, 1, gather=gather
        )
        self.routes = routetable.build_route_table(
            1, [route], [], routetable.ClientLimits()
        )
        self.set_leafs(leafs)
        self.daemons = [
            Daemon(self, number, place) for number, place in enumerate(places)
        ]
        self.worst_ratio = 0.0
        self.fails = False
        self._rng = random.Random(1)
        self._requests_s: list[float] = []
        self._extras_s: list[float] = []
        self._refreshed_s = -1.0
        for daemon in self.daemons:
            daemon.start()

    def set_leafs(self, places: str) -> None:
        """Register one leaf in each of the data centres."""
        self.settings = blackboard.SettingsView(
            leafs={
                place: shardmap.LeafInfo(
                    place, "l:1", place, SERVICE, SERVICE, 2, 9
                )
                for place in places
            }
        )

    def members_seen_by(
        self, viewer: Daemon
    ) -> dict[int, blackboard.MemberInfo]:
        """Return the members that a daemon knows."""
        return {
            daemon.number: blackboard.MemberInfo(
                daemon.number,
                "",
                "",
                daemon.place,
                f"d{daemon.number}",
                "",
                True,
                daemon.is_draining,
            )
            for daemon in self.daemons
            if daemon is viewer or self._knows(viewer, daemon)
        }

    def _knows(self, viewer: Daemon, daemon: Daemon) -> bool:
        return (
            daemon.is_up
            and daemon.is_known
            and viewer.is_known
            and daemon.side == viewer.side
        )

    def cut(self, side_of: abc.Callable[[int], int]) -> None:
        """Divide the daemons, by number, into sides without links."""
        for daemon in self.daemons:
            daemon.side = side_of(daemon.number)

    def set_load(self, requests_per_s: float, places: str = "abc") -> None:
        """Divide the requests among the daemons of some data centres."""
        takers = [daemon for daemon in self.daemons if daemon.place in places]
        for daemon in self.daemons:
            daemon.requests_per_s = 0.0
        for daemon in takers:
            daemon.requests_per_s = requests_per_s / len(takers)

    def run(self, duration_s: float) -> None:
        """Advance; while ``fails``, all calls need extra calls."""
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            self.clock.advance(STEP_S)
            now_s = self.clock.now_s()
            if now_s - self._refreshed_s >= REFRESH_S:
                self._refreshed_s = now_s
                for daemon in self.daemons:
                    daemon.refresh()
            for daemon in self.daemons:
                if daemon.is_up:
                    self._send(daemon, now_s)
            self._judge(now_s)

    def _send(self, daemon: Daemon, now_s: float) -> None:
        expected = daemon.requests_per_s * STEP_S
        count = int(expected) + (self._rng.random() < expected % 1.0)
        for _ in range(count):
            self._requests_s.append(now_s)
            budgets = self._caller_for(daemon).budgets
            budgets.earn(SERVICE, 1, 0.0, now_s)
            for _ in range(WANTED_COUNT * self.fails):
                if budgets.spend_retry(SERVICE, now_s, 0.0, 0.0):
                    self._extras_s.append(now_s)

    def _caller_for(self, daemon: Daemon) -> Daemon:
        """Return the daemon that gathers a request for another."""
        if not daemon.choice.is_large_fleet():
            return daemon
        chosen = daemon.choice.by_data_centre().get(daemon.place, [])
        reached = [
            self.daemons[member.incarnation]
            for member in chosen
            if self._knows(daemon, self.daemons[member.incarnation])
        ]
        return self._rng.choice(reached) if reached else daemon

    def _judge(self, now_s: float) -> None:
        """Compare the window that ends now with what is allowed."""
        counted = max(
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in self._requests_s)
            for end_s in (now_s, now_s - WINDOW_S / 2, now_s - WINDOW_S)
        )
        used = sum(at_s > now_s - WINDOW_S for at_s in self._extras_s)
        allowed = RULES.extra_ratio * counted + RULES.extra_count
        self.worst_ratio = max(self.worst_ratio, used / allowed)
