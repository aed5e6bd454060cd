"""Test the policies that the queries of a daemon share.

Covers quarantine, version selection, extra attempts, budgets, hedging,
replica selection and the concurrency limit.
"""

import math
import random

import testtools

from plantainhook import (
    concurrency,
    errors,
    goalhedging,
    hedging,
    loadbudget,
    quarantine,
    query,
    queryplan,
    replicas,
    snapshot,
    zones,
)
from tests import datacases, querycase


def run_quarantine(case: querycase.Table) -> dict[str, str]:
    """Apply the events of a case; return the state of each fingerprint."""
    shared = quarantine.Quarantine()
    now_s = 0.0
    for now_s, operation, leaf, *rest in case["events"]:
        if operation == "started":
            shared.record_start(leaf, rest[0], now_s)
        elif operation == "lost":
            shared.record_connection_loss(leaf, rest[0], now_s)
        elif operation == "replied":
            # The run began at the time of the event unless another is given.
            began_s = rest[1] if len(rest) > 1 else now_s
            shared.record_reply(leaf, rest[0], began_s)
        else:
            shared.record_leaf_down(leaf, now_s)
    return {
        name: shared.request_state(name, now_s).value
        for name in case["expect"]
    }


class QuarantineTest(testtools.TestCase):
    """Run the cases of quarantine.toml."""

    def test_cases(self) -> None:
        """Guard against the failure that each case describes."""
        for case in datacases.load("quarantine")["case"]:
            self.assertEqual(
                case["expect"], run_quarantine(case), case["guards_against"]
            )

    def test_suspect_is_held(self) -> None:
        """Guard against a resend that crashes one more leaf."""
        shared = quarantine.Quarantine()
        for leaf in ("a", "b", "c"):
            self.assertTrue(shared.may_run_suspect("p", 0.0))
            shared.record_start(leaf, "p", 0.0)
            shared.record_connection_loss(leaf, "p", 0.0)
        self.assertFalse(shared.may_run_suspect("p", 1.0))
        self.assertTrue(shared.may_run_suspect("p", quarantine.HOLD_S))


class SnapshotTest(testtools.TestCase):
    """Run the cases of routes.toml."""

    def test_pinned_version(self) -> None:
        """Guard against the failure that each case describes."""
        leafs = {"a": "dc-1", "b": "dc-2"}
        for case in datacases.load("routes")["case"]:
            view = querycase.build_view(
                leafs, case["versions"], case["known"], {}
            )
            self.assertEqual(
                case["pinned"] or None, view.pinned, case["guards_against"]
            )

    def test_reported_version(self) -> None:
        """Guard against a restart that has to wait for the next poll."""
        versions = {"1": {"s1": ["a"]}, "2": {"s1": ["a"]}}
        known = {"1": {"s1": ["a"]}}
        view = querycase.build_view({"a": "dc-1"}, versions, known, {})
        self.assertIs(None, snapshot.select_newer(view, 1, {}))
        reported = {"a": frozenset({2})}
        newer = snapshot.select_newer(view, 1, reported)
        self.assertEqual(1.0, newer.served_ratio() if newer else 0.0)


class ExtraAttemptTest(testtools.TestCase):
    """Check which leaf gets a hedge and when a query stops waiting."""

    def start(
        self, versions: querycase.Table, max_hedges_count: int
    ) -> tuple[query.QueryMachine, queryplan.QueryPolicies]:
        """Start a query of one second whose leafs take 100 ms."""
        leafs = {"a": "dc-1", "b": "dc-2"}
        view = querycase.build_view(leafs, versions, versions, {})
        policies = queryplan.build_policies("dc-1", 0)
        for _ in range(200):
            policies.latencies.of("g", "k").record(0.1)
        rules = querycase.build_rules({"max_hedges_count": max_hedges_count})
        plan = querycase.build_plan(view, rules)
        machine = query.QueryMachine(plan, policies, 0.0)
        machine.start(0.0)
        return machine, policies

    def texts(self, machine: query.QueryMachine, now_s: float) -> list[str]:
        """Return the actions on timer expiry except new timers."""
        texts = map(querycase.action_text, machine.on_timer(now_s))
        return [text for text in texts if not text.startswith("timer")]

    def test_third_attempt_after_a_slow_first(self) -> None:
        """Guard against a third attempt on the leaf that is slow."""
        machine, _ = self.start({"1": {"s1": ["a", "b"]}}, 2)
        self.assertEqual(["hedge 2 b s1 v1"], self.texts(machine, 0.2))
        self.assertEqual(["hedge 3 b s1 v1"], self.texts(machine, 0.4))

    def test_third_attempt_after_a_queued_first(self) -> None:
        """Guard against a third attempt on the leaf that got the second."""
        machine, policies = self.start({"1": {"s1": ["a", "b"]}}, 2)
        self.assertEqual(["hedge 2 b s1 v1"], self.texts(machine, 0.2))
        policies.replicas.states["a"].in_flight_count += 2
        self.assertEqual(["hedge 3 a s1 v1"], self.texts(machine, 0.4))

    def test_early_finish(self) -> None:
        """Guard against waiting for shards that cannot arrive in time."""
        machine, policies = self.start({"1": {"s1": ["a"], "s2": ["b"]}}, 0)
        machine.on_reply(1, querycase.build_reply(["s1"]), 0.1)
        self.assertEqual([], self.texts(machine, 0.85))
        texts = self.texts(machine, 0.95)
        self.assertIn("partial v1 0.50", texts)
        self.assertEqual(1, policies.counters.early_finish_count)


