"""Tests of the store's calls against a stand-in written here."""

import json
import typing

import result
import testtools
import trio

from plantainhook import errors, objectsource
from plantainhook.platform import store
from tests import virtualtime

Reply = tuple[int, object]


class StoreStandIn:
    """Answer requests of one connection after another from a script."""

    def __init__(self, *replies: Reply | None) -> None:
        self.replies = list(replies)
        self.paths: list[str] = []
        self.connects_count = 0
        self._waiting: list[bytes] = []

    async def connect(self, address: str) -> "StoreStandIn":
        """Return this as a new connection."""
        self.connects_count += 1
        self._waiting = []
        return self

    async def send_some(self, data: bytes) -> int:
        """Take a request and prepare its reply."""
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
            self._waiting.append(head.encode() + body)
        return len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the reply; wait for ever where there is none."""
        if not self._waiting:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        return self._waiting.pop(0)

    def is_readable(self) -> bool:
        """Return whether a reply waits."""
        return bool(self._waiting)

    def send_eof(self) -> None:
        """Ignore the end of the sending side."""

    def close(self) -> None:
        """Ignore the close."""


def entry(name: str, revision: int) -> dict[str, typing.Any]:
    """Return an object as the store writes it."""
    return {
        "meta": {"name": name, "revision": revision, "created": 1},
        "spec": {"x": revision},
        "status": None,
    }


def listing(names: str, more: bool, revision: int) -> Reply:
    """Return a page of a listing."""
    items = [entry(name, 1) for name in names]
    return 200, {"items": items, "more": more, "store-revision": revision}


class StoreTest(testtools.TestCase):
    """Check list and watch."""

    def list(self, stand_in: StoreStandIn) -> objectsource.ListResult:
        """List the kind ``servers``."""
        source = store.PlatformStore("a:1", "servers", stand_in.connect)
        return virtualtime.run(source.list)

    def watch(self, stand_in: StoreStandIn) -> objectsource.WatchResult:
        """Watch from revision 7 for a second."""
        source = store.PlatformStore("a:1", "servers", stand_in.connect)
        return virtualtime.run(lambda: source.watch(7, 1.0))

    def test_pages(self) -> None:
        """Guards against leafs beyond the first page that are not seen."""
        stand_in = StoreStandIn(listing("ab", True, 5), listing("c", False, 9))
        listed = self.list(stand_in).unwrap()
        self.assertEqual(list("abc"), [item.name for item in listed.objects])
        # A change between the pages is seen by a watch from the first one.
        self.assertEqual(5, listed.revision)
        self.assertIn("after=b", stand_in.paths[1])

    def test_watch(self) -> None:
        """Guards against removals that are taken for changes."""
        events = [
            {"object": entry("a", 8), "deleted": False},
            {"object": entry("b", 9), "deleted": True},
        ]
        reply = (200, {"events": events, "store-revision": 9})
        stand_in = StoreStandIn(reply)
        changes, revision = self.watch(stand_in).unwrap()
        self.assertEqual([False, True], [c.deleted for c in changes])
        self.assertEqual(9, revision)
        self.assertIn("watch=7", stand_in.paths[0])

    def test_history_gone(self) -> None:
        """Guards against a watch that repeats for ever from a lost point."""
        error = self.watch(StoreStandIn((410, {}))).unwrap_err()
        self.assertIsInstance(error, errors.ObjectNotFoundError)

    def test_failures(self) -> None:
        """Guards against a failure that reads as an empty listing."""
        for reply in (
            (503, {}),
            (429, {}),
            (200, b"\xff\xfe no json"),
            (200, {"items": 3}),
            None,
        ):
            listed = self.list(StoreStandIn(reply))
            self.assertIsInstance(listed, result.Err, str(reply))
            error = listed.unwrap_err()
            self.assertIsInstance(error, errors.ObjectApiUnavailableError)

    def test_connection_is_dropped_after_silence(self) -> None:
        """Guards against calls on a connection whose reply was lost."""
        stand_in = StoreStandIn(None, listing("a", False, 5))

        async def main() -> objectsource.ListResult:
            source = store.PlatformStore("a:1", "servers", stand_in.connect)
            await source.list()
            return await source.list()

        self.assertEqual(5, virtualtime.run(main).unwrap().revision)
        self.assertEqual(2, stand_in.connects_count)
