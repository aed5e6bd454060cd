"""Tests of the settings store: apply, conflict, undo, history, difference."""

import functools
import typing
from collections import abc

import result
import testtools

from plantainhook import (
    clock,
    errors,
    objectapi,
    objectapifake,
    revisions,
    settingsapply,
    settingschunks,
    settingscleanup,
    settingsobjects,
    settingsstore,
)
from tests import pausingapi, virtualtime

SERVICES_COUNT: typing.Final = 200


def kind_change(
    **deadlines_ms: int | None,
) -> settingsobjects.Change:
    """Return a change of the deadlines of request kinds.

    None removes the kind.
    """
    specs = {
        f"request_kind/{kind}": {"rules": {"deadline_ms": deadline_ms}}
        for kind, deadline_ms in deadlines_ms.items()
        if deadline_ms is not None
    }
    removed = frozenset(
        f"request_kind/{k}" for k, d in deadlines_ms.items() if d is None
    )
    return settingsobjects.Change(specs, removed)


async def clean_up(api: objectapi.ObjectApi) -> None:
    """Run the clean-up job, which must succeed."""
    (await settingscleanup.clean_up(api)).unwrap()


class Fixture:
    """Provide the settings stores of two operators on shared objects.

    The object API of the first operator has faults and hooks.
    """

    def __init__(self) -> None:
        self.memory = objectapifake.VersionedStore(log=[])
        self.api = pausingapi.PausingApi(
            self.memory, settingschunks.HEAD_KEY, lambda key, value: None
        )
        self.clock = clock.ManualClock()
        self.store = settingsstore.SettingsStore(self.api, self.clock)
        self.other = settingsstore.SettingsStore(
            objectapifake.FakeObjectApi(self.memory), self.clock
        )

    async def apply(self, **deadlines_ms: int | None) -> settingsapply.Applied:
        """Apply a change, which must succeed."""
        request = settingsapply.Request(kind_change(**deadlines_ms), "anna")
        return (await self.store.apply(request)).unwrap()

    async def apply_other(self, **deadlines_ms: int | None) -> None:
        """Apply a change as another operator; it must succeed."""
        request = settingsapply.Request(kind_change(**deadlines_ms), "bela")
        (await self.other.apply(request)).unwrap()

    async def current(self) -> abc.Mapping[str, bytes]:
        """Return the records in force."""
        return (await self.other.load_current()).unwrap().records


Scenario = abc.Callable[[Fixture], abc.Awaitable[None]]


