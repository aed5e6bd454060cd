"""Grant the calls to limited leafs to the daemons of a fleet.

One daemon grants for all (``limitsync`` chooses it). Its state consists of
what the others report, so any daemon can take over without the state of its
predecessor: the bucket of each leaf starts empty, and the tokens that daemons
still hold are in their reports.

In any time t a leaf gets at most limit x t calls, plus the burst of its
bucket, plus the tokens that daemons hold at the beginning, plus limit x
``PRESENT_S`` if daemons change their granter. Each daemon has an equal part of
a limit; what a daemon does not use goes to those that need more.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import blackboard, ratelimit, wire

# Tokens that a bucket and all daemons together may hold: a fixed number, and
# those of some time at the rate of the limit.
BURST_COUNT: typing.Final = 2.0
BURST_S: typing.Final = 0.25
HELD_COUNT: typing.Final = 2.0
HELD_S: typing.Final = 0.75
# A bucket with more than this part of its tokens grants them in the order of
# the reports. The rest is for daemons that have not had their equal part.
RESERVED_RATIO: typing.Final = 0.5
CREDIT_MAX_COUNT: typing.Final = 2.0
# A daemon that has not reported for this time may use another granter.
PRESENT_S: typing.Final = 0.8
# The tokens of a daemon that has not reported for this time do not count.
SILENT_S: typing.Final = 1.5
# The end of a limit is remembered this long, so that a daemon that does not
# know of it can't restore the limit.
ENDED_KEPT_S: typing.Final = 10.0
# Queries are admitted for this share of what the leafs accept. The rest
# covers uneven arrivals and retries.
ADMITTED_RATIO: typing.Final = 0.95


@dataclasses.dataclass(slots=True)
class _Caller:
    """Describe a daemon that calls a leaf; ``credit`` is its unused part."""

    held_count: int
    credit: float
    seen_s: float


@dataclasses.dataclass(slots=True)
class _Leaf:
    """Describe a leaf; ``limit_per_s`` is None if the limit has ended."""

    limit_per_s: float | None
    stated_s: float
    sequence: int
    bucket: ratelimit.TokenBucket
    callers: dict[int, _Caller] = dataclasses.field(default_factory=dict)

    def set_part(self, part_per_s: float, now_s: float) -> None:
        """Set the part of the limit that this granter may grant."""
        self.bucket.refill(now_s)
        self.bucket.rate_per_s = part_per_s
        self.bucket.burst_count = BURST_COUNT + BURST_S * part_per_s

    def grant(
        self, caller_id: int, demand: wire.LeafDemand, now_s: float
    ) -> int:
        """Return how many of the wanted tokens a daemon gets."""
        self.bucket.refill(now_s)
        self.bucket.put_back(demand.returned)
        self._remove_silent(now_s)
        caller = self._update(caller_id, demand, now_s)
        room = HELD_COUNT + HELD_S * self.bucket.rate_per_s
        room -= sum(other.held_count for other in self.callers.values())
        count = 0
        while count < min(demand.wanted, int(room)) and (
            caller.credit >= 1.0 or self._has_excess()
        ):
            if not self.bucket.try_take(now_s):
                break
            caller.credit = max(0.0, caller.credit - 1.0)
            count += 1
        caller.held_count += count
        return count

    def _has_excess(self) -> bool:
        reserved_count = RESERVED_RATIO * self.bucket.burst_count
        return self.bucket.tokens_count >= max(1.0, reserved_count)

    def _update(
        self, caller_id: int, demand: wire.LeafDemand, now_s: float
    ) -> _Caller:
        caller = self.callers.get(caller_id)
        if caller is None:
            caller = _Caller(demand.held, 0.0, now_s)
            self.callers[caller_id] = caller
        elapsed_s = now_s - caller.seen_s
        part_per_s = self.bucket.rate_per_s / len(self.callers)
        caller.credit += elapsed_s * part_per_s
        caller.credit = min(CREDIT_MAX_COUNT, caller.credit)
        caller.held_count = demand.held
        caller.seen_s = now_s
        return caller

    def _remove_silent(self, now_s: float) -> None:
        oldest_s = now_s - SILENT_S
        for caller_id, caller in list(self.callers.items()):
            if caller.seen_s < oldest_s:
                del self.callers[caller_id]


class LimitGranter:
    """Answer the reports of daemons with grants."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._leafs: dict[str, _Leaf] = {}
        # Counts the changes of limits.
        self.sequence = 0
        # Queries per second by service and daemon, and when it was reported.
        self._queries: dict[str, dict[int, tuple[float, float]]] = {}
        self._seen_s: dict[int, float] = {}

    def limits(self) -> dict[str, float]:
        """Return the limits in force by leaf name."""
        return {
            name: leaf.limit_per_s
            for name, leaf in self._leafs.items()
            if leaf.limit_per_s is not None
        }

    def callers(self, now_s: float) -> abc.Set[int]:
        """Return the daemons that have reported recently."""
        oldest_s = now_s - PRESENT_S
        self._seen_s = {
            caller_id: seen_s
            for caller_id, seen_s in self._seen_s.items()
            if seen_s >= oldest_s
        }
        return self._seen_s.keys()

    def on_report(
        self,
        caller_id: int,
        report: wire.LimitReport,
        part_ratio: float,
        now_s: float,
    ) -> wire.LimitGrants:
        """Return the grants for a report.

        ``part_ratio`` is the part of each limit that this granter may grant.
        """
        self._seen_s[caller_id] = now_s
        self._remove_ended(now_s)
        for service, per_s in report.queries.items():
            rates = self._queries.setdefault(service, {})
            rates[caller_id] = (per_s, now_s)
        counts = {}
        for demand in report.leafs:
            leaf = self._apply_statement(demand, now_s)
            if leaf.limit_per_s is not None:
                leaf.set_part(leaf.limit_per_s * part_ratio, now_s)
                counts[demand.leaf] = leaf.grant(caller_id, demand, now_s)
        reported = {demand.leaf: demand for demand in report.leafs}
        return wire.LimitGrants(
            self.sequence,
            [
                wire.LeafGrant(
                    name,
                    leaf.limit_per_s,
                    int(1e3 * (now_s - leaf.stated_s)),
                    counts.get(name, 0),
                )
                for name, leaf in self._leafs.items()
                if leaf.sequence > report.since
                or counts.get(name)
                or (name in reported and leaf.limit_per_s is None)
            ],
            self._admitted_ratios(part_ratio, now_s),
        )

    def _apply_statement(self, demand: wire.LeafDemand, now_s: float) -> _Leaf:
        """Apply what a daemon knows of a leaf; the latest reply decides."""
        stated_s = now_s - demand.age_ms / 1e3
        leaf = self._leafs.get(demand.leaf)
        if leaf is None:
            bucket = ratelimit.TokenBucket(0.0, 0.0, 0.0, now_s)
            self.sequence += 1
            leaf = _Leaf(demand.limit_per_s, stated_s, self.sequence, bucket)
            self._leafs[demand.leaf] = leaf
        elif stated_s > leaf.stated_s:
            leaf.stated_s = stated_s
            if leaf.limit_per_s != demand.limit_per_s:
                leaf.limit_per_s = demand.limit_per_s
                self.sequence += 1
                leaf.sequence = self.sequence
        return leaf

    def _remove_ended(self, now_s: float) -> None:
        """Remove leafs that have left or whose limits have ended."""
        for name, leaf in list(self._leafs.items()):
            ended = leaf.limit_per_s is None or name not in self._board.leafs
            if ended and now_s - leaf.stated_s > ENDED_KEPT_S:
                del self._leafs[name]

    def _admitted_ratios(
        self, part_ratio: float, now_s: float
    ) -> dict[str, float]:
        """Return the share of queries that each overloaded service serves."""
        accepted = {
            service: per_s * part_ratio
            for service, per_s in self._accepted_per_s().items()
        }
        oldest_s = now_s - SILENT_S
        admitted = {}
        for service, rates in list(self._queries.items()):
            wanted_per_s = sum(
                per_s for per_s, at_s in rates.values() if at_s >= oldest_s
            )
            if service not in accepted:
                del self._queries[service]
            elif wanted_per_s > ADMITTED_RATIO * accepted[service]:
                admitted[service] = (
                    ADMITTED_RATIO * accepted[service] / wanted_per_s
                )
        return admitted

    def _accepted_per_s(self) -> dict[str, float]:
        """Return what the services accept whose leafs all have a limit."""
        limits: dict[str, list[float | None]] = {}
        for name, info in self._board.settings.leafs.items():
            if self._board.leafs[name].state in blackboard.USABLE_STATES:
                leaf = self._leafs.get(name)
                limits.setdefault(info.service, []).append(
                    leaf.limit_per_s if leaf is not None else None
                )
        return {
            service: sum(limit for limit in known if limit is not None)
            for service, known in limits.items()
            if None not in known
        }
