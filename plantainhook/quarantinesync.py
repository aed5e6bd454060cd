"""Exchange quarantine entries and suspicions between daemons.

An entry is valid until a point in time. A clearing hides every entry that was
added before it. Both are sent as the remaining seconds, so that clocks need
not agree. Message delays shift these times, so a time replaces a known one
only if it is later by more than ``COMPARE_STEP_S``.

Suspicions are sent too, so that a suspect runs on one leaf at a time also
when its caller sends it to another daemon. Each suspicion is adopted only
once, so that one which a reply has cleared here is not restored by a peer.
"""

import dataclasses
import typing

import xxhash

from plantainhook import blackboard, quarantine, wire

# A clearing outlives every entry that was added before it.
CLEARED_KEEP_S: typing.Final = 660.0
COMPARE_STEP_S: typing.Final = 5.0
CRASH_FINGERPRINTS_LIMIT_COUNT: typing.Final = 64
CRASHES_LIMIT_COUNT: typing.Final = 256


@dataclasses.dataclass(slots=True)
class QuarantineSync:
    """Merge the quarantine entries of peers into the blackboard.

    ``cleared_until_s`` holds the clearings by fingerprint. ``seen_s`` holds
    every suspicion seen recently, by fingerprint and leaf.
    """

    board: blackboard.Blackboard
    cleared_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    seen_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def clear(self, fingerprint: str, now_s: float) -> None:
        """Remove an entry from all daemons; later crashes add a new one."""
        self.cleared_until_s[fingerprint] = now_s + CLEARED_KEEP_S
        self.board.quarantine_until_s.pop(fingerprint, None)
        self.board.suspicions.pop(fingerprint, None)
        self.board.notify(blackboard.Topic.QUARANTINE)

    def expire(self, now_s: float) -> None:
        """Drop entries, clearings and suspicions that have expired."""
        for entries in (self.board.quarantine_until_s, self.cleared_until_s):
            for key in [k for k, until in entries.items() if until <= now_s]:
                del entries[key]
        oldest_s = now_s - quarantine.SUSPICION_S
        crashes = self.board.suspicions
        for key in [k for k, c in crashes.items() if c.at_s < oldest_s]:
            del crashes[key]
        for pair in [p for p, at_s in self.seen_s.items() if at_s < oldest_s]:
            del self.seen_s[pair]

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
            self.seen_s.setdefault((key, crash.leaf), crash.at_s)
            text = f"crash/{key}/{crash.leaf}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return combined

    def message(self, now_s: float) -> wire.QuarantineSync:
        """Build the message with all entries as remaining seconds."""
        return wire.QuarantineSync(
            _remaining_s(self.board.quarantine_until_s, now_s),
            _remaining_s(self.cleared_until_s, now_s),
            [
                _crash_entry(key, crash, now_s)
                for key, crash in self.board.suspicions.items()
            ][:CRASHES_LIMIT_COUNT],
        )

    def merge(self, message: wire.QuarantineSync, now_s: float) -> bool:
        """Merge the entries of a peer; return whether any was new."""
        is_changed = False
        for key, left_s in message.cleared_left_s.items():
            if _extend(self.cleared_until_s, key, now_s + left_s):
                is_changed = True
        for key, left_s in message.left_s.items():
            until_s = now_s + left_s
            if not self._is_cleared(key, until_s) and _extend(
                self.board.quarantine_until_s, key, until_s
            ):
                is_changed = True
        for entry in message.crashes[:CRASHES_LIMIT_COUNT]:
            is_changed |= self._adopt_crash(entry, now_s)
        self._drop_cleared()
        if is_changed:
            self.board.notify(blackboard.Topic.QUARANTINE)
        return is_changed

    def _adopt_crash(self, entry: wire.CrashEntry, now_s: float) -> bool:
        """Adopt a suspicion from a peer unless it was known before."""
        pair = (entry.fingerprint, entry.leaf)
        known = entry.fingerprint in self.board.suspicions
        cleared = self._is_cleared(entry.fingerprint, now_s)
        if known or cleared or pair in self.seen_s:
            return False
        at_s = now_s - entry.age_s
        self.seen_s[pair] = at_s
        self.board.suspicions[entry.fingerprint] = quarantine.Crash(
            entry.leaf,
            at_s,
            now_s - entry.confirmed_age_s,
            frozenset(entry.fingerprints),
        )
        return True

    def _is_cleared(self, key: str, until_s: float) -> bool:
        return until_s <= self.cleared_until_s.get(key, 0.0)

    def _drop_cleared(self) -> None:
        entries = self.board.quarantine_until_s
        for key in [k for k, u in entries.items() if self._is_cleared(k, u)]:
            del entries[key]


def _crash_entry(
    fingerprint: str, crash: quarantine.Crash, now_s: float
) -> wire.CrashEntry:
    return wire.CrashEntry(
        fingerprint,
        crash.leaf,
        now_s - crash.at_s,
        now_s - crash.confirmed_s,
        sorted(crash.fingerprints)[:CRASH_FINGERPRINTS_LIMIT_COUNT],
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