class LoadBudgetTest(testtools.TestCase):
    """Check the bound on extra load."""

    def test_ratio(self) -> None:
        """Guard against more extra attempts than the ratio allows."""
        budget = loadbudget.LoadBudget()
        spent = 0
        for _ in range(10_000):
            budget.earn(1, 0.03)
            spent += budget.spend(0.0, 0.0)
        self.assertTrue(290 <= spent <= 302, spent)

    def test_floor(self) -> None:
        """Guard against low traffic that earns no hedge at all."""
        budget = loadbudget.LoadBudget(tokens_count=0.0)
        spent = sum(budget.spend(float(t), 1.0) for t in range(1, 11))
        self.assertEqual(10, spent)


class HedgingTest(testtools.TestCase):
    """Check latency estimates and the hedge delays based on them."""

    def test_quantile(self) -> None:
        """Guard against a quantile that is off by more than 10%."""
        rng = random.Random(1)
        estimate = hedging.LatencyEstimate()
        for _ in range(3000):
            estimate.record(rng.uniform(0.0, 0.1))
        for quantile in (0.1, 0.5, 0.98):
            ratio = estimate.quantile_s(quantile) / (quantile * 0.1)
            self.assertTrue(0.9 < ratio < 1.1, (quantile, ratio))

    def test_cancelled_attempts_keep_the_delay(self) -> None:
        """Guard against a delay that shrinks as attempts are cancelled."""
        rng = random.Random(2)
        policy = hedging.POLICIES.create("adaptive")
        rules = querycase.build_rules({})
        estimate = hedging.LatencyEstimate()
        hedges = 0
        for _ in range(20_000):
            latency_s = 0.005 * math.exp(rng.gauss(0.0, 0.3))
            if rng.random() < 0.01:
                latency_s *= 10.0
            delay_s = policy.hedge_delay_s(estimate, rules)
            hedges += latency_s > delay_s
            estimate.record(min(latency_s, delay_s + 0.005))
        self.assertTrue(0.012 < hedges / 20_000 < 0.03, hedges)

    def test_policies(self) -> None:
        """Guard against a policy that the settings cannot select."""
        self.assertTrue(goalhedging.GoalPolicy.uses_load_budget)
        self.assertEqual(
            ("adaptive", "fixed", "goal", "plain"), hedging.POLICIES.names()
        )
        rules = querycase.build_rules({})
        estimate = hedging.LatencyEstimate()
        delays = {
            name: hedging.POLICIES.create(name).hedge_delay_s(estimate, rules)
            for name in hedging.POLICIES.names()
        }
        expected = {
            "adaptive": 0.02,
            "fixed": 0.02,
            "goal": 0.3 * rules.deadline_ms / 1e3,
            "plain": math.inf,
        }
        self.assertEqual(expected, delays)


