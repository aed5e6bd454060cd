"""Quarantine entries as they spread between daemons.

An entry runs until a time; a clearing hides every entry that was added
before it. Both travel as seconds left, so clocks need not agree. Entries
are compared in steps of ``COMPARE_STEP_S``, because delays shift them.
"""

import dataclasses
import typing

import xxhash

from plantainhook import blackboard, wire

CLEARED_KEEP_S: typing.Final = 660.0
COMPARE_STEP_S: typing.Final = 5.0


@dataclasses.dataclass(slots=True)
class QuarantineSync:
    """Merge quarantine entries into the blackboard."""

    board: blackboard.Blackboard
    cleared_until_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def clear(self, fingerprint: str, now_s: float) -> None:
        """Remove an entry everywhere; later crashes add a new one."""
        self.cleared_until_s[fingerprint] = now_s + CLEARED_KEEP_S
        self.board.quarantine_until_s.pop(fingerprint, None)
        self.board.notify(blackboard.Topic.QUARANTINE)

    def expire(self, now_s: float) -> None:
        """Drop entries and clearings whose time has passed."""
        for entries in (self.board.quarantine_until_s, self.cleared_until_s):
            for key in [k for k, until in entries.items() if until <= now_s]:
                del entries[key]

    def digest(self) -> int:
        """Return a hash that is equal where the entries are equal."""
        combined = 0
        for kind, entries in (
            ("in", self.board.quarantine_until_s),
            ("out", self.cleared_until_s),
        ):
            for key in entries:
                combined ^= xxhash.xxh3_64_intdigest(f"{kind}/{key}".encode())
        return combined

    def message(self, now_s: float) -> wire.QuarantineSync:
        """Return all entries as seconds left."""
        return wire.QuarantineSync(
            _left(self.board.quarantine_until_s, now_s),
            _left(self.cleared_until_s, now_s),
        )

    def merge(self, message: wire.QuarantineSync, now_s: float) -> bool:
        """Take the entries of a peer; return whether any was news."""
        news = False
        for key, left_s in message.cleared_left_s.items():
            if _extend(self.cleared_until_s, key, now_s + left_s):
                news = True
        for key, left_s in message.left_s.items():
            until_s = now_s + left_s
            if not self._is_cleared(key, until_s) and _extend(
                self.board.quarantine_until_s, key, until_s
            ):
                news = True
        self._drop_cleared()
        if news:
            self.board.notify(blackboard.Topic.QUARANTINE)
        return news

    def _is_cleared(self, key: str, until_s: float) -> bool:
        return until_s <= self.cleared_until_s.get(key, 0.0)

    def _drop_cleared(self) -> None:
        entries = self.board.quarantine_until_s
        for key in [k for k, u in entries.items() if self._is_cleared(k, u)]:
            del entries[key]


def _left(entries: dict[str, float], now_s: float) -> dict[str, float]:
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
