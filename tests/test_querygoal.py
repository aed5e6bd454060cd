"""Test queries with a goal: when they end and which leafs they call."""

import typing

import testtools

from plantainhook import (
    errors,
    forwardplanner,
    goalhedging,
    quarantine,
    query,
    queryplan,
    querytypes,
    replicastate,
    routetable,
    shardmap,
    snapshot,
    steps,
    windowbudget,
)

SHARDS: typing.Final = ("s0", "s1", "s2", "s3")


class GoalCase:
    """Run one query over four shards with a leaf in each of ``zones``."""

    def __init__(
        self,
        min_coverage_ratio: float = 0.75,
        max_leafs: int = 2,
        idempotent: bool = True,
        extra_count: float = 1000.0,
        down: typing.Collection[str] = (),
        suspect: bool = False,
        zones: str = "xy",
        seed: int = 1,
    ) -> None:
        gather = routetable.Gather(SHARDS, 5, min_coverage_ratio)
        route = routetable.Route(
            "r",
            "h",
            "/a/",
            idempotent,
            800.0,
            175.0,
            max_leafs,
            1,
            gather=gather,
        )
        infos = [
            shardmap.LeafInfo(f"{shard}{z}", "a:1", z, shard, shard, 2, 9)
            for shard in SHARDS
            for z in zones
        ]
        statuses = {
            info.name: querytypes.LeafStatus(
                info, True, False, {1: frozenset((info.service,))}
            )
            for info in infos
        }
        shard_map = shardmap.ShardMap(
            "",
            1,
            {
                name: shardmap.ShardInfo(
                    name, name, tuple(f"{name}{z}" for z in zones), 1.0, ()
                )
                for name in SHARDS
            },
        )
        view = snapshot.build_target_view("", {1: shard_map}, statuses, "x")
        policies = queryplan.build_policies("x", seed)
        policies.latencies = goalhedging.PooledLatencies()
        budgets = windowbudget.WindowBudgets(
            windowbudget.WindowRules(10.0, 0.2, extra_count),
            lambda s: 1,
            -100.0,
        )
        policies.budgets = budgets
        for name in down:
            state = policies.replicas.state(statuses[name])
            state.hard_failure_count = replicastate.DOWN_FAILURES_COUNT
        if suspect:
            policies.quarantine.suspicions["f"] = quarantine.Crash(
                "s0x", -1.0, -0.9, frozenset("f"), -1.1
            )
        request = querytypes.QueryRequest("q", "r", "k", {}, "f", 0.0, 0.8)
        rules = forwardplanner.build_rules(route, 0.9)
        plan = queryplan.QueryPlan(request, rules, lambda: view)
        self.policies = policies
        self.budgets = budgets
        self.machine = query.QueryMachine(plan, policies, 0.0)
        self.sends: dict[int, querytypes.Send] = {}
        self.outcome: typing.Any = None
        self.record_actions(self.machine.start(0.0))

    def record_actions(
        self, actions: typing.Iterable[querytypes.Action]
    ) -> None:
        """Record the actions of the machine."""
        for action in actions:
            if isinstance(action, querytypes.Send):
                self.sends[action.attempt_id] = action
            if isinstance(action, querytypes.Finish):
                self.outcome = action.outcome

    def reply(self, attempt_id: int, now_s: float) -> None:
        """Pass the reply to an attempt to the machine."""
        send = self.sends[attempt_id]
        results = (querytypes.ShardResult(send.shards[0], ["part"]),)
        reply = querytypes.LeafReply("q", 1, results)
        self.record_actions(self.machine.on_reply(attempt_id, reply, now_s))

    def fail(
        self,
        attempt_id: int,
        now_s: float,
        ran: errors.Ran,
        kind: errors.LeafFailureKind = errors.LeafFailureKind.REFUSED,
    ) -> None:
        """Pass the failure of an attempt to the machine."""
        failure = errors.LeafError(
            steps.Step.QUERY_WAIT, "leaf", "failed", kind, ran
        )
        self.record_actions(
            self.machine.on_failure(attempt_id, failure, now_s)
        )

    def leafs_of(self, shard: str) -> list[str]:
        """Return the leafs to which a shard was sent."""
        return [
            send.leaf
            for send in self.sends.values()
            if send.shards[0] == shard
        ]


