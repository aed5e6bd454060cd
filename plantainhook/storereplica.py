"""Copy of the store's objects of one kind, updated by the store and by peers.

Batches of changes arrive from several sources, each in the order of the
store's revisions. A batch is applied if it begins at or before the revision
of the copy and ends after it. It is applied as a whole, so that a change that
the copy already has cannot undo a later one. The copy passes every batch to
its consumer and keeps the recent ones for peers.
"""

import collections
import typing

import msgspec
import trio

from plantainhook import errors, logs, objectsource, storeupdate

LOGGER: typing.Final = logs.part_logger("store")
# Number of recent batches; a peer whose revision is older gets all objects.
LOG_MAX_COUNT: typing.Final = 500
NO_REVISION: typing.Final = 0


class Batch(typing.NamedTuple):
    """Represent the changes after the previous batch up to a revision."""

    end_revision: int
    changes: list[objectsource.Change]


class StoreReplica:
    """Store the objects of one kind at a revision.

    Implements ``objectsource.Replica``. ``changed`` is set and replaced at
    each new revision. ``changed_revision`` is the revision of the last known
    change; the revision of the copy rises without a change too.
    ``confirmed_s`` is when the store, or a peer that it answers, replied last.
    """

    kind: str
    revision: int
    changed_revision: int
    confirmed_s: float

    def __init__(self, kind: str, consumer: objectsource.Consumer) -> None:
        self.kind = kind
        self.revision = NO_REVISION
        self.changed_revision = NO_REVISION
        self.confirmed_s = float("-inf")
        self.changed = trio.Event()
        self._consumer = consumer
        self._objects: dict[str, objectsource.SourceObject] = {}
        self._log: collections.deque[Batch] = collections.deque()
        # The revision after which the log is complete.
        self._log_revision = NO_REVISION
        # Packed updates to the current revision, by the revision of the peer.
        self._packed: dict[int, bytes] = {}

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all objects, unless the listing has a lower revision."""
        if self.revision > listing.revision:
            LOGGER.warning(
                "Ignored a listing of {} at revision {}: the copy is at {}.",
                self.kind,
                listing.revision,
                self.revision,
            )
            return
        self._objects = {item.name: item for item in listing.objects}
        self._log.clear()
        self._log_revision = listing.revision
        self.changed_revision = max(
            (item.revision for item in listing.objects), default=NO_REVISION
        )
        self._advance(listing.revision)
        self._consumer.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        revision: int,
        after_revision: int,
    ) -> None:
        """Apply the changes after one revision up to another.

        Changes that the copy already has are ignored, and so are changes that
        begin after its revision, because those in between would be missing.
        """
        if not after_revision <= self.revision < revision:
            return
        for change in changes:
            if change.deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
        if changes:
            self.changed_revision = revision
        self._log.append(Batch(revision, changes))
        if len(self._log) > LOG_MAX_COUNT:
            self._log_revision = self._log.popleft().end_revision
        self._advance(revision)
        if changes:
            self._consumer.on_changes(changes)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Notify the consumer that the store does not answer."""
        self._consumer.on_unavailable(error)

    def on_available(self) -> None:
        """Notify the consumer that the store answers."""
        self.confirmed_s = trio.current_time()
        self._consumer.on_available()

    def update_after(self, revision: int) -> storeupdate.StoreUpdate | None:
        """Return the update for a peer at a revision.

        Returns None if the peer's revision is not lower than the copy's.
        """
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
        """Return the packed update for a peer at a revision, or None.

        Most peers are at the same few revisions, so packed updates are cached
        until the copy changes.
        """
        packed = self._packed.get(revision)
        if packed is None:
            update = self.update_after(revision)
            if update is None:
                return None
            packed = self._packed[revision] = storeupdate.pack_update(update)
        return packed

    def apply_update(
        self, update: storeupdate.StoreUpdate, after_revision: int
    ) -> None:
        """Apply the reply of a peer to a pull.

        ``after_revision`` is the revision that the pull stated. Raises
        msgspec.DecodeError if the spec of an item is not JSON.
        """
        objects = [
            objectsource.SourceObject(
                item.name, item.revision, msgspec.json.decode(item.spec)
            )
            for item in update.items
        ]
        if update.whole:
            self.on_listing(objectsource.Listing(objects, update.revision))
            return
        changes = [
            objectsource.Change(source_object, item.deleted)
            for source_object, item in zip(objects, update.items, strict=True)
        ]
        self.on_changes(changes, update.revision, after_revision)

    def _advance(self, revision: int) -> None:
        """Set the revision and wake those who wait for a change."""
        self.revision = revision
        self._packed.clear()
        self.changed.set()
        self.changed = trio.Event()
