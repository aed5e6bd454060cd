"""Check the demo's guarantees against what the stand-in leafs executed."""

import collections
import dataclasses
import typing
from collections import abc

from plantainhook import callerapi, errors, schema, standin_leaf

# A draining leaf may receive new work until all daemons have noticed that it
# drains, which takes up to 3 s with ``democluster.LEAF_POLL_S``.
NEW_WORK_LIMIT_S: typing.Final = 3.0
COVERAGE_TOLERANCE: typing.Final = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Represent one request of a caller and its reply."""

    kind: str
    target: str
    idempotent: bool
    fingerprint: str
    latency_s: float
    http_status: int
    body: dict[str, typing.Any]

    def is_answer(self) -> bool:
        """Return whether the reply is an answer and not a refusal."""
        return self.http_status == 200


@dataclasses.dataclass(slots=True)
class Observer:
    """Check the guarantees and collect a text for each violation.

    The answers must state their true coverage and contain items of the
    request and of one snapshot only. A request reported as not run must not
    have run, and one that is not idempotent runs at most once on each shard.
    Leafs must not have more open connections than their limit, nor receive
    new work ``NEW_WORK_LIMIT_S`` after they began to drain.
    ``draining_since_s`` maps the names of draining leafs to the time at which
    they began.
    """

    leafs: abc.Mapping[str, standin_leaf.StandinLeaf]
    settings: schema.Settings
    violations: list[str] = dataclasses.field(default_factory=list)
    draining_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def check(self, exchanges: abc.Sequence[Exchange]) -> list[str]:
        """Run all checks and return the violations, one line each."""
        runs = self._runs_by_fingerprint()
        for exchange in exchanges:
            if exchange.is_answer():
                self._check_answer(exchange)
            else:
                self._check_refusal(exchange, runs)
            if not exchange.idempotent:
                self._check_runs_once(exchange, runs)
        self._check_connections()
        self._check_draining()
        return self.violations

    def run_count(self, kind: str) -> int:
        """Return the number of shard runs of a request kind on all leafs."""
        return sum(
            run.kind == kind
            for leaf in self.leafs.values()
            for run in leaf.journal.runs
        )

    def _runs_by_fingerprint(self) -> dict[str, collections.Counter[str]]:
        runs: dict[str, collections.Counter[str]] = {}
        for leaf in self.leafs.values():
            for run in leaf.journal.runs:
                counter = runs.setdefault(
                    run.fingerprint, collections.Counter()
                )
                counter[run.shard] += 1
        return runs

    def _check_answer(self, exchange: Exchange) -> None:
        answer = callerapi.AnswerBody.model_validate(exchange.body)
        shard_count = self._shard_count(exchange.target, answer.snapshot)
        true_coverage = len(answer.results) / shard_count
        if abs(true_coverage - answer.coverage) > COVERAGE_TOLERANCE:
            self.violations.append(
                f"{answer.request_id}: coverage {answer.coverage}, "
                f"but the true coverage is {true_coverage}"
            )
        for shard, items in answer.results.items():
            for item in items:
                self._check_item(exchange, answer, shard, item)

    def _check_item(
        self,
        exchange: Exchange,
        answer: callerapi.AnswerBody,
        shard: str,
        item: dict[str, typing.Any],
    ) -> None:
        if item["snapshot"] != answer.snapshot:
            self.violations.append(
                f"{answer.request_id}: item of another snapshot"
            )
        if item["fingerprint"] != exchange.fingerprint:
            self.violations.append(
                f"{answer.request_id}: item of another request"
            )
        if item["shard"] != shard:
            self.violations.append(
                f"{answer.request_id}: item of another shard"
            )

    def _check_refusal(
        self, exchange: Exchange, runs: dict[str, collections.Counter[str]]
    ) -> None:
        ran = exchange.body.get("ran")
        if ran == errors.Ran.NO and exchange.fingerprint in runs:
            self.violations.append(
                f"{exchange.kind}: reported as not run, but it ran"
            )

    def _check_runs_once(
        self, exchange: Exchange, runs: dict[str, collections.Counter[str]]
    ) -> None:
        counts = runs.get(exchange.fingerprint, collections.Counter())
        if counts and max(counts.values()) > 1:
            self.violations.append(
                f"{exchange.kind}: ran more than once on a shard"
            )

    def _check_connections(self) -> None:
        for name, leaf in self.leafs.items():
            if leaf.over_limit_count:
                self.violations.append(f"{name}: connections over the limit")

    def _check_draining(self) -> None:
        for name, since_s in self.draining_since_s.items():
            late = [
                run
                for run in self.leafs[name].journal.runs
                if run.started_s > since_s + NEW_WORK_LIMIT_S
            ]
            if late:
                self.violations.append(
                    f"{name}: received new work while draining"
                )

    def _shard_count(self, target: str, snapshot: int) -> int:
        for index in self.settings.index.values():
            if index.target == target and index.version == snapshot:
                return len(index.shards)
        raise KeyError(f"{target} has no version {snapshot}")
