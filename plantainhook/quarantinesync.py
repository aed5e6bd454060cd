"""Exchange quarantine entries and suspicions between daemons.

An entry is valid until a point in time. A clearing hides every entry that was
added before it. Times are sent as ages or remaining seconds, so that clocks
need not agree. Message delays shift these times, so a time replaces a known
one only if it is later by more than ``COMPARE_STEP_S``.

Suspicions are sent too, so that a suspect runs on one leaf at a time also
when its caller sends it to another daemon, and so are the replies that clear
them. Of two suspicions of a request the one with more crashes is kept. Each
is adopted only once, so that one which a reply has cleared here is not
restored by a peer.
"""

import dataclasses
import typing

import xxhash

from plantainhook import blackboard, logs, quarantine, wire

LOGGER: typing.Final = logs.part_logger("quarantine")
# A clearing outlives every entry that was added before it.
CLEARED_KEEP_S: typing.Final = 660.0
COMPARE_STEP_S: typing.Final = 5.0
# An entry that came without its crash was added at most this long before its
# end.
ENTRY_MAX_S: typing.Final = max(quarantine.QUARANTINE_STEPS_S)
CRASH_FINGERPRINTS_LIMIT_COUNT: typing.Final = 64
CRASHES_LIMIT_COUNT: typing.Final = 256
SEEN_LONGER_S: typing.Final = 60.0
# Limits the memory for requests whose callers never repeat them.
TRACKED_MAX_COUNT: typing.Final = 10_000


