"""Test the benchmark: safety, stated targets and defect detection."""

import contextlib
import dataclasses
import io
import json
import typing

import testtools

from plantainhook import (
    bench,
    benchscenarios,
    benchsim,
    cli,
    errors,
    query,
    queryplan,
    querytypes,
)

KIND_KEYS: typing.Final = {
    "requests",
    "complete",
    "partial",
    "refused",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage_mean",
    "coverage_min",
    "extra_load_ratio",
    "goodput_ratio",
    *bench.SAFETY_KEYS,
}


def simulate(
    name: str,
    requests: int,
    machine_factory: benchsim.MachineFactory = query.QueryMachine,
    reply_fault_ratio: float | None = None,
) -> benchsim.Simulation:
    """Run a scenario with the adaptive hedging policy and seed 1."""
    scenario = benchscenarios.SCENARIOS.create(name)
    scenario = dataclasses.replace(scenario, request_count=requests)
    if reply_fault_ratio is not None:
        scenario = dataclasses.replace(
            scenario, reply_fault_ratio=reply_fault_ratio
        )
    return bench.run(scenario, "adaptive", 1, machine_factory)


def total_count(simulation: benchsim.Simulation, counter: str) -> int:
    """Return the sum of a safety counter over all kinds."""
    kinds = simulation.observer.kinds.values()
    return sum(getattr(stats, counter) for stats in kinds)


def build_machine_that_repeats(
    plan: queryplan.QueryPlan,
    policies: queryplan.QueryPolicies,
    now_s: float,
) -> query.QueryMachine:
    """Build a machine that ignores that a kind is not idempotent.

    It hedges and retries all requests.
    """
    rules = dataclasses.replace(plan.rules, idempotent=True)
    plan = dataclasses.replace(plan, rules=rules)
    return query.QueryMachine(plan, policies, now_s)


class FalseOutcomeMachine(query.QueryMachine):
    """Report every answer as complete and every refusal as not run."""

    def _finish(
        self,
        outcome: querytypes.Answer | errors.RefusalError,
        actions: list[querytypes.Action],
        now_s: float,
    ) -> list[querytypes.Action]:
        if isinstance(outcome, errors.RefusalError):
            outcome.ran = errors.Ran.NO
        else:
            outcome = dataclasses.replace(
                outcome, complete=True, coverage_ratio=1.0, missing_shards=()
            )
        return super()._finish(outcome, actions, now_s)


class AnyVersionMachine(query.QueryMachine):
    """Merge replies of other requests and versions."""

    def on_reply(
        self, attempt_id: int, reply: querytypes.LeafReply, now_s: float
    ) -> list[querytypes.Action]:
        """Relabel the reply so that it passes the checks."""
        live = self._ledger.live.get(attempt_id)
        if live is not None:
            reply = querytypes.LeafReply(
                self.plan.request.request_id, live.snapshot, reply.results
            )
        return super().on_reply(attempt_id, reply, now_s)


class LateMergeMachine(query.QueryMachine):
    """Merge replies to attempts that have already ended."""

    def on_reply(
        self, attempt_id: int, reply: querytypes.LeafReply, now_s: float
    ) -> list[querytypes.Action]:
        """Add the results of a late reply to those already merged."""
        if attempt_id not in self._ledger.live:
            for item in reply.results:
                merged = self.merge.results.setdefault(item.shard, [])
                merged.extend(item.items)
        return super().on_reply(attempt_id, reply, now_s)


class SafetyTest(testtools.TestCase):
    """Run short scenarios whose faults occur in the first seconds."""

    def test_safety_counters(self) -> None:
        """Guard against each violation that the observer can detect."""
        for name in ("poison", "version-change", "group-outage"):
            simulation = simulate(name, 1000, reply_fault_ratio=0.02)
            self.assertEqual(
                0, bench.count_safety_violations(simulation), name
            )

    def test_no_innocent_request_in_quarantine(self) -> None:
        """Guard against quarantine of requests that did not cause a crash.

        In this scenario leafs also crash for other reasons.
        """
        figures = bench.run_figures(simulate("poison", 2000))
        self.assertEqual(0, figures["innocent_quarantined"])
        self.assertEqual(
            figures["poison_requests"], figures["poison_quarantined"]
        )

    def test_same_seed_same_report(self) -> None:
        """Guard against figures that are not repeatable."""
        first, second = (
            bench.report("dasom", "adaptive", 1, simulate("dasom", 200))
            for _ in range(2)
        )
        self.assertEqual(first, second)


