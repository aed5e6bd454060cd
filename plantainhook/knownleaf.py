"""What the leaf directory knows of one leaf.

The state of a leaf follows from its latest entry and from its replies.
"""

import dataclasses
import typing

from plantainhook import blackboard, forwardtypes, routetable

# A leaf that leaves has ended this long after it said so.
WORD_MAX_S: typing.Final = 30.0
# A leaf that states a longer time to warm up is taken to be faulty.
COLD_MAX_S: typing.Final = 3600.0


class LeavingWord(typing.NamedTuple):
    """Represent the statement of a leaf that it leaves.

    ``born_ms`` is the start of the leaf as it was known then, ``heard_ms`` the
    time of day and ``heard_s`` the time on the trio clock.
    """

    born_ms: int
    heard_ms: float
    heard_s: float

    def ends_at(self, born_ms: int) -> float:
        """Return when the word ends for a leaf that started at a time.

        A start that became known later may have been running already when
        the leaf spoke. Clocks differ, so it is used again after some time.
        """
        if born_ms <= self.born_ms:
            return float("inf")
        if born_ms > self.heard_ms:
            return self.heard_s
        return self.heard_s + WORD_MAX_S


@dataclasses.dataclass(slots=True)
class KnownLeaf:
    """Represent a registered leaf by its latest entry.

    ``seen_s`` is when the entry arrived, and ``removal_due_s`` when the leaf
    is removed unless it registers again; both are on the trio clock. So is
    ``cold_until_s``, until when the leaf is cold by its replies or its start.
    ``leaving_since_s`` is when its entry or one of its replies first stated
    that it leaves.
    """

    entry: forwardtypes.LeafEntry
    seen_s: float
    removal_due_s: float | None = None
    leaving_since_s: float | None = None
    cold_until_s: float = float("-inf")

    def warm_s(self) -> float:
        """Return when the leaf has warmed up, as far as is known."""
        cold_left_s = min(self.entry.cold_left_s, COLD_MAX_S)
        return max(self.cold_until_s, self.seen_s + cold_left_s)

    def state(self, now_s: float) -> blackboard.LeafState:
        """Return the state that follows from the entry at a time."""
        if self.leaving_since_s is not None:
            return blackboard.LeafState.DRAINING
        if now_s < self.warm_s():
            return blackboard.LeafState.COLD
        return blackboard.LeafState.LIVE


def cold_rules(
    routes: routetable.RouteTable, entry: forwardtypes.LeafEntry
) -> routetable.ServiceRules | None:
    """Return the rules of a leaf's service if they limit cold leafs."""
    rules = routes.services.get(entry.info.service)
    limited = rules is not None and rules.cold_per_s > 0.0
    return rules if limited else None
