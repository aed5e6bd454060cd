"""Benchmark: safety, stated targets, and defects that it must catch."""

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
    """Run a scenario with the adaptive policy and seed 1."""
    scenario = benchscenarios.SCENARIOS.create(name)
    scenario = dataclasses.replace(scenario, request_count=requests)
    if reply_fault_ratio is not None:
        scenario = dataclasses.replace(
            scenario, reply_fault_ratio=reply_fault_ratio
        )
    return bench.run(scenario, "adaptive", 1, machine_factory)


def total(simulation: benchsim.Simulation, counter: str) -> int:
    """Return a safety counter summed over all kinds."""
    kinds = simulation.observer.kinds.values()
    return sum(getattr(stats, counter) for stats in kinds)


def with_idempotent_rules(
    plan: queryplan.QueryPlan,
    policies: queryplan.QueryPolicies,
    now_s: float,
) -> query.QueryMachine:
    """Build a machine that hedges and retries whatever the rules say."""
    rules = dataclasses.replace(plan.rules, idempotent=True)
    plan = dataclasses.replace(plan, rules=rules)
    return query.QueryMachine(plan, policies, now_s)


class FalseOutcomes(query.QueryMachine):
    """Report every query as complete and every refusal as not run."""

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


class AnyVersion(query.QueryMachine):
    """Merge replies whatever their request and version are."""

    def on_reply(
        self, attempt_id: int, reply: querytypes.LeafReply, now_s: float
    ) -> list[querytypes.Action]:
        """Relabel the reply so that the checks pass."""
        live = self._ledger.live.get(attempt_id)
        if live is not None:
            reply = querytypes.LeafReply(
                self.plan.request.request_id, live.snapshot, reply.results
            )
        return super().on_reply(attempt_id, reply, now_s)


class LateMerging(query.QueryMachine):
    """Merge replies of attempts that have ended."""

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
    """Run short scenarios in which faults fall into the first seconds."""

    def test_safety_counters(self) -> None:
        """Guards against any violation that the observer can see."""
        for name in ("poison", "version-change", "group-outage"):
            simulation = simulate(name, 1000, reply_fault_ratio=0.02)
            self.assertEqual(
                0, bench.count_safety_violations(simulation), name
            )

    def test_no_innocent_request_in_quarantine(self) -> None:
        """Guards against quarantine after crashes with other causes."""
        figures = bench.run_figures(simulate("poison", 2000))
        self.assertEqual(0, figures["innocent_quarantined"])
        self.assertEqual(
            figures["poison_requests"], figures["poison_quarantined"]
        )

    def test_same_seed_same_report(self) -> None:
        """Guards against figures that nobody can repeat."""
        first, second = (
            bench.report("dasom", "adaptive", 1, simulate("dasom", 200))
            for _ in range(2)
        )
        self.assertEqual(first, second)


class TargetTest(testtools.TestCase):
    """Check the stated targets on short runs."""

    def test_fan_out(self) -> None:
        """Guards against a tail or an extra load above the target."""
        for name in ("fanout160", "fanout160-500"):
            simulation = simulate(name, 200)
            figures = bench.kind_figures(simulation, "search")
            self.assertTrue(figures["p99_ms"] <= 59.0, (name, figures))
            self.assertTrue(figures["extra_load_ratio"] <= 0.03, figures)

    def test_group_outage(self) -> None:
        """Guards against a storm of retries when a group is out."""
        figures = bench.run_figures(simulate("group-outage", 1200))
        self.assertTrue(figures["group_amplification"] <= 1.1, figures)


class DefectTest(testtools.TestCase):
    """Switch a defect on and expect the observer to count it."""

    def test_hedged_although_not_idempotent(self) -> None:
        """Guards against an observer that misses a second run."""
        simulation = simulate("lossy-zone", 800, with_idempotent_rules)
        self.assertNotEqual(0, total(simulation, "ran_more_than_once"))

    def test_false_outcomes(self) -> None:
        """Guards against an observer that believes what answers claim."""
        simulation = simulate("poison", 1500, FalseOutcomes)
        self.assertNotEqual(0, total(simulation, "coverage_misreported"))
        self.assertNotEqual(0, total(simulation, "false_not_run"))

    def test_other_version_merged(self) -> None:
        """Guards against an observer that misses a mixed snapshot."""
        simulation = simulate("dasom", 300, AnyVersion, 0.05)
        self.assertNotEqual(0, total(simulation, "snapshot_mixed"))
        self.assertNotEqual(0, total(simulation, "coverage_misreported"))

    def test_late_reply_counted(self) -> None:
        """Guards against an observer that misses a second merge."""
        simulation = simulate("dasom", 300, LateMerging, 0.1)
        self.assertNotEqual(0, total(simulation, "coverage_misreported"))

    def test_connections_over_limit(self) -> None:
        """Guards against an observer that misses a crowded leaf."""
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
    """Check the command line of the benchmark."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run the command and return its code and output."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = cli.run(["bench", *arguments])
        return code, output.getvalue()

    def test_json_keys(self) -> None:
        """Guards against a report that lacks an agreed key."""
        code, text = self.run_command(
            "--scenario", "utility", "--requests", "60", "--json"
        )
        self.assertEqual(0, code)
        for figures in json.loads(text)["kinds"].values():
            self.assertEqual(KIND_KEYS, set(figures))

    def test_list(self) -> None:
        """Guards against a scenario that is not listed by its name."""
        code, text = self.run_command("--list")
        self.assertEqual(0, code)
        names = [line.split()[0] for line in text.splitlines()]
        self.assertEqual(sorted([*bench.scenario_names(), "cpu"]), names)

    def test_unknown_scenario(self) -> None:
        """Guards against a usage error that exits as success."""
        with contextlib.redirect_stderr(io.StringIO()):
            code, _ = self.run_command("--scenario", "none")
        self.assertEqual(2, code)
