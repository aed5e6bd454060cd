"""Tests of the memory that copies of the store's objects take."""

import gc
import json
import random
import tracemalloc
import typing
from collections import abc

import testtools

from plantainhook import (
    objectsource,
    storeaccount,
    storereplica,
    storeupdate,
)
from plantainhook.platform import adapters, names, store
from tests import storebuilders, test_storelisting, virtualtime

MEGABYTE: typing.Final = 1_000_000
# The copies of the store's objects are a small part of a VM of 200 MB. While
# a reply is read, some copies of its text exist.
HELD_MAX_BYTES: typing.Final = MEGABYTE
PEAK_MAX_BYTES: typing.Final = 20 * MEGABYTE
T = typing.TypeVar("T")
LEAF: typing.Final[dict[str, typing.Any]] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc-1",
    "max-concurrency": 2,
    "state": "ready",
    "seq": 1,
    "born": 1,
}


def fill(unit: str) -> str:
    """Return a list of one megabyte."""
    return "[" + ",".join([unit] * (MEGABYTE // (len(unit) + 1))) + "]"


# Objects of other writers, each about one megabyte long.
LARGE: typing.Final = {
    "short objects": fill('{"a":1}'),
    "empty lists": fill("[]"),
    "numbers": fill("1.5"),
    "strings": fill('"abcdefgh"'),
    "members": "{" + ",".join(f'"{n:06}":1' for n in range(90_000)) + "}",
    "one string": json.dumps("x" * MEGABYTE),
    "a leaf with a long list": json.dumps(LEAF)[:-1]
    + ',"notes":'
    + fill('{"a":1}')
    + "}",
    "a list that is no JSON": fill('{"a":1}')[:-1] + ",x]",
    "a leaf with a long name": json.dumps({**LEAF, "zone": "z" * MEGABYTE}),
}


def measure(
    action: abc.Callable[[], object],
) -> tuple[object, int, int]:
    """Return the result of an action, the bytes it holds, and the peak."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    value = action()
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return value, held - before, peak - before


class CopyMemoryTest(testtools.TestCase):
    """Check what objects of other writers take, whatever they contain."""

    def check(self, action: abc.Callable[[], object], form: str) -> None:
        """Check the memory of a copy, and that the sound leaf is in it."""
        consumer, held, peak = measure(action)
        assert isinstance(consumer, test_storelisting.Specs)
        self.assertIsNot(None, consumer.specs["z-sound"], form)
        self.assertLess(held, HELD_MAX_BYTES, form)
        self.assertLess(peak, PEAK_MAX_BYTES, form)

    def test_listing_of_large_objects(self) -> None:
        """Guard against a decoded form that takes 25 times its text.

        There were 16 such objects among the servers (review/15). Here 30 are
        there before a daemon starts.
        """
        for form, text in LARGE.items():
            texts = test_storelisting.TextStore(page_count=1)
            for number in range(30):
                texts.put(f"{number:02}", text)
            texts.put("z-sound", json.dumps(LEAF))

            def read(texts: test_storelisting.TextStore = texts) -> object:
                reader = adapters.SPEC_READERS[names.LEAF_KIND]
                source = store.PlatformStore(
                    "a:1", names.LEAF_KIND, texts.connect, reader
                )
                consumer = test_storelisting.Specs()
                replica = storereplica.StoreReplica(
                    names.LEAF_KIND, consumer, spec_reader=reader
                )
                replica.on_listing(virtualtime.run(source.list).unwrap())
                self.assertIsNot(
                    None, replica.packed_update_after(storebuilders.at(0))
                )
                return consumer

            self.check(read, form)

    def test_update_of_an_older_daemon(self) -> None:
        """Guard against a peer that passes such objects on as they are."""
        for form, text in LARGE.items():
            items = [
                storeupdate.StoreItem(f"{n:02}", n, text.encode(), False)
                for n in range(12)
            ]
            items.append(
                storeupdate.StoreItem(
                    "z-sound", 99, json.dumps(LEAF).encode(), False
                )
            )
            update = storeupdate.StoreUpdate(names.LEAF_KIND, 99, True, items)

            def apply(update: storeupdate.StoreUpdate = update) -> object:
                consumer = test_storelisting.Specs()
                replica = storereplica.StoreReplica(
                    names.LEAF_KIND,
                    consumer,
                    spec_reader=adapters.SPEC_READERS[names.LEAF_KIND],
                )
                replica.apply_update(update, objectsource.NO_POSITION)
                return consumer

            self.check(apply, form)


class HistoryMemoryTest(testtools.TestCase):
    """Check what is kept of objects that change often."""

    def build(
        self,
        limit_bytes: int = 10 * MEGABYTE,
    ) -> tuple[storereplica.StoreReplica, storeaccount.StoreAccount]:
        """Return a copy that has read an empty listing, and its account."""
        account = storeaccount.StoreAccount(limit_bytes)
        replica = storereplica.StoreReplica(
            "things", test_storelisting.Specs(), account=account
        )
        replica.on_listing(objectsource.Listing([], storebuilders.at(1)))
        return replica, account

    def change(
        self, replica: storereplica.StoreReplica, *changes: objectsource.Change
    ) -> None:
        """Apply changes at the next revision."""
        after = replica.position
        replica.on_changes(
            list(changes), storebuilders.at(after.revision + 1), after
        )

    def test_versions_of_one_object(self) -> None:
        """Guard against a copy that keeps each version of a configuration.

        After 440 changes of 170 KB every daemon was over its memory
        (review/12). A peer that is behind all of them gets the last one.
        """

        def play() -> object:
            replica, _ = self.build()
            for number in range(1000):
                text = f"{number:06}" * 28_000
                self.change(
                    replica, storebuilders.changed("main", number, x=text)
                )
            update = replica.update_after(storebuilders.at(1))
            assert update is not None
            self.assertFalse(update.whole)
            self.assertEqual([999], [item.revision for item in update.items])
            return replica

        replica, held, _ = measure(lambda: virtualtime.run(as_task(play)))
        self.assertIsInstance(replica, storereplica.StoreReplica)
        self.assertLess(held, MEGABYTE)

    def test_objects_that_come_and_go(self) -> None:
        """Guard against a record of each object that ever existed."""

        def play() -> object:
            replica, _ = self.build()
            for number in range(5 * storereplica.REMOVED_MAX_COUNT):
                name = f"leaf-{number}"
                self.change(replica, storebuilders.changed(name, 1, x=1))
                self.change(replica, storebuilders.deleted(name, 1))
            update = replica.update_after(storebuilders.at(2))
            assert update is not None
            self.assertTrue(update.whole)
            return replica

        _, held, _ = measure(lambda: virtualtime.run(as_task(play)))
        self.assertLess(held, 5 * MEGABYTE)

    def test_peers_at_many_positions(self) -> None:
        """Guard against a packed update that is kept for each peer."""

        def play() -> None:
            replica, account = self.build(2 * MEGABYTE)
            rng = random.Random(1)
            for number in range(200):
                text = rng.randbytes(2500).hex()
                self.change(
                    replica, storebuilders.changed(f"{number}", 1, x=text)
                )
            for revision in range(1, 200):
                position = storebuilders.at(revision)
                self.assertIsNot(None, replica.packed_update_after(position))
                self.assertFalse(account.is_over())

        virtualtime.run(as_task(play))

    def test_account_that_is_full(self) -> None:
        """Guard against a full account that costs objects or changes.

        The objects stay, and peers get what they need.
        """

        def play() -> None:
            replica, account = self.build(100_000)
            for number in range(50):
                changes = [storebuilders.changed(f"{number}", 1, x="x" * 5000)]
                if number % 2:
                    gone = f"{number - 1}"
                    changes.append(storebuilders.deleted(gone, 1))
                self.change(replica, *changes)
            self.assertTrue(account.is_over())
            wanted = {f"{number}" for number in range(1, 50, 2)}
            for revision in range(1, replica.position.revision):
                consumer = test_storelisting.Specs()
                peer = storereplica.StoreReplica("things", consumer)
                stale = [storebuilders.item("0", 1, x=1)]
                position = storebuilders.at(revision)
                peer.on_listing(objectsource.Listing(stale, position))
                update = replica.update_after(position)
                assert update is not None
                if update.whole:
                    peer.apply_update(update, position)
                    self.assertEqual(wanted, consumer.specs.keys())

        virtualtime.run(as_task(play))

    def test_object_that_returns_in_one_batch(self) -> None:
        """Guard against a peer that removes an object which exists."""

        def play() -> None:
            replica, _ = self.build()
            self.change(replica, storebuilders.changed("a", 1, x=1))
            self.change(
                replica,
                storebuilders.deleted("a", 1),
                storebuilders.changed("a", 3, x=2),
            )
            update = replica.update_after(storebuilders.at(2))
            assert update is not None
            self.assertEqual(
                [("a", 3, False)],
                [
                    (item.name, item.revision, item.deleted)
                    for item in update.items
                ],
            )

        virtualtime.run(as_task(play))

    def test_listing_of_the_same_era(self) -> None:
        """Guard against all objects for each follower after a listing.

        Pattern: an object that hides others changes all the time, so that a
        watcher lists again and again, and serves dozens of followers.
        """

        def play() -> None:
            replica, _ = self.build()
            items = [
                storebuilders.item(f"{number}", 1, x=1) for number in range(9)
            ]
            first = objectsource.Listing(items, storebuilders.at(5))
            replica.on_listing(first)
            changed = [storebuilders.item("3", 7, x=2), *items[4:]]
            replica.on_listing(
                objectsource.Listing(changed, storebuilders.at(7))
            )
            update = replica.update_after(storebuilders.at(5))
            assert update is not None
            self.assertFalse(update.whole)
            self.assertEqual(
                [("0", True), ("1", True), ("2", True), ("3", False)],
                sorted((item.name, item.deleted) for item in update.items),
            )

        virtualtime.run(as_task(play))


def as_task(
    play: abc.Callable[[], T],
) -> abc.Callable[[], abc.Awaitable[T]]:
    """Return an asynchronous function that calls another."""

    async def main() -> T:
        return play()

    return main
