"""Simulation of one daemon, its callers and fake leafs.

Events stand in a heap on a virtual clock, so a run is the same for the same
scenario, policy and seed. ``machine_factory`` lets tests put in a machine with
a defect, to see that the observer catches it.
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
DUPLICATE_AFTER_S: typing.Final = 0.001
RESEND_AFTER_S: typing.Final = 0.5
RESEND_COUNT: typing.Final = 10
UNKNOWN_ATTEMPT_ID: typing.Final = 1_000_000

Callback = abc.Callable[[], None]
MachineFactory = abc.Callable[
    [queryplan.QueryPlan, queryplan.QueryPolicies, float], query.QueryMachine
]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Hold a request of a caller before it is planned."""

    kind: benchtypes.KindSpec
    number: int
    poison: bool
    resend_count: int = 0


class RunningQuery:
    """Carry out the actions of one machine against the fake leafs."""

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
        self._carry_out(self._machine.start(self.simulation.now_s))

    def refuse(self, refusal: errors.RefusalError) -> None:
        """End a query that was not admitted."""
        self.simulation.finish(self, refusal)

    def on_reply(
        self, call: benchleaf.Call, reply: querytypes.LeafReply
    ) -> None:
        """Pass a reply on, sometimes duplicated or crossed."""
        simulation = self.simulation
        ratio = simulation.scenario.reply_fault_ratio
        if ratio and simulation.mischief_rng.random() < ratio:
            reply = self._mischief(call, reply)
        self._reply(call.attempt_id, reply)

    def on_failure(
        self, call: benchleaf.Call, failure: errors.LeafError
    ) -> None:
        """Pass a failure on."""
        self._carry_out(
            self._machine.on_failure(
                call.attempt_id, failure, self.simulation.now_s
            )
        )

    def _reply(self, attempt_id: int, reply: querytypes.LeafReply) -> None:
        self._carry_out(
            self._machine.on_reply(attempt_id, reply, self.simulation.now_s)
        )

    def _mischief(
        self, call: benchleaf.Call, reply: querytypes.LeafReply
    ) -> querytypes.LeafReply:
        choice = self.simulation.mischief_rng.randrange(5)
        if choice == 0:
            self.simulation.schedule(
                DUPLICATE_AFTER_S,
                lambda: self._reply(call.attempt_id, reply),
            )
            return reply
        if choice == 1:
            self._reply(UNKNOWN_ATTEMPT_ID, reply)
            return reply
        if choice == 2:
            return foreign_reply(reply, "other", reply.snapshot)
        if choice == 3:
            request_id = reply.request_id
            return foreign_reply(reply, request_id, reply.snapshot + 1)
        extra = querytypes.ShardResult("unasked", [("other", "unasked", 0)])
        return dataclasses.replace(reply, results=(*reply.results, extra))

    def _carry_out(self, actions: list[querytypes.Action]) -> None:
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
        self.simulation.observer.record_call(leaf.info.group, extra)
        leaf.send(call)

    def _set_timer(self, at_s: float) -> None:
        self._timer_number += 1
        number = self._timer_number

        def fire() -> None:
            if number == self._timer_number:
                now_s = self.simulation.now_s
                self._carry_out(self._machine.on_timer(now_s))

        self.simulation.schedule_at(at_s, fire)


def foreign_reply(
    reply: querytypes.LeafReply, request_id: str, version: int
) -> querytypes.LeafReply:
    """Return a reply with the contents of another request or version."""
    results = tuple(
        querytypes.ShardResult(item.shard, [(request_id, item.shard, version)])
        for item in reply.results
    )
    return querytypes.LeafReply(request_id, version, results)


