"""Track the shard sets of one query and their attempts.

A shard set holds the shards that one first attempt requests from a leaf.
Hedges and retries of the set request those of its shards that are still
missing. The ledger opens and closes attempts and reports each of them to the
policies that all queries of a daemon share.
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
    """Track the shards that were sent to a leaf in one first attempt.

    ``missing`` holds the shards not merged yet and ``live`` the attempts
    that have not ended. ``tried`` names the leafs in the order in which
    attempts were sent to them, ``excluded`` the leafs that do not serve the
    pinned version. ``ran_on`` names the leaf of each attempt that may have
    run the work, so a leaf may be in it more than once.
    """

    group: str
    missing: set[str]
    estimate: hedging.LatencyEstimate
    live: list["Attempt"] = dataclasses.field(default_factory=list)
    tried: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    hedge_count: int = 0
    retry_count: int = 0
    closed: bool = False
    ran_on: list[str] = dataclasses.field(default_factory=list)
    # The number of attempts that a leaf received or may still receive, and of
    # those that were charged to the load budget: all but the first one.
    delivered_count: int = 0
    charged_count: int = 0

    def may_run_on(self, leaf: str, max_runs_count: int | None) -> bool:
        """Return whether a leaf may run the work of the set.

        ``max_runs_count`` limits how many leafs may run it; None sets no
        limit.
        """
        if max_runs_count is None or leaf in self.ran_on:
            return True
        return len(set(self.ran_on)) < max_runs_count

    def uncovered_shards(self, attempt: "Attempt") -> set[str]:
        """Return an attempt's missing shards that no live attempt covers."""
        shards = self.missing.intersection(attempt.shards)
        for other in self.live:
            shards.difference_update(other.shards)
        return shards

    def can_reply_in_time(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a leaf is likely to reply before the deadline.

        An attempt that has taken longer than the median latency is a
        straggler, and its end cannot be predicted. A new attempt would take
        about the median.
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
    """Represent one call to a leaf for some shards of a shard set.

    ``snapshot`` is the index version that the call requests.
    """

    attempt_id: int
    leaf: replicastate.ReplicaState
    shards: tuple[str, ...]
    shard_set: ShardSet
    sent_s: float
    snapshot: int
    delivery: querytypes.Delivery = dataclasses.field(
        default_factory=querytypes.Delivery
    )


class Ledger:
    """Track the attempts of one query and report them to the policies.

    ``live`` holds the attempts that have not ended, by attempt id, and
    ``lost_leafs`` the leafs whose connection dropped. ``ran`` states whether
    any leaf may have run the request.
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
        """Open an attempt and report it as in flight."""
        self._opened_count += 1
        policies = self.policies
        leaf = policies.replicas.on_sent(
            status, self.plan.rules.cross_zone_max_ratio
        )
        leaf.sent_s = now_s
        policies.replicas.limits.take(leaf.name, now_s)
        attempt = Attempt(
            self._opened_count, leaf, shards, shard_set, now_s, version
        )
        self.live[attempt.attempt_id] = attempt
        shard_set.live.append(attempt)
        shard_set.tried += (leaf.name,)
        shard_set.ran_on.append(leaf.name)
        shard_set.delivered_count += 1
        policies.quarantine.record_start(
            leaf.name, self.plan.request.fingerprint, now_s
        )
        return attempt

    def close(self, attempt_id: int) -> Attempt | None:
        """Close and return a live attempt; return None if it is not live."""
        attempt = self.live.pop(attempt_id, None)
        if attempt is not None:
            attempt.shard_set.live.remove(attempt)
        return attempt

    def count_dropped_reply(self, attempt_id: int) -> None:
        """Count a reply to an attempt that is not live.

        It is late if the attempt has ended, and crossed if this query has
        opened no attempt with the id.
        """
        if 0 < attempt_id <= self._opened_count:
            self.policies.counters.late_reply_count += 1
        else:
            self.policies.counters.crossed_reply_count += 1

    def record_executed(self, ran: errors.Ran) -> None:
        """Raise ``ran`` to the given state; it is never lowered."""
        if ran is errors.Ran.YES or self.ran is errors.Ran.NO:
            self.ran = ran

    def record_reply(self, attempt: Attempt, now_s: float) -> None:
        """Report a closed attempt that got a valid reply."""
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
            # An earlier attempt on the same leaf may have run.
            attempt.shard_set.ran_on.remove(leaf)
        if failure.is_unsent():
            self._refund_unsent(attempt.shard_set, now_s)
        fingerprint = self.plan.request.fingerprint
        self.policies.replicas.on_failure(
            attempt.leaf, failure.kind, attempt.snapshot, now_s
        )
        if failure.kind is errors.LeafFailureKind.CONNECTION_LOST:
            self.lost_leafs.add(leaf)
        if (
            failure.kind is errors.LeafFailureKind.CONNECTION_LOST
            and not failure.is_unsent()
        ):
            self.policies.quarantine.record_connection_loss(
                leaf, fingerprint, now_s
            )
        elif failure.kind is errors.LeafFailureKind.TIMEOUT:
            self.policies.quarantine.record_abandoned(
                leaf, fingerprint, attempt.sent_s, now_s
            )
        else:
            self.policies.quarantine.record_end(leaf, fingerprint)
        if failure.kind is errors.LeafFailureKind.TIMEOUT:
            attempt.shard_set.estimate.record(now_s - attempt.sent_s)

    def _refund_unsent(self, shard_set: ShardSet, now_s: float) -> None:
        """Refund the charge for an attempt that no leaf received."""
        shard_set.delivered_count -= 1
        if shard_set.charged_count > max(0, shard_set.delivered_count - 1):
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
        leaf, fingerprint = attempt.leaf.name, self.plan.request.fingerprint
        if attempt.delivery.is_sent:
            self.policies.quarantine.record_abandoned(
                leaf, fingerprint, attempt.sent_s, now_s
            )
        else:
            self.policies.quarantine.record_end(leaf, fingerprint)
        return querytypes.Cancel(attempt.attempt_id)