class SettingsStoreTest(testtools.TestCase):
    """Check the store against an object API with faults."""

    def run_scenario(self, scenario: Scenario) -> None:
        """Run a scenario on a new store."""
        virtualtime.run(functools.partial(scenario, Fixture()))

    def test_undo_is_a_new_revision(self) -> None:
        """Guard against an undo that also reverts later changes."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            await fixture.apply(grid=250, hint=90)
            await fixture.apply(archive=9000)
            undone = (await fixture.store.undo(2, "chan")).unwrap()
            self.assertEqual(4, undone.revision.info.revision)
            self.assertEqual(2, undone.revision.info.undo_of)
            self.assertEqual(
                {"request_kind/grid", "request_kind/archive"},
                set(await fixture.current()),
            )
            texts = [
                d.text() for d in (await fixture.store.diff(2, 4)).unwrap()
            ]
            self.assertIn(
                "request_kind/grid rules.deadline_ms: 250 -> 300", texts
            )

        self.run_scenario(scenario)

    def test_undo_of_objects_changed_later(self) -> None:
        """Guard against an undo that overwrites a later change."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            await fixture.apply(grid=250)
            refused = (await fixture.store.undo(1, "chan")).unwrap_err()
            self.assertIn("request_kind/grid", refused.detail)
            (await fixture.store.undo(2, "chan")).unwrap()
            (await fixture.store.undo(1, "chan")).unwrap()
            self.assertEqual({}, await fixture.current())
            missing = (await fixture.store.undo(9, "chan")).unwrap_err()
            self.assertIn("no revision 9", missing.detail)

        self.run_scenario(scenario)

    def test_invalid_change_writes_nothing(self) -> None:
        """Guard against settings of which only a part is in force."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            version = fixture.memory.version
            specs: dict[str, settingsobjects.Spec] = {
                "request_kind/hint": {"rules": {"deadline_ms": 100}},
                "target/maps": {"groups": ["gone"]},
                "service/s": {"rules": {"hedge_policy": "psychic"}},
            }
            request = settingsapply.Request(
                settingsobjects.Change(specs), "anna"
            )
            error = (await fixture.store.apply(request)).unwrap_err()
            assert isinstance(error, errors.SettingsInvalidError)
            self.assertEqual(2, len(error.problems))
            self.assertEqual(version, fixture.memory.version)

        self.run_scenario(scenario)

    def test_removal_of_an_unknown_object(self) -> None:
        """Guard against a removal that ignores a name which does not exist."""

        async def scenario(fixture: Fixture) -> None:
            request = settingsapply.Request(kind_change(grid=None), "anna")
            error = (await fixture.store.apply(request)).unwrap_err()
            self.assertIn("existing object to remove", error.detail)

        self.run_scenario(scenario)

    def test_conflict_with_a_base(self) -> None:
        """Guard against conflict reports without the next command."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300, hint=50)
            await fixture.apply_other(grid=250)
            request = settingsapply.Request(
                kind_change(grid=400), "anna", base_revision=1
            )
            error = (await fixture.store.apply(request)).unwrap_err()
            assert isinstance(error, errors.SettingsConflictError)
            for text in (
                "revision 2 by bela",
                "request_kind/grid rules.deadline_ms: 300 -> 250",
                "request_kind/grid rules.deadline_ms: 300 -> 400",
                "--base 2",
                "settings show request_kind/grid",
            ):
                self.assertIn(text, error.report)
            request = settingsapply.Request(
                kind_change(hint=60), "anna", base_revision=1
            )
            error = (await fixture.store.apply(request)).unwrap_err()
            assert isinstance(error, errors.SettingsConflictError)
            self.assertIn("other objects", error.report)

        self.run_scenario(scenario)

    def test_concurrent_update_of_the_head(self) -> None:
        """Guard against a change that overwrites a concurrent one."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            fixture.api.hook = functools.partial(fixture.apply_other, grid=250)
            request = settingsapply.Request(kind_change(grid=400), "anna")
            error = (await fixture.store.apply(request)).unwrap_err()
            self.assertIsInstance(error, errors.SettingsConflictError)
            record = (await fixture.current())["request_kind/grid"]
            self.assertIn(b"250", record)

        self.run_scenario(scenario)

    def test_lost_reply_of_the_head(self) -> None:
        """Guard against a change that is made twice or reported as lost."""

        async def lose(fixture: Fixture) -> None:
            fixture.api.faults.lost_replies_count = 1

        async def scenario(fixture: Fixture) -> None:
            fixture.api.hook = functools.partial(lose, fixture)
            applied = await fixture.apply(grid=300)
            self.assertEqual(1, applied.revision.info.revision)
            infos = (await fixture.store.history()).unwrap()
            self.assertEqual(["anna"], [info.author for info in infos])

        self.run_scenario(scenario)

    def test_lost_reply_under_another_revision(self) -> None:
        """Guard against reporting a change as refused that took effect.

        The reply to the update of the head is lost, and another operator
        makes a change before the head is read again.
        """

        async def lose(fixture: Fixture) -> None:
            fixture.api.faults.lost_replies_count = 1

        async def scenario(fixture: Fixture) -> None:
            fixture.api.hook = functools.partial(lose, fixture)
            fixture.api.after_hook = functools.partial(
                fixture.apply_other, hint=9
            )
            applied = await fixture.apply(grid=300)
            self.assertEqual(1, applied.revision.info.revision)
            infos = (await fixture.store.history()).unwrap()
            self.assertEqual(["bela", "anna"], [i.author for i in infos])

        self.run_scenario(scenario)

    def test_change_during_a_clean_up(self) -> None:
        """Guard against a clean-up that makes a change fail."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            cleaner = objectapifake.FakeObjectApi(fixture.memory)
            fixture.api.hook = functools.partial(clean_up, cleaner)
            await fixture.apply(grid=250)
            self.assertIn(
                b"250", (await fixture.current())["request_kind/grid"]
            )

        self.run_scenario(scenario)

    def test_chunk_written_again_is_kept(self) -> None:
        """Guard against removing a chunk that a later change uses."""

        async def scenario(fixture: Fixture) -> None:
            key = settingschunks.chunk_key("hash")
            (
                await settingschunks.write_chunk(fixture.api, "hash", b"x")
            ).unwrap()
            listed = (await fixture.api.list(key)).unwrap().objects
            (
                await settingschunks.write_chunk(fixture.api, "hash", b"x")
            ).unwrap()
            await settingscleanup.remove_unused(fixture.api, listed, set())
            (await fixture.api.get(key)).unwrap()
            listed = (await fixture.api.list(key)).unwrap().objects
            await settingscleanup.remove_unused(fixture.api, listed, set())
            self.assertIsInstance(await fixture.api.get(key), result.Err)

        self.run_scenario(scenario)

    def test_platform_that_stops_answering(self) -> None:
        """Guard against reporting an outcome that is unknown."""

        async def stop_answering(fixture: Fixture) -> None:
            fixture.api.faults.lost_requests_count = 1000

        async def scenario(fixture: Fixture) -> None:
            fixture.api.hook = functools.partial(stop_answering, fixture)
            request = settingsapply.Request(kind_change(grid=400), "anna")
            error = (await fixture.store.apply(request)).unwrap_err()
            self.assertIsInstance(error, errors.ObjectOutcomeUnknownError)
            self.assertIn("settings history", error.detail)

        self.run_scenario(scenario)

    def test_outage_before_the_head_moves(self) -> None:
        """Guard against a change that takes effect in part in an outage."""

        async def fail(fixture: Fixture) -> None:
            fixture.api.faults.outage = True

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300, hint=50)
            before = await fixture.current()
            fixture.api.hook = functools.partial(fail, fixture)
            request = settingsapply.Request(
                kind_change(grid=1, hint=2), "anna"
            )
            error = (await fixture.store.apply(request)).unwrap_err()
            self.assertIsInstance(error, errors.ObjectApiUnavailableError)
            self.assertEqual(before, await fixture.current())
            fixture.api.faults.outage = False
            await fixture.apply(grid=1, hint=2)

        self.run_scenario(scenario)

    def test_one_change_is_one_chunk(self) -> None:
        """Guard against changes whose cost grows with the settings."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(
                **{f"k{i}": 100 for i in range(SERVICES_COUNT)}
            )
            fixture.api.counters = objectapifake.Counters()
            await fixture.apply(k7=101)
            self.assertEqual({"get": 1, "put": 3}, fixture.api.counters.calls)

        self.run_scenario(scenario)

    def test_nothing_to_change(self) -> None:
        """Guard against revisions without a difference."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            again = await fixture.apply(grid=300)
            self.assertEqual((), again.differences)
            self.assertEqual(1, again.revision.info.revision)

        self.run_scenario(scenario)

    def test_stamps_keep_the_author_of_each_rule(self) -> None:
        """Guard against naming the wrong author of a rule."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            spec = {"rules": {"deadline_ms": 300, "max_hedges_count": 1}}
            change = settingsobjects.Change({"request_kind/grid": spec})
            request = settingsapply.Request(change, "bela")
            (await fixture.store.apply(request)).unwrap()
            record = settingsobjects.decode(
                (await fixture.current())["request_kind/grid"]
            )
            self.assertEqual("anna", record.stamps["deadline_ms"].author)
            self.assertEqual("bela", record.stamps["max_hedges_count"].author)

        self.run_scenario(scenario)

    def test_delta_builds_the_same_revision(self) -> None:
        """Guard against peers that forward damaged settings."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300, hint=50)
            old = (await fixture.store.load_current()).unwrap()
            await fixture.apply(grid=250, hint=None, archive=9000)
            difference = (await fixture.store.delta(1, 2)).unwrap()
            built = revisions.apply_delta(old, difference).unwrap()
            current = (await fixture.store.load_current()).unwrap()
            self.assertEqual(current.hash, built.hash)
            history = revisions.RevisionHistory()
            adopted = [history.adopt(r) for r in (old, built, built, old)]
            self.assertEqual([True, True, False, False], adopted)
            difference.objects["request_kind/grid"] = b'{"spec":{}}'
            damaged = revisions.apply_delta(old, difference)
            self.assertIn("hash", damaged.unwrap_err().detail)
            wrong = revisions.apply_delta(current, difference)
            self.assertIn("starts at", wrong.unwrap_err().detail)

        self.run_scenario(scenario)

    def test_damaged_chunk_is_refused(self) -> None:
        """Guard against adopting a chunk that was changed in the store."""

        async def scenario(fixture: Fixture) -> None:
            await fixture.apply(grid=300)
            keys = [k for k in fixture.memory.entries if "chunk" in k]
            fixture.memory.write(keys[0], b'"{}"', "r")
            error = (await fixture.other.load_current()).unwrap_err()
            self.assertIn("damaged", error.detail)

        self.run_scenario(scenario)

    def test_large_object_is_refused(self) -> None:
        """Guard against objects over the size limit of the object API."""

        async def scenario(fixture: Fixture) -> None:
            tiles = ["x" * 1000] * 500
            figure = {"measure": "count", "tiles": tiles}
            change = settingsobjects.Change({"figure/f": figure})
            request = settingsapply.Request(change, "anna")
            error = (await fixture.store.apply(request)).unwrap_err()
            self.assertIn("at most", error.detail)

        self.run_scenario(scenario)
