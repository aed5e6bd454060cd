"""Compute how much of a tenant's quota is left from reported admissions.

The state of a bucket consists of the times of the admissions that daemons
have reported. Pattern: another daemon takes over the grants and has only
these reports.
"""

import dataclasses
import math
import typing

from plantainhook import routetable

# The bucket of a tenant holds at least one token, or nothing would be granted.
DEPTH_MIN_COUNT: typing.Final = 1.0
# Besides its burst, the bucket holds the tokens of this time: random arrivals
# at 60% of the rate exceed a burst of one second's requests in 1% of cases.
# What is admitted in a window is limited separately.
SPARE_S: typing.Final = 1.0
# Admissions are kept for this time longer than the window, because they reach
# leafs with varying delays.
WINDOW_MARGIN_S: typing.Final = 0.25
RETRY_MIN_S: typing.Final = 0.05
RETRY_MAX_S: typing.Final = 5.0
# A request within the slack of a quota is served rather than refused. The rest
# is for admissions that a granter does not know of, because daemons failed or
# can't reach each other.
SLACK_USED_RATIO: typing.Final = 0.5
# Part of the slack with which buckets start. The rest still covers what the
# daemons before a restart admitted in the same window.
SLACK_START_RATIO: typing.Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Represent the quota of a tenant, or a part of it.

    ``start_count`` is how many tokens a bucket has if nobody knows what was
    admitted before.
    """

    rate_per_s: float
    burst_count: float
    start_count: float = 0.0

    def part(self, ratio: float) -> "Rules":
        """Return a part of the quota."""
        return Rules(
            self.rate_per_s * ratio,
            self.burst_count * ratio,
            self.start_count * ratio,
        )

    def depth_count(self) -> float:
        """Return how many tokens the bucket holds at most."""
        spare_count = SPARE_S * self.rate_per_s
        return max(DEPTH_MIN_COUNT, self.burst_count + spare_count)

    def window_count(self, window_s: float) -> float:
        """Return how many requests may be admitted in a window."""
        return max(
            DEPTH_MIN_COUNT, self.burst_count + window_s * self.rate_per_s
        )


def rules_of(
    tenant: routetable.Tenant | None, slack_count: float = 0.0
) -> Rules | None:
    """Return the quota of a tenant, or None if it has no limit.

    A window may have ``slack_count`` requests more than the quota, of which a
    part is used while all daemons exchange reports.
    """
    if tenant is None or tenant.rate_per_s <= 0.0:
        return None
    used_count = SLACK_USED_RATIO * slack_count
    return Rules(
        tenant.rate_per_s,
        tenant.burst_count + used_count,
        SLACK_START_RATIO * slack_count,
    )


def kept_s(window_s: float) -> float:
    """Return for how long admissions are kept to check a window."""
    return window_s + WINDOW_MARGIN_S


class CurrentRules:
    """Store the quotas of the configuration in force."""

    def __init__(self, slack_count: float = 0.0) -> None:
        self._slack_count = slack_count
        self._table = routetable.NO_ROUTES
        self._rules: dict[str, Rules] = {}

    def of(self, table: routetable.RouteTable) -> dict[str, Rules]:
        """Return the quotas of a configuration by tenant."""
        if table is not self._table:
            self._table = table
            self._rules = {}
            for name, tenant in (table.tenants or {}).items():
                rules = rules_of(tenant, self._slack_count)
                if rules is not None:
                    self._rules[name] = rules
        return self._rules


class Account:
    """Compute the level of a tenant's bucket from the reported admissions.

    The level at ``base_s`` is final; later admissions may still be reported.
    """

    def __init__(self, rules: Rules, since_s: float, base_s: float) -> None:
        self.rules = rules
        # The bucket had its start count at this time.
        self._since_s = since_s
        self._base_s = base_s
        self._base_count = rules.depth_count()
        self._admissions: dict[int, list[tuple[float, int]]] = {}
        self._promised_s = -math.inf
        # Whether the last grant let a daemon admit requests at once.
        self.is_open = True

    def set_rules(self, rules: Rules, now_s: float) -> None:
        """Apply a changed quota; the level is capped at the new burst."""
        if rules != self.rules:
            self._fold(now_s, self.rules)
            self.rules = rules
            self._base_count = min(self._base_count, rules.depth_count())

    def replace(
        self, caller_id: int, entries: list[tuple[float, int]]
    ) -> None:
        """Store the admissions of a daemon instead of those known before."""
        kept = [entry for entry in entries if entry[0] > self._base_s]
        if kept:
            self._admissions[caller_id] = kept
        else:
            self._admissions.pop(caller_id, None)

    def add(self, caller_id: int, count: int, now_s: float) -> None:
        """Count requests that a daemon is about to admit."""
        if count:
            self._admissions.setdefault(caller_id, []).append((now_s, count))

    def fold(self, until_s: float, ratio: float) -> None:
        """Make the level at a time final."""
        self._fold(until_s, self.rules.part(ratio))

    def _fold(self, until_s: float, part: Rules) -> None:
        if until_s <= self._base_s:
            return
        # A debt this old would come from admissions of which a granter knew
        # when it could grant a larger part.
        self._base_count = max(0.0, self._level_at(until_s, part))
        self._base_s = until_s
        for caller_id, entries in list(self._admissions.items()):
            self.replace(caller_id, entries)

    def window_room(
        self, ratio: float, window_s: float, now_s: float
    ) -> tuple[float, float]:
        """Return how many requests a window admits, and when it admits one.

        The time is relative to ``now_s``; it is 0 if there is room.
        """
        part = self.rules.part(ratio)
        entries = sorted(
            entry for known in self._admissions.values() for entry in known
        )
        room_count = part.window_count(window_s)
        room_count -= sum(count for _, count in entries)
        left_count = room_count
        for at_s, count in entries:
            if left_count >= 1.0:
                break
            left_count += count
            room_s = at_s + window_s + WINDOW_MARGIN_S
        return room_count, 0.0 if room_count >= 1.0 else room_s - now_s

    def is_idle(self) -> bool:
        """Return whether no admission is known after ``base_s``."""
        return not self._admissions

    def level_count(self, ratio: float, now_s: float) -> float:
        """Return the tokens in a part of the bucket; negative for a debt."""
        return self._level_at(now_s, self.rules.part(ratio))

    def _level_at(self, until_s: float, part: Rules) -> float:
        depth_count = part.depth_count()
        entries = sorted(
            entry
            for known in self._admissions.values()
            for entry in known
            if entry[0] <= until_s
        )
        level_count, at_s = min(self._base_count, depth_count), self._base_s
        for next_s, count in (*entries, (until_s, 0)):
            if at_s <= self._since_s < next_s:
                level_count = min(part.start_count, level_count)
                at_s = self._since_s
            gained_count = part.rate_per_s * (next_s - at_s)
            level_count = min(depth_count, level_count + gained_count) - count
            at_s = next_s
        return level_count

    def promise(
        self, wait_s: float, count: int, rate_per_s: float, now_s: float
    ) -> float:
        """Return after how many seconds a refused request should return.

        ``wait_s`` is the time until there is room for one. Further requests
        of the same report have room at intervals of ``1 / rate_per_s``.
        """
        step_s = 1.0 / rate_per_s
        first_s = max(now_s + wait_s, self._promised_s + step_s)
        self._promised_s = min(
            first_s + (count - 1) * step_s, now_s + RETRY_MAX_S
        )
        return min(RETRY_MAX_S, first_s - now_s)