class ReplicaTest(testtools.TestCase):
    """Check the choice among replicas and zones."""

    def setUp(self) -> None:
        """Build two near leafs and one far leaf."""
        super().setUp()
        leafs = {"a": "dc-1", "b": "dc-1", "c": "dc-2"}
        versions = {"1": {"s1": list(leafs)}}
        view = querycase.build_view(leafs, versions, versions, {})
        self.route = view.versions[1].routes[0]
        self.near, self.other = self.route.near
        self.replicas = replicas.ReplicaSelector(
            zones.ZonePolicy("dc-1"), random.Random(1)
        )

    def share(self, name: str, now_s: float) -> float:
        """Return the fraction of choices that select a leaf."""
        chosen = [
            self.replicas.choose(self.route.near, self.route.far, (), 1, now_s)
            for _ in range(200)
        ]
        names = [status.info.name for status in chosen if status]
        return names.count(name) / 200

    def fail_near(self, kind: str, now_s: float) -> None:
        """Record a failed call to each near leaf."""
        for status in (self.near, self.other):
            state = self.replicas.on_sent(status, 0.2)
            self.replicas.on_failure(
                state, errors.LeafFailureKind(kind), 1, now_s
            )

    def test_idle_leafs_share_the_load(self) -> None:
        """Guard against sending all calls to the first leaf of the list."""
        share = self.share("a", 0.0)
        self.assertTrue(0.35 < share < 0.65, share)
        self.assertEqual(0.0, self.share("c", 0.0))

    def test_slow_leaf(self) -> None:
        """Guard against calls to a leaf that is currently slow."""
        for number in range(50):
            state = self.replicas.on_sent(self.near, 0.2)
            self.replicas.on_reply(state, 0.05, 0.005, number * 0.01)
        self.assertEqual(0.0, self.share("a", 1.0))

    def test_failing_near_leafs(self) -> None:
        """Guard against coverage lost because of the cross-zone limit."""
        self.fail_near("connect", 0.0)
        self.assertEqual(1.0, self.share("c", 0.1))
        self.assertEqual(0.0, self.share("c", 1.0))

    def test_unanswered_leaf(self) -> None:
        """Guard against calls to a hung leaf whose health check is good."""
        for _ in range(replicas.UNANSWERED_MAX):
            state = self.replicas.on_sent(self.near, 0.2)
            self.replicas.on_cancelled(state, 0.1, 0.005, 0.0)
        self.assertEqual(0.0, self.share("a", 0.1))

    def test_invalid_replies(self) -> None:
        """Guard against a penalty for one invalid reply or none for many."""
        self.fail_near("malformed", 0.0)
        self.assertEqual(0.0, self.share("c", 0.1))
        for _ in range(replicas.UNANSWERED_MAX):
            self.fail_near("malformed", 0.1)
        self.assertEqual(1.0, self.share("c", 0.2))

    def test_partly_failing_leafs(self) -> None:
        """Guard against first calls to leafs that refuse half of them.

        The near leafs alternately refuse and answer calls, and their health
        check is good.
        """
        now_s = 0.0
        for number in range(20):
            now_s += 0.3
            for status in (self.near, self.other):
                state = self.replicas.on_sent(status, 0.2)
                if number % 2:
                    kind = errors.LeafFailureKind.REFUSED
                    self.replicas.on_failure(state, kind, 1, now_s)
                else:
                    self.replicas.on_reply(state, 0.005, 0.005, now_s)
        self.assertEqual(1.0, self.share("c", now_s + 0.6))
        self.assertEqual(0.0, self.share("c", now_s + 30.0))

    def test_one_failure_does_not_outweigh_a_slow_leaf(self) -> None:
        """Guard against calls to a hanging leaf after one failure elsewhere.

        One near leaf hangs, and the other has refused a single call.
        """
        state = self.replicas.on_sent(self.near, 0.2)
        kind = errors.LeafFailureKind.REFUSED
        self.replicas.on_failure(state, kind, 1, 0.0)
        self.replicas.state(self.other).slowdown = 2.0
        self.assertEqual(1.0, self.share("a", 0.5))

    def test_not_served(self) -> None:
        """Guard against repeated calls for a version that a leaf lacks."""
        self.fail_near("not_served", 0.0)
        self.assertEqual(1.0, self.share("c", 0.5))
        self.assertEqual(0.0, self.share("c", 1.5))

    def test_cap_on_spill(self) -> None:
        """Guard against more optional cross-zone calls than allowed."""
        for status in (self.near, self.other):
            state = self.replicas.state(status)
            state.in_flight_count = 20
        crossed = 0
        for _ in range(1000):
            chosen = self.replicas.choose(
                self.route.near, self.route.far, (), 1, 0.0
            )
            self.assertIsNot(None, chosen)
            if chosen is not None:
                crossed += chosen.info.name == "c"
                state = self.replicas.on_sent(chosen, 0.2)
                state.in_flight_count -= 1
        self.assertTrue(0.17 < crossed / 1000 < 0.21, crossed)


class ConcurrencyTest(testtools.TestCase):
    """Check the concurrency limit of a leaf."""

    def test_limit(self) -> None:
        """Guard against a limit that never shrinks or never grows."""
        limit = concurrency.build_limit(2, 25)
        self.assertEqual(8.0, limit.limit_count)
        for number in range(10):
            limit.on_overload(float(number))
        self.assertTrue(limit.limit_count < 2.0)
        for _ in range(2000):
            limit.on_success(int(limit.limit_count))
        self.assertEqual(25.0, limit.limit_count)
