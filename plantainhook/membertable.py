"""Member table of one daemon, as pure state without I/O.

``membership`` drives the table and passes it the current time; ``membersync``
compares it with the tables of peers. Times are in seconds on one monotonic
clock.

``merge`` accepts entries from any source in any order, and tables converge:
of two entries of a member the one with the higher ``(counter, liveness)``
wins, and a member that has left never returns. A death that others report is
only recorded as a suspicion, so that after a partition no live member is
treated as dead before it can refute the report. Only the member itself raises
its counter; that is how it refutes a suspicion or its reported death.

``take_updates`` returns recent changes, which are piggybacked on probes.
Changes that piggybacking missed are found by comparing bucket hashes.
"""

import bisect
import dataclasses
import heapq
import math
import typing
from collections import abc

import msgspec

from plantainhook import memberentry, wire

# Approximate encoded sizes of the two forms of an update.
FULL_ENTRY_BYTES: typing.Final = 100
SHORT_ENTRY_BYTES: typing.Final = 18
# How many times more a change is sent for each doubling of the members.
TRANSMISSIONS_PER_LOG2: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRules:
    """Set when the state of a member times out, in seconds.

    A suspect that does not refute within ``suspicion_s`` is declared dead.
    A member that is dead or has left is removed after ``forget_s``.
    """

    suspicion_s: float = 5.0
    forget_s: float = 900.0


@dataclasses.dataclass(slots=True)
class _Update:
    """Track how often a change is still sent, and in which form.

    A full update carries the member's name and addresses; a short one is for
    receivers that know them already.
    """

    remaining_count: int
    full: bool


