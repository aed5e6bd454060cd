"""Run the daemon's admission queue on the benchmark's virtual clock.

``Gate`` takes queries from ``benchsim``, asks the real
``admission.AdmissionQueue`` and starts or refuses each query accordingly.
"""

import typing
from collections import abc

from plantainhook import admission, admissiongate, errors, querytypes

Schedule = abc.Callable[[float, abc.Callable[[], None]], None]


class Query(typing.Protocol):
    """Represent a query that the gate starts or refuses."""

    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules

    def start(self) -> None:
        """Start the query."""

    def refuse(self, refusal: errors.RefusalError) -> None:
        """End the query with a refusal."""


class Gate:
    """Start and refuse queries according to an admission queue."""

    def __init__(
        self, limits: admission.Limits, schedule_at: Schedule
    ) -> None:
        self._queue = admission.AdmissionQueue(limits)
        self._schedule_at = schedule_at
        self._queries: dict[str, Query] = {}
        self._started_s: dict[str, float] = {}

    def offer(self, query: Query, now_s: float) -> None:
        """Offer a query to the queue, which may start, keep or refuse it."""
        request = query.request
        self._queries[request.request_id] = query
        entry = admission.Entry(
            request.request_id, query.rules.request_class, request.deadline_s
        )
        self._execute_decisions(self._queue.offer(entry, now_s), now_s)
        self._schedule_at(
            request.deadline_s, lambda: self._expire(request.deadline_s)
        )

    def on_finished(self, request_id: str, now_s: float) -> None:
        """Record the end of a query, which may let others start.

        A query that was refused is ignored.
        """
        started_s = self._started_s.pop(request_id, None)
        if started_s is None:
            return
        service_s = now_s - started_s
        decisions = self._queue.finish(request_id, now_s, service_s)
        self._execute_decisions(decisions, now_s)

    def _expire(self, now_s: float) -> None:
        self._execute_decisions(self._queue.expire(now_s), now_s)

    def _execute_decisions(
        self, decisions: abc.Iterable[admission.Decision], now_s: float
    ) -> None:
        for decision in decisions:
            entry = decision.entry
            query = self._queries.pop(entry.request_id)
            if isinstance(decision, admission.Start):
                self._started_s[entry.request_id] = now_s
                query.start()
                continue
            query.refuse(
                admissiongate.refusal_error(
                    entry, decision.kind, decision.retry_after_ms, now_s
                )
            )