@dataclasses.dataclass(slots=True)
class QuarantineSync:
    """Merge the quarantine entries of peers into the blackboard.

    ``cleared_until_s`` holds the clearings by fingerprint. ``seen_s`` holds
    every suspicion seen recently, by fingerprint, leaf and number of crashes.
    ``unsent`` holds the fingerprints that changed since they were taken.
    """

    board: blackboard.Blackboard
    cleared_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    seen_s: dict[tuple[str, str, int], float] = dataclasses.field(
        default_factory=dict
    )
    unsent: set[str] = dataclasses.field(default_factory=set)

    def record_change(self, fingerprint: str) -> None:
        """Record that an entry, a suspicion or a reply has to be sent."""
        self.unsent.add(fingerprint)
        self.board.notify(blackboard.Topic.QUARANTINE)

    def take_unsent(self) -> set[str]:
        """Return the fingerprints to send, which then count as sent."""
        unsent, self.unsent = self.unsent, set()
        return unsent

    def clear(self, fingerprint: str, now_s: float) -> None:
        """Remove an entry from all daemons; later crashes add a new one."""
        self.cleared_until_s[fingerprint] = now_s + CLEARED_KEEP_S
        self.board.quarantine_until_s.pop(fingerprint, None)
        self.board.suspicions.pop(fingerprint, None)
        self.record_change(fingerprint)

    def expire(self, now_s: float) -> None:
        """Drop entries, clearings and suspicions that have expired."""
        for entries in (self.board.quarantine_until_s, self.cleared_until_s):
            for key in [k for k, until in entries.items() if until <= now_s]:
                del entries[key]
        oldest_s = now_s - quarantine.SUSPICION_S
        _drop_oldest(self.board.exonerated_s)
        _drop_oldest(self.seen_s)
        _drop_oldest(self.board.suspicions)
        crashes = self.board.suspicions
        for key in [k for k, c in crashes.items() if c.at_s < oldest_s]:
            del crashes[key]
        answers = self.board.exonerated_s
        for key in [k for k, at_s in answers.items() if at_s < oldest_s]:
            del answers[key]
        # Peers may still send a suspicion that has expired here.
        oldest_s -= SEEN_LONGER_S
        for seen in [p for p, at_s in self.seen_s.items() if at_s < oldest_s]:
            del self.seen_s[seen]

    def digest(self) -> int:
        """Return a hash over the keys of entries, clearings and suspicions.

        It is equal for daemons that have the same keys.
        """
        combined = 0
        for kind, entries in (
            ("in", self.board.quarantine_until_s),
            ("out", self.cleared_until_s),
        ):
            for key in entries:
                combined ^= xxhash.xxh3_64_intdigest(f"{kind}/{key}".encode())
        for key, crash in self.board.suspicions.items():
            # Recorded as seen, so that a peer cannot restore the suspicion
            # after a reply has cleared it.
            self.seen_s.setdefault((key, crash.leaf, crash.count), crash.at_s)
            text = f"crash/{key}/{crash.leaf}/{crash.count}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return combined

    def message(
        self, now_s: float, only: set[str] | None = None
    ) -> wire.QuarantineSync:
        """Build the message with all entries, or a push of some requests."""
        board = self.board

        def selected(entries: dict[str, float]) -> dict[str, float]:
            if only is None:
                return entries
            return {key: entries[key] for key in only if key in entries}

        crashes = [
            _crash_entry(key, crash, now_s)
            for key, crash in board.suspicions.items()
            if (only is None or key in only) and _is_young(crash, now_s)
        ]
        # Of too many, those with the most crashes matter most.
        crashes.sort(key=lambda entry: -entry.count)
        return wire.QuarantineSync(
            _remaining_s(selected(board.quarantine_until_s), now_s),
            _remaining_s(selected(self.cleared_until_s), now_s),
            crashes[:CRASHES_LIMIT_COUNT],
            {
                key: now_s - began_s
                for key, began_s in selected(board.exonerated_s).items()
            },
            is_push=only is not None,
        )

    def adopt(
        self,
        fingerprint: str,
        until_s: float | None,
        crash: quarantine.Crash,
    ) -> bool:
        """Adopt a suspicion from the store; return whether it says more.

        ``until_s`` is the end of a quarantine, if there is one.
        """
        is_new = self._adopt_crash(fingerprint, crash)
        if until_s is not None:
            is_new |= self._adopt_entry(fingerprint, until_s, crash)
        if is_new:
            self.record_change(fingerprint)
        return is_new

    def merge(self, message: wire.QuarantineSync, now_s: float) -> bool:
        """Merge the entries of a peer; return whether any was new."""
        changed: set[str] = set()
        for key, left_s in message.cleared_left_s.items():
            left_s = min(left_s, CLEARED_KEEP_S)
            if _extend(self.cleared_until_s, key, now_s + left_s):
                changed.add(key)
        for key, age_s in message.answered_age_s.items():
            if age_s < quarantine.SUSPICION_S and self._adopt_answer(
                key, now_s - age_s
            ):
                changed.add(key)
        crashes = {
            entry.fingerprint: _crash_of(entry, now_s)
            for entry in message.crashes[:CRASHES_LIMIT_COUNT]
        }
        for key, crash in crashes.items():
            if _is_young(crash, now_s) and self._adopt_crash(key, crash):
                changed.add(key)
        for key, left_s in message.left_s.items():
            left_s = min(left_s, ENTRY_MAX_S)
            if self._adopt_entry(key, now_s + left_s, crashes.get(key)):
                LOGGER.info(
                    "Request {} is in quarantine for {:.0f} s, says a peer.",
                    key,
                    left_s,
                )
                changed.add(key)
        changed |= self._drop_cleared()
        self.unsent |= changed
        if changed:
            self.board.notify(blackboard.Topic.QUARANTINE)
        return bool(changed)

    def _adopt_answer(self, key: str, began_s: float) -> bool:
        """Clear a suspicion because of a reply that a peer got."""
        crash = self.board.suspicions.get(key)
        is_cleared = crash is not None and crash.began_s <= began_s
        known_s = self.board.exonerated_s.get(key, float("-inf"))
        if not is_cleared and began_s <= known_s + COMPARE_STEP_S:
            return False
        self.board.exonerated_s[key] = max(known_s, began_s)
        if is_cleared:
            del self.board.suspicions[key]
            self.board.quarantine_until_s.pop(key, None)
        return True

    def _adopt_crash(self, key: str, crash: quarantine.Crash) -> bool:
        """Adopt a suspicion of a peer that says more than the known one."""
        known = self.board.suspicions.get(key)
        if known is not None and _rank(known) >= _rank(crash):
            return False
        seen = (key, crash.leaf, crash.count)
        if seen in self.seen_s or self._is_hidden(key, crash):
            return False
        self.seen_s[seen] = crash.at_s
        self.board.suspicions[key] = crash
        return True

    def _adopt_entry(
        self, key: str, until_s: float, crash: quarantine.Crash | None
    ) -> bool:
        if crash is not None:
            known = self.board.suspicions.get(key)
            is_known = known is not None and _rank(known) >= _rank(crash)
            # The end follows from the crash. Clocks and delays move it.
            if is_known and known is not crash and self._has_entry(key):
                return False
            if self._is_hidden(key, crash):
                return False
        if self._is_cleared(key, until_s):
            return False
        return _extend(self.board.quarantine_until_s, key, until_s)

    def _has_entry(self, key: str) -> bool:
        return key in self.board.quarantine_until_s

    def _is_hidden(self, key: str, crash: quarantine.Crash) -> bool:
        """Return whether a clearing or a reply came after a crash."""
        answered_s = self.board.exonerated_s.get(key, float("-inf"))
        return crash.began_s <= answered_s or self._is_cleared_at(
            key, crash.confirmed_s
        )

    def _is_cleared(self, key: str, until_s: float) -> bool:
        crash = self.board.suspicions.get(key)
        added_s = until_s - ENTRY_MAX_S
        if crash is not None:
            added_s = max(added_s, crash.confirmed_s)
        return self._is_cleared_at(key, added_s)

    def _is_cleared_at(self, key: str, added_s: float) -> bool:
        cleared_until_s = self.cleared_until_s.get(key, float("-inf"))
        return added_s <= cleared_until_s - CLEARED_KEEP_S

    def _drop_cleared(self) -> set[str]:
        """Drop what clearings hide; return the fingerprints."""
        entries = self.board.quarantine_until_s
        hidden = {k for k, u in entries.items() if self._is_cleared(k, u)}
        crashes = self.board.suspicions
        suspected = {k for k, c in crashes.items() if self._is_hidden(k, c)}
        for key in hidden:
            del entries[key]
        for key in suspected:
            del crashes[key]
        return hidden | suspected


