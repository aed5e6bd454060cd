"""What a daemon knows of the members, as pure state.

``merge`` takes entries from any source in any order and converges: the
entry with the higher ``(counter, liveness)`` wins, and a member that left
stays left. Only a member raises its own counter, which is how it refutes a
suspicion or its death. ``updates`` returns recent changes for piggybacking;
bucket hashes find what piggybacking missed.
"""

import bisect
import dataclasses
import enum
import heapq
import math
import typing
from collections import abc

import msgspec
import xxhash

from plantainhook import wire

BUCKET_COUNT: typing.Final = 64
DRAINING_BIT: typing.Final = 4
LIVENESS_MASK: typing.Final = 3
VERSION_SHIFT: typing.Final = 3
FULL_ENTRY_BYTES: typing.Final = 100
SHORT_ENTRY_BYTES: typing.Final = 18
TRANSMISSIONS_PER_LOG2: typing.Final = 1.5


class Liveness(enum.IntEnum):
    """Order what can be known of a member; later wins at equal counter."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRules:
    """Hold the times of suspicion and of forgetting, in seconds."""

    suspicion_s: float = 5.0
    forget_s: float = 900.0


@dataclasses.dataclass(slots=True)
class _Update:
    """Count how often a change is still sent, and in which form."""

    left_count: int
    full: bool


def liveness_of(entry: wire.MemberEntry) -> Liveness:
    """Return the liveness in the state of an entry."""
    return Liveness(entry.state & LIVENESS_MASK)


def version_of(entry: wire.MemberEntry) -> int:
    """Return counter and state as one number."""
    return entry.counter << VERSION_SHIFT | entry.state


def rank_of(version: int) -> tuple[bool, int, int]:
    """Return the precedence of a version; the highest wins."""
    state = version & (LIVENESS_MASK | DRAINING_BIT)
    liveness = state & LIVENESS_MASK
    left = liveness == Liveness.LEFT
    return (left, version >> VERSION_SHIFT, liveness)


def is_up(entry: wire.MemberEntry) -> bool:
    """Return whether a member takes part: alive or only suspected."""
    return liveness_of(entry) <= Liveness.SUSPECT


def shortened(entry: wire.MemberEntry) -> wire.MemberEntry:
    """Return the entry without its texts, for receivers that know them."""
    return wire.MemberEntry(
        entry.incarnation, "", "", "", "", "", entry.state, entry.counter
    )


def _with_state(
    entry: wire.MemberEntry, liveness: Liveness, counter: int
) -> wire.MemberEntry:
    state = entry.state & DRAINING_BIT | liveness
    return msgspec.structs.replace(entry, state=state, counter=counter)


def _hash_of(entry: wire.MemberEntry) -> int:
    """Hash what must agree; a suspicion is too short-lived to compare."""
    if not is_up(entry):
        return 0
    draining = entry.state & DRAINING_BIT
    text = f"{entry.incarnation}/{entry.counter}/{draining}"
    return xxhash.xxh3_64_intdigest(text.encode()) & 0xFFFFFFFF


def bucket_of(incarnation: int) -> int:
    """Return the bucket of an incarnation, which is random itself."""
    return incarnation % BUCKET_COUNT


class MemberTable:
    """Hold the entries of all known members, the own one included."""

    def __init__(
        self, own: wire.MemberEntry, rules: MemberRules, now_s: float
    ) -> None:
        self.own_incarnation = own.incarnation
        self.entries: dict[int, wire.MemberEntry] = {}
        self.bucket_hashes = [0] * BUCKET_COUNT
        self._touched: set[int] = set()
        self._rules = rules
        self._now_s = now_s
        self._spread = True
        self._changed_s: dict[int, float] = {}
        self._updates: dict[int, _Update] = {}
        self._ring: list[int] = []
        self._store(own, full=True)

    @property
    def own(self) -> wire.MemberEntry:
        """Return the own entry."""
        return self.entries[self.own_incarnation]

    def ring(self) -> list[int]:
        """Return the incarnations of members that are up, in order."""
        return self._ring

    def up_members(self) -> abc.Iterator[wire.MemberEntry]:
        """Return the entries of members that are up."""
        return (self.entries[incarnation] for incarnation in self._ring)

    def suspects(self) -> list[wire.MemberEntry]:
        """Return the members under suspicion."""
        return [
            self.entries[incarnation]
            for incarnation in self._changed_s
            if liveness_of(self.entries[incarnation]) is Liveness.SUSPECT
        ]

    def dead(self) -> list[wire.MemberEntry]:
        """Return the members declared dead and not yet forgotten."""
        return [
            self.entries[incarnation]
            for incarnation in self._changed_s
            if liveness_of(self.entries[incarnation]) is Liveness.DEAD
        ]

    def take_changed(self) -> set[int]:
        """Return the incarnations that changed since the last call."""
        touched, self._touched = self._touched, set()
        return touched

    def touch_vms(self, vm_ids: abc.Collection[str]) -> None:
        """Count the members on some VMs as changed."""
        if vm_ids:
            self._touched.update(
                incarnation
                for incarnation, entry in self.entries.items()
                if entry.vm_id in vm_ids
            )

    def members_hash(self) -> int:
        """Return one hash over all members that are up."""
        combined = 0
        for index, value in enumerate(self.bucket_hashes):
            combined ^= value << (index % 2 * 16)
        return combined

    def merge(
        self,
        entries: abc.Iterable[wire.MemberEntry],
        now_s: float,
        spread: bool = True,
    ) -> None:
        """Take entries of any origin into account.

        A daemon that joins does not spread what it learns: the others know
        it, and thousands of entries would fill its messages for minutes.
        """
        self._now_s = now_s
        self._spread = spread
        for entry in entries:
            if entry.incarnation == self.own_incarnation:
                self._refute(entry)
            else:
                self._merge_other(entry)
        self._spread = True

    def _refute(self, entry: wire.MemberEntry) -> None:
        own = self.own
        if liveness_of(own) is Liveness.LEFT:
            return
        if rank_of(version_of(entry)) > rank_of(version_of(own)):
            counter = max(entry.counter, own.counter) + 1
            alive = _with_state(own, Liveness.ALIVE, counter)
            self._store(alive, full=False)

    def _merge_other(self, entry: wire.MemberEntry) -> None:
        known = self.entries.get(entry.incarnation)
        if known is None:
            if is_up(entry) and entry.peer_address:
                self._store(entry, full=True)
            return
        if rank_of(version_of(entry)) <= rank_of(version_of(known)):
            return
        was_down = not is_up(known)
        merged = msgspec.structs.replace(
            known, state=entry.state, counter=entry.counter
        )
        self._store(merged, full=was_down and is_up(merged))

    def suspect(self, incarnation: int, now_s: float) -> bool:
        """Suspect a live member; return whether that is new."""
        self._now_s = now_s
        entry = self.entries.get(incarnation)
        if entry is None or liveness_of(entry) is not Liveness.ALIVE:
            return False
        suspected = _with_state(entry, Liveness.SUSPECT, entry.counter)
        self._store(suspected, full=False)
        return True

    def declare_dead(self, incarnation: int, now_s: float) -> None:
        """Declare a member dead whose process is known to be gone."""
        self._now_s = now_s
        entry = self.entries.get(incarnation)
        if entry is not None and is_up(entry):
            dead = _with_state(entry, Liveness.DEAD, entry.counter)
            self._store(dead, full=False)

    def change_own(self, draining: bool, left: bool, now_s: float) -> None:
        """Announce that this daemon drains or has left."""
        self._now_s = now_s
        state = Liveness.LEFT if left else Liveness.ALIVE
        changed = msgspec.structs.replace(
            self.own,
            state=state | (DRAINING_BIT if draining else 0),
            counter=self.own.counter + 1,
        )
        self._store(changed, full=False)

    def tick(self, now_s: float) -> list[wire.MemberEntry]:
        """Apply elapsed times; return the members declared dead."""
        self._now_s = now_s
        died = [
            entry
            for entry in self.suspects()
            if self._age_s(entry) >= self._rules.suspicion_s
        ]
        for entry in died:
            self.declare_dead(entry.incarnation, now_s)
        self._forget()
        return died

    def _age_s(self, entry: wire.MemberEntry) -> float:
        return self._now_s - self._changed_s[entry.incarnation]

    def _forget(self) -> None:
        old = [
            incarnation
            for incarnation, changed_s in self._changed_s.items()
            if self._now_s - changed_s >= self._rules.forget_s
        ]
        for incarnation in old:
            del self._changed_s[incarnation]
            if not is_up(self.entries[incarnation]):
                del self.entries[incarnation]
                self._updates.pop(incarnation, None)
                self._touched.add(incarnation)

    def updates(self, limit_bytes: int) -> list[wire.MemberEntry]:
        """Return the least sent changes that fit, and count them as sent."""
        chosen = []
        waiting = heapq.nlargest(
            limit_bytes // SHORT_ENTRY_BYTES,
            self._updates.items(),
            key=lambda item: item[1].left_count,
        )
        for incarnation, update in waiting:
            size = FULL_ENTRY_BYTES if update.full else SHORT_ENTRY_BYTES
            if size > limit_bytes:
                break
            limit_bytes -= size
            entry = self.entries[incarnation]
            chosen.append(entry if update.full else shortened(entry))
            update.left_count -= 1
            if update.left_count <= 0:
                del self._updates[incarnation]
        return chosen

    def summary(self, buckets: abc.Collection[int]) -> dict[int, int]:
        """Return the versions of all members in some buckets."""
        return {
            incarnation: version_of(entry)
            for incarnation, entry in self.entries.items()
            if bucket_of(incarnation) in buckets
        }

    def differing(self, hashes: abc.Sequence[int]) -> list[int]:
        """Return the buckets whose hash is not that of another table."""
        return [
            index
            for index, value in enumerate(self.bucket_hashes)
            if index >= len(hashes) or hashes[index] != value
        ]

    def newer_than(
        self, buckets: abc.Collection[int], versions: abc.Mapping[int, int]
    ) -> list[wire.MemberEntry]:
        """Return the entries that another table lacks or has older."""
        newer = []
        for incarnation, entry in self.entries.items():
            if bucket_of(incarnation) not in buckets:
                continue
            other = versions.get(incarnation)
            if other is None and is_up(entry):
                newer.append(entry)
            elif other is not None and rank_of(version_of(entry)) > rank_of(
                other
            ):
                newer.append(shortened(entry))
        return newer

    def wanted(self, versions: abc.Mapping[int, int]) -> list[int]:
        """Return the incarnations that another table has newer."""
        return [
            incarnation
            for incarnation, version in versions.items()
            if self._wants(incarnation, version)
        ]

    def _wants(self, incarnation: int, version: int) -> bool:
        known = self.entries.get(incarnation)
        if known is None:
            return version & LIVENESS_MASK <= Liveness.SUSPECT
        return rank_of(version) > rank_of(version_of(known))

    def _store(self, entry: wire.MemberEntry, full: bool) -> None:
        incarnation = entry.incarnation
        before = self.entries.get(incarnation)
        index = bucket_of(incarnation)
        if before is not None:
            self.bucket_hashes[index] ^= _hash_of(before)
        self.bucket_hashes[index] ^= _hash_of(entry)
        self.entries[incarnation] = entry
        self._update_ring(entry, before)
        self._changed_s[incarnation] = self._now_s
        self._touched.add(incarnation)
        if not self._spread:
            return
        pending = self._updates.get(incarnation)
        full = full or (pending is not None and pending.full)
        self._updates[incarnation] = _Update(self._send_count(), full)

    def _update_ring(
        self, entry: wire.MemberEntry, before: wire.MemberEntry | None
    ) -> None:
        was_up = before is not None and is_up(before)
        if is_up(entry) and not was_up:
            bisect.insort(self._ring, entry.incarnation)
        if was_up and not is_up(entry):
            del self._ring[bisect.bisect_left(self._ring, entry.incarnation)]

    def _send_count(self) -> int:
        size = len(self._ring) + 1
        return math.ceil(TRANSMISSIONS_PER_LOG2 * math.log2(size + 1)) + 1


def fingers(ring: abc.Sequence[int], own_incarnation: int) -> list[int]:
    """Return the members at distances 1, 2, 4, ... on the ring.

    Every member has about ``log2(n)`` such neighbours in and out, and a
    message that each passes on reaches all in ``log2(n)`` hops (Stoica et
    al., "Chord", 2001).
    """
    size = len(ring)
    own = bisect.bisect_left(ring, own_incarnation)
    found = []
    distance = 1
    while distance < size:
        found.append(ring[(own + distance) % size])
        distance *= 2
    return found
