"""Test quarantines that are kept in the store."""

import time
import typing
from collections import abc

import testtools
import trio

from plantainhook import quarantine
from plantainhook.platform import names
from tests import crashfleet

PLACES: typing.Final = "abcabca"
PATH: typing.Final = crashfleet.CRASHING_PATH
# After a crash is confirmed, a write and a watch take less than this.
KNOWN_S: typing.Final = 1.0


async def send_until_quarantined(fleet: crashfleet.Fleet) -> None:
    """Send a crashing request until all daemons have it in quarantine."""
    while not all(is_quarantined(daemon) for daemon in fleet.daemons):
        await fleet.send(PATH)
        await trio.sleep(KNOWN_S)


def is_quarantined(daemon: crashfleet.Daemon) -> bool:
    """Return whether a daemon has any request in quarantine."""
    return bool(daemon.process.board.quarantine_until_s)


def entries_of(fleet: crashfleet.Fleet) -> list[str]:
    """Return the names of the entries in the store."""
    return fleet.model.names_of(names.QUARANTINE_KIND)


class QuarantineStoreTest(testtools.TestCase):
    """Check entries in the store, and what daemons do about them."""

    def run_fleet(
        self, scenario: abc.Callable[[crashfleet.Fleet], abc.Awaitable[None]]
    ) -> crashfleet.Fleet:
        """Run a scenario on seven daemons."""
        return crashfleet.run(PLACES, scenario)

    def test_daemons_that_reach_no_peer(self) -> None:
        """Guard against crashes at each daemon that is cut off from peers."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            fleet.are_peers_cut = True
            with trio.move_on_after(30.0):
                await fleet.send_often([PATH], 0.7)

        fleet = self.run_fleet(scenario)
        self.assertGreaterEqual(len(fleet.crashes), 3)
        self.assertEqual([], fleet.late_arrivals())

    def test_restart_of_all_daemons(self) -> None:
        """Guard against a quarantine that ends with the processes."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            await send_until_quarantined(fleet)
            crashes_count = len(fleet.crashes)
            for daemon in fleet.daemons:
                daemon.kill()
            await trio.sleep(0.3)
            for daemon in fleet.daemons:
                daemon.start()
            await trio.sleep(KNOWN_S)
            for number in range(len(fleet.daemons)):
                self.assertEqual(503, await fleet.send(PATH, number))
            self.assertEqual(crashes_count, len(fleet.crashes))

        self.run_fleet(scenario)

    def test_deleted_entry(self) -> None:
        """Guard against a quarantine that operators cannot end."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            await send_until_quarantined(fleet)
            (name,) = entries_of(fleet)
            fleet.model.delete(names.QUARANTINE_KIND, name)
            # Lost connections alone make a request a suspect for some time.
            await trio.sleep(quarantine.CONFIRM_S + KNOWN_S)
            for daemon in fleet.daemons:
                state = daemon.process.planner.policies.quarantine
                self.assertIs(
                    quarantine.RequestState.CLEAR,
                    state.request_state(name, trio.current_time()),
                )
            await trio.sleep(10.0)
            self.assertEqual([], entries_of(fleet))
            # Later crashes begin another quarantine.
            await send_until_quarantined(fleet)
            self.assertEqual([name], entries_of(fleet))

        self.run_fleet(scenario)

    def test_store_that_comes_back_older(self) -> None:
        """Guard against an entry that is lost with the store's last writes."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            backup = fleet.model.backup()
            await send_until_quarantined(fleet)
            written = entries_of(fleet)
            fleet.model.restore(backup)
            await trio.sleep(8.0)
            self.assertEqual(1, len(written))
            self.assertEqual(written, entries_of(fleet))
            self.assertTrue(all(map(is_quarantined, fleet.daemons)))

        self.run_fleet(scenario)

    def test_store_that_is_away(self) -> None:
        """Guard against an entry whose write failed and is not repeated."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            fleet.model.is_down = True
            await send_until_quarantined(fleet)
            await trio.sleep(5.0)
            fleet.model.is_down = False
            await trio.sleep(10.0)
            self.assertEqual(1, len(entries_of(fleet)))

        self.run_fleet(scenario)

    def test_expired_entry(self) -> None:
        """Guard against entries that stay in the store for ever."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            await send_until_quarantined(fleet)
            writes_count = fleet.model.writes_count
            await trio.sleep(130.0)
            self.assertEqual([], entries_of(fleet))
            self.assertFalse(any(map(is_quarantined, fleet.daemons)))
            # One daemon deletes it.
            self.assertEqual(writes_count + 1, fleet.model.writes_count)

        self.run_fleet(scenario)

    def test_malformed_entries(self) -> None:
        """Guard against an object that ends the processes of all daemons."""
        huge = 10**400
        specs: list[dict[str, typing.Any]] = [
            {"since-ms": 1, "until-ms": huge},
            {"since-ms": huge, "until-ms": huge},
            {"since-ms": -huge, "until-ms": 1},
            {"since-ms": 1, "until-ms": 2, "crashes-count": 10**30},
            {"since-ms": "x", "until-ms": None},
            {},
        ]

        async def scenario(fleet: crashfleet.Fleet) -> None:
            for number, spec in enumerate(specs):
                fleet.model.put(names.QUARANTINE_KIND, f"bad{number}", spec)
            ended = {"since-ms": 1, "until-ms": 2}
            for name in ("a b", "a\u00e9", "a?b"):
                fleet.model.put(names.QUARANTINE_KIND, name, ended)
            await trio.sleep(KNOWN_S)
            self.assertFalse(any(map(is_quarantined, fleet.daemons)))
            # After this time daemons delete entries that have ended.
            await trio.sleep(70.0)
            self.assertEqual(200, await fleet.send(b"/one/x"))

        self.run_fleet(scenario)

    def check_clock(self, ahead_s: float) -> None:
        """Start a daemon again whose time of day is wrong."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            await send_until_quarantined(fleet)
            ends_s = [
                max(daemon.process.board.quarantine_until_s.values())
                for daemon in fleet.daemons[:-1]
            ]
            writes_count = fleet.model.writes_count
            last = fleet.daemons[-1]
            last.kill()
            last.start()
            store = last.process.quarantine_store
            store._wall_s = lambda: time.time() + ahead_s
            await trio.sleep(20.0)
            for end_s, daemon in zip(ends_s, fleet.daemons, strict=False):
                (now_ends_s,) = (
                    daemon.process.board.quarantine_until_s.values()
                )
                self.assertEqual(end_s, now_ends_s)
            self.assertEqual(1, len(entries_of(fleet)))
            # At most one daemon writes once: POST, which finds it, and PUT.
            self.assertLessEqual(fleet.model.writes_count, writes_count + 2)

        self.run_fleet(scenario)

    def test_clock_that_is_ahead(self) -> None:
        """Guard against an entry that a daemon with a wrong clock deletes."""
        self.check_clock(150.0)

    def test_clock_that_is_behind(self) -> None:
        """Guard against a quarantine that a wrong clock prolongs."""
        self.check_clock(-150.0)

    def test_number_of_writes(self) -> None:
        """Guard against a write of the same entry by each daemon."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            await send_until_quarantined(fleet)
            await trio.sleep(20.0)
            self.assertEqual(1, fleet.model.writes_count)

        self.run_fleet(scenario)
