"""Tests of the client of the platform's store with a scripted stand-in."""

import json
import time
import typing

import result
import testtools
import trio

from plantainhook import errors, objectsource
from plantainhook.platform import store
from tests import storebuilders, virtualtime

Reply = tuple[int | str, object]
VALUE_MAX_BYTES: typing.Final = 1_048_576
# Requests have to be answered half a second after their timeout at most.
PAUSE_MAX_S: typing.Final = 0.5


class StoreStandIn:
    """Answer requests with scripted replies, on any connection.

    It is its own transport. A reply of None leaves a request unanswered.
    """

    def __init__(self, *replies: Reply | None) -> None:
        self.replies = list(replies)
        self.paths: list[str] = []
        self.connects_count = 0
        self._unread: list[bytes] = []

    async def connect(self, address: str) -> "StoreStandIn":
        """Return this stand-in as a new connection."""
        self.connects_count += 1
        self._unread = []
        return self

    async def send_some(self, data: bytes) -> int:
        """Record the path of a request and prepare its reply."""
        await trio.lowlevel.checkpoint()
        self.paths.append(data.split(b" ")[1].decode())
        reply = self.replies.pop(0)
        if reply is not None:
            status, value = reply
            body = (
                value
                if isinstance(value, bytes)
                else (json.dumps(value).encode())
            )
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            self._unread.append(head.encode() + body)
        return len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the reply; wait for ever if there is none."""
        if not self._unread:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        return self._unread.pop(0)

    def is_readable(self) -> bool:
        """Return whether a reply is ready."""
        return bool(self._unread)

    def send_eof(self) -> None:
        """Ignore the end of the sending side."""

    def close(self) -> None:
        """Ignore the close."""


def entry(name: str, revision: int) -> dict[str, typing.Any]:
    """Return an object as the store encodes it."""
    return {
        "meta": {"name": name, "revision": revision, "created": 1},
        "spec": {"x": revision},
        "status": None,
    }


def listing(names: str, more: bool, revision: int) -> Reply:
    """Return one page of a listing; each letter of ``names`` is a name."""
    items = [entry(name, 1) for name in names]
    return 200, {"items": items, "more": more, "store-revision": revision}


def read_beside(body: bytes) -> tuple[list[str], float]:
    """Read a reply beside another task.

    Return the names of the objects, and the longest processor time
    between two turns of the other task.
    """
    source = store.PlatformStore(
        "a:1", "servers", StoreStandIn((200, body)).connect
    )
    pauses_s: list[float] = []

    async def take_turns() -> None:
        while True:
            began_s = time.process_time()
            try:
                await trio.lowlevel.checkpoint()
            finally:
                pauses_s.append(time.process_time() - began_s)

    async def main() -> list[str]:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_turns)
            if b'"items"' in body:
                listing = (await source.list()).unwrap()
                names = [item.name for item in listing.objects]
            else:
                watched = await source.watch(storebuilders.at(7), 1.0)
                changes, _ = watched.unwrap()
                names = [change.object.name for change in changes]
            nursery.cancel_scope.cancel()
        return names

    return trio.run(main), max(pauses_s)


# Begin, repeated part and end of entries that are no JSON text.
LONG_ENTRIES: typing.Final = (
    (b'"', b'{\\"shard\\":1},\n', b'"'),
    (b'"', b'\\"', b'\n"'),
    (b"[", b",", b"]"),
    (b"[", b"x,", b"x]"),
    (b"[", b"1,", b"x]"),
    (b"[", b"[],", b"x]"),
    (b"[", b'{"a":x},', b"1]"),
    (b'{"a":', b'[[x,"y",2],{"z":0}],', b"}"),
    (b"{", b'"a":x,', b'"b":x}'),
    (b"{", b'"a",', b"}"),
    (b"[x,", b"[" * 1000 + b"]" * 1000, b"]"),
    (b"[x,", b'"\\ud800",', b"1]"),
    (b"", b"9", b""),
    (b'"', b"\xff", b'\x01"'),
)


class StoreTest(testtools.TestCase):
    """Check ``list`` and ``watch``."""

    def list(self, stand_in: StoreStandIn) -> objectsource.ListResult:
        """List the objects of kind ``servers``."""
        source = store.PlatformStore("a:1", "servers", stand_in.connect)
        return virtualtime.run(source.list)

    def watch(self, stand_in: StoreStandIn) -> objectsource.WatchResult:
        """Watch from revision 7 for one second."""
        source = store.PlatformStore("a:1", "servers", stand_in.connect)
        return virtualtime.run(lambda: source.watch(storebuilders.at(7), 1.0))

    def test_pages(self) -> None:
        """Guard against leafs that are missed beyond the first page."""
        stand_in = StoreStandIn(listing("ab", True, 5), listing("c", False, 9))
        listed = self.list(stand_in).unwrap()
        self.assertEqual(list("abc"), [item.name for item in listed.objects])
        # A watch from the revision of the first page also returns the
        # changes made between the pages.
        self.assertEqual(storebuilders.at(5), listed.position)
        self.assertIn("after=b", stand_in.paths[1])

    def test_watch(self) -> None:
        """Guard against deletions that are read as changes."""
        events = [
            {"object": entry("a", 8), "deleted": False},
            {"object": entry("b", 9), "deleted": True},
        ]
        reply = (200, {"events": events, "store-revision": 9})
        stand_in = StoreStandIn(reply)
        changes, position = self.watch(stand_in).unwrap()
        self.assertEqual([False, True], [c.deleted for c in changes])
        self.assertEqual(storebuilders.at(9), position)
        self.assertIn("watch=7", stand_in.paths[0])

    def test_unreadable_entry(self) -> None:
        """Guard against one entry that hides all others.

        An entry may come from another writer, with bytes that can't be read.
        """
        sound = json.dumps(entry("b", 8)).encode()
        for spec in (b'"\x01\xff"', b"[" * 1500 + b"]" * 1500, b"9" * 5000):
            unreadable = b'{"meta":{"name":"a","revision":7},"spec":%s}' % spec
            page = b'{"items":[%s,%s,null],"store-revision":8}' % (
                unreadable,
                sound,
            )
            listed = self.list(StoreStandIn((200, page))).unwrap()
            names = [item.name for item in listed.objects]
            self.assertEqual(["a", "b"], names)
            events = b'{"events":[%s],"store-revision":8}' % b",".join(
                b'{"object":%s}' % text for text in (unreadable, sound)
            )
            changes, _ = self.watch(StoreStandIn((200, events))).unwrap()
            names = [change.object.name for change in changes]
            self.assertEqual(["a", "b"], names)

    def test_long_unreadable_entries(self) -> None:
        """Guard against an entry that stops all other work of a daemon."""
        sound = json.dumps(entry("b", 8)).encode()
        for begin, unit, end in LONG_ENTRIES:
            size = VALUE_MAX_BYTES - len(begin) - len(end)
            spec = begin + unit * (size // len(unit)) + end
            unreadable = b'{"meta":{"name":"a","revision":7},"spec":%s}' % spec
            page = b'{"items":[%s,%s],"store-revision":8}' % (
                unreadable,
                sound,
            )
            events = b'{"events":[{"object":%s},{"object":%s}]' % (
                unreadable,
                sound,
            )
            for body in (page, events + b',"store-revision":8}'):
                names, pause_s = read_beside(body)
                self.assertEqual(["a", "b"], names, str(begin + unit))
                self.assertLess(pause_s, PAUSE_MAX_S, str(begin + unit))

    def test_history_expired(self) -> None:
        """Guard against an endless watch from a revision without history."""
        error = self.watch(StoreStandIn((410, {}))).unwrap_err()
        self.assertIsInstance(error, errors.ObjectNotFoundError)

    def test_failures(self) -> None:
        """Guard against a failure that is read as an empty listing."""
        replies: list[Reply | None] = [
            (503, {}),
            (429, {}),
            (200, b"\xff\xfe no json"),
            (200, {"items": 3}),
            *((status, {}) for status in ("000", "099", 600, 999)),
            None,
        ]
        for reply in replies:
            listed = self.list(StoreStandIn(reply))
            self.assertIsInstance(listed, result.Err, str(reply))
            error = listed.unwrap_err()
            self.assertIsInstance(error, errors.ObjectApiUnavailableError)

    def test_probe(self) -> None:
        """Guard against an outage that is taken for a silent connection.

        The reads of the store find an outage themselves.
        """
        outcomes = objectsource.ProbeOutcome
        event = {"object": entry("a", 8), "deleted": False}
        for reply, outcome in (
            (None, outcomes.SILENT),
            ((503, {}), outcomes.FAILED),
            ((410, {}), outcomes.CHANGED),
            ((200, {"events": [], "store-revision": 9}), outcomes.CURRENT),
            (
                (200, {"events": [event], "store-revision": 9}),
                outcomes.CHANGED,
            ),
        ):
            stand_in = StoreStandIn(reply)
            source = store.PlatformStore("a:1", "servers", stand_in.connect)

            async def main(
                source: store.PlatformStore = source,
            ) -> objectsource.ProbeOutcome:
                return await source.probe(storebuilders.at(7), 1.0)

            self.assertIs(outcome, virtualtime.run(main), str(reply))
            self.assertIn("allow-stale=1", stand_in.paths[0])

    def test_connection_is_closed_after_timeout(self) -> None:
        """Guard against calls on a connection with an outstanding reply."""
        stand_in = StoreStandIn(None, listing("a", False, 5))

        async def main() -> objectsource.ListResult:
            source = store.PlatformStore("a:1", "servers", stand_in.connect)
            await source.list()
            return await source.list()

        listed = virtualtime.run(main).unwrap()
        self.assertEqual(storebuilders.at(5), listed.position)
        self.assertEqual(2, stand_in.connects_count)
