"""What a daemon knows of the members, as pure state.

``merge`` takes entries from any source in any order and converges: the
entry with the higher ``(counter, liveness)`` wins, and a member that left
stays left. A death that others report counts as a suspicion, so that after
a partition no live member is taken for dead before it can refute. Only a
member raises its own counter, which is how it refutes a suspicion or its
death. ``updates`` returns recent changes for piggybacking; bucket hashes
find what piggybacking missed.
"""

import bisect
import dataclasses
import heapq
import math
import typing
from collections import abc

import msgspec

from plantainhook import memberentry, wire

FULL_ENTRY_BYTES: typing.Final = 100
SHORT_ENTRY_BYTES: typing.Final = 18
TRANSMISSIONS_PER_LOG2: typing.Final = 1.0


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


class MemberTable:
    """Hold the entries of all known members, the own one included."""

    def __init__(
        self, own: wire.MemberEntry, rules: MemberRules, now_s: float
    ) -> None:
        self.own_incarnation = own.incarnation
        self.entries: dict[int, wire.MemberEntry] = {}
        self.bucket_hashes = [0] * memberentry.BUCKET_COUNT
        self._touched: set[int] = set()
        self._rules = rules
        self._now_s = now_s
        self._spread = True
        self._changed_s: dict[int, float] = {}
        self._updates: dict[int, _Update] = {}
        self._ring: list[int] = []
        self._suspects: set[int] = set()
        self._dead: set[int] = set()
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
        return [self.entries[incarnation] for incarnation in self._suspects]

    def dead(self) -> list[wire.MemberEntry]:
        """Return the members declared dead and not yet forgotten."""
        return [self.entries[incarnation] for incarnation in self._dead]

    def take_changed(self) -> set[int]:
        """Return the incarnations that changed since the last call."""
        touched, self._touched = self._touched, set()
        return touched

    def mark_vms_changed(self, vm_ids: abc.Collection[str]) -> None:
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
        propagate: bool = True,
    ) -> None:
        """Take entries of any origin into account.

        A daemon that joins does not spread what it learns: the others know
        it, and thousands of entries would fill its messages for minutes.
        """
        self._now_s = now_s
        self._spread = propagate
        for entry in entries:
            if entry.incarnation == self.own_incarnation:
                self._refute(entry)
            else:
                self._merge_other(entry)
        self._spread = True

    def _refute(self, entry: wire.MemberEntry) -> None:
        own = self.own
        if memberentry.liveness_of(own) is memberentry.Liveness.LEFT:
            return
        if memberentry.rank_of(
            memberentry.version_of(entry)
        ) > memberentry.rank_of(memberentry.version_of(own)):
            counter = max(entry.counter, own.counter) + 1
            alive = memberentry.with_state(
                own, memberentry.Liveness.ALIVE, counter
            )
            self._store(alive, full=False)

    def _merge_other(self, entry: wire.MemberEntry) -> None:
        known = self.entries.get(entry.incarnation)
        if known is None:
            if memberentry.is_up(entry) and entry.peer_address:
                self._store(entry, full=True)
            return
        version = memberentry.version_of(entry)
        known_version = memberentry.version_of(known)
        rank = memberentry.rank_of(known_version)
        if memberentry.rank_of(version) <= rank:
            return
        merged = msgspec.structs.replace(
            known,
            state=entry.state,
            counter=entry.counter,
            share=entry.share,
        )
        if (
            entry.state & memberentry.LIVENESS_MASK
            == memberentry.Liveness.DEAD
        ):
            merged = memberentry.with_state(
                merged, memberentry.Liveness.SUSPECT, entry.counter
            )
            if memberentry.rank_of(memberentry.version_of(merged)) <= rank:
                return
        self._store(merged, full=False)

    def suspect(self, incarnation: int, now_s: float) -> bool:
        """Suspect a live member; return whether that is new."""
        self._now_s = now_s
        entry = self.entries.get(incarnation)
        if (
            entry is None
            or memberentry.liveness_of(entry) is not memberentry.Liveness.ALIVE
        ):
            return False
        suspected = memberentry.with_state(
            entry, memberentry.Liveness.SUSPECT, entry.counter
        )
        self._store(suspected, full=False)
        return True

    def declare_dead(self, incarnation: int, now_s: float) -> None:
        """Declare a member dead whose process is known to be gone."""
        self._now_s = now_s
        entry = self.entries.get(incarnation)
        if entry is not None and memberentry.is_up(entry):
            dead = memberentry.with_state(
                entry, memberentry.Liveness.DEAD, entry.counter
            )
            self._store(dead, full=False)

    def set_own_state(self, draining: bool, left: bool, now_s: float) -> None:
        """Announce that this daemon drains or has left."""
        state = (
            memberentry.Liveness.LEFT if left else memberentry.Liveness.ALIVE
        )
        self._replace_own(
            state | (memberentry.DRAINING_BIT if draining else 0),
            self.own.share,
            now_s,
        )

    def set_share(self, share: int, now_s: float) -> None:
        """Announce the connection share that this daemon holds."""
        if share != self.own.share:
            self._replace_own(self.own.state, share, now_s)

    def _replace_own(self, state: int, share: int, now_s: float) -> None:
        self._now_s = now_s
        counter = self.own.counter + 1
        changed = msgspec.structs.replace(
            self.own, state=state, counter=counter, share=share
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
            if not memberentry.is_up(self.entries[incarnation]):
                del self.entries[incarnation]
                self._dead.discard(incarnation)
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
            chosen.append(
                entry if update.full else memberentry.shortened(entry)
            )
            update.left_count -= 1
            if update.left_count <= 0:
                del self._updates[incarnation]
        return chosen

    def summary(self, buckets: abc.Collection[int]) -> dict[int, int]:
        """Return the versions of all members in some buckets."""
        return {
            incarnation: memberentry.version_of(entry)
            for incarnation, entry in self.entries.items()
            if memberentry.bucket_of(incarnation) in buckets
        }

    def differing_buckets(self, hashes: abc.Sequence[int]) -> list[int]:
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
            if memberentry.bucket_of(incarnation) not in buckets:
                continue
            other = versions.get(incarnation)
            if other is None and memberentry.is_up(entry):
                newer.append(entry)
            elif other is not None and memberentry.rank_of(
                memberentry.version_of(entry)
            ) > memberentry.rank_of(other):
                newer.append(memberentry.shortened(entry))
        return newer

    def incarnations_to_fetch(
        self, versions: abc.Mapping[int, int]
    ) -> list[int]:
        """Return the incarnations that another table has newer."""
        return [
            incarnation
            for incarnation, version in versions.items()
            if self._wants(incarnation, version)
        ]

    def _wants(self, incarnation: int, version: int) -> bool:
        known = self.entries.get(incarnation)
        if known is None:
            return (
                version & memberentry.LIVENESS_MASK
                <= memberentry.Liveness.SUSPECT
            )
        return memberentry.rank_of(version) > memberentry.rank_of(
            memberentry.version_of(known)
        )

    def _store(self, entry: wire.MemberEntry, full: bool) -> None:
        incarnation = entry.incarnation
        before = self.entries.get(incarnation)
        index = memberentry.bucket_of(incarnation)
        if before is not None:
            self.bucket_hashes[index] ^= memberentry.hash_of(before)
        self.bucket_hashes[index] ^= memberentry.hash_of(entry)
        self.entries[incarnation] = entry
        self._update_ring(entry, before)
        self._classify(entry)
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
        was_up = before is not None and memberentry.is_up(before)
        if memberentry.is_up(entry) and not was_up:
            bisect.insort(self._ring, entry.incarnation)
        if was_up and not memberentry.is_up(entry):
            del self._ring[bisect.bisect_left(self._ring, entry.incarnation)]

    def _classify(self, entry: wire.MemberEntry) -> None:
        self._suspects.discard(entry.incarnation)
        self._dead.discard(entry.incarnation)
        match memberentry.liveness_of(entry):
            case memberentry.Liveness.SUSPECT:
                self._suspects.add(entry.incarnation)
            case memberentry.Liveness.DEAD:
                self._dead.add(entry.incarnation)

    def _send_count(self) -> int:
        size = len(self._ring) + 1
        return math.ceil(TRANSMISSIONS_PER_LOG2 * math.log2(size + 1)) + 1