class Simulation:
    """Run a scenario with a policy and a seed."""

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
        self.mischief_rng = random.Random(f"{seed}-mischief")
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
        self.open_count = 0
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
        self._restarts: dict[str, int] = {}
        self._rules = {
            kind.name: benchtypes.build_rules(kind.rules, policy)
            for kind in scenario.kinds
        }

    def run(self) -> None:
        """Run until every request has its outcome."""
        self._poll()
        for fault in self.scenario.faults:
            self.schedule_at(fault.at_s, benchfaults.build_action(self, fault))
        self._schedule_arrival()
        while self._events:
            at_s, _, deliver = heapq.heappop(self._events)
            self.now_s = at_s
            deliver()

    def schedule(self, delay_s: float, deliver: Callback) -> None:
        """Run a function after a delay."""
        self.schedule_at(self.now_s + delay_s, deliver)

    def schedule_at(self, at_s: float, deliver: Callback) -> None:
        """Run a function at a time."""
        self._event_number += 1
        at_s = max(at_s, self.now_s)
        heapq.heappush(self._events, (at_s, self._event_number, deliver))

    def served_shards(
        self, leaf: str, versions: abc.Iterable[int]
    ) -> dict[int, frozenset[str]]:
        """Return the shards that the maps place on a leaf."""
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
        """Record an outcome; the caller of a poison request resends it."""
        minimum = running.rules.min_coverage_ratio
        self.observer.record_outcome(
            running.record, outcome, minimum, self.now_s
        )
        self.open_count -= 1
        if self._gate is not None:
            self._gate.on_finished(running.request.request_id, self.now_s)
        arrival = running.arrival
        failed = not isinstance(outcome, querytypes.Answer)
        if arrival.poison and failed and arrival.resend_count < RESEND_COUNT:
            again = dataclasses.replace(
                arrival, resend_count=arrival.resend_count + 1
            )
            self.schedule(RESEND_AFTER_S, lambda: self._arrive(again))
        # A cancelled call can still reach a leaf after the answer.
        self.schedule(
            benchtypes.SETTLE_S,
            lambda: self.observer.record_calls(running.record),
        )

    def _schedule_arrival(self) -> None:
        if self._arrived_count >= self.scenario.request_count:
            return
        rate = self.scenario.rate_per_s()
        self.schedule(self._arrival_rng.expovariate(rate), self._next)

    def _next(self) -> None:
        kinds = self.scenario.kinds
        kind = self._arrival_rng.choices(
            kinds, [kind.rate_per_s for kind in kinds]
        )[0]
        number = self._arrived_count
        self._arrived_count += 1
        step = math.inf
        if kind.poison_count:
            step = self.scenario.request_count // (kind.poison_count + 1)
        poison = number > 0 and number % step == 0
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
            area=self._area(kind),
        )
        self.open_count += 1
        running = RunningQuery(self, arrival, rules, request)
        if self._gate is None:
            running.start()
        else:
            self._gate.offer(running, self.now_s)

    def _area(self, kind: benchtypes.KindSpec) -> tuple[str, ...]:
        if not kind.area_count:
            return ()
        maps = self.scenario.maps[kind.target]
        shards = maps[min(maps)].shards.values()
        tiles = sorted({tile for shard in shards for tile in shard.tiles})
        return tuple(self._arrival_rng.sample(tiles, kind.area_count))

    def _poll(self) -> None:
        """Refresh what the daemon knows of the leafs."""
        for name, leaf in self.leafs.items():
            down = leaf.mode is benchleaf.LeafMode.DOWN
            restarted = leaf.restart_count != self._restarts.get(name, 0)
            self._restarts[name] = leaf.restart_count
            if down or restarted:
                self.policies.quarantine.record_leaf_down(name, self.now_s)
        self.refresh_views()
        arrivals_left = self._arrived_count < self.scenario.request_count
        if self.open_count or arrivals_left:
            self.schedule(POLL_INTERVAL_S, self._poll)

    def refresh_views(self) -> None:
        """Build the views from the leafs as they are now."""
        statuses = {
            name: querytypes.LeafStatus(
                leaf.info,
                leaf.mode
                in (benchleaf.LeafMode.LIVE, benchleaf.LeafMode.HUNG),
                leaf.cold,
                dict(leaf.serves),
            )
            for name, leaf in self.leafs.items()
        }
        for target, maps in self.scenario.maps.items():
            known = {
                version: shard_map
                for version, shard_map in maps.items()
                if version in self.declared_versions
            }
            view = self.views.get(target)
            if view is None or changed(view, known, statuses):
                self.views[target] = snapshot.build_target_view(
                    target, known, statuses, self.scenario.data_centre
                )


def changed(
    view: snapshot.TargetView,
    maps: abc.Mapping[int, typing.Any],
    statuses: snapshot.Leafs,
) -> bool:
    """Return whether a view must be built anew."""
    return view.shard_maps != maps or view.leafs != statuses
