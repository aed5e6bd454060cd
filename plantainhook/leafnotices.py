"""Notices that leafs give about themselves in their replies.

A leaf that leaves says so in each reply, so a daemon learns of it also while
the store does not reach it. A leaf that refuses a request may ask this daemon
for a pause, in which it is skipped.

Each daemon acts on the replies that it gets itself: one that calls the leaf
learns that it leaves from the first reply, and a pause is asked of one daemon.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import forwardtypes, logs

LOGGER: typing.Final = logs.part_logger("leaf")
# A leaf that asks for more is taken to be faulty.
PAUSE_MAX_S: typing.Final = 3600.0


def _ignore(leaf: str) -> None:
    """Ignore the notice of a leaf."""


def _ignore_cold(leaf: str, left_s: float) -> None:
    """Ignore that a leaf is cold."""


def _ignore_load(leaf: str, load: forwardtypes.LeafLoad, now_s: float) -> None:
    """Ignore the load of a leaf."""


@dataclasses.dataclass(slots=True)
class LeafNotices:
    """Apply what leafs state in their replies, by leaf name.

    ``on_leaving`` is called with the name of a leaf that leaves, ``on_cold``
    with that of a leaf that is cold and how long it will remain so, and
    ``on_load`` with the load that a leaf states.
    ``paused_until_s`` holds until when a leaf wants no request.
    """

    on_leaving: abc.Callable[[str], None] = _ignore
    on_cold: abc.Callable[[str, float], None] = _ignore_cold
    on_load: abc.Callable[[str, forwardtypes.LeafLoad, float], None] = (
        _ignore_load
    )
    paused_until_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def observe(
        self, leaf: str, leaving: bool, pause_s: float | None, now_s: float
    ) -> None:
        """Apply the notices in a reply of a leaf."""
        if leaving:
            self.on_leaving(leaf)
        if pause_s is not None and pause_s <= PAUSE_MAX_S:
            LOGGER.info("Leaf {} asks for a pause of {:.1f} s.", leaf, pause_s)
            known_s = self.paused_until_s.get(leaf, 0.0)
            self.paused_until_s[leaf] = max(known_s, now_s + pause_s)

    def may_call(self, leaf: str, now_s: float) -> bool:
        """Return whether a leaf wants requests from this daemon."""
        return self.pause_left_s(leaf, now_s) <= 0.0

    def pause_left_s(self, leaf: str, now_s: float) -> float:
        """Return how long a leaf still wants no request; 0 without a pause."""
        left_s = self.paused_until_s.get(leaf, now_s) - now_s
        if left_s <= 0.0:
            self.paused_until_s.pop(leaf, None)
        return max(0.0, left_s)

    def forget(self, leaf: str) -> None:
        """Remove the pause of a leaf that has started again."""
        self.paused_until_s.pop(leaf, None)
