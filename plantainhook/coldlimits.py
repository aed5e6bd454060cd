"""Limits on the requests to cold leafs.

A service may state how many requests a second a cold leaf bears. In any one
second the fleet may send it ``over_ratio`` times as many, and ``slack_count``
more; beyond that the leaf crashes. The limit is for all daemons together, so
it is granted in the same way as the limits that leafs state themselves
(``leaflimits``). Tokens that are held in advance come on top of a granted
rate, so the rate is chosen such that both stay within the limit.

Pattern: a leaf starts, or becomes cold again, during traffic. Every daemon
would send it its usual part at once.
"""

import dataclasses
import typing

import trio

from plantainhook import blackboard, leaflimits, limitgrants

# In one second the calls to a leaf are at most the granted rate times this,
# plus ``GRANTED_COUNT``: the rate itself, the bucket, the tokens that daemons
# hold, and what a new granter may add.
GRANTED_RATIO: typing.Final = (
    1.0 + limitgrants.BURST_S + limitgrants.HELD_S + limitgrants.PRESENT_S
)
GRANTED_COUNT: typing.Final = limitgrants.BURST_COUNT + limitgrants.HELD_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRules:
    """Define how far the limit of a cold leaf may be exceeded in a second."""

    over_ratio: float = 1.5
    slack_count: float = 5.0

    def granted_per_s(self, cold_per_s: float) -> float:
        """Return the rate to grant for a leaf that bears a rate.

        It is never higher than the rate that the leaf bears.
        """
        most_count = self.over_ratio * cold_per_s + self.slack_count
        granted_per_s = (most_count - GRANTED_COUNT) / GRANTED_RATIO
        return max(0.0, min(cold_per_s, granted_per_s))


def find_limits(
    rules: ColdRules,
    board: blackboard.Blackboard,
) -> dict[str, float]:
    """Return the rates to grant for the leafs that are cold, by name.

    Leafs whose service states no rate are absent.
    """
    rates = {
        name: rules.granted_per_s(service.cold_per_s)
        for name, service in board.routes.services.items()
        if service.cold_per_s > 0.0
    }
    if not rates:
        return {}
    return {
        name: rates[info.service]
        for name, info in board.settings.leafs.items()
        if info.service in rates
        and board.leafs[name].state is blackboard.LeafState.COLD
    }


class ColdLimiter:
    """Apply the limits of cold leafs when the view of leafs changes.

    The view also changes with the routes.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        limits: leaflimits.LeafLimits,
        rules: ColdRules,
    ) -> None:
        self._board = board
        self._limits = limits
        self._rules = rules

    def on_change(self, topic: blackboard.Topic) -> None:
        """Listen to the blackboard."""
        if topic is blackboard.Topic.LEAFS:
            self._limits.set_cold(
                find_limits(self._rules, self._board), trio.current_time()
            )
