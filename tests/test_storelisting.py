"""Tests of listings in which the bytes of one writer hide other objects."""

import json
import random
import typing
import urllib.parse

import testtools
import trio

from plantainhook import errors, objectsource, storereplica
from plantainhook.platform import store
from tests import storebuilders, virtualtime

KIND: typing.Final = "servers"
SOUND: typing.Final = '{"service":"s"}'
# What looks like an object of its own, in the text of another writer.
GHOST: typing.Final = (
    '{"meta":{"name":"ghost","revision":3},"spec":{"service":"s"}}'
)
# Texts of one object each. The store hands them out as they were written.
DAMAGED: typing.Final = (
    ('{"service":"archive","addr',),
    ('{"service":"archive","address":"10.0.0.1:80"',),
    ("}",),
    ("]",),
    ("{",),
    ("[",),
    ('"',),
    ("tru",),
    ("",),
    ("1}",),
    ("1},{}",),
    ("1}]",),
    ('\\"',),
    ('"\\',),
    ('{"a":"', '"}'),
    ('"', '"'),
    ("[", "]"),
    ('[{"x":1', "1}]"),
    ("{" * 3000,),
    ('"' + "x" * 100_000,),
    (GHOST[:-1],),
    (f'[{GHOST},"',),
    (f'{{"a":{GHOST}}},"b":[',),
    ('{"a":1},"store-revision":99999,"b":{',),
    ('1}],"more":false,"store-revision":99999,"x":[{"a":1',),
    tuple('{"service":"arch' for _ in range(20)),
)


