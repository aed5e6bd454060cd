"""Test the decisions on a query that is gathered in branches."""

import typing

import hypothesis
import testtools
from hypothesis import strategies as st

from plantainhook import errors, gathertree, gathertypes

NEAR: typing.Final = ("n0", "n1", "n2", "n3")
FAR: typing.Final = ("f0", "f1", "f2", "f3")
HELPER: typing.Final = "b:1"
GOAL_S: typing.Final = 0.1
DEADLINE_S: typing.Final = 0.4


def batch(
    services: typing.Iterable[str],
    lost: typing.Iterable[str] = (),
    unknown: typing.Iterable[str] = (),
    done: bool = True,
    ran: bool = True,
    quarantine_ms: int = 0,
) -> gathertypes.Batch:
    """Return a batch with the parts of some services."""
    names = sorted(services)
    return gathertypes.Batch(
        ",".join(names).encode(),
        {name: name.encode() for name in names},
        frozenset(lost),
        frozenset(unknown),
        done,
        ran,
        quarantine_ms,
    )


class TreeCase:
    """Run one tree with a direct branch and one helper."""

    def __init__(
        self,
        min_coverage_ratio: float = 0.75,
        direct: tuple[str, ...] = NEAR,
    ) -> None:
        self.started: dict[int, gathertypes.StartBranch] = {}
        self.asked: list[gathertypes.AskMore] = []
        self.timer_s = 0.0
        self.outcome: typing.Any = None

        self.tree = gathertree.GatherTree(
            gathertypes.TreeRules(min_coverage_ratio, GOAL_S, DEADLINE_S),
            direct,
            {HELPER: FAR},
            lambda address: 0.03,
        )
        self.record(self.tree.start(0.0))

    def record(self, actions: typing.Iterable[gathertypes.Action]) -> None:
        """Record the actions of the tree."""
        for action in actions:
            match action:
                case gathertypes.StartBranch():
                    self.started[action.branch_id] = action
                case gathertypes.AskMore():
                    self.asked.append(action)
                case gathertypes.SetTimer():
                    self.timer_s = action.at_s
                case gathertypes.Finish():
                    assert self.outcome is None
                    self.outcome = action.outcome

    def branch_of(self, address: str | None) -> int:
        """Return the first branch of a helper, or of this daemon."""
        return next(
            branch_id
            for branch_id, action in self.started.items()
            if action.address == address
        )

    def reply(
        self, address: str | None, now_s: float, new: gathertypes.Batch
    ) -> None:
        """Pass a batch to the tree."""
        branch_id = self.branch_of(address)
        ask = self.tree.branches[branch_id].ask
        self.record(self.tree.on_batch(branch_id, new, now_s, ask))

    def fail(self, now_s: float, ran: errors.Ran) -> None:
        """Pass the loss of the helper to the tree."""
        branch_id = self.branch_of(HELPER)
        ask = self.tree.branches[branch_id].ask
        self.record(self.tree.on_failure(branch_id, ran, now_s, ask))

    def expire(self) -> None:
        """Let the timer expire."""
        self.record(self.tree.on_timer(self.timer_s))


