"""Tests of the leaf view and route table built from the store's objects."""

import typing

import loguru
import testtools
import trio

from plantainhook import (
    blackboard,
    errors,
    forwardtypes,
    leafdirectory,
    objectguard,
    objectsource,
    routecontroller,
    routetable,
    steps,
)
from plantainhook.platform import documents
from tests import storebuilders, virtualtime

STORE_ERROR: typing.Final = errors.ObjectApiUnavailableError(
    steps.Step.SETTINGS_SPREAD, "store", "is down"
)


class DirectoryTest(testtools.TestCase):
    """Check the states and removals of registered leafs."""

    def setUp(self) -> None:
        super().setUp()
        self.board = blackboard.Blackboard(1)

    def run_steps(
        self,
        *steps_: typing.Callable[[leafdirectory.LeafDirectory], float],
    ) -> None:
        """Run steps on a directory; each returns how long to wait after it."""

        async def main() -> None:
            directory = leafdirectory.LeafDirectory(
                self.board, storebuilders.read_leaf
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(directory.run)
                for step in steps_:
                    await trio.sleep(step(directory))
                nursery.cancel_scope.cancel()

        virtualtime.run(main)

    def state(self, name: str = "a") -> blackboard.LeafState | None:
        """Return the state of a leaf, or None if it is unknown."""
        view = self.board.leafs.get(name)
        return None if view is None else view.state

    def change(
        self, *changes: objectsource.Change, pause_s: float = 0.01
    ) -> typing.Callable[[leafdirectory.LeafDirectory], float]:
        """Return a step that passes changes to the directory."""

        def step(directory: leafdirectory.LeafDirectory) -> float:
            directory.on_changes(list(changes))
            return pause_s

        return step

    def test_draining_leaf_gets_no_work(self) -> None:
        """Guard against new work for a leaf that is draining."""
        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")),
            self.change(
                storebuilders.changed(
                    "a", 2, service="s", draining=True, seq=2
                )
            ),
        )
        self.assertIs(blackboard.LeafState.DRAINING, self.state())

    def test_late_entry_does_not_undo_a_drain(self) -> None:
        """Guard against an old entry that arrives after a newer one.

        It would put a draining leaf back into use.
        """
        self.run_steps(
            self.change(
                storebuilders.changed(
                    "a", 1, service="s", draining=True, seq=9
                )
            ),
            self.change(storebuilders.changed("a", 2, service="s", seq=8)),
        )
        self.assertIs(blackboard.LeafState.DRAINING, self.state())

    def test_restarted_leaf_is_accepted(self) -> None:
        """Guard against a restarted leaf of the same id that is never used.

        Its sequence starts at 1 again, below that of its previous run.
        """
        self.run_steps(
            self.change(
                storebuilders.changed(
                    "a", 1, service="s", draining=True, seq=9
                )
            ),
            self.change(
                storebuilders.changed("a", 2, service="s", seq=1, born=2)
            ),
        )
        self.assertIs(blackboard.LeafState.LIVE, self.state())

    def test_unreadable_entry_changes_nothing(self) -> None:
        """Guard against an invalid entry that removes or adds a leaf."""
        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")),
            self.change(storebuilders.changed("a", 2, nonsense=1)),
            self.change(storebuilders.changed("b", 3, nonsense=1)),
        )
        self.assertEqual(["a"], list(self.board.leafs))

    def test_cold_leaf_turns_live(self) -> None:
        """Guard against a leaf that stays cold after its warm-up time."""
        self.run_steps(
            self.change(
                storebuilders.changed("a", 1, service="s", cold_s=2.0),
                pause_s=1.0,
            ),
            lambda directory: self.expect(blackboard.LeafState.COLD, 1.5),
        )
        self.assertIs(blackboard.LeafState.LIVE, self.state())

    def expect(self, state: blackboard.LeafState, pause_s: float) -> float:
        """Check the state now; return the time to wait."""
        self.assertIs(state, self.state())
        return pause_s

    def test_removed_leaf_is_unused_at_once(self) -> None:
        """Guard against new work for a leaf whose entry was deleted."""
        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")),
            self.change(storebuilders.deleted("a", 2)),
        )
        self.assertIs(None, self.state())

    def lose_entry_in_outage(
        self, directory: leafdirectory.LeafDirectory
    ) -> float:
        """Let the store fail, recover and no longer contain the entry."""
        directory.on_unavailable(STORE_ERROR)
        directory.on_available()
        directory.on_listing(objectsource.Listing([], storebuilders.at(5)))
        return 1.0

    def test_entry_that_expired_in_an_outage_may_return(self) -> None:
        """Guard against the loss of all leafs after an outage of the store.

        Their entries expire in the outage and return shortly after it.
        """
        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")),
            self.lose_entry_in_outage,
            lambda directory: self.expect(blackboard.LeafState.LIVE, 0.1),
            self.change(
                storebuilders.changed("a", 6, service="s", seq=3), pause_s=5.0
            ),
        )
        self.assertIs(blackboard.LeafState.LIVE, self.state())

    def test_entry_that_does_not_return_is_removed(self) -> None:
        """Guard against a leaf that is used long after it has stopped."""
        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")),
            self.lose_entry_in_outage,
            lambda directory: 1.5,
        )
        self.assertIs(None, self.state())

    def test_outage_keeps_known_leafs(self) -> None:
        """Guard against a daemon without leafs while the store is down."""

        def lose(directory: leafdirectory.LeafDirectory) -> float:
            directory.on_unavailable(STORE_ERROR)
            return 60.0

        self.run_steps(
            self.change(storebuilders.changed("a", 1, service="s")), lose
        )
        self.assertIs(blackboard.LeafState.LIVE, self.state())


