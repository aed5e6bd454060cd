"""Decide one query that is gathered in branches, without I/O.

``GatherTree`` takes the branches of a query and events: batches of parts,
failures and timer expiry. It returns actions, which ``branchgather`` carries
out. One branch runs in this daemon; the others run on helpers.

A batch contains the highest records of its parts in one list, so the parts
of a batch cannot be separated. Invariant: each part is in at most one merged
batch. Of two batches with a part in common, the one with more parts is kept.

A helper may be lost or may fall silent. Its missing shards are then called
from here. Where the helper may have sent them to leafs, the extra calls are
charged to the load budget.
"""

import dataclasses
import math
import typing
from collections import abc

from plantainhook import answers, errors, messages, steps

# The first batch is expected at this fraction of the time to the goal. It is
# early enough to call the leafs of a silent helper before the goal.
FIRST_BATCH_RATIO: typing.Final = 0.5
# Interval of replies after the goal, even without a new part.
PROGRESS_WAIT_S: typing.Final = 0.2
# The batch for the goal is requested this long before it, because it crosses
# the link between data centres.
GOAL_MARGIN_S: typing.Final = 0.01
# Coverage ratios are computed from counts; this absorbs rounding errors.
RATIO_TOLERANCE: typing.Final = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Represent the parts that a branch has newly received.

    ``signatures`` is by service. ``lost`` names services without an answer,
    ``unknown`` those without a leaf that the helper knows. ``quarantine_ms``
    is set if the request is quarantined.
    """

    records: bytes
    signatures: dict[str, bytes]
    lost: frozenset[str]
    unknown: frozenset[str]
    done: bool
    ran: bool
    quarantine_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TreeRules:
    """Define when a query is complete, acceptable and late."""

    request_id: str
    min_coverage_ratio: float
    goal_s: float
    deadline_s: float


@dataclasses.dataclass(slots=True, eq=False)
class Branch:
    """Track one branch.

    ``address`` is that of the helper, or None for shards called from here.
    ``reply_due_s`` is when a reply is due, or infinity if none is; after
    ``grace_s`` more the helper counts as silent. ``is_replaced`` is set once
    the missing shards of the branch are called from here.
    """

    branch_id: int
    address: str | None
    services: frozenset[str]
    grace_s: float
    reply_due_s: float = math.inf
    is_open: bool = True
    is_replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StartBranch:
    """Represent the action of starting a branch.

    ``is_extra`` states that the calls were charged to the load budget.
    """

    branch_id: int
    address: str | None
    services: tuple[str, ...]
    wait_until_s: float
    is_extra: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskMore:
    """Represent the action of asking a branch for its next batch."""

    branch_id: int
    wait_until_s: float
    wants_progress: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Represent the action of calling ``on_timer`` at a time."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """Represent the merged parts of an answer.

    ``records`` are those of each batch, and ``missing`` names the services
    without a part.
    """

    signatures: dict[str, bytes]
    records: tuple[bytes, ...]
    missing: tuple[str, ...]
    total_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Represent the action of ending the query with its outcome."""

    outcome: Gathered | errors.RefusalError


