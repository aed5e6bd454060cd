"""Requests to leafs that limit how many they accept.

A leaf that needs relief states in its replies how many requests a second it
accepts from all daemons together. The limit holds for as long as its replies
state it.

``LeafLimits`` is the side of the daemons that call leafs. A call to a limited
leaf takes a token. One daemon of the fleet grants the tokens of all others
(``limitgrants``); ``limitsync`` exchanges reports and grants with it.

If all leafs of a service are limited and too many queries need it, each query
is admitted by its rank, so the same queries are served at every shard.
"""

import collections
import dataclasses
import math
import typing
from collections import abc

from plantainhook import logs, querytypes, wire

LOGGER: typing.Final = logs.part_logger("limit")
# The calls to a limited leaf are logged at this interval.
REPORT_INTERVAL_S: typing.Final = 4.0
# Tokens are kept in advance for the calls of this time.
STOCK_S: typing.Final = 0.3
CALL_RATE_WINDOW_S: typing.Final = 1.0
QUERY_RATE_WINDOW_S: typing.Final = 2.0
# Also a leaf that accepts nothing gets calls, whose replies show when the
# limit is lifted.
LIMIT_MIN_PER_S: typing.Final = 0.25
LIMIT_MAX_PER_S: typing.Final = 1e6
# A limit that a peer tells counts as stated this long ago, so that the end
# of a limit, which another daemon has seen in a reply, takes precedence.
LEARNED_AGE_S: typing.Final = 10.0