class OutcomeTest(testtools.TestCase):
    """Check when a query ends and with what."""

    def test_complete_answer_is_sent_at_once(self) -> None:
        """Guard against an answer that is held although it is complete."""
        case = TreeCase()
        case.reply(None, 0.02, batch(NEAR))
        self.assertIs(None, case.outcome)
        case.reply(HELPER, 0.03, batch(FAR))
        self.assertEqual((), case.outcome.missing)
        self.assertEqual({*NEAR, *FAR}, set(case.outcome.signatures))

    def test_acceptable_answer_is_sent_at_the_goal(self) -> None:
        """Guard against answers that wait for stragglers after the goal."""
        case = TreeCase()
        case.reply(None, 0.02, batch(NEAR))
        case.reply(HELPER, 0.05, batch(FAR[:2], done=False))
        while case.outcome is None:
            case.expire()
        self.assertTrue(GOAL_S <= case.timer_s < DEADLINE_S)
        self.assertEqual(FAR[2:], case.outcome.missing)

    def test_late_part_completes_the_coverage(self) -> None:
        """Guard against a refusal while a late answer is possible."""
        case = TreeCase(min_coverage_ratio=1.0)
        case.reply(None, 0.02, batch(NEAR))
        case.reply(HELPER, 0.05, batch(FAR[:3], done=False))
        case.reply(HELPER, 0.09, batch((), done=False))
        self.assertTrue(case.asked[-1].wants_progress)
        case.reply(HELPER, 0.2, batch(FAR[3:]))
        self.assertEqual((), case.outcome.missing)

    def test_unanswerable_query_is_refused_at_once(self) -> None:
        """Guard against waiting for a query that cannot be answered."""
        case = TreeCase()
        case.reply(HELPER, 0.01, batch((), lost=FAR, done=False, ran=False))
        self.assertIsInstance(case.outcome, errors.RefusalError)
        self.assertIs(errors.Ran.NO, case.outcome.ran)

    def test_refusal_after_a_run_does_not_say_not_run(self) -> None:
        """Guard against the status 503 for work that a leaf has run."""
        case = TreeCase()
        case.reply(None, 0.01, batch(NEAR[:1], lost=NEAR[1:]))
        self.assertIsInstance(case.outcome, errors.RefusalError)
        self.assertIsNot(errors.Ran.NO, case.outcome.ran)

    def test_unknown_state_at_the_deadline_is_not_called_not_run(self) -> None:
        """Guard against a lost answer that is reported as not run."""
        case = TreeCase()
        now_s = 0.01
        while case.outcome is None:
            if now_s >= DEADLINE_S:
                case.record(case.tree.on_timer(now_s))
            else:
                case.reply(HELPER, now_s, batch((), done=False))
            now_s += 0.02
        self.assertIs(errors.RefusalKind.DEADLINE, case.outcome.kind)
        self.assertIsNot(errors.Ran.NO, case.outcome.ran)

    def test_quarantined_request_is_refused(self) -> None:
        """Guard against a crashing request that is called from elsewhere."""
        case = TreeCase()
        case.reply(HELPER, 0.01, batch((), ran=False, quarantine_ms=700))
        self.assertIs(errors.RefusalKind.QUARANTINED, case.outcome.kind)
        self.assertEqual(700, case.outcome.retry_after_ms)
        self.assertEqual(2, len(case.started))
        # The other branch may have called leafs.
        self.assertIs(errors.Ran.MAYBE, case.outcome.ran)


class LostHelperTest(testtools.TestCase):
    """Check the shards of a helper that is lost or silent."""

    def test_unreached_helper(self) -> None:
        """Guard against parts that are lost though nothing was sent."""
        case = TreeCase()
        case.fail(0.01, errors.Ran.NO)
        self.assertEqual(FAR, case.started[2].services)
        self.assertIs(None, case.started[2].address)

    def test_lost_helper(self) -> None:
        """Guard against a request that runs on more leafs than allowed.

        Pattern: a helper is killed after it has sent a request to two leafs
        of a shard. Its sender does not know which, so it calls none.
        """
        case = TreeCase()
        case.fail(0.02, errors.Ran.MAYBE)
        case.fail(0.03, errors.Ran.NO)
        self.assertEqual(2, len(case.started))
        self.assertIsNot(errors.Ran.NO, case.outcome.ran)

    def test_lost_connection_is_not_a_lost_helper(self) -> None:
        """Guard against refused queries whenever connections are reset.

        Pattern: a fault resets the connections of many daemons at once. The
        helpers are alive and have the parts.
        """
        case = TreeCase()
        case.fail(0.02, errors.Ran.MAYBE)
        self.assertTrue(case.asked[-1].is_repeated)
        case.reply(HELPER, 0.03, batch(FAR))
        case.reply(None, 0.04, batch(NEAR))
        self.assertEqual((), case.outcome.missing)

    def test_answer_without_a_lost_helper(self) -> None:
        """Guard against a refusal where the other parts are enough."""
        case = TreeCase(min_coverage_ratio=0.5)
        case.fail(0.02, errors.Ran.MAYBE)
        case.fail(0.03, errors.Ran.MAYBE)
        case.reply(None, 0.04, batch(NEAR))
        self.assertEqual(FAR, case.outcome.missing)

    def test_silent_helper(self) -> None:
        """Guard against a refusal that is too late to be worth a retry."""
        case = TreeCase()
        case.reply(None, 0.02, batch(NEAR))
        case.expire()
        self.assertTrue(case.asked[-1].is_repeated)
        case.expire()
        self.assertTrue(case.timer_s < GOAL_S)
        self.assertIsInstance(case.outcome, errors.RefusalError)

    def test_late_message_is_repeated_first(self) -> None:
        """Guard against extra calls to leafs because a packet was lost.

        Pattern: links between data centres lose packets, and TCP sends them
        again only after 0.2 s.
        """
        case = TreeCase()
        case.reply(None, 0.02, batch(NEAR))
        case.expire()
        case.reply(HELPER, 0.07, batch(FAR))
        self.assertEqual((), case.outcome.missing)

    def test_reply_to_an_earlier_message(self) -> None:
        """Guard against two chains of messages to the same helper."""
        case = TreeCase()
        case.expire()
        asked_count = len(case.asked)
        branch_id = case.branch_of(HELPER)
        new = batch(FAR[:1], done=False)
        case.record(case.tree.on_batch(branch_id, new, 0.07, ask=0))
        self.assertEqual(asked_count, len(case.asked))

    def test_late_batch_of_a_silent_helper_is_used(self) -> None:
        """Guard against parts that are there but are thrown away."""
        case = TreeCase(min_coverage_ratio=0.5)
        case.expire()
        case.expire()
        case.reply(None, 0.085, batch(NEAR[:3], done=False))
        case.reply(HELPER, 0.09, batch(FAR))
        case.reply(None, 0.095, batch(NEAR))
        self.assertEqual((), case.outcome.missing)

    def test_the_fuller_of_two_batches_is_kept(self) -> None:
        """Guard against records that are merged twice.

        The records of a batch cannot be separated by their parts.
        """
        case = TreeCase(min_coverage_ratio=1.0)
        case.reply(HELPER, 0.03, batch(FAR[:2], done=False))
        case.reply(HELPER, 0.09, batch(FAR))
        case.reply(None, 0.095, batch(NEAR))
        self.assertEqual(
            {b"f0,f1,f2,f3", b"n0,n1,n2,n3"}, set(case.outcome.records)
        )

    def test_shards_that_the_helper_does_not_know(self) -> None:
        """Guard against parts that are lost while a new index is adopted."""
        case = TreeCase()
        case.reply(HELPER, 0.01, batch(FAR[:3], unknown=FAR[3:], ran=False))
        self.assertEqual(FAR[3:], case.started[2].services)

    def test_unknown_shards_are_called_once(self) -> None:
        """Guard against calls that no budget pays for.

        Each batch of a helper names the shards that it does not know.
        """
        case = TreeCase()
        for now_s in (0.01, 0.02):
            new = batch((), unknown=FAR[3:], done=False, ran=False)
            case.reply(HELPER, now_s, new)
        self.assertEqual(3, len(case.started))


