"""Keep quarantined requests in the store, beside the gossip of daemons.

Gossip is faster, and carries suspicions too. The store tells daemons that
reach no peer, and outlasts a restart of all daemons. It is also where
operators see which requests are in quarantine, and end one: they delete its
object.

A daemon compares the entries in force with its copy of the store, and writes
or deletes what differs. The daemon that quarantined a request does so at once;
a few others, chosen by its fingerprint, do if the difference stays. So an
entry is written again if a write was lost or the store came back from an older
copy, and hundreds of daemons don't write the same.
"""

import collections
import dataclasses
import random
import time
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    blackboard,
    errors,
    hashing,
    leafpools,
    logs,
    objectguard,
    objectsource,
    quarantine,
    quarantinesync,
    specreader,
    wire,
)

LOGGER: typing.Final = logs.part_logger("quarantine")
# The substitutes of the daemon that quarantined a request, and how long each
# waits for the ones before it.
SUBSTITUTES_COUNT: typing.Final = 3
SUBSTITUTE_DELAY_S: typing.Final = 1.5
RETRY_FIRST_S: typing.Final = 0.5
RETRY_MAX_S: typing.Final = 30.0
# An entry is deleted so long after it must have ended.
EXPIRED_KEEP_S: typing.Final = 60.0
# Smaller differences between the ends of an entry are ignored.
COMPARE_STEP_S: typing.Final = 5.0
ENDED_EARLY_S: typing.Final = 2 * COMPARE_STEP_S
LABELS_MAX_COUNT: typing.Final = 1000
LABEL_MAX_LENGTH: typing.Final = 200


class StoredEntry(msgspec.Struct, rename="kebab"):
    """Represent an entry as it is stored; its name is the fingerprint.

    ``since_ms`` is the last crash and ``until_ms`` the end of the quarantine,
    in Unix milliseconds. ``request`` and ``leaf``, the last one that crashed,
    are for operators.
    """

    since_ms: objectsource.UnixMs
    until_ms: objectsource.UnixMs
    crashes_count: wire.CrashesCount = 2
    request: specreader.Name = ""
    leaf: specreader.Name = ""


@dataclasses.dataclass(slots=True)
class _Difference:
    """Track an entry that differs from the store, and when to write it."""

    due_s: float
    retry_s: float = RETRY_FIRST_S


