"""Copy of the store's objects of one kind, updated by the store and by peers.

Objects are kept as text, of what their consumers read (``specreader``). They
are decoded when they arrive, for the consumer, which keeps what it needs.

Batches of changes arrive from several sources, each in the order of the
store's positions. A batch is applied if it begins at or before the position
of the copy and ends after it. It is applied as a whole, so that a change that
the copy already has cannot undo a later one. The copy passes every batch to
its consumer, and records for peers which objects it has changed.

Pattern: the store comes back from an older copy. The next listing has a higher
era and leads to the state of that copy. What differs is recorded, so that
peers which were up to date before get the difference and not all objects.
"""

import typing

import trio

from plantainhook import (
    changelog,
    errors,
    logs,
    objectsource,
    specreader,
    storeaccount,
    storeupdate,
)

LOGGER: typing.Final = logs.part_logger("store")
# Peers that are behind more removed objects than these get all objects.
REMOVED_MAX_COUNT: typing.Final = 10_000
# What a removed object has in place of a spec.
NO_SPEC: typing.Final = b"null"


class StoreReplica:
    """Store the objects of one kind at a position.

    Implements ``objectsource.Replica``. ``changed`` is set and replaced at
    each new position. ``last_change`` is the position of the last known
    change; the position of the copy rises without a change too.
    ``confirmed_s`` is when the store, or a peer that it answers, replied last.
    ``is_vital`` is False for a kind without which a daemon is up to date.
    """

    kind: str
    is_vital: bool
    position: objectsource.Position
    last_change: objectsource.Position
    confirmed_s: float

    def __init__(
        self,
        kind: str,
        consumer: objectsource.Consumer,
        is_vital: bool = True,
        spec_reader: specreader.SpecReader = specreader.ANY,
        account: storeaccount.StoreAccount | None = None,
    ) -> None:
        self.kind = kind
        self.is_vital = is_vital
        self.position = objectsource.NO_POSITION
        self.last_change = objectsource.NO_POSITION
        self.confirmed_s = float("-inf")
        self.changed = trio.Event()
        self._consumer = consumer
        self._spec_reader = spec_reader
        self._objects: dict[str, storeupdate.StoreItem] = {}
        self._log = changelog.ChangeLog()
        # Packed updates to the current position, by the position of the peer.
        self._packed: dict[objectsource.Position, bytes] = {}
        self._account = account or storeaccount.build_account()
        self._account.on_full(storeaccount.Kind.PACKED, self._drop_packed)
        self._account.on_full(
            storeaccount.Kind.REMOVED, lambda: self._forget_removed(0)
        )

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all objects, unless the listing has a lower position."""
        if self.position > listing.position:
            LOGGER.warning(
                "Ignored a listing of {} at {}: the copy is at {}.",
                self.kind,
                listing.position,
                self.position,
            )
            return
        is_restored = self._is_restored_at(listing.position)
        items = {
            item.name: storeupdate.build_item(item, deleted=False)
            for item in listing.objects
        }
        differing = [
            name
            for name in self._objects.keys() | items.keys()
            if self._objects.get(name) != items.get(name)
        ]
        for name in differing:
            self._set(name, items.get(name))
        if self.position > objectsource.NO_POSITION:
            self._record(listing.position, differing)
        else:
            self._log.restart(listing.position)
        last_revision = max(
            (item.revision for item in listing.objects), default=0
        )
        self.last_change = objectsource.Position(
            listing.position.era, last_revision
        )
        self._advance(listing.position)
        if is_restored:
            self._consumer.on_restored()
        self._consumer.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        position: objectsource.Position,
        after: objectsource.Position,
    ) -> None:
        """Apply the changes after one position up to another.

        Changes that the copy already has are ignored, and so are changes that
        begin after its position, because those in between would be missing.
        Changes that lead to another era must begin exactly at the position:
        they don't undo what came after the one at which they begin.
        """
        if not after <= self.position < position:
            return
        is_restored = self._is_restored_at(position)
        if is_restored and after != self.position:
            return
        items = [
            storeupdate.build_item(change.object, change.deleted)
            for change in changes
        ]
        for item in items:
            if item.deleted:
                self._set(item.name, None)
            else:
                self._set(item.name, item)
        if changes or is_restored:
            self.last_change = position
        self._record(position, [item.name for item in items])
        self._advance(position)
        if is_restored:
            self._consumer.on_restored()
        if changes or is_restored:
            self._consumer.on_changes(changes)

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Notify the consumer that the store does not answer."""
        self._consumer.on_unavailable(error)

    def on_available(self) -> None:
        """Notify the consumer that the store answers."""
        self.confirmed_s = trio.current_time()
        self._consumer.on_available()

    def update_after(
        self, position: objectsource.Position
    ) -> storeupdate.StoreUpdate | None:
        """Return the update for a peer at a position.

        Returns None if the peer's position is not lower than the copy's.
        """
        if position >= self.position:
            return None
        whole = not self._log.reaches(position)
        if whole:
            items = list(self._objects.values())
        else:
            items = [
                self._objects[name]
                for name in self._log.changed_after(position)
            ] + [
                storeupdate.StoreItem(name, 0, NO_SPEC, True)
                for name in self._log.removed_after(position)
            ]
        era, revision = self.position
        return storeupdate.StoreUpdate(self.kind, revision, whole, items, era)

    def packed_update_after(
        self, position: objectsource.Position
    ) -> bytes | None:
        """Return the packed update for a peer at a position, or None.

        Most peers are at the same few positions, so packed updates are cached
        until the copy changes.
        """
        packed = self._packed.get(position)
        if packed is None:
            update = self.update_after(position)
            if update is None:
                return None
            packed = storeupdate.pack_update(update)
            self._packed[position] = packed
            self._account.add(storeaccount.Kind.PACKED, len(packed))
        return packed

    def apply_update(
        self, update: storeupdate.StoreUpdate, after: objectsource.Position
    ) -> None:
        """Apply the reply of a peer to a pull.

        ``after`` is the position that the pull stated. Raises
        msgspec.DecodeError if the spec of an item is not JSON.
        """
        objects = [
            objectsource.SourceObject(
                item.name,
                item.revision,
                self._spec_reader.read(item.spec),
            )
            for item in update.items
        ]
        era = after.era if update.era is None else update.era
        position = objectsource.Position(era, update.revision)
        if update.whole:
            self.on_listing(objectsource.Listing(objects, position))
            return
        changes = [
            objectsource.Change(source_object, item.deleted)
            for source_object, item in zip(objects, update.items, strict=True)
        ]
        self.on_changes(changes, position, after)

    def _is_restored_at(self, position: objectsource.Position) -> bool:
        """Return whether the store came back before a position."""
        has_objects = self.position > objectsource.NO_POSITION
        return has_objects and self.position.era < position.era

    def _record(self, end: objectsource.Position, names: list[str]) -> None:
        """Record which objects changed up to a position, for peers."""
        removed_count = self._log.removed_count
        self._log.record(
            end,
            [name for name in names if name in self._objects],
            [name for name in names if name not in self._objects],
        )
        self._count_removed(removed_count)
        self._forget_removed(REMOVED_MAX_COUNT)

    def _forget_removed(self, most_count: int) -> None:
        removed_count = self._log.removed_count
        self._log.forget_removed(most_count)
        self._count_removed(removed_count)

    def _count_removed(self, before_count: int) -> None:
        change_count = self._log.removed_count - before_count
        self._account.add(
            storeaccount.Kind.REMOVED,
            change_count * storeaccount.REMOVED_BYTES,
        )

    def _set(self, name: str, item: storeupdate.StoreItem | None) -> None:
        """Replace or remove an object, and count what it takes."""
        known = self._objects.pop(name, None)
        if item is not None:
            self._objects[name] = item
        self._account.add(
            storeaccount.Kind.OBJECTS, _size_bytes(item) - _size_bytes(known)
        )

    def _drop_packed(self) -> None:
        packed_bytes = sum(len(packed) for packed in self._packed.values())
        self._packed.clear()
        self._account.add(storeaccount.Kind.PACKED, -packed_bytes)

    def _advance(self, position: objectsource.Position) -> None:
        """Set the position and wake those who wait for a change."""
        self.position = position
        self._drop_packed()
        self.changed.set()
        self.changed = trio.Event()


def _size_bytes(item: storeupdate.StoreItem | None) -> int:
    """Return the bytes that an object takes in a copy."""
    if item is None:
        return 0
    return storeaccount.OBJECT_BYTES + len(item.name) + len(item.spec)
