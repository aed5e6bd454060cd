"""Bookkeeping of one query: shard sets and their attempts.

A shard set is the work of one first attempt. Hedges and retries of the set
ask again for those of its shards that are still missing. The ledger opens
and closes attempts and reports each one to the shared policies.
"""

import dataclasses

from plantainhook import (
    errors,
    hedging,
    queryplan,
    querytypes,
    replicastate,
)


@dataclasses.dataclass(slots=True, eq=False)
class ShardSet:
    """Hold the shards sent together and what happened to them."""

    group: str
    missing: set[str]
    estimate: hedging.LatencyEstimate
    live: list["Attempt"] = dataclasses.field(default_factory=list)
    tried: tuple[str, ...] = ()
    barred: frozenset[str] = frozenset()
    hedge_count: int = 0
    retry_count: int = 0
    settled: bool = False
    ran_on: set[str] = dataclasses.field(default_factory=set)
    # Attempts that a leaf received or may still receive, and those of them
    # that were paid for from the load budget: all but one.
    arrival_count: int = 0
    charged_count: int = 0

    def may_run_on(self, leaf: str, max_runs_count: int | None) -> bool:
        """Return whether one more leaf may run the work of the set."""
        if max_runs_count is None or leaf in self.ran_on:
            return True
        return len(self.ran_on) < max_runs_count

    def uncovered_shards(self, attempt: "Attempt") -> set[str]:
        """Return the missing shards of an attempt that no other asks."""
        lacking = self.missing.intersection(attempt.shards)
        for other in self.live:
            lacking.difference_update(other.shards)
        return lacking

    def can_arrive(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a missing shard is likely to arrive in time.

        An attempt that took longer than the median is a straggler and
        says nothing about when it ends; a new one would need the median.
        """
        if not self.estimate.has_enough_samples():
            return True
        median_s = self.estimate.median_s
        if now_s + median_s <= deadline_s:
            return True
        return any(
            now_s < attempt.sent_s + median_s <= deadline_s
            for attempt in self.live
        )


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """Hold one call to a leaf."""

    attempt_id: int
    leaf: replicastate.ReplicaState
    shards: tuple[str, ...]
    shard_set: ShardSet
    sent_s: float
    snapshot: int


class Ledger:
    """Hold the attempts of one query and report them to the policies.

    ``ran`` states whether any leaf may have run the request.
    """

    live: dict[int, Attempt]
    lost_leafs: set[str]
    ran: errors.Ran

    def __init__(
        self, plan: queryplan.QueryPlan, policies: queryplan.QueryPolicies
    ) -> None:
        self.plan = plan
        self.policies = policies
        self.live = {}
        self.lost_leafs = set()
        self.ran = errors.Ran.NO
        self._opened_count = 0

    def open(
        self,
        shard_set: ShardSet,
        status: querytypes.LeafStatus,
        shards: tuple[str, ...],
        version: int,
        now_s: float,
    ) -> Attempt:
        """Open an attempt and count it in flight."""
        self._opened_count += 1
        policies = self.policies
        leaf = policies.replicas.on_sent(
            status, self.plan.rules.cross_zone_max_ratio
        )
        leaf.sent_s = now_s
        attempt = Attempt(
            self._opened_count, leaf, shards, shard_set, now_s, version
        )
        self.live[attempt.attempt_id] = attempt
        shard_set.live.append(attempt)
        shard_set.tried += (leaf.name,)
        shard_set.ran_on.add(leaf.name)
        shard_set.arrival_count += 1
        policies.quarantine.record_start(
            leaf.name, self.plan.request.fingerprint, now_s
        )
        return attempt

    def close(self, attempt_id: int) -> Attempt | None:
        """Close a live attempt; return None for any other."""
        attempt = self.live.pop(attempt_id, None)
        if attempt is not None:
            attempt.shard_set.live.remove(attempt)
        return attempt

    def count_dropped(self, attempt_id: int) -> None:
        """Count a reply that belongs to no live attempt."""
        if 0 < attempt_id <= self._opened_count:
            self.policies.counters.late_reply_count += 1
        else:
            self.policies.counters.crossed_reply_count += 1

    def record_executed(self, ran: errors.Ran) -> None:
        """Raise the record of whether the request ran."""
        if ran is errors.Ran.YES or self.ran is errors.Ran.NO:
            self.ran = ran

    def record_reply(self, attempt: Attempt, now_s: float) -> None:
        """Report a closed attempt that has a valid reply."""
        self.record_executed(errors.Ran.YES)
        estimate = attempt.shard_set.estimate
        latency_s = now_s - attempt.sent_s
        estimate.record(latency_s)
        self.policies.replicas.on_reply(
            attempt.leaf, latency_s, estimate.median_s, now_s
        )
        self.policies.quarantine.record_reply(
            attempt.leaf.name,
            self.plan.request.fingerprint,
            attempt.sent_s,
        )

    def record_failure(
        self, attempt: Attempt, failure: errors.LeafError, now_s: float
    ) -> None:
        """Report a closed attempt that failed."""
        self.record_executed(failure.ran)
        leaf = attempt.leaf.name
        if failure.ran is errors.Ran.NO:
            attempt.shard_set.ran_on.discard(leaf)
        if failure.unsent():
            self._refund_unsent(attempt.shard_set, now_s)
        fingerprint = self.plan.request.fingerprint
        self.policies.replicas.on_failure(
            attempt.leaf, failure.kind, attempt.snapshot, now_s
        )
        if failure.kind is errors.LeafFailureKind.CONNECTION_LOST:
            self.lost_leafs.add(leaf)
            self.policies.quarantine.record_connection_loss(
                leaf, fingerprint, now_s
            )
        else:
            self.policies.quarantine.record_end(leaf, fingerprint)
        if failure.kind is errors.LeafFailureKind.TIMEOUT:
            attempt.shard_set.estimate.record(now_s - attempt.sent_s)

    def _refund_unsent(self, shard_set: ShardSet, now_s: float) -> None:
        """Take back the charge of an attempt that no leaf received."""
        shard_set.arrival_count -= 1
        if shard_set.charged_count > max(0, shard_set.arrival_count - 1):
            shard_set.charged_count -= 1
            self.policies.budgets.refund(shard_set.group, now_s)

    def cancel(self, attempt: Attempt, now_s: float) -> querytypes.Cancel:
        """Close a live attempt and return the action that cancels it."""
        del self.live[attempt.attempt_id]
        attempt.shard_set.live.remove(attempt)
        self.record_executed(errors.Ran.MAYBE)
        estimate = attempt.shard_set.estimate
        waited_s = now_s - attempt.sent_s
        estimate.record(waited_s)
        self.policies.replicas.on_cancelled(
            attempt.leaf, waited_s, estimate.median_s, now_s
        )
        self.policies.quarantine.record_end(
            attempt.leaf.name, self.plan.request.fingerprint
        )
        return querytypes.Cancel(attempt.attempt_id)
