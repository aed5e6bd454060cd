"""Copy of one kind of objects of the store, fed by the store and by peers.

Batches of changes come from several sources, each in the order of the store's
revisions. A batch is applied if it begins at or before the revision of the
copy and ends after it; it is applied as a whole, so that a change which the
copy has already cannot undo a later one. The copy hands every batch to its
consumer and keeps the recent ones for peers.
"""

import collections
import typing

import msgspec
import trio

from plantainhook import errors, objectsource, storeupdate

# Batches kept for peers that lag; one that lags more gets all objects.
LOG_MAX_COUNT: typing.Final = 500
NO_REVISION: typing.Final = 0


class Batch(typing.NamedTuple):
    """Hold the changes up to a revision."""

    end_revision: int
    changes: list[objectsource.Change]


class StoreReplica:
    """Hold the objects of a kind; an ``objectsource.Consumer``."""

    kind: str
    revision: int

    def __init__(self, kind: str, consumer: objectsource.Consumer) -> None:
        self.kind = kind
        self.revision = NO_REVISION
        self.changed = trio.Event()
        self._consumer = consumer
        self._objects: dict[str, objectsource.SourceObject] = {}
        self._log: collections.deque[Batch] = collections.deque()
        # The revision after which the log is complete.
        self._log_revision = NO_REVISION
        # Packed news of the present revision by the revision of the peer.
        self._packed: dict[int, bytes] = {}

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Take all objects as of a revision."""
        if self.revision > listing.revision:
            return
        self._objects = {item.name: item for item in listing.objects}
        self._log.clear()
        self._log_revision = listing.revision
        self._advance(listing.revision)
        self._consumer.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        revision: int,
        after_revision: int,
    ) -> None:
        """Take the changes after a revision up to another."""
        if not after_revision <= self.revision < revision:
            return
        for change in changes:
            if change.deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
        self._log.append(Batch(revision, changes))
        if len(self._log) > LOG_MAX_COUNT:
            self._log_revision = self._log.popleft().end_revision
        self._advance(revision)
        if changes:
            self._consumer.on_changes(changes)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Tell the consumer that the store does not answer."""
        self._consumer.on_unavailable(error)

    def on_available(self) -> None:
        """Tell the consumer that the store answers."""
        self._consumer.on_available()

    def update_after(self, revision: int) -> storeupdate.StoreUpdate | None:
        """Return what a peer at a revision lacks, or None."""
        if revision >= self.revision:
            return None
        whole = revision < self._log_revision
        if whole:
            items = [
                storeupdate.build_item(item, deleted=False)
                for item in self._objects.values()
            ]
        else:
            last = {
                change.object.name: change
                for batch in self._log
                if batch.end_revision > revision
                for change in batch.changes
            }
            items = [
                storeupdate.build_item(change.object, change.deleted)
                for change in last.values()
            ]
        return storeupdate.StoreUpdate(self.kind, self.revision, whole, items)

    def packed_update_after(self, revision: int) -> bytes | None:
        """Return the packed news for a peer at a revision, or None.

        Peers ask from the same few revisions, so packed news are kept until
        the copy changes.
        """
        packed = self._packed.get(revision)
        if packed is None:
            news = self.update_after(revision)
            if news is None:
                return None
            packed = self._packed[revision] = storeupdate.pack_update(news)
        return packed

    def apply_update(
        self, news: storeupdate.StoreUpdate, after_revision: int
    ) -> None:
        """Take what a peer sent in reply to the own revision."""
        objects = [
            objectsource.SourceObject(
                item.name, item.revision, msgspec.json.decode(item.spec)
            )
            for item in news.items
        ]
        if news.whole:
            self.on_listing(objectsource.Listing(objects, news.revision))
            return
        changes = [
            objectsource.Change(found, item.deleted)
            for found, item in zip(objects, news.items, strict=True)
        ]
        self.on_changes(changes, news.revision, after_revision)

    def _advance(self, revision: int) -> None:
        self.revision = revision
        self._packed.clear()
        self.changed.set()
        self.changed = trio.Event()