class MemberTable:
    """Store the entries of all known members, including this daemon's own.

    ``entries`` maps incarnations to entries. ``bucket_hashes`` has one hash
    for each of ``memberentry.BUCKET_COUNT`` groups of members.
    """

    def __init__(
        self, own: wire.MemberEntry, rules: MemberRules, now_s: float
    ) -> None:
        self.own_incarnation = own.incarnation
        self.entries: dict[int, wire.MemberEntry] = {}
        self.bucket_hashes = [0] * memberentry.BUCKET_COUNT
        self._changed: set[int] = set()
        self._rules = rules
        self._now_s = now_s
        self._propagates = True
        self._changed_s: dict[int, float] = {}
        self._updates: dict[int, _Update] = {}
        self._ring: list[int] = []
        self._suspects: set[int] = set()
        self._dead: set[int] = set()
        self._put(own, full=True)

    @property
    def own(self) -> wire.MemberEntry:
        """Return the entry of this daemon."""
        return self.entries[self.own_incarnation]

    def ring(self) -> list[int]:
        """Return the sorted incarnations of all members that are up."""
        return self._ring

    def up_members(self) -> abc.Iterator[wire.MemberEntry]:
        """Return the entries of all members that are up, by incarnation."""
        return (self.entries[incarnation] for incarnation in self._ring)

    def suspects(self) -> list[wire.MemberEntry]:
        """Return the members that are suspected of being dead."""
        return [self.entries[incarnation] for incarnation in self._suspects]

    def dead(self) -> list[wire.MemberEntry]:
        """Return the members declared dead that are still in the table."""
        return [self.entries[incarnation] for incarnation in self._dead]

    def take_changed(self) -> set[int]:
        """Return the incarnations that changed since the previous call.

        A member that was removed from the table counts as changed.
        """
        changed, self._changed = self._changed, set()
        return changed

    def mark_vms_changed(self, vm_ids: abc.Collection[str]) -> None:
        """Report the members on these VMs in the next ``take_changed``."""
        if vm_ids:
            self._changed.update(
                incarnation
                for incarnation, entry in self.entries.items()
                if entry.vm_id in vm_ids
            )

    def members_hash(self) -> int:
        """Return one 48-bit hash over all members that are up."""
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
        """Merge entries that were received from any source.

        A daemon that joins doesn't propagate the entries that it copies: the
        other members have them already, and thousands of entries would fill
        its messages for minutes.
        """
        self._now_s = now_s
        self._propagates = propagate
        for entry in entries:
            if entry.incarnation == self.own_incarnation:
                self._refute(entry)
            else:
                self._merge_other(entry)
        self._propagates = True

    def _refute(self, entry: wire.MemberEntry) -> None:
        """Raise the counter if an entry about this daemon would win.

        Without that, the peers would accept the entry, for instance a
        suspicion.
        """
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
            self._put(alive, full=False)

    def _merge_other(self, entry: wire.MemberEntry) -> None:
        known = self.entries.get(entry.incarnation)
        if known is None:
            if memberentry.is_up(entry) and entry.peer_address:
                self._put(entry, full=True)
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
        self._put(merged, full=False)

    def suspect(self, incarnation: int, now_s: float) -> bool:
        """Mark a live member as suspected; return whether it was alive."""
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
        self._put(suspected, full=False)
        return True

    def declare_dead(self, incarnation: int, now_s: float) -> None:
        """Declare a member dead, if it is up.

        The caller knows that the process has ended, or the suspicion has
        timed out.
        """
        self._now_s = now_s
        entry = self.entries.get(incarnation)
        if entry is not None and memberentry.is_up(entry):
            dead = memberentry.with_state(
                entry, memberentry.Liveness.DEAD, entry.counter
            )
            self._put(dead, full=False)

    def set_own_state(self, draining: bool, left: bool, now_s: float) -> None:
        """Change the state that this daemon announces of itself."""
        state = (
            memberentry.Liveness.LEFT if left else memberentry.Liveness.ALIVE
        )
        self._replace_own(
            state | (memberentry.DRAINING_BIT if draining else 0),
            self.own.share,
            now_s,
        )

    def set_share(self, share: int, now_s: float) -> None:
        """Change the connection share that this daemon announces.

        ``wire.NO_SHARE`` means that it holds none.
        """
        if share != self.own.share:
            self._replace_own(self.own.state, share, now_s)

    def _replace_own(self, state: int, share: int, now_s: float) -> None:
        self._now_s = now_s
        counter = self.own.counter + 1
        changed = msgspec.structs.replace(
            self.own, state=state, counter=counter, share=share
        )
        self._put(changed, full=False)

    def tick(self, now_s: float) -> list[wire.MemberEntry]:
        """Apply the timeouts; return the members that are now declared dead.

        Members that have been dead or left for ``forget_s`` are removed.
        """
        self._now_s = now_s
        died = [
            entry
            for entry in self.suspects()
            if self._age_s(entry) >= self._rules.suspicion_s
        ]
        for entry in died:
            self.declare_dead(entry.incarnation, now_s)
        self._remove_expired()
        return died

    def _age_s(self, entry: wire.MemberEntry) -> float:
        return self._now_s - self._changed_s[entry.incarnation]

    def _remove_expired(self) -> None:
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
                self._changed.add(incarnation)

    def take_updates(self, limit_bytes: int) -> list[wire.MemberEntry]:
        """Return the least-sent changes that fit, and count them as sent.

        ``limit_bytes`` bounds the approximate encoded size of the entries.
        """
        chosen = []
        pending = heapq.nlargest(
            limit_bytes // SHORT_ENTRY_BYTES,
            self._updates.items(),
            key=lambda item: item[1].remaining_count,
        )
        for incarnation, update in pending:
            size = FULL_ENTRY_BYTES if update.full else SHORT_ENTRY_BYTES
            if size > limit_bytes:
                break
            limit_bytes -= size
            entry = self.entries[incarnation]
            chosen.append(
                entry if update.full else memberentry.shortened(entry)
            )
            update.remaining_count -= 1
            if update.remaining_count <= 0:
                del self._updates[incarnation]
        return chosen

    def summary(self, buckets: abc.Collection[int]) -> dict[int, int]:
        """Return the versions of all members in the buckets."""
        return {
            incarnation: memberentry.version_of(entry)
            for incarnation, entry in self.entries.items()
            if memberentry.bucket_of(incarnation) in buckets
        }

    def differing_buckets(self, hashes: abc.Sequence[int]) -> list[int]:
        """Return the buckets whose hashes differ from another table's."""
        return [
            index
            for index, value in enumerate(self.bucket_hashes)
            if index >= len(hashes) or hashes[index] != value
        ]

    def newer_than(
        self, buckets: abc.Collection[int], versions: abc.Mapping[int, int]
    ) -> list[wire.MemberEntry]:
        """Return the entries that are missing or older in another table.

        ``versions`` are those of the other table in the buckets. Entries
        that the other table lacks are full, the others are short.
        """
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
        """Return the incarnations that are newer in another table."""
        return [
            incarnation
            for incarnation, version in versions.items()
            if self._should_fetch(incarnation, version)
        ]

    def _should_fetch(self, incarnation: int, version: int) -> bool:
        known = self.entries.get(incarnation)
        if known is None:
            return (
                version & memberentry.LIVENESS_MASK
                <= memberentry.Liveness.SUSPECT
            )
        return memberentry.rank_of(version) > memberentry.rank_of(
            memberentry.version_of(known)
        )

    def _put(self, entry: wire.MemberEntry, full: bool) -> None:
        incarnation = entry.incarnation
        before = self.entries.get(incarnation)
        index = memberentry.bucket_of(incarnation)
        if before is not None:
            self.bucket_hashes[index] ^= memberentry.hash_of(before)
        self.bucket_hashes[index] ^= memberentry.hash_of(entry)
        self.entries[incarnation] = entry
        self._update_ring(entry, before)
        self._update_state_sets(entry)
        self._changed_s[incarnation] = self._now_s
        self._changed.add(incarnation)
        if not self._propagates:
            return
        pending = self._updates.get(incarnation)
        full = full or (pending is not None and pending.full)
        self._updates[incarnation] = _Update(self._transmission_count(), full)

    def _update_ring(
        self, entry: wire.MemberEntry, before: wire.MemberEntry | None
    ) -> None:
        was_up = before is not None and memberentry.is_up(before)
        if memberentry.is_up(entry) and not was_up:
            bisect.insort(self._ring, entry.incarnation)
        if was_up and not memberentry.is_up(entry):
            del self._ring[bisect.bisect_left(self._ring, entry.incarnation)]

    def _update_state_sets(self, entry: wire.MemberEntry) -> None:
        self._suspects.discard(entry.incarnation)
        self._dead.discard(entry.incarnation)
        match memberentry.liveness_of(entry):
            case memberentry.Liveness.SUSPECT:
                self._suspects.add(entry.incarnation)
            case memberentry.Liveness.DEAD:
                self._dead.add(entry.incarnation)

    def _transmission_count(self) -> int:
        size = len(self._ring) + 1
        return math.ceil(TRANSMISSIONS_PER_LOG2 * math.log2(size + 1)) + 1