class RouteControllerTest(testtools.TestCase):
    """Check which configuration is adopted."""

    def test_lower_version_is_ignored(self) -> None:
        """Guard against a configuration that reverts to an older version."""
        board = blackboard.Blackboard(1)
        adopted: list[int] = []
        controller = routecontroller.RouteController(
            board,
            "main",
            lambda spec: routetable.build_route_table(
                typing.cast(dict[str, int], spec)["v"],
                [],
                [],
                routetable.ClientLimits(),
            ),
            lambda: adopted.append(board.routes.version),
        )
        for version in (3, 2, 3, 7, 1):
            controller.on_changes(
                [storebuilders.changed("main", 1, v=version)]
            )
        controller.on_changes([storebuilders.changed("other", 1, v=9)])
        controller.on_changes([storebuilders.deleted("main", 1)])
        self.assertEqual([3, 7], adopted)


HUGE: typing.Final = 10**400
ENTRY: typing.Final[storebuilders.Spec] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc-1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq": 1,
    "born": 1,
}


def build_cold_routes() -> routetable.RouteTable:
    """Return routes whose service limits the requests to cold leafs."""
    rules = routetable.ServiceRules("s", 8, cold_per_s=5.0, warmup_s=4.0)
    return routetable.build_route_table(
        1, [], [rules], routetable.ClientLimits()
    )