@st.composite
def events(draw: st.DrawFn) -> list[tuple[str, int, list[str], bool]]:
    """Draw batches, failures and timer expiries in any order."""
    return draw(
        st.lists(
            st.tuples(
                st.sampled_from(["batch", "no", "maybe", "timer"]),
                st.integers(0, 3),
                st.lists(st.sampled_from((*NEAR, *FAR)), unique=True),
                st.booleans(),
            ),
            max_size=14,
        )
    )


class InvariantTest(testtools.TestCase):
    """Check what holds for any order of events."""

    @hypothesis.given(events(), st.sampled_from([0.5, 0.75, 1.0]))
    def test_any_order_of_events(
        self,
        drawn: list[tuple[str, int, list[str], bool]],
        min_coverage_ratio: float,
    ) -> None:
        """Guard against a query that never ends or merges a part twice."""
        case = TreeCase(min_coverage_ratio)
        now_s = 0.0
        for kind, branch_id, names, flag in drawn:
            now_s += 0.01
            if kind == "timer":
                case.record(case.tree.on_timer(now_s))
            elif branch_id in case.started:
                self._play(case, kind, branch_id, names, flag, now_s)
        while case.outcome is None:
            assert case.timer_s <= DEADLINE_S
            case.expire()
        if isinstance(case.outcome, errors.RefusalError):
            return
        merged = [
            name
            for records in case.outcome.records
            for name in records.decode().split(",")
        ]
        self.assertEqual(sorted(set(merged)), sorted(merged))
        self.assertEqual(set(merged), set(case.outcome.signatures))
        self.assertEqual({*NEAR, *FAR}, {*merged, *case.outcome.missing})
        self.assertTrue(len(merged) / 8 >= min_coverage_ratio)

    def _play(
        self,
        case: TreeCase,
        kind: str,
        branch_id: int,
        names: list[str],
        flag: bool,
        now_s: float,
    ) -> None:
        """Pass a batch or a failure to the tree."""
        started = case.started[branch_id]
        ask = case.tree.branches[branch_id].ask
        if kind == "batch":
            own = [name for name in names if name in started.services]
            new = batch(own, done=flag)
            case.record(case.tree.on_batch(branch_id, new, now_s, ask))
        elif started.address is not None:
            ran = errors.Ran.NO if kind == "no" else errors.Ran.MAYBE
            case.record(case.tree.on_failure(branch_id, ran, now_s, ask))
