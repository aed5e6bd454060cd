"""Tests of the memory that copies of the store's objects take."""

import gc
import json
import tracemalloc
import typing
from collections import abc

import testtools

from plantainhook import objectsource, storereplica, storeupdate
from plantainhook.platform import adapters, names, store
from tests import storebuilders, test_storelisting, virtualtime

MEGABYTE: typing.Final = 1_000_000
# The copies of the store's objects are a small part of a VM of 200 MB. While
# a reply is read, some copies of its text exist.
HELD_MAX_BYTES: typing.Final = MEGABYTE
PEAK_MAX_BYTES: typing.Final = 20 * MEGABYTE
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
