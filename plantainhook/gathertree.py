"""Decide one query that is gathered in branches, without I/O.

``GatherTree`` takes the branches of a query and events: batches of parts,
failures and timer expiry. It returns actions, which ``branchgather`` carries
out. One branch runs in this daemon; the others run on helpers.

A batch contains the highest records of its parts in one list, so the parts
of a batch cannot be separated. Invariant: each part is in at most one merged
batch. Of two batches with a part in common, the one with more parts is kept.

A helper may be lost or may fall silent. The link between data centres loses
packets, and a lost packet delays all messages on its TCP connection, so the
last message is first repeated on another connection. Without a reply the
missing shards count as lost. They are not called from here: neither side knows
which leafs the other one used, and together they may use only a limited
number. The caller may send the request again, which has its own limit. Only
shards that certainly reached no leaf are called from here.
"""

import dataclasses
import math
import typing
from collections import abc

from plantainhook import (
    answers,
    coverage,
    errors,
    gathertypes,
    messages,
    steps,
)

# The first batch is expected at this fraction of the time to the goal. It is
# early enough to call the leafs of a silent helper before the goal.
FIRST_BATCH_RATIO: typing.Final = 0.3
# The reply to a repeated message is expected within this time at least. It is
# short, because the message has waited for a reply before.
REPEATED_MIN_S: typing.Final = 0.02
# Interval of replies after the goal, even without a new part.
PROGRESS_WAIT_S: typing.Final = 0.2
# The batch for the goal is requested this long before it, because it crosses
# the link between data centres.
GOAL_MARGIN_S: typing.Final = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class Branch:
    """Track one branch.

    ``address`` is that of the helper, or None for shards called from here.
    ``reply_due_s`` is when a reply is due, or infinity if none is; after
    ``grace_s`` more the helper counts as silent. ``ask`` is the
    number of the last message, ``is_repeated`` whether it was repeated, and
    ``acknowledged`` the sequence of the last batch.
    """

    branch_id: int
    address: str | None
    services: frozenset[str]
    grace_s: float
    reply_due_s: float = math.inf
    is_open: bool = True
    is_silent: bool = False
    ask: int = 0
    is_repeated: bool = False
    acknowledged: int = 0


# Returns by how much the reply of a helper may be late.
GraceOf = abc.Callable[[str], float]