class GoalTest(testtools.TestCase):
    """Check when the query is answered."""

    def test_acceptable_answer_is_sent_at_the_goal(self) -> None:
        """Guard against answers that wait for stragglers after the goal."""
        case = GoalCase(min_coverage_ratio=0.75)
        for attempt_id in (1, 2, 3):
            case.reply(attempt_id, 0.02)
        self.assertIs(None, case.outcome)
        case.record_actions(case.machine.on_timer(0.17))
        self.assertEqual(1, len(case.outcome.missing_shards))

    def test_answer_below_the_minimum_coverage_waits(self) -> None:
        """Guard against a refusal while a late answer is possible."""
        case = GoalCase(min_coverage_ratio=0.75)
        case.reply(1, 0.02)
        case.reply(2, 0.02)
        case.record_actions(case.machine.on_timer(0.17))
        self.assertIs(None, case.outcome)
        case.reply(3, 0.4)
        self.assertEqual(1, len(case.outcome.missing_shards))

    def test_dead_shard_is_skipped_at_once(self) -> None:
        """Guard against waiting for a shard none of whose leafs answers.

        All leafs of one shard are down and refuse connections.
        """
        case = GoalCase(min_coverage_ratio=0.75)
        dead = case.sends[1].shards[0]
        for _ in range(20):
            open_ids = [
                attempt_id
                for attempt_id in case.sends
                if case.sends[attempt_id].shards[0] == dead
                and attempt_id in case.machine._ledger.live
            ]
            for attempt_id in open_ids:
                kind = errors.LeafFailureKind.CONNECT
                case.fail(attempt_id, 0.001, errors.Ran.NO, kind)
        for attempt_id in list(case.sends):
            if case.sends[attempt_id].shards[0] != dead:
                case.reply(attempt_id, 0.03)
        self.assertEqual((dead,), case.outcome.missing_shards)


class MaxRunsTest(testtools.TestCase):
    """Check how many leafs may run the work of one shard."""

    def test_runs_are_bounded(self) -> None:
        """Guard against more leafs than the route allows."""
        case = GoalCase(max_leafs=1)
        shard = case.sends[1].shards[0]
        case.fail(1, 0.01, errors.Ran.MAYBE)
        case.record_actions(case.machine.on_timer(0.1))
        self.assertEqual(1, len(set(case.leafs_of(shard))))

    def test_refused_work_may_go_to_another_leaf(self) -> None:
        """Guard against a refusal that counts as a run."""
        case = GoalCase(max_leafs=1)
        shard = case.sends[1].shards[0]
        case.fail(1, 0.01, errors.Ran.NO)
        self.assertEqual(2, len(set(case.leafs_of(shard))))

    def test_refusal_after_a_run_of_the_same_leaf(self) -> None:
        """Guard against a leaf that ran the work and is no longer counted.

        Pattern: the leaf that has run the work is called once more, because
        all others refused it, and then refuses it too.
        """
        for seed in range(20):
            case = GoalCase(zones="uvw", seed=seed)
            shard = case.sends[1].shards[0]
            ran_on: set[str] = set()
            refused_count = 0
            for attempt_id in range(1, 12):
                send = case.sends.get(attempt_id)
                if send is None or send.shards[0] != shard:
                    continue
                ran = errors.Ran.NO
                if refused_count >= 2 and send.leaf not in ran_on:
                    ran_on.add(send.leaf)
                    ran = errors.Ran.MAYBE
                refused_count += 1
                case.fail(attempt_id, 0.01 + attempt_id / 1e3, ran)
            self.assertTrue(0 < len(ran_on) <= 2, (seed, ran_on))

    def test_request_that_may_run_once_is_not_repeated(self) -> None:
        """Guard against a second run of a request that is not idempotent."""
        case = GoalCase(idempotent=False, min_coverage_ratio=1.0)
        shard = case.sends[1].shards[0]
        case.fail(
            1,
            0.01,
            errors.Ran.MAYBE,
            errors.LeafFailureKind.CONNECTION_LOST,
        )
        case.record_actions(case.machine.on_timer(0.17))
        self.assertEqual(1, len(case.leafs_of(shard)))

    def test_spent_budget_stops_retries(self) -> None:
        """Guard against retries beyond the shared budget."""
        case = GoalCase(extra_count=0.0)
        case.fail(1, 0.01, errors.Ran.NO)
        self.assertEqual(4, len(case.sends))


class SuspectTest(testtools.TestCase):
    """Check how a query runs that is suspected of crashing leafs."""

    def test_one_shard_is_tried_first(self) -> None:
        """Guard against a query that crashes a leaf of each shard."""
        case = GoalCase(suspect=True)
        self.assertEqual(1, len(case.sends))
        case.fail(
            1, 0.01, errors.Ran.MAYBE, errors.LeafFailureKind.CONNECTION_LOST
        )
        self.assertEqual(1, len(case.sends))
        self.assertIsInstance(case.outcome, errors.RefusalError)

    def test_answered_query_calls_the_other_shards_at_once(self) -> None:
        """Guard against a sound query that calls its shards one by one."""
        case = GoalCase(suspect=True)
        case.reply(1, 0.03)
        self.assertEqual(len(SHARDS), len(case.sends))
        for attempt_id in (2, 3, 4):
            case.reply(attempt_id, 0.06)
        self.assertEqual((), case.outcome.missing_shards)

    def test_refusing_leaf_does_not_end_the_query(self) -> None:
        """Guard against a sound query that ends with its first refusal."""
        case = GoalCase(suspect=True)
        case.fail(1, 0.01, errors.Ran.NO)
        self.assertEqual(2, len(case.sends))
        self.assertIs(None, case.outcome)

    def test_unsent_request_is_not_suspected(self) -> None:
        """Guard against suspicion of a request that a crash kept waiting."""
        case = GoalCase()
        kind = errors.LeafFailureKind.CONNECTION_LOST
        case.fail(1, 0.01, errors.Ran.NO, kind)
        self.assertEqual({}, case.policies.quarantine.losses)
