"""Simulate one daemon, its callers and fake leafs for the benchmark.

The simulation takes a scenario, a hedging policy and a seed. It generates
arrivals, runs the real ``query.QueryMachine`` for each request, sends its
calls to ``benchleaf.FakeLeaf`` objects, and reports calls and outcomes to
``benchobserver.Observer``. There is no I/O: events wait in a heap ordered by
virtual time, so the same scenario, policy and seed always give the same run.
A change in the order of random draws changes every figure of the benchmark.

``machine_factory`` lets tests substitute a machine with a defect, to verify
that the observer detects it.
"""

import dataclasses
import heapq
import math
import random
import typing
from collections import abc

from plantainhook import (
    benchadmission,
    benchfaults,
    benchleaf,
    benchobserver,
    benchtypes,
    errors,
    query,
    queryplan,
    querytypes,
    snapshot,
)

POLL_INTERVAL_S: typing.Final = 1.0
DUPLICATE_DELAY_S: typing.Final = 0.001
RESEND_DELAY_S: typing.Final = 0.5
MAX_RESEND_COUNT: typing.Final = 10
UNKNOWN_ATTEMPT_ID: typing.Final = 1_000_000

Callback = abc.Callable[[], None]
MachineFactory = abc.Callable[
    [queryplan.QueryPlan, queryplan.QueryPolicies, float], query.QueryMachine
]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a request of a caller before it is planned."""

    kind: benchtypes.KindSpec
    number: int
    poison: bool
    resend_count: int = 0


class RunningQuery:
    """Execute the actions of one query machine on the fake leafs."""

    record: benchobserver.QueryRecord
    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules

    def __init__(
        self,
        simulation: "Simulation",
        arrival: Arrival,
        rules: querytypes.EffectiveRules,
        request: querytypes.QueryRequest,
    ) -> None:
        self.simulation = simulation
        self.arrival = arrival
        self.rules = rules
        self.request = request
        self.record = benchobserver.QueryRecord(
            request,
            rules.idempotent,
            request.arrived_s,
            simulation.scenario.maps[request.target],
        )
        self._calls: dict[int, benchleaf.Call] = {}
        self._timer_number = 0
        plan = queryplan.QueryPlan(
            request, rules, lambda: simulation.views[request.target]
        )
        self._machine = simulation.machine_factory(
            plan, simulation.policies, request.arrived_s
        )

    def start(self) -> None:
        """Start the machine."""
        self._execute_actions(self._machine.start(self.simulation.now_s))

    def refuse(self, refusal: errors.RefusalError) -> None:
        """End a query that was not admitted."""
        self.simulation.finish(self, refusal)

    def on_reply(
        self, call: benchleaf.Call, reply: querytypes.LeafReply
    ) -> None:
        """Pass a reply to the machine, with a fault in some of the replies.

        ``Scenario.reply_fault_ratio`` of the replies are duplicated or
        altered.
        """
        simulation = self.simulation
        ratio = simulation.scenario.reply_fault_ratio
        if ratio and simulation.reply_fault_rng.random() < ratio:
            reply = self._inject_reply_fault(call, reply)
        self._pass_reply(call.attempt_id, reply)

    def on_failure(
        self, call: benchleaf.Call, failure: errors.LeafError
    ) -> None:
        """Pass the failure of a call to the machine."""
        self._execute_actions(
            self._machine.on_failure(
                call.attempt_id, failure, self.simulation.now_s
            )
        )

    def _pass_reply(
        self, attempt_id: int, reply: querytypes.LeafReply
    ) -> None:
        self._execute_actions(
            self._machine.on_reply(attempt_id, reply, self.simulation.now_s)
        )

    def _inject_reply_fault(
        self, call: benchleaf.Call, reply: querytypes.LeafReply
    ) -> querytypes.LeafReply:
        fault_number = self.simulation.reply_fault_rng.randrange(5)
        if fault_number == 0:
            self.simulation.schedule(
                DUPLICATE_DELAY_S,
                lambda: self._pass_reply(call.attempt_id, reply),
            )
            return reply
        if fault_number == 1:
            self._pass_reply(UNKNOWN_ATTEMPT_ID, reply)
            return reply
        if fault_number == 2:
            return build_mismatched_reply(reply, "other", reply.snapshot)
        if fault_number == 3:
            request_id = reply.request_id
            return build_mismatched_reply(
                reply, request_id, reply.snapshot + 1
            )
        extra = querytypes.ShardResult("unasked", [("other", "unasked", 0)])
        return dataclasses.replace(reply, results=(*reply.results, extra))

    def _execute_actions(self, actions: list[querytypes.Action]) -> None:
        for action in actions:
            if isinstance(action, querytypes.Send):
                self._send(action)
            elif isinstance(action, querytypes.Cancel):
                call = self._calls[action.attempt_id]
                self.simulation.leafs[call.leaf].cancel(call)
            elif isinstance(action, querytypes.SetTimer):
                self._set_timer(action.at_s)
            else:
                self._timer_number += 1
                self.simulation.finish(self, action.outcome)

    def _send(self, action: querytypes.Send) -> None:
        action.delivery.is_sent = True
        call = benchleaf.Call(
            self,
            action.attempt_id,
            action.leaf,
            action.shards,
            action.snapshot,
            self.arrival.kind.work_ms,
            self.arrival.poison,
        )
        self._calls[action.attempt_id] = call
        extra = self.record.record_sent(action.shards)
        leaf = self.simulation.leafs[action.leaf]
        self.simulation.observer.record_group_call(leaf.info.group, extra)
        leaf.send(call)

    def _set_timer(self, at_s: float) -> None:
        self._timer_number += 1
        number = self._timer_number

        def fire() -> None:
            if number == self._timer_number:
                now_s = self.simulation.now_s
                self._execute_actions(self._machine.on_timer(now_s))

        self.simulation.schedule_at(at_s, fire)


def build_mismatched_reply(
    reply: querytypes.LeafReply, request_id: str, version: int
) -> querytypes.LeafReply:
    """Return a reply that carries another request id or index version."""
    results = tuple(
        querytypes.ShardResult(item.shard, [(request_id, item.shard, version)])
        for item in reply.results
    )
    return querytypes.LeafReply(request_id, version, results)


class Simulation:
    """Run a scenario with a hedging policy and a seed."""

    now_s: float
    leafs: dict[str, benchleaf.FakeLeaf]
    views: dict[str, snapshot.TargetView]
    observer: benchobserver.Observer
    policies: queryplan.QueryPolicies

    def __init__(
        self,
        scenario: benchtypes.Scenario,
        policy: str,
        seed: int,
        machine_factory: MachineFactory = query.QueryMachine,
    ) -> None:
        self.scenario = scenario
        self.machine_factory = machine_factory
        self.now_s = 0.0
        self.policies = queryplan.build_policies(scenario.data_centre, seed)
        self.observer = benchobserver.Observer(
            tuple(kind.name for kind in scenario.kinds)
        )
        self.reply_fault_rng = random.Random(f"{seed}-mischief")
        self.declared_versions = set(scenario.declared_versions)
        self.leaf_context = benchleaf.LeafContext(
            self.schedule,
            lambda: self.now_s,
            random.Random(f"{seed}-leafs"),
            scenario,
            self.observer,
            {},
        )
        self.leafs = {
            info.name: benchleaf.FakeLeaf(
                info,
                self.leaf_context,
                self.served_shards(info.name, self.declared_versions),
            )
            for info in scenario.leafs
        }
        self.views = {}
        self.open_request_count = 0
        self._gate = None
        if scenario.admission_limits is not None:
            self._gate = benchadmission.Gate(
                scenario.admission_limits, self.schedule_at
            )
        self.poison_fingerprints: set[str] = set()
        self._arrival_rng = random.Random(f"{seed}-arrivals")
        self._events: list[tuple[float, int, Callback]] = []
        self._event_number = 0
        self._arrived_count = 0
        self._known_restart_counts: dict[str, int] = {}
        self._rules = {
            kind.name: benchtypes.build_rules(kind.rules, policy)
            for kind in scenario.kinds
        }

    def run(self) -> None:
        """Process events until none is left; every request has an outcome."""
        self._poll_leafs()
        for fault in self.scenario.faults:
            self.schedule_at(fault.at_s, benchfaults.build_action(self, fault))
        self._schedule_arrival()
        while self._events:
            at_s, _, callback = heapq.heappop(self._events)
            self.now_s = at_s
            callback()

    def schedule(self, delay_s: float, callback: Callback) -> None:
        """Call a function after a delay in virtual seconds."""
        self.schedule_at(self.now_s + delay_s, callback)

    def schedule_at(self, at_s: float, callback: Callback) -> None:
        """Call a function at a virtual time, or now if it has passed."""
        self._event_number += 1
        at_s = max(at_s, self.now_s)
        heapq.heappush(self._events, (at_s, self._event_number, callback))

    def served_shards(
        self, leaf: str, versions: abc.Iterable[int]
    ) -> dict[int, frozenset[str]]:
        """Return the shards that the maps place on a leaf, by version."""
        return {
            version: frozenset(
                shard.name
                for maps in self.scenario.maps.values()
                if version in maps
                for shard in maps[version].shards.values()
                if leaf in shard.leafs
            )
            for version in versions
        }

    def finish(
        self,
        running: RunningQuery,
        outcome: querytypes.Answer | errors.RefusalError,
    ) -> None:
        """Record an outcome, and resend a poison request that failed.

        The caller of a poison request resends it up to
        ``MAX_RESEND_COUNT`` times.
        """
        min_coverage_ratio = running.rules.min_coverage_ratio
        self.observer.record_outcome(
            running.record, outcome, min_coverage_ratio, self.now_s
        )
        self.open_request_count -= 1
        if self._gate is not None:
            self._gate.on_finished(running.request.request_id, self.now_s)
        arrival = running.arrival
        failed = not isinstance(outcome, querytypes.Answer)
        if (
            arrival.poison
            and failed
            and arrival.resend_count < MAX_RESEND_COUNT
        ):
            resend = dataclasses.replace(
                arrival, resend_count=arrival.resend_count + 1
            )
            self.schedule(RESEND_DELAY_S, lambda: self._arrive(resend))
        # A cancelled call can still reach a leaf after the answer, so the
        # calls are counted when none can be under way any more.
        self.schedule(
            benchtypes.SETTLE_S,
            lambda: self.observer.record_request_calls(running.record),
        )

    def _schedule_arrival(self) -> None:
        if self._arrived_count >= self.scenario.request_count:
            return
        rate = self.scenario.rate_per_s()
        self.schedule(self._arrival_rng.expovariate(rate), self._arrive_next)

    def _arrive_next(self) -> None:
        kinds = self.scenario.kinds
        kind = self._arrival_rng.choices(
            kinds, [kind.rate_per_s for kind in kinds]
        )[0]
        number = self._arrived_count
        self._arrived_count += 1
        poison_interval = math.inf
        if kind.poison_count:
            poison_interval = self.scenario.request_count // (
                kind.poison_count + 1
            )
        poison = number > 0 and number % poison_interval == 0
        self._arrive(Arrival(kind, number, poison))
        self._schedule_arrival()

    def _arrive(self, arrival: Arrival) -> None:
        kind = arrival.kind
        rules = self._rules[kind.name]
        fingerprint = f"{kind.name}-{arrival.number % kind.fingerprint_count}"
        if arrival.poison:
            fingerprint = f"poison-{arrival.number}"
            self.poison_fingerprints.add(fingerprint)
        request = querytypes.QueryRequest(
            request_id=f"q{arrival.number}-{arrival.resend_count}",
            target=kind.target,
            kind=kind.name,
            params={},
            fingerprint=fingerprint,
            arrived_s=self.now_s,
            deadline_s=self.now_s + rules.deadline_ms / 1000.0,
            area=self._choose_area(kind),
        )
        self.open_request_count += 1
        running = RunningQuery(self, arrival, rules, request)
        if self._gate is None:
            running.start()
        else:
            self._gate.offer(running, self.now_s)

    def _choose_area(self, kind: benchtypes.KindSpec) -> tuple[str, ...]:
        if not kind.area_count:
            return ()
        maps = self.scenario.maps[kind.target]
        shards = maps[min(maps)].shards.values()
        tiles = sorted({tile for shard in shards for tile in shard.tiles})
        return tuple(self._arrival_rng.sample(tiles, kind.area_count))

    def _poll_leafs(self) -> None:
        """Update what the daemon knows about the leafs, once per interval."""
        for name, leaf in self.leafs.items():
            down = leaf.mode is benchleaf.LeafMode.DOWN
            restarted = leaf.restart_count != self._known_restart_counts.get(
                name, 0
            )
            self._known_restart_counts[name] = leaf.restart_count
            if down or restarted:
                self.policies.quarantine.record_leaf_down(name, self.now_s)
        self.refresh_views()
        arrivals_left = self._arrived_count < self.scenario.request_count
        if self.open_request_count or arrivals_left:
            self.schedule(POLL_INTERVAL_S, self._poll_leafs)

    def refresh_views(self) -> None:
        """Rebuild each target's view if leafs or declared versions changed."""
        statuses = {
            name: querytypes.LeafStatus(
                leaf.info,
                leaf.mode
                in (benchleaf.LeafMode.LIVE, benchleaf.LeafMode.HUNG),
                leaf.cold,
                dict(leaf.served_shards),
            )
            for name, leaf in self.leafs.items()
        }
        for target, maps in self.scenario.maps.items():
            declared_maps = {
                version: shard_map
                for version, shard_map in maps.items()
                if version in self.declared_versions
            }
            view = self.views.get(target)
            if view is None or is_outdated(view, declared_maps, statuses):
                self.views[target] = snapshot.build_target_view(
                    target,
                    declared_maps,
                    statuses,
                    self.scenario.data_centre,
                )


def is_outdated(
    view: snapshot.TargetView,
    maps: abc.Mapping[int, typing.Any],
    statuses: snapshot.Leafs,
) -> bool:
    """Return whether a view no longer matches maps and leaf statuses."""
    return view.shard_maps != maps or view.leafs != statuses
