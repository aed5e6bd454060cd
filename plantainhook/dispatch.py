"""Send the first attempts, hedges and retries of one query.

``query.QueryMachine`` owns a dispatcher. The dispatcher holds the shard sets
of the query and decides which extra attempts the rules, the hedge policy and
the load budget allow. Its methods append the resulting actions to a list.
"""

import dataclasses
import heapq
import math
import typing
from collections import abc

from plantainhook import (
    attempts,
    errors,
    hedging,
    quarantine,
    queryplan,
    querytypes,
    routing,
    snapshot,
)

Actions = list[querytypes.Action]

# A delay of zero would send all hedges of a shard set at once.
HEDGE_DELAY_MIN_S: typing.Final = 0.001


@dataclasses.dataclass(slots=True)
class Group:
    """Store the estimate and hedge delay of a group's shard sets."""

    estimate: hedging.LatencyEstimate
    delay_s: float


class Dispatcher:
    """Send the work of one query to leafs.

    ``one_at_a_time`` is set for a request that may crash leafs; such a
    request is neither hedged nor retried. ``reported_versions`` holds, by
    leaf, the index versions named in the leaf's 409 reply. ``lost_shards``
    holds the shards for which no attempt is left.
    """

    ledger: attempts.Ledger
    view: snapshot.VersionView
    shard_sets: list[attempts.ShardSet]
    open_set_count: int
    one_at_a_time: bool
    reported_versions: dict[str, frozenset[int]]
    lost_shards: set[str]

    def __init__(
        self,
        plan: queryplan.QueryPlan,
        policies: queryplan.QueryPolicies,
        policy: hedging.HedgePolicy,
    ) -> None:
        self.ledger = attempts.Ledger(plan, policies)
        self.view = snapshot.NO_VERSION
        self.shard_sets = []
        self.open_set_count = 0
        self.one_at_a_time = False
        self.reported_versions = {}
        self.lost_shards = set()
        self._plan = plan
        self._policies = policies
        self._policy = policy
        # A heap of hedge times, each with the index of its shard set.
        self._hedge_queue: list[tuple[float, int]] = []
        self._groups: dict[str, Group] = {}
        self._is_restarted = False

    def pin(self, view: snapshot.VersionView) -> None:
        """Set the index version of all further attempts."""
        self.view = view

    def restart(self) -> None:
        """Discard all shard sets, whose attempts must be cancelled first."""
        self.shard_sets = []
        self.open_set_count = 0
        self.lost_shards = set()
        self._hedge_queue = []
        self._is_restarted = True

    def next_hedge_s(self) -> float | None:
        """Return the time of the next hedge, or None if none is scheduled."""
        return self._hedge_queue[0][0] if self._hedge_queue else None

    def send_due_hedges(self, actions: Actions, now_s: float) -> None:
        """Hedge every shard set whose hedge delay has passed."""
        while self._hedge_queue and self._hedge_queue[0][0] <= now_s:
            index = heapq.heappop(self._hedge_queue)[1]
            self._hedge(index, actions, now_s)

    def close_if_done(self, shard_set: attempts.ShardSet) -> None:
        """Close a shard set that has no live attempt.

        Its missing shards are lost.
        """
        if not shard_set.closed and not shard_set.live:
            shard_set.closed = True
            self.open_set_count -= 1
            self.lost_shards |= shard_set.missing

    def send_first(
        self,
        assignment: routing.Assignment,
        reason: querytypes.AttemptReason,
        actions: Actions,
        now_s: float,
    ) -> None:
        """Send the first attempt of a new shard set; schedule its hedge."""
        group = self._groups.get(assignment.group)
        if group is None:
            group = self._add_group(assignment.group)
        shard_set = attempts.ShardSet(
            assignment.group, set(assignment.shards), group.estimate
        )
        self.shard_sets.append(shard_set)
        self.open_set_count += 1
        if reason is querytypes.AttemptReason.FIRST:
            self._policies.counters.first_count += 1
            ratio = self._plan.rules.extra_load_ratio
            self._policies.budgets.earn(assignment.group, 1, ratio, now_s)
        self._send(shard_set, assignment, reason, actions, now_s)
        if group.delay_s < math.inf:
            self._schedule_hedge(
                len(self.shard_sets) - 1, now_s + group.delay_s
            )

    def _add_group(self, name: str) -> Group:
        """Set up the estimate and the hedge delay of a group."""
        kind = self._plan.request.kind
        estimate = self._policies.latencies.of(name, kind)
        delay_s = math.inf
        if self._may_hedge():
            rules = self._plan.rules
            delay_s = self._policy.hedge_delay_s(estimate, rules)
        group = self._groups[name] = Group(estimate, delay_s)
        return group

    def _send(
        self,
        shard_set: attempts.ShardSet,
        assignment: routing.Assignment,
        reason: querytypes.AttemptReason,
        actions: Actions,
        now_s: float,
    ) -> None:
        version = self.view.shard_map.version
        attempt = self.ledger.open(
            shard_set, assignment.status, assignment.shards, version, now_s
        )
        actions.append(
            querytypes.Send(
                attempt.attempt_id,
                assignment.status.info.name,
                assignment.shards,
                version,
                self._plan.request.deadline_s,
                reason,
                attempt.delivery,
            )
        )

    def _may_hedge(self) -> bool:
        return (
            self._plan.rules.idempotent
            and not self.one_at_a_time
            and self._policy.max_hedges(self._plan.rules) > 0
        )

    def _schedule_hedge(self, index: int, at_s: float) -> None:
        if at_s < self._plan.request.deadline_s:
            heapq.heappush(self._hedge_queue, (at_s, index))

    def _hedge(self, index: int, actions: Actions, now_s: float) -> None:
        shard_set = self.shard_sets[index]
        rules = self._plan.rules
        if (
            shard_set.closed
            or not shard_set.live
            or self._may_crash_leafs(now_s)
        ):
            return
        sent = self._send_to_other_replicas(
            shard_set,
            shard_set.missing,
            querytypes.AttemptReason.HEDGE,
            actions,
            now_s,
        )
        if sent:
            shard_set.hedge_count += 1
            self._policies.counters.hedge_count += 1
        if shard_set.hedge_count < self._policy.max_hedges(rules):
            delay_s = self._policy.hedge_delay_s(shard_set.estimate, rules)
            self._schedule_hedge(
                index, now_s + max(delay_s, HEDGE_DELAY_MIN_S)
            )

    def _send_to_other_replicas(
        self,
        shard_set: attempts.ShardSet,
        shards: abc.Set[str],
        reason: querytypes.AttemptReason,
        actions: Actions,
        now_s: float,
    ) -> bool:
        """Send shards to other replicas as far as the budget allows.

        Returns whether anything was sent.
        """
        assignments = routing.assign_again(
            self._current_view(),
            shard_set,
            shards,
            self._policies.replicas,
            reason is querytypes.AttemptReason.HEDGE,
            now_s,
        )
        sent = False
        max_runs_count = self._plan.rules.max_runs_count
        for assignment in assignments:
            leaf = assignment.status.info.name
            if not shard_set.may_run_on(leaf, max_runs_count):
                continue
            is_hedge = reason is querytypes.AttemptReason.HEDGE
            if is_hedge and not self._may_hedge_to(assignment, now_s):
                continue
            if not self._charge(shard_set, reason, now_s):
                break
            self._send(shard_set, assignment, reason, actions, now_s)
            sent = True
        return sent

    def _may_hedge_to(
        self, assignment: routing.Assignment, now_s: float
    ) -> bool:
        replicas = self._policies.replicas
        if not replicas.limits.may_hedge(assignment.status.info.name):
            return False
        return not replicas.state(assignment.status).is_down(now_s)

    def _charge(
        self,
        shard_set: attempts.ShardSet,
        reason: querytypes.AttemptReason,
        now_s: float,
    ) -> bool:
        """Charge an attempt to the load budget; return whether it is paid.

        The attempt is free if no leaf has received an earlier one.

        Pattern: leafs are down and refuse connections. A call that never
        reached a leaf adds no load, so the budget is kept for retries of
        calls that did.
        """
        if not self._policy.uses_load_budget or shard_set.delivered_count == 0:
            return True
        floor = self._plan.rules.extra_load_floor_per_s
        budgets = self._policies.budgets
        spend = budgets.spend_retry
        if reason is querytypes.AttemptReason.HEDGE:
            spend = budgets.spend_hedge
        if spend(shard_set.group, now_s, floor, self._plan.rank):
            shard_set.charged_count += 1
            return True
        self._policies.counters.budget_denied_count += 1
        return False

    def _current_view(self) -> snapshot.VersionView:
        """Return the current routes of the pinned version.

        After a restart they include the versions that 409 replies named.
        """
        latest = self._plan.latest_view()
        version = self.view.shard_map.version
        if self._is_restarted:
            return snapshot.build_version_view(
                self.view.shard_map,
                latest.leafs,
                latest.data_centre,
                self.reported_versions,
            )
        return latest.versions.get(version, self.view)

    def retry(
        self,
        shard_set: attempts.ShardSet,
        shards: set[str],
        ran: errors.Ran,
        actions: Actions,
        now_s: float,
    ) -> None:
        """Send missing shards again if the rules and the budget allow it.

        ``ran`` states whether the ended attempt may have run.
        """
        rules = self._plan.rules
        if not rules.idempotent and ran is not errors.Ran.NO:
            return
        if shard_set.retry_count >= self._policy.max_retries(rules):
            return
        if now_s >= self._plan.request.deadline_s or self._may_crash_leafs(
            now_s
        ):
            return
        reason = querytypes.AttemptReason.RETRY
        if self._send_to_other_replicas(
            shard_set, shards, reason, actions, now_s
        ):
            shard_set.retry_count += 1
            self._policies.counters.retry_count += 1

    def _may_crash_leafs(self, now_s: float) -> bool:
        if self.one_at_a_time:
            return True
        state = self._policies.quarantine.request_state(
            self._plan.request.fingerprint, now_s
        )
        return state is not quarantine.RequestState.CLEAR