class TextStore:
    """Serve objects whose texts are those of their writers.

    It is its own transport. Every ``refuse_each``-th call gets 503.
    """

    def __init__(self, page_count: int = 100) -> None:
        self.texts: dict[str, tuple[int, str]] = {}
        self.events: list[tuple[int, str, str, bool]] = []
        self.revision = 10
        self.calls_count = 0
        self.refuse_each = 0
        self._page_count = page_count
        self._unread = b""

    def put(self, name: str, text: str) -> None:
        """Create or replace an object."""
        self.revision += 1
        self.texts[name] = (self.revision, text)
        self.events.append((self.revision, name, text, False))

    def delete(self, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        _, text = self.texts.pop(name)
        self.events.append((self.revision, name, text, True))

    async def connect(self, address: str) -> "TextStore":
        """Return this store as a new connection."""
        self._unread = b""
        return self

    async def send_some(self, data: bytes) -> int:
        """Prepare the reply to a call."""
        await trio.lowlevel.checkpoint()
        self.calls_count += 1
        target = data.split(b" ")[1].decode()
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        name = urllib.parse.unquote(path.partition(KIND)[2].strip("/"))
        status, text = 200, ""
        if self.refuse_each and self.calls_count % self.refuse_each == 0:
            status = 503
        elif "watch" in query:
            text = await self._watch(int(query["watch"]), query["wait-ms"])
        elif not name:
            text = self._list(query.get("after", ""))
        elif name in self.texts:
            text = self._object(name, *self.texts[name])
        else:
            status = 404
        body = text.encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self._unread = head.encode() + body
        return len(data)

    @staticmethod
    def _object(name: str, revision: int, text: str) -> str:
        meta = json.dumps({"name": name, "revision": revision})
        return f'{{"meta":{meta},"spec":{text}}}'

    def _list(self, after: str) -> str:
        listed = sorted(name for name in self.texts if name > after)
        page = listed[: self._page_count]
        items = ",".join(
            self._object(name, *self.texts[name]) for name in page
        )
        more = json.dumps(len(listed) > len(page))
        return (
            f'{{"items":[{items}],"more":{more},'
            f'"store-revision":{self.revision}}}'
        )

    async def _watch(self, revision: int, wait_ms: str) -> str:
        with trio.move_on_after(int(wait_ms) / 1000):
            while not self.events or self.events[-1][0] <= revision:
                await trio.sleep(0.05)
        events = ",".join(
            f'{{"object":{self._object(name, at, text)},'
            f'"deleted":{json.dumps(deleted)}}}'
            for at, name, text, deleted in self.events
            if at > revision
        )
        return f'{{"events":[{events}],"store-revision":{self.revision}}}'

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the reply."""
        await trio.lowlevel.checkpoint()
        data, self._unread = self._unread, b""
        return data

    def is_readable(self) -> bool:
        """Return whether a reply is ready."""
        return bool(self._unread)

    def send_eof(self) -> None:
        """Ignore the end of the sending side."""

    def close(self) -> None:
        """Ignore the close."""


class Specs:
    """Hold the specs that a copy passes on, and count the listings."""

    def __init__(self) -> None:
        self.specs: dict[str, object] = {}

    def on_restored(self) -> None:
        """Do nothing."""

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all specs."""
        self.specs = {item.name: item.spec for item in listing.objects}

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply changes."""
        for change in changes:
            self.specs.pop(change.object.name, None)
            if not change.deleted:
                self.specs[change.object.name] = change.object.spec

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Do nothing."""

    def on_available(self) -> None:
        """Do nothing."""


def sound_specs(specs: dict[str, object]) -> dict[str, object]:
    """Return the specs of the objects that name a leaf."""
    return {
        name: spec
        for name, spec in specs.items()
        if isinstance(spec, dict) and spec.get("service") == "s"
    }


class DamagedListingTest(testtools.TestCase):
    """Check that an object costs only itself."""

    def list(self, texts: TextStore) -> objectsource.Listing:
        """Return a listing of the store."""
        source = store.PlatformStore("a:1", KIND, texts.connect)
        return virtualtime.run(source.list).unwrap()

    def test_each_damage_at_each_place(self) -> None:
        """Guard against bytes of one writer that hide all other objects.

        It was an entry that was cut off in its middle (review/11). Nothing of
        a text is taken for another object, and no sound one is missing.
        """
        for damaged in DAMAGED:
            for place in range(4):
                texts = TextStore(page_count=5)
                names = [f"{number:02}" for number in range(8)]
                for name in names:
                    texts.put(name, SOUND)
                for number, text in enumerate(damaged):
                    texts.put(f"0{2 * place}x{number:02}", text)
                listing = self.list(texts)
                specs = {item.name: item.spec for item in listing.objects}
                message = f"{damaged[0][:60]} at {place}"
                self.assertEqual(names, sorted(sound_specs(specs)), message)
                self.assertEqual(sorted(texts.texts), sorted(specs), message)
                self.assertEqual(texts.revision, listing.position.revision)

    def test_sound_text_beside_a_cut_one(self) -> None:
        """Guard against a part of a sound object that is taken for another.

        Pattern: the neighbour of an object that is cut off can't be read
        with it, and contains what looks like an object.
        """
        texts = TextStore()
        texts.put("a", '{"service":"s","note":"')
        texts.put("b", f'{{"service":"s","copy":{GHOST}}}')
        texts.put("c", json.dumps({"service": "s", "note": f"}},{GHOST}"}))
        texts.put("d", SOUND)
        specs = {item.name: item.spec for item in self.list(texts).objects}
        self.assertEqual(["b", "c", "d"], sorted(sound_specs(specs)))
        self.assertNotIn("ghost", specs)

    def test_text_that_closes_its_own_object(self) -> None:
        """Guard against an object that its writer made up in its own text.

        Such a text ends the object that the store has put it into.
        """
        for text in (
            f"1}},{GHOST[:-1]}",
            f'1}},{GHOST},"',
        ):
            texts = TextStore()
            texts.put("a", SOUND)
            texts.put("b", text)
            texts.put("c", SOUND)
            names = [item.name for item in self.list(texts).objects]
            self.assertEqual(["a", "b", "c"], sorted(names))

    def test_number_of_calls(self) -> None:
        """Guard against a call for each sound object beside a damaged one."""
        texts = TextStore(page_count=100)
        for number in range(400):
            texts.put(f"{number:03}", SOUND)
        self.list(texts)
        self.assertEqual(4, texts.calls_count)
        for number in range(7):
            texts.put(f"{50 * number:03}x", '{"service":"s')
        texts.calls_count = 0
        self.assertEqual(407, len(self.list(texts).objects))
        self.assertTrue(texts.calls_count <= 5 + 2 * 7, texts.calls_count)

    def test_store_that_refuses_some_calls(self) -> None:
        """Guard against a listing that never ends where calls fail."""
        texts = TextStore(page_count=100)
        for number in range(100):
            texts.put(f"{number:03}", '{"cut' if number % 5 else SOUND)
        texts.refuse_each = 6
        specs = {item.name: item.spec for item in self.list(texts).objects}
        self.assertEqual(20, len(sound_specs(specs)))

    def test_large_sound_listing(self) -> None:
        """Guard against a sound listing that is split in slow steps."""
        texts = TextStore(page_count=500)
        rng = random.Random(1)
        for number in range(500):
            note = "x" * rng.randrange(500, 2500)
            texts.put(f"{number:03}", json.dumps({"service": note}))
        self.assertEqual(500, len(self.list(texts).objects))
        self.assertEqual(1, texts.calls_count)


class LargeWatchTest(testtools.TestCase):
    """Check copies that are behind more changes than a reply may hold."""

    def test_storm_of_large_versions(self) -> None:
        """Guard against a watch that is asked for again and again.

        Pattern: long configurations come in quick succession, and the changes
        after one revision exceed the size of a reply (review/13).
        """
        texts = TextStore()
        consumer = Specs()
        replica = storereplica.StoreReplica(KIND, consumer)

        async def main() -> None:
            source = store.PlatformStore("a:1", KIND, texts.connect)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    objectsource.follow,
                    source,
                    replica,
                    objectsource.FollowOptions(),
                    random.Random(1),
                )
                await trio.sleep(1.0)
                for number in range(50):
                    texts.put("main", json.dumps([number, "x" * 660_000]))
                    await trio.sleep(0.03)
                # contract-params.config-apply-ms.
                await trio.sleep(3.0)
                nursery.cancel_scope.cancel()

        virtualtime.run(main)
        spec = consumer.specs["main"]
        assert isinstance(spec, list)
        self.assertEqual(49, spec[0])
        self.assertEqual(storebuilders.at(texts.revision), replica.position)


