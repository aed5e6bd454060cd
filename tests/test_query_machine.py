"""Test the invariants of the query machine under any order of events."""

import dataclasses
import typing

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import errors, query, queryplan, querytypes
from tests import querycase

LEAFS: typing.Final[querycase.Table] = {"a": "dc-1", "b": "dc-1", "c": "dc-2"}
VERSIONS: typing.Final[querycase.Table] = {
    "1": {"s1": ["a", "b"], "s2": ["a", "b"], "s3": ["b", "c"]},
    "2": {"s1": ["b", "c"], "s2": ["a", "b"], "s4": ["a", "c"]},
}
FAILURES: typing.Final = (
    ("connect", "no"),
    ("refused", "no"),
    ("not_served", "no"),
    ("connection_lost", "maybe"),
    ("timeout", "maybe"),
    ("malformed", "yes"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Represent one event; ``pick`` selects one of the attempts sent."""

    kind: str
    pick: int
    failure: tuple[str, str]
    delay_s: float


EVENTS: typing.Final = st.lists(
    st.builds(
        Event,
        st.sampled_from(
            ["reply", "reply", "part", "fail", "version", "foreign", "timer"]
        ),
        st.integers(0, 20),
        st.sampled_from(FAILURES),
        st.floats(0.0, 0.05),
    ),
    max_size=30,
)


class Run:
    """Run a machine and check each action when it is returned."""

    def __init__(self, idempotent: bool, policy: str) -> None:
        rules = querycase.build_rules(
            {
                "idempotent": idempotent,
                "hedge_policy": policy,
                "extra_load_floor_per_s": 1000.0,
            }
        )
        view = querycase.build_view(
            LEAFS, VERSIONS, {"1": VERSIONS["1"], "2": {"s1": ["b"]}}, {}
        )
        plan = querycase.build_plan(view, rules)
        policies = queryplan.build_policies("dc-1", 0)
        self.idempotent = idempotent
        self.policies = policies
        self.machine = query.QueryMachine(plan, policies, 0.0)
        self.now_s = 0.0
        self.sends: list[querytypes.Send] = []
        self.closed: set[int] = set()
        self.may_have_run: set[str] = set()
        self.outcome: querytypes.Answer | errors.RefusalError | None = None
        self.record_actions(self.machine.start(0.0))

    def record_actions(self, actions: list[querytypes.Action]) -> None:
        """Check and record actions."""
        for action in actions:
            assert self.outcome is None, "an action after Finish"
            if isinstance(action, querytypes.Send):
                self.check_send(action)
                self.sends.append(action)
            elif isinstance(action, querytypes.Cancel):
                assert action.attempt_id not in self.closed
                self.closed.add(action.attempt_id)
            elif isinstance(action, querytypes.Finish):
                self.outcome = action.outcome

    def check_send(self, send: querytypes.Send) -> None:
        """Check that a request is sent again only if that is safe."""
        assert len(set(send.shards)) == len(send.shards)
        if self.idempotent:
            return
        live = {
            shard
            for other in self.sends
            if other.attempt_id not in self.closed
            for shard in other.shards
        }
        assert live.isdisjoint(send.shards), (
            "sent while another attempt may run"
        )
        assert self.may_have_run.isdisjoint(send.shards), "may run twice"

    def apply(self, event: Event) -> None:
        """Pass one event to the machine."""
        self.now_s += event.delay_s
        if event.kind == "timer" or not self.sends:
            self.record_actions(self.machine.on_timer(self.now_s))
            return
        send = self.sends[event.pick % len(self.sends)]
        is_open = send.attempt_id not in self.closed
        self.closed.add(send.attempt_id)
        if event.kind == "fail":
            kind, ran = event.failure
            if ran != "no" and is_open:
                self.may_have_run.update(send.shards)
            failure = querycase.build_failure(kind, ran, (2,))
            self.record_actions(
                self.machine.on_failure(send.attempt_id, failure, self.now_s)
            )
            return
        if is_open:
            self.may_have_run.update(send.shards)
        self.record_actions(
            self.machine.on_reply(
                send.attempt_id, build_reply(event, send), self.now_s
            )
        )

    def end(self) -> None:
        """Let the deadline pass; the query must then have an outcome."""
        self.record_actions(self.machine.on_timer(60.0))
        assert self.outcome is not None, "no outcome at the deadline"


def build_reply(event: Event, send: querytypes.Send) -> querytypes.LeafReply:
    """Build a valid reply, or one with the fault of the event."""
    shards: tuple[str, ...] = send.shards
    version = send.snapshot
    request_id = "r1"
    if event.kind == "part":
        shards = shards[:-1]
    if event.kind == "version":
        version += 1
    if event.kind == "foreign":
        request_id = "r2"
    results = tuple(
        querytypes.ShardResult(name, [(name, version, request_id)])
        for name in shards
    )
    return querytypes.LeafReply(request_id, version, results)


def check_answer(answer: querytypes.Answer) -> None:
    """Check the coverage of an answer against its results."""
    shards = VERSIONS[str(answer.snapshot)]
    for name, items in answer.results.items():
        assert items == [(name, answer.snapshot, "r1")], (
            "items of another shard, version or request"
        )
    missing = sorted(set(shards) - set(answer.results))
    assert list(answer.missing_shards) == missing
    expected = len(answer.results) / len(shards)
    assert abs(answer.coverage_ratio - expected) < 1e-9
    assert answer.complete == (not missing)


class QueryMachineTest(testtools.TestCase):
    """Check invariants that hold whatever the leafs do."""

    @hypothesis.given(
        st.booleans(), st.sampled_from(["plain", "fixed", "adaptive"]), EVENTS
    )
    def test_invariants(
        self, idempotent: bool, policy: str, events: list[Event]
    ) -> None:
        """Guard against duplicate runs, mixed versions and wrong reports."""
        run = Run(idempotent, policy)
        for event in events:
            run.apply(event)
        run.end()
        outcome = run.outcome
        if isinstance(outcome, querytypes.Answer):
            check_answer(outcome)
        elif isinstance(outcome, errors.RefusalError):
            unresolved = {send.attempt_id for send in run.sends} - run.closed
            if outcome.ran is errors.Ran.NO:
                assert not run.may_have_run
                assert not unresolved
        in_flight = [
            state.in_flight_count
            for state in run.policies.replicas.states.values()
        ]
        assert not any(in_flight), "a finished query leaves calls in flight"
        assert not any(run.policies.quarantine.running.values())

    @hypothesis.given(EVENTS)
    def test_hedges_per_shard_set(self, events: list[Event]) -> None:
        """Guard against more than two hedges of one shard set."""
        run = Run(True, "adaptive")
        first_count = len(run.sends)
        for event in events:
            run.apply(dataclasses.replace(event, kind="timer"))
        hedges = [
            send
            for send in run.sends
            if send.reason is querytypes.AttemptReason.HEDGE
        ]
        shards = [shard for send in hedges for shard in send.shards]
        self.assertThat(
            max((shards.count(name) for name in shards), default=0),
            testtools.matchers.LessThan(3),
        )
        self.assertEqual(first_count, len(run.sends) - len(hedges))