Action = StartBranch | AskMore | SetTimer | Finish
Actions = list[Action]
# Returns whether the load budget pays for an extra call to a service.
Grant = abc.Callable[[str, float], bool]
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
        rules: TreeRules,
        direct: tuple[str, ...],
        remote: abc.Mapping[str, tuple[str, ...]],
        grant: Grant,
        grace_of: GraceOf,
    ) -> None:
        self.branches = {}
        self.lost = set()
        self.ran = errors.Ran.NO
        self.finished = False
        self._rules = rules
        self._grant = grant
        self._grace_of = grace_of
        self._services = frozenset(direct).union(*remote.values())
        self._direct = direct
        self._remote = remote
        self._batches: list[Batch] = []

    def start(self, now_s: float) -> Actions:
        """Start all branches."""
        left_s = max(0.0, self._rules.goal_s - now_s)
        wait_until_s = now_s + FIRST_BATCH_RATIO * left_s
        actions: Actions = []
        for address, services in self._remote.items():
            self._open(actions, address, services, wait_until_s, False)
        if self._direct:
            self._open(actions, None, self._direct, self._batch_s(), False)
        return self._advance(actions, now_s)

    def on_batch(self, branch_id: int, batch: Batch, now_s: float) -> Actions:
        """Merge a batch, and ask its branch for the next one."""
        branch = self.branches[branch_id]
        if self.finished or not branch.is_open:
            return []
        branch.reply_due_s = math.inf
        if batch.ran:
            self.ran = errors.Ran.MAYBE
        if batch.quarantine_ms:
            return self._finish([], self._quarantine_refusal(batch))
        self._merge(batch)
        actions: Actions = []
        merged = self._merged()
        if not branch.is_replaced:
            self.lost |= batch.lost - merged
            self._call_unknown(branch, batch.unknown - merged, actions, now_s)
        if batch.done:
            branch.is_open = False
            if not branch.is_replaced:
                self.lost |= branch.services - merged - batch.unknown
        else:
            self._ask_more(branch, actions, now_s)
        return self._advance(actions, now_s)

    def on_failure(
        self, branch_id: int, ran: errors.Ran, now_s: float
    ) -> Actions:
        """Call the shards of a lost helper from here.

        ``ran`` states whether the helper may have begun the branch.
        """
        branch = self.branches[branch_id]
        if self.finished or not branch.is_open:
            return []
        branch.is_open = False
        branch.reply_due_s = math.inf
        if ran is not errors.Ran.NO:
            self.ran = errors.Ran.MAYBE
        actions: Actions = []
        self._replace(branch, ran is not errors.Ran.NO, actions, now_s)
        return self._advance(actions, now_s)

    def on_timer(self, now_s: float) -> Actions:
        """Replace silent helpers, or finish the query."""
        if self.finished:
            return []
        actions: Actions = []
        for branch in tuple(self.branches.values()):
            if branch.is_open and now_s >= _silent_s(branch):
                branch.reply_due_s = math.inf
                self.ran = errors.Ran.MAYBE
                self._replace(branch, True, actions, now_s)
        return self._advance(actions, now_s)

    def _open(
        self,
        actions: Actions,
        address: str | None,
        services: tuple[str, ...],
        wait_until_s: float,
        is_extra: bool,
    ) -> None:
        branch_id = len(self.branches)
        grace_s = 0.0 if address is None else self._grace_of(address)
        branch = Branch(branch_id, address, frozenset(services), grace_s)
        if address is not None:
            branch.reply_due_s = wait_until_s
        self.branches[branch_id] = branch
        actions.append(
            StartBranch(branch_id, address, services, wait_until_s, is_extra)
        )

    def _batch_s(self) -> float:
        """Return when the batch that decides at the goal has to be sent."""
        return self._rules.goal_s - GOAL_MARGIN_S

    def _ask_more(
        self, branch: Branch, actions: Actions, now_s: float
    ) -> None:
        """Ask for a batch at the goal, and after it for each new part."""
        wait_until_s = self._batch_s()
        wants_progress = now_s >= wait_until_s - GOAL_MARGIN_S
        if wants_progress:
            wait_until_s = now_s + PROGRESS_WAIT_S
        if branch.address is not None:
            branch.reply_due_s = wait_until_s
        actions.append(AskMore(branch.branch_id, wait_until_s, wants_progress))

    def _call_unknown(
        self,
        branch: Branch,
        services: frozenset[str],
        actions: Actions,
        now_s: float,
    ) -> None:
        """Call the shards from here for which the helper knows no leaf."""
        if not services:
            return
        if branch.address is None:
            self.lost |= services
            return
        branch.services -= services
        self._call_here(services, False, actions)

    def _replace(
        self, branch: Branch, charged: bool, actions: Actions, now_s: float
    ) -> None:
        """Call the missing shards of a branch from here.

        Shards for which the budget does not pay are lost unless the branch
        may still return them.
        """
        missing = branch.services - self._merged() - self.lost
        if branch.is_replaced:
            # They are called from here already.
            return
        branch.is_replaced = True
        paid = missing
        if charged:
            paid = frozenset(
                name for name in sorted(missing) if self._grant(name, now_s)
            )
        if not branch.is_open:
            self.lost |= missing - paid
        if paid:
            self._call_here(paid, charged, actions)

    def _call_here(
        self, services: frozenset[str], charged: bool, actions: Actions
    ) -> None:
        names = tuple(sorted(services))
        self._open(actions, None, names, self._batch_s(), charged)

    def _merge(self, batch: Batch) -> None:
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
        if not count:
            return False
        ratio = count / len(self._services)
        return ratio >= self._rules.min_coverage_ratio - RATIO_TOLERANCE

    def _advance(self, actions: Actions, now_s: float) -> Actions:
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
        actions.append(SetTimer(self._next_timer_s(now_s)))
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
        self, actions: Actions, outcome: Gathered | errors.RefusalError
    ) -> Actions:
        self.finished = True
        kept = [
            action
            for action in actions
            if not isinstance(action, StartBranch | AskMore)
        ]
        return [*kept, Finish(outcome)]

    def _gathered(self, merged: set[str]) -> Gathered:
        signatures: dict[str, bytes] = {}
        for batch in self._batches:
            signatures.update(batch.signatures)
        return Gathered(
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

    def _quarantine_refusal(self, batch: Batch) -> errors.RefusalError:
        refusal = answers.quarantine_refusal(batch.quarantine_ms / 1e3)
        refusal.ran = self.ran
        return refusal


def _silent_s(branch: Branch) -> float:
    """Return when a helper that has not replied counts as silent."""
    return branch.reply_due_s + branch.grace_s