class OtherWriterTest(testtools.TestCase):
    """Check that an object that fails affects no other object."""

    def publish(
        self,
        read_leaf: leafdirectory.ReadLeaf,
        *changes: objectsource.Change,
    ) -> list[str]:
        """Return the leafs in use after changes, and after a listing."""

        async def main() -> list[str]:
            board = blackboard.Blackboard(1, routes=build_cold_routes())
            directory = leafdirectory.LeafDirectory(board, read_leaf)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(directory.run)
                directory.on_changes(list(changes))
                await trio.sleep(10.0)
                listed = [change.object for change in changes]
                directory.on_listing(
                    objectsource.Listing(listed, storebuilders.at(9))
                )
                await trio.sleep(10.0)
                nursery.cancel_scope.cancel()
            return [
                name
                for name, view in board.leafs.items()
                if view.state is blackboard.LeafState.LIVE
            ]

        return virtualtime.run(main)

    def test_numbers_without_a_bound(self) -> None:
        """Guard against a number of an entry that ends the process.

        It was a start time of 400 digits, of a service that limits the
        requests to cold leafs (review/14).
        """
        for field in ("born", "seq", "max-concurrency", "warmup-left-ms"):
            for number in (HUGE, -HUGE, 1e308, -1e308, 1 << 64, 1 << 53):
                spec = {**ENTRY, field: number}
                live = self.publish(
                    documents.PlatformDocuments().read_leaf,
                    storebuilders.changed("odd", 2, **spec),
                    storebuilders.changed("sound", 3, **ENTRY),
                )
                self.assertIn("sound", live, f"{field}: {number}")

    def test_fault_in_the_handling(self) -> None:
        """Guard against a fault that one entry reveals and all daemons have.

        The entry is handled again when it changes.
        """

        def read_leaf(name: str, spec: object) -> forwardtypes.LeafEntry:
            if name == "odd":
                raise OverflowError("the number is too large")
            entry = storebuilders.read_leaf(name, spec)
            if name == "mended" and entry.sequence == 1:
                raise RuntimeError("the first entry reveals a fault")
            return entry

        live = self.publish(
            read_leaf,
            storebuilders.changed("odd", 2, service="s"),
            storebuilders.changed("mended", 3, service="s"),
            storebuilders.changed("mended", 4, service="s", seq=2),
            storebuilders.changed("sound", 5, service="s"),
        )
        self.assertEqual(["mended", "sound"], live)

    def test_leafs_that_come_and_go(self) -> None:
        """Guard against a record that grows with each leaf that has left.

        A late entry of a leaf that left recently is still told.
        """

        async def main() -> tuple[int, list[str]]:
            board = blackboard.Blackboard(1)
            directory = leafdirectory.LeafDirectory(
                board, storebuilders.read_leaf
            )
            await trio.sleep(10.0)
            count = 3 * leafdirectory.LEFT_MAX_COUNT
            for number in range(count):
                name = f"leaf-{number}"
                directory._accept(storebuilders.item(name, 1, service="s"))
                directory._remove(name)
            late = storebuilders.changed(
                f"leaf-{count - 1}", 2, service="s", seq=0
            )
            directory.on_changes([late])
            return len(directory._latest_order), list(board.leafs)

        known_count, leafs = virtualtime.run(main)
        self.assertTrue(known_count <= 2 * leafdirectory.LEFT_MAX_COUNT + 1)
        self.assertEqual([], leafs)

    def test_failure_is_logged_once(self) -> None:
        """Guard against a log that an entry fills at each listing."""
        lines: list[str] = []
        sink = loguru.logger.add(
            lambda line: lines.append(str(line)), level="WARNING"
        )
        self.addCleanup(loguru.logger.remove, sink)
        guard = objectguard.ObjectGuard("leaf entry")

        def fail(item: objectsource.SourceObject) -> None:
            raise ValueError("the spec is not that of a leaf entry")

        for revision in (2, 2, 2, 3):
            guard.handle(storebuilders.item("odd", revision), fail)
        self.assertEqual(2, len(lines))

    def test_configuration_that_fails(self) -> None:
        """Guard against a configuration that ends the process."""
        board = blackboard.Blackboard(1)

        def read_routes(spec: object) -> routetable.RouteTable:
            if not isinstance(spec, dict):
                raise OverflowError("the number is too large")
            return build_cold_routes()

        controller = routecontroller.RouteController(
            board, "main", read_routes, lambda: None
        )
        odd = objectsource.SourceObject("main", 1, HUGE)
        controller.on_changes([objectsource.Change(odd, False)])
        controller.on_changes([storebuilders.changed("main", 2, v=1)])
        self.assertEqual(1, board.routes.version)