class StatedTargetsTest(testtools.TestCase):
    """Check the stated targets on short runs."""

    def test_fan_out(self) -> None:
        """Guard against a tail latency or extra load above the target."""
        for name in ("fanout160", "fanout160-500"):
            simulation = simulate(name, 200)
            figures = bench.kind_figures(simulation, "search")
            self.assertTrue(figures["p99_ms"] <= 59.0, (name, figures))
            self.assertTrue(figures["extra_load_ratio"] <= 0.03, figures)

    def test_group_outage(self) -> None:
        """Guard against a retry storm during the outage of a group."""
        figures = bench.run_figures(simulate("group-outage", 1200))
        self.assertTrue(figures["group_amplification"] <= 1.1, figures)


class DefectTest(testtools.TestCase):
    """Inject a defect and expect the observer to count it."""

    def test_hedged_although_not_idempotent(self) -> None:
        """Guard against an observer that misses a second run."""
        simulation = simulate("lossy-zone", 800, build_machine_that_repeats)
        self.assertNotEqual(0, total_count(simulation, "ran_more_than_once"))

    def test_false_outcomes(self) -> None:
        """Guard against an observer that trusts what daemons report."""
        simulation = simulate("poison", 1500, FalseOutcomeMachine)
        self.assertNotEqual(0, total_count(simulation, "coverage_misreported"))
        self.assertNotEqual(0, total_count(simulation, "false_not_run"))

    def test_other_version_merged(self) -> None:
        """Guard against an observer that misses mixed snapshots."""
        simulation = simulate("dasom", 300, AnyVersionMachine, 0.05)
        self.assertNotEqual(0, total_count(simulation, "snapshot_mixed"))
        self.assertNotEqual(0, total_count(simulation, "coverage_misreported"))

    def test_late_reply_counted(self) -> None:
        """Guard against an observer that misses results merged twice."""
        simulation = simulate("dasom", 300, LateMergeMachine, 0.1)
        self.assertNotEqual(0, total_count(simulation, "coverage_misreported"))

    def test_connections_over_limit(self) -> None:
        """Guard against an observer that misses too many connections."""
        scenario = benchscenarios.SCENARIOS.create("overload-2x")
        scenario = dataclasses.replace(
            scenario,
            request_count=300,
            admission_limits=None,
            leafs=tuple(
                dataclasses.replace(leaf, connection_limit_count=3)
                for leaf in scenario.leafs
            ),
        )
        simulation = benchsim.Simulation(scenario, "adaptive", 1)
        for leaf in simulation.leafs.values():
            leaf.pool_limit_count = 4
        simulation.run()
        self.assertNotEqual(0, simulation.observer.connections_over_limit)


class CommandTest(testtools.TestCase):
    """Check the command ``bench``."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run the command and return its exit code and output."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = cli.run(["bench", *arguments])
        return code, output.getvalue()

    def test_json_keys(self) -> None:
        """Guard against a report without one of the agreed keys."""
        code, text = self.run_command(
            "--scenario", "utility", "--requests", "60", "--json"
        )
        self.assertEqual(0, code)
        for figures in json.loads(text)["kinds"].values():
            self.assertEqual(KIND_KEYS, set(figures))

    def test_list(self) -> None:
        """Guard against a scenario that is missing from the list."""
        code, text = self.run_command("--list")
        self.assertEqual(0, code)
        names = [line.split()[0] for line in text.splitlines()]
        self.assertEqual(sorted([*bench.scenario_names(), "cpu"]), names)

    def test_unknown_scenario(self) -> None:
        """Guard against a usage error with the exit code of success."""
        with contextlib.redirect_stderr(io.StringIO()):
            code, _ = self.run_command("--scenario", "none")
        self.assertEqual(2, code)