class QuarantineStore:
    """Exchange quarantine entries with the store.

    Implements ``objectsource.Consumer``. ``wall_s`` returns the time of day.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        sync: quarantinesync.QuarantineSync,
        writer: objectsource.ObjectWriter,
        rng: random.Random,
        wall_s: abc.Callable[[], float] = time.time,
    ) -> None:
        self._board = board
        self._sync = sync
        self._writer = writer
        self._rng = rng
        self._wall_s = wall_s
        # The ends of the entries in the store, and of those written since.
        self._stored_s: dict[str, float] = {}
        # When the entries in the store have ended by any clock.
        self._deletable_s: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        self._written_s: dict[str, float] = {}
        # What this daemon writes without leaving it to others, and which of
        # it are suspicions.
        self._own: set[str] = set()
        self._unreached: set[str] = set()
        self._differences: dict[str, _Difference] = {}
        self._labels: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._is_restoring = False
        self._guard = objectguard.ObjectGuard("quarantine entry")
        self._changed = trio.Event()

    def label(self, fingerprint: str, request: str) -> None:
        """Describe a request that may have crashed a leaf, for operators."""
        self._labels[fingerprint] = request[:LABEL_MAX_LENGTH]
        if len(self._labels) > LABELS_MAX_COUNT:
            self._labels.popitem(last=False)

    def on_quarantine(self, fingerprint: str) -> None:
        """Write an entry that this daemon has added."""
        self._own.add(fingerprint)
        crash = self._board.suspicions.get(fingerprint)
        LOGGER.warning(
            "Request {} is in quarantine for {:.0f} s, after {} crashes of "
            "leafs in a row, the last one of {}: {}",
            fingerprint,
            self._left_s(fingerprint),
            crash.count if crash else 0,
            crash.leaf if crash else "",
            self._labels.get(fingerprint, "not known"),
        )
        self._changed.set()

    def on_unreached(self, fingerprints: set[str]) -> None:
        """Write suspicions that no peer has heard of.

        Pattern: daemons are cut off from each other but not from the store,
        and each loses leafs to the same request.
        """
        unknown = fingerprints & self._board.suspicions.keys()
        self._own |= unknown
        self._unreached |= unknown
        if unknown:
            self._changed.set()

    # Reading

    def on_restored(self) -> None:
        """Record that the next changes are those of an older copy."""
        self._is_restoring = True

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Adopt all entries; those that are missing were deleted."""
        present = {item.name for item in listing.objects}
        for name in self._stored_s.keys() - present:
            self._on_deleted(name)
        for item in listing.objects:
            self._guard.handle(item, self._adopt)
        self._end_update()

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Adopt changed entries, and end those that were deleted."""
        for change in changes:
            if change.deleted:
                self._on_deleted(change.object.name)
            else:
                self._guard.handle(change.object, self._adopt)
        self._end_update()

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Do nothing: the entries in force stay."""

    def on_available(self) -> None:
        """Do nothing: writes are tried again by themselves."""

    def _end_update(self) -> None:
        if self._is_restoring:
            self._is_restoring = False
            self._written_s.clear()
        self._changed.set()

    def _adopt(self, item: objectsource.SourceObject) -> None:
        """Adopt an entry unless a clearing or a reply came after it.

        Raises ValueError if the entry is invalid.
        """
        entry = msgspec.convert(item.spec, StoredEntry)
        msgspec.convert(item.name, wire.Fingerprint)
        now_s = trio.current_time()
        wall_s = self._wall_s()
        left_s = entry.until_ms / 1000.0 - wall_s
        # The clock of the writer or of this daemon may be wrong.
        length_s = (entry.until_ms - entry.since_ms) / 1000.0
        length_s = min(max(0.0, length_s), quarantinesync.ENTRY_MAX_S)
        left_s = min(left_s, length_s)
        self._stored_s[item.name] = now_s + left_s
        self._revisions[item.name] = item.revision
        self._deletable_s[item.name] = now_s + length_s + EXPIRED_KEEP_S
        # Clocks differ, and the crash is not in the future.
        crashed_s = now_s - max(0.0, wall_s - entry.since_ms / 1000.0)
        crash = quarantine.Crash(
            entry.leaf,
            crashed_s,
            crashed_s,
            frozenset((item.name,)),
            crashed_s,
            entry.crashes_count,
        )
        if now_s - crashed_s > quarantine.SUSPICION_S:
            return
        until_s = now_s + left_s if left_s > 0.0 else None
        if self._sync.adopt(item.name, until_s, crash):
            LOGGER.info(
                "Request {} crashed {} leafs in a row and is in quarantine "
                "for {:.0f} s, says the store.",
                item.name,
                crash.count,
                max(0.0, left_s),
            )

    def _on_deleted(self, name: str) -> None:
        """End a quarantine whose object an operator has deleted.

        A store that came back from an older copy has lost the object instead,
        and it is written again.
        """
        self._forget(name)
        if self._is_restoring or self._left_s(name) <= 0.0:
            return
        LOGGER.warning("The quarantine of request {} was deleted.", name)
        self._sync.clear(name, trio.current_time())

    def _forget(self, name: str) -> None:
        self._stored_s.pop(name, None)
        self._written_s.pop(name, None)
        self._deletable_s.pop(name, None)
        self._revisions.pop(name, None)

    # Writing

    async def run(self) -> None:
        """Write and delete what differs until cancelled."""
        while True:
            self._changed = trio.Event()
            events = [
                self._changed,
                self._board.change_event(blackboard.Topic.QUARANTINE),
            ]
            due_s = await self._write_due()
            with trio.move_on_at(due_s):
                await leafpools.wait_any(events)

    async def _write_due(self) -> float:
        """Write what is due; return when the next difference is due."""
        now_s = trio.current_time()
        differing = self._differing(now_s)
        for name in self._differences.keys() - differing.keys():
            del self._differences[name]
        for name, is_active in differing.items():
            difference = self._differences.get(name)
            if difference is None:
                due_s = now_s + self._delay_s(name)
                difference = self._differences[name] = _Difference(due_s)
            if difference.due_s <= now_s:
                await self._write(name, is_active, difference)
        # An entry that expires makes a difference later.
        times_s = [at_s for at_s in self._deletable_s.values() if at_s > now_s]
        times_s += [each.due_s for each in self._differences.values()]
        return min(times_s, default=float("inf"))

    def _differing(self, now_s: float) -> dict[str, bool]:
        """Return the names that differ, and whether each is in force."""
        differing = dict.fromkeys(
            self._unreached & self._board.suspicions.keys(), True
        )
        for name, until_s in self._board.quarantine_until_s.items():
            known_s = max(
                self._stored_s.get(name, float("-inf")),
                self._written_s.get(name, float("-inf")),
            )
            if until_s > now_s and until_s > known_s + COMPARE_STEP_S:
                differing[name] = True
        for name, end_s in self._stored_s.items():
            is_expired = now_s >= self._deletable_s[name]
            was_ended = now_s < end_s - ENDED_EARLY_S
            if (is_expired or was_ended) and self._left_s(name) <= 0.0:
                differing[name] = False
        return differing

    def _delay_s(self, name: str) -> float:
        """Return how long this daemon leaves a difference to others."""
        if name in self._own:
            return 0.0
        addresses = [
            member.peer_address for member in self._board.usable_members()
        ]
        chosen = hashing.choose(name, addresses, SUBSTITUTES_COUNT)
        own_address = self._board.own_address()
        if own_address not in chosen:
            return float("inf")
        return SUBSTITUTE_DELAY_S * (1 + chosen.index(own_address))

    async def _write(
        self, name: str, is_active: bool, difference: _Difference
    ) -> None:
        """Write or delete one entry; try again later if that fails."""
        if is_active:
            written = await self._writer.put(name, self._spec_of(name))
        else:
            revision = self._revisions.get(name, 0)
            written = await self._writer.delete(name, revision)
        now_s = trio.current_time()
        if isinstance(written, result.Err):
            LOGGER.info("Entry {} not written: {}", name, written.err_value)
            difference.due_s = now_s + difference.retry_s * (
                self._rng.uniform(0.7, 1.3)
            )
            difference.retry_s = min(RETRY_MAX_S, 2 * difference.retry_s)
            return
        self._differences.pop(name, None)
        self._unreached.discard(name)
        if is_active:
            self._written_s[name] = self._board.quarantine_until_s.get(
                name, now_s
            )
        else:
            self._forget(name)
            self._own.discard(name)

    def _spec_of(self, name: str) -> dict[str, typing.Any]:
        crash = self._board.suspicions.get(name)
        wall_s = self._wall_s()
        now_s = trio.current_time()
        age_s = now_s - crash.confirmed_s if crash else 0.0
        entry = StoredEntry(
            int((wall_s - age_s) * 1000),
            int((wall_s + self._left_s(name)) * 1000),
            crash.count if crash else 1,
            self._labels.get(name, ""),
            crash.leaf if crash else "",
        )
        spec: dict[str, typing.Any] = msgspec.to_builtins(entry)
        return spec

    def _left_s(self, name: str) -> float:
        until_s = self._board.quarantine_until_s.get(name, float("-inf"))
        return max(0.0, until_s - trio.current_time())