def _is_young(crash: quarantine.Crash, now_s: float) -> bool:
    """Return whether a suspicion has not expired."""
    return now_s - crash.at_s < quarantine.SUSPICION_S


def _rank(crash: quarantine.Crash) -> tuple[int, str]:
    """Return by what one of two suspicions of a request is kept."""
    return crash.count, crash.leaf


def _drop_oldest(entries: dict[typing.Any, typing.Any]) -> None:
    """Drop what was added first beyond ``TRACKED_MAX_COUNT``."""
    while len(entries) > TRACKED_MAX_COUNT:
        del entries[next(iter(entries))]


def _crash_entry(
    fingerprint: str, crash: quarantine.Crash, now_s: float
) -> wire.CrashEntry:
    return wire.CrashEntry(
        fingerprint,
        crash.leaf,
        now_s - crash.at_s,
        now_s - crash.confirmed_s,
        sorted(crash.fingerprints)[:CRASH_FINGERPRINTS_LIMIT_COUNT],
        crash.count,
        now_s - crash.began_s,
    )


def _crash_of(entry: wire.CrashEntry, now_s: float) -> quarantine.Crash:
    began_age_s = entry.began_age_s
    return quarantine.Crash(
        entry.leaf,
        now_s - entry.age_s,
        now_s - entry.confirmed_age_s,
        frozenset((entry.fingerprint, *entry.fingerprints)),
        now_s - (entry.age_s if began_age_s is None else began_age_s),
        entry.count,
    )


def _remaining_s(entries: dict[str, float], now_s: float) -> dict[str, float]:
    return {
        key: until_s - now_s
        for key, until_s in entries.items()
        if until_s > now_s
    }


def _extend(entries: dict[str, float], key: str, until_s: float) -> bool:
    if until_s <= entries.get(key, 0.0) + COMPARE_STEP_S:
        return False
    entries[key] = until_s
    return True