@dataclasses.dataclass(slots=True)
class EventRate:
    """Estimate the rate of events with an exponentially decaying count."""

    window_s: float
    count: float = 0.0
    updated_s: float = 0.0

    def record(self, now_s: float) -> None:
        """Count an event."""
        self.count = self._decayed(now_s) + 1.0
        self.updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the recent number of events per second."""
        return self._decayed(now_s) / self.window_s

    def _decayed(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.count * math.exp(-elapsed_s / self.window_s)


@dataclasses.dataclass(slots=True)
class LimitedLeaf:
    """Describe a leaf with a limit.

    ``stated_s`` is when a reply stated the limit last. ``requested_count``
    is the number of tokens for which queries wait, and ``wanted`` the rate of
    the calls that were made or lacked a token. ``calls`` counts the calls by
    reason since ``counted_s``.
    """

    limit_per_s: float
    stated_s: float
    counted_s: float
    tokens_count: int = 0
    requested_count: int = 0
    wanted: EventRate = dataclasses.field(
        default_factory=lambda: EventRate(CALL_RATE_WINDOW_S)
    )
    calls: collections.Counter[querytypes.AttemptReason] = dataclasses.field(
        default_factory=collections.Counter
    )

    def stock_count(self, now_s: float) -> int:
        """Return how many tokens to keep for the next calls."""
        return round(self.wanted.per_s(now_s) * STOCK_S)


class LeafLimits:
    """Store the limits of leafs and the tokens of this daemon, by leaf name.

    ``service_of`` returns the service of a leaf, or None if it has left.
    ``on_change`` is called when a limit becomes known or has ended.
    """

    service_of: abc.Callable[[str], str | None]
    on_change: abc.Callable[[], None]

    def __init__(self) -> None:
        self.leafs: dict[str, LimitedLeaf] = {}
        self.service_of = lambda leaf: None
        self.on_change = lambda: None
        # The leafs whose limits have ended, until the granter knows it.
        self._ended_s: dict[str, float] = {}
        # The share of queries that a service can serve, if below 1.
        self._admitted_ratios: dict[str, float] = {}
        self._queries: dict[str, EventRate] = {}
        # What the leafs state themselves, and the limits of cold leafs.
        self._stated: dict[str, float] = {}
        self._cold: dict[str, float] = {}

    # Limits

    def set_cold(self, limits: abc.Mapping[str, float], now_s: float) -> None:
        """Limit the calls to exactly these leafs while they are cold."""
        if not limits and not self._cold:
            return
        ended = self._cold.keys() - limits.keys()
        self._cold = dict(limits)
        for leaf in ended & self.leafs.keys():
            if leaf in self._stated:
                self._set(leaf, self._stated[leaf], now_s, now_s)
            else:
                self._end(leaf, now_s)
        for leaf, limit_per_s in limits.items():
            self._ended_s.pop(leaf, None)
            stated_per_s = self._stated.get(leaf, math.inf)
            self._set(leaf, min(limit_per_s, stated_per_s), now_s, now_s)

    def observe(
        self, leaf: str, limit_per_s: float | None, now_s: float
    ) -> None:
        """Apply the limit that a reply of a leaf states; None is no limit."""
        if limit_per_s is None:
            self._stated.pop(leaf, None)
            if leaf in self._cold:
                self._set(leaf, self._cold[leaf], now_s, now_s)
            elif leaf in self.leafs:
                self._end(leaf, now_s)
            return
        self._ended_s.pop(leaf, None)
        limit_per_s = max(LIMIT_MIN_PER_S, min(LIMIT_MAX_PER_S, limit_per_s))
        self._stated[leaf] = limit_per_s
        limit_per_s = min(limit_per_s, self._cold.get(leaf, math.inf))
        self._set(leaf, limit_per_s, now_s, now_s)

    def learn(self, limits: abc.Mapping[str, float], now_s: float) -> None:
        """Add limits that a peer knows."""
        for leaf, limit_per_s in limits.items():
            if leaf not in self.leafs and leaf not in self._ended_s:
                self._set(leaf, limit_per_s, now_s - LEARNED_AGE_S, now_s)

    def limits_of(self, services: abc.Collection[str]) -> dict[str, float]:
        """Return the limits of the leafs of some services."""
        return {
            leaf: known.limit_per_s
            for leaf, known in self.leafs.items()
            if self.service_of(leaf) in services
        }

    def needs_exchange(self) -> bool:
        """Return whether there is something to report to the granter."""
        return bool(self.leafs or self._ended_s)

    def remove_absent(self) -> None:
        """Remove the leafs that have left."""
        for leaf in list(self.leafs):
            if self.service_of(leaf) is None:
                del self.leafs[leaf]
                self._stated.pop(leaf, None)

    def _set(
        self, leaf: str, limit_per_s: float, stated_s: float, now_s: float
    ) -> None:
        known = self.leafs.get(leaf)
        if known is None:
            self.leafs[leaf] = LimitedLeaf(limit_per_s, stated_s, now_s)
        else:
            known.stated_s = max(known.stated_s, stated_s)
            if known.limit_per_s == limit_per_s:
                return
            known.limit_per_s = limit_per_s
        LOGGER.info(
            "Leaf {} limits its requests to {:.2f} a second.",
            leaf,
            limit_per_s,
        )
        self.on_change()

    def _end(self, leaf: str, ended_s: float) -> None:
        del self.leafs[leaf]
        self._ended_s[leaf] = ended_s
        # A leaf without a limit serves all queries that the others can't.
        self._admitted_ratios.pop(self.service_of(leaf) or "", None)
        LOGGER.info("Leaf {} no longer limits its requests.", leaf)
        self.on_change()

    # Calls

    def may_call(self, leaf: str) -> bool:
        """Return whether a leaf has no limit or there is a token."""
        known = self.leafs.get(leaf)
        return known is None or known.tokens_count > 0

    def may_hedge(self, leaf: str) -> bool:
        """Return whether a hedge to a leaf leaves a token for a first call."""
        known = self.leafs.get(leaf)
        return known is None or known.tokens_count > 1

    def take(self, leaf: str, now_s: float) -> None:
        """Take the token for a call."""
        known = self.leafs.get(leaf)
        if known is not None:
            known.tokens_count -= 1
            known.wanted.record(now_s)

    def record_denied(self, leaf: str, now_s: float) -> None:
        """Count a call that was not made because there was no token."""
        self.leafs[leaf].wanted.record(now_s)

    def request_token(self, leaf: str) -> None:
        """Ask for one token more at the next exchange."""
        self.leafs[leaf].requested_count += 1

    def record_call(
        self, leaf: str, reason: querytypes.AttemptReason, now_s: float
    ) -> bool:
        """Count a call that is sent; return whether the leaf has a limit."""
        known = self.leafs.get(leaf)
        if known is None:
            return False
        known.calls[reason] += 1
        elapsed_s = now_s - known.counted_s
        if elapsed_s >= REPORT_INTERVAL_S:
            LOGGER.info(
                "Leaf {} accepts {:.2f} requests a second; this daemon sent "
                "{} in {:.1f} s.",
                leaf,
                known.limit_per_s,
                ", ".join(
                    f"{count} {name}" for name, count in known.calls.items()
                ),
                elapsed_s,
            )
            known.calls.clear()
            known.counted_s = now_s
        return True

    # Queries

    def record_query(self, services: abc.Iterable[str], now_s: float) -> None:
        """Count a query that needs some services."""
        limited = self._limited_services()
        for service in services:
            if service in limited:
                rate = self._queries.get(service)
                if rate is None:
                    rate = EventRate(QUERY_RATE_WINDOW_S)
                    self._queries[service] = rate
                rate.record(now_s)

    def _limited_services(self) -> set[str | None]:
        return {self.service_of(leaf) for leaf in self.leafs}

    def admits(self, service: str, rank: float) -> bool:
        """Return whether the service can serve a query of a rank."""
        return rank < self._admitted_ratios.get(service, math.inf)

    # Exchanges with the granter

    def build_report(self, since: int, now_s: float) -> wire.LimitReport:
        """Return the report to the granter.

        ``since`` is the sequence of its last reply, or 0. Tokens that are not
        needed are returned.
        """
        demands = [
            self._build_demand(name, leaf, now_s)
            for name, leaf in self.leafs.items()
        ]
        demands += [
            wire.LeafDemand(name, None, int(1e3 * (now_s - ended_s)))
            for name, ended_s in self._ended_s.items()
        ]
        limited = self._limited_services()
        queries = {
            service: rate.per_s(now_s)
            for service, rate in self._queries.items()
            if service in limited
        }
        return wire.LimitReport(since, demands, queries)

    def _build_demand(
        self, name: str, leaf: LimitedLeaf, now_s: float
    ) -> wire.LeafDemand:
        if name in self._cold:
            # Daemons that have not seen yet that the leaf is cold may have
            # reported that it has no limit.
            leaf.stated_s = now_s
        held_count = max(0, leaf.tokens_count)
        target_count = leaf.stock_count(now_s) + leaf.requested_count
        leaf.requested_count = 0
        returned_count = max(0, held_count - target_count)
        leaf.tokens_count -= returned_count
        return wire.LeafDemand(
            name,
            leaf.limit_per_s,
            int(1e3 * (now_s - leaf.stated_s)),
            held_count - returned_count,
            returned_count,
            max(0, target_count - leaf.tokens_count),
        )

    def apply(
        self, report: wire.LimitReport, grants: wire.LimitGrants, now_s: float
    ) -> None:
        """Apply the granter's reply to a report."""
        self._admitted_ratios = grants.admitted
        for demand in report.leafs:
            if demand.limit_per_s is None:
                self._ended_s.pop(demand.leaf, None)
        for grant in grants.leafs:
            stated_s = now_s - grant.age_ms / 1e3
            known = self.leafs.get(grant.leaf)
            if grant.leaf in self._cold and known is not None:
                known.tokens_count += grant.count
                continue
            if grant.limit_per_s is None:
                if known is not None and known.stated_s < stated_s:
                    self._end(grant.leaf, stated_s)
                    self._ended_s.pop(grant.leaf)
                continue
            if known is None and grant.leaf in self._ended_s:
                continue
            self._set(grant.leaf, grant.limit_per_s, stated_s, now_s)
            self.leafs[grant.leaf].tokens_count += grant.count