class GatherTree:
    """Decide one query from its branches to its outcome.

    After ``Finish``, events return no actions.
    """

    branches: dict[int, Branch]
    lost: set[str]
    ran: errors.Ran
    finished: bool

    def __init__(
        self,
        rules: gathertypes.TreeRules,
        direct: tuple[str, ...],
        remote: abc.Mapping[str, tuple[str, ...]],
        grace_of: GraceOf,
    ) -> None:
        self.branches = {}
        self.lost = set()
        self.ran = errors.Ran.NO
        self.finished = False
        self._rules = rules
        self._grace_of = grace_of
        self._services = frozenset(direct).union(*remote.values())
        self._direct = direct
        self._remote = remote
        self._batches: list[gathertypes.Batch] = []

    def start(self, now_s: float) -> gathertypes.Actions:
        """Start all branches."""
        left_s = max(0.0, self._rules.goal_s - now_s)
        wait_until_s = now_s + FIRST_BATCH_RATIO * left_s
        actions: gathertypes.Actions = []
        for address, services in self._remote.items():
            self._open(actions, address, services, wait_until_s)
        if self._direct:
            self._open(actions, None, self._direct, self._batch_s())
        return self._advance(actions, now_s)

    def on_batch(
        self,
        branch_id: int,
        batch: gathertypes.Batch,
        now_s: float,
        ask: int = 0,
    ) -> gathertypes.Actions:
        """Merge a batch, and ask its branch for the next one.

        ``ask`` is the number of the message to which the batch replies.
        """
        branch = self.branches[branch_id]
        if self.finished or not branch.is_open:
            return []
        is_latest = ask == branch.ask
        if is_latest:
            branch.reply_due_s = math.inf
        branch.acknowledged = max(branch.acknowledged, batch.sequence)
        if batch.ran:
            self.ran = errors.Ran.MAYBE
        if batch.quarantine_ms:
            if any(
                other.is_open and other is not branch
                for other in self.branches.values()
            ):
                self.ran = errors.Ran.MAYBE
            return self._finish([], self._quarantine_refusal(batch))
        self._merge(batch)
        actions: gathertypes.Actions = []
        merged = self._merged()
        # A silent helper that replies again has not lost its shards.
        branch.is_silent = False
        self.lost -= branch.services
        self.lost |= batch.lost - merged
        unknown = (batch.unknown & branch.services) - merged
        self._call_unknown(branch, unknown, actions)
        if batch.done:
            branch.is_open = False
            self.lost |= branch.services - merged
        elif is_latest:
            self._ask_more(branch, actions, now_s)
        return self._advance(actions, now_s)

    def on_failure(
        self, branch_id: int, ran: errors.Ran, now_s: float, ask: int = 0
    ) -> gathertypes.Actions:
        """Handle the failure of the last message to a helper.

        ``ran`` states whether the helper may have received it. If not even
        the first one can have arrived, the shards are called from here.
        Otherwise the message is repeated once, because the helper may be
        alive and only its connection lost.
        """
        branch = self.branches[branch_id]
        if self.finished or not branch.is_open or ask != branch.ask:
            return []
        actions: gathertypes.Actions = []
        branch.reply_due_s = math.inf
        missing = branch.services - self._merged()
        if ran is errors.Ran.NO and not branch.ask:
            branch.is_open = False
            self._call_here(missing, actions)
        elif not branch.is_repeated:
            self._on_silence(branch, actions, now_s)
        else:
            branch.is_open = False
            self.lost |= missing
        return self._advance(actions, now_s)

    def on_timer(self, now_s: float) -> gathertypes.Actions:
        """Handle silent helpers, or finish the query."""
        if self.finished:
            return []
        actions: gathertypes.Actions = []
        for branch in tuple(self.branches.values()):
            if branch.is_open and now_s >= _silent_s(branch):
                self._on_silence(branch, actions, now_s)
        return self._advance(actions, now_s)

    def _on_silence(
        self, branch: Branch, actions: gathertypes.Actions, now_s: float
    ) -> None:
        """Repeat the last message; if that was done, give the shards up."""
        branch.reply_due_s = math.inf
        self.ran = errors.Ran.MAYBE
        if branch.is_repeated:
            branch.is_silent = True
            self.lost |= branch.services - self._merged()
            return
        branch.is_repeated = True
        wait_s = max(REPEATED_MIN_S, branch.grace_s / 2)
        due_s = now_s + wait_s - branch.grace_s
        self._ask(branch, now_s, due_s, True, actions)

    def _ask(
        self,
        branch: Branch,
        wait_until_s: float,
        due_s: float,
        wants_progress: bool,
        actions: gathertypes.Actions,
    ) -> None:
        """Send the next message to a branch."""
        branch.ask += 1
        if branch.address is not None:
            branch.reply_due_s = due_s
        actions.append(
            gathertypes.AskMore(
                branch.branch_id,
                branch.ask,
                wait_until_s,
                wants_progress,
                branch.acknowledged,
                branch.is_repeated,
            )
        )

    def _open(
        self,
        actions: gathertypes.Actions,
        address: str | None,
        services: tuple[str, ...],
        wait_until_s: float,
    ) -> None:
        branch_id = len(self.branches)
        grace_s = 0.0 if address is None else self._grace_of(address)
        branch = Branch(branch_id, address, frozenset(services), grace_s)
        if address is not None:
            branch.reply_due_s = wait_until_s
        self.branches[branch_id] = branch
        actions.append(
            gathertypes.StartBranch(branch_id, address, services, wait_until_s)
        )

    def _batch_s(self) -> float:
        """Return when the batch that decides at the goal has to be sent."""
        return self._rules.goal_s - GOAL_MARGIN_S

    def _ask_more(
        self, branch: Branch, actions: gathertypes.Actions, now_s: float
    ) -> None:
        """Ask for a batch at the goal, and after it for each new part."""
        wait_until_s = self._batch_s()
        wants_progress = now_s >= wait_until_s - GOAL_MARGIN_S
        if wants_progress:
            wait_until_s = now_s + PROGRESS_WAIT_S
        branch.is_repeated = False
        self._ask(branch, wait_until_s, wait_until_s, wants_progress, actions)

    def _call_unknown(
        self,
        branch: Branch,
        services: frozenset[str],
        actions: gathertypes.Actions,
    ) -> None:
        """Call the shards from here for which the helper knows no leaf."""
        if services and branch.address is not None:
            branch.services -= services
            self._call_here(services, actions)

    def _call_here(
        self, services: frozenset[str], actions: gathertypes.Actions
    ) -> None:
        if services:
            names = tuple(sorted(services))
            self._open(actions, None, names, self._batch_s())

    def _merge(self, batch: gathertypes.Batch) -> None:
        """Merge a batch unless merged batches hold more of its parts."""
        if not batch.signatures:
            return
        shared = [
            other
            for other in self._batches
            if not other.signatures.keys().isdisjoint(batch.signatures)
        ]
        held_count = sum(len(other.signatures) for other in shared)
        if shared and held_count >= len(batch.signatures):
            return
        for other in shared:
            self._batches.remove(other)
        self._batches.append(batch)
        self.lost -= batch.signatures.keys()

    def _merged(self) -> set[str]:
        merged: set[str] = set()
        for batch in self._batches:
            merged.update(batch.signatures)
        return merged

    def _is_acceptable(self, count: int) -> bool:
        return coverage.is_enough(
            count, len(self._services), self._rules.min_coverage_ratio
        )

    def _advance(
        self, actions: gathertypes.Actions, now_s: float
    ) -> gathertypes.Actions:
        """Finish if nothing more can improve the answer."""
        total_count = len(self._services)
        merged = self._merged()
        ended = not any(branch.is_open for branch in self.branches.values())
        is_due = ended or now_s >= self._rules.goal_s
        acceptable = self._is_acceptable(len(merged))
        if len(merged) == total_count or (is_due and acceptable):
            return self._finish(actions, self._gathered(merged))
        lost = self.lost - merged
        if ended or not self._is_acceptable(total_count - len(lost)):
            return self._finish(actions, self._lost_refusal(lost))
        if now_s >= self._rules.deadline_s:
            return self._finish(actions, self._late_refusal(merged))
        actions.append(gathertypes.SetTimer(self._next_timer_s(now_s)))
        return actions

    def _next_timer_s(self, now_s: float) -> float:
        at_s = self._rules.deadline_s
        if now_s < self._rules.goal_s:
            at_s = min(at_s, self._rules.goal_s)
        for branch in self.branches.values():
            if branch.is_open:
                at_s = min(at_s, _silent_s(branch))
        return at_s

    def _finish(
        self,
        actions: gathertypes.Actions,
        outcome: gathertypes.Gathered | errors.RefusalError,
    ) -> gathertypes.Actions:
        self.finished = True
        kept = [
            action
            for action in actions
            if not isinstance(
                action, gathertypes.StartBranch | gathertypes.AskMore
            )
        ]
        return [*kept, gathertypes.Finish(outcome)]

    def _gathered(self, merged: set[str]) -> gathertypes.Gathered:
        signatures: dict[str, bytes] = {}
        for batch in self._batches:
            signatures.update(batch.signatures)
        return gathertypes.Gathered(
            signatures,
            tuple(batch.records for batch in self._batches),
            tuple(sorted(self._services - merged)),
            len(self._services),
        )

    def _lost_refusal(self, lost: set[str]) -> errors.RefusalError:
        names = sorted(lost)
        return errors.RefusalError(
            steps.Step.QUERY_PLAN,
            answers.PEER,
            messages.OUT_OF_SERVICE.format(
                count=len(names),
                shards=", ".join(names[: answers.NAMED_SHARDS_MAX]),
                minimum=self._rules.min_coverage_ratio,
            ),
            errors.RefusalKind.COVERAGE,
            self.ran,
        )

    def _late_refusal(self, merged: set[str]) -> errors.RefusalError:
        missing = sorted(self._services - merged)
        return errors.RefusalError(
            steps.Step.QUERY_ANSWER,
            answers.PEER,
            messages.COVERAGE_TOO_LOW.format(
                coverage=len(merged) / len(self._services),
                minimum=self._rules.min_coverage_ratio,
                shards=", ".join(missing[: answers.NAMED_SHARDS_MAX]),
            ),
            errors.RefusalKind.DEADLINE,
            errors.Ran.MAYBE,
        )

    def _quarantine_refusal(
        self, batch: gathertypes.Batch
    ) -> errors.RefusalError:
        refusal = answers.quarantine_refusal(batch.quarantine_ms / 1e3)
        refusal.ran = self.ran
        return refusal


def _silent_s(branch: Branch) -> float:
    """Return when a helper that has not replied counts as silent."""
    return branch.reply_due_s + branch.grace_s