class DamagedWatchTest(testtools.TestCase):
    """Check copies that follow a store with damaged objects."""

    def test_changes_beside_a_damaged_object(self) -> None:
        """Guard against daemons that hear of no new leaf any more.

        The changes of an object, and the removal of one, arrive while others
        are damaged, and so do those of the damaged ones themselves.
        """
        for damaged in DAMAGED:
            texts = TextStore(page_count=5)
            for name in "bdf":
                texts.put(name, SOUND)
            consumer = Specs()
            replica = storereplica.StoreReplica(KIND, consumer)

            async def main(
                texts: TextStore = texts,
                replica: storereplica.StoreReplica = replica,
                damaged: tuple[str, ...] = damaged,
            ) -> None:
                source = store.PlatformStore("a:1", KIND, texts.connect)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        objectsource.follow,
                        source,
                        replica,
                        objectsource.FollowOptions(),
                        random.Random(1),
                    )
                    await trio.sleep(1.0)
                    for number, text in enumerate(damaged):
                        texts.put(f"c{number:02}", text)
                        texts.put(f"e{number:02}", SOUND)
                    texts.delete("b")
                    await trio.sleep(3.0)
                    texts.put("g", SOUND)
                    texts.put("c00", SOUND)
                    texts.delete("e00")
                    await trio.sleep(3.0)
                    nursery.cancel_scope.cancel()

            virtualtime.run(main)
            wanted = sorted(
                name
                for name, (_, text) in texts.texts.items()
                if text == SOUND
            )
            found = sorted(sound_specs(consumer.specs))
            self.assertEqual(wanted, found, damaged[0][:60])
            self.assertEqual(sorted(texts.texts), sorted(consumer.specs))
            self.assertEqual(
                storebuilders.at(texts.revision), replica.position
            )
