"""Make requests wait until the admission queue starts or refuses them.

This is the asynchronous side of ``admission``. If a caller disconnects while
its request waits, the request is removed from the queue, so that no work is
started for it.
"""

import contextlib
import dataclasses
from collections import abc

import trio

from plantainhook import admission, clock, errors, messages, steps


@dataclasses.dataclass(slots=True)
class _Waiter:
    """Track one offered request; ``decided`` is set with its decision."""

    decided: trio.Event
    decision: admission.Decision | None = None


class AdmissionGate:
    """Admit requests as an ``AdmissionQueue`` decides."""

    def __init__(
        self, queue: admission.AdmissionQueue, gate_clock: clock.Clock
    ) -> None:
        self.queue = queue
        self.clock = gate_clock
        self._waiters: dict[str, _Waiter] = {}

    @contextlib.asynccontextmanager
    async def admit(self, entry: admission.Entry) -> abc.AsyncIterator[None]:
        """Wait for a slot and hold it for the body of the ``with`` statement.

        Raises RefusalError with ran=no if the request is refused or its
        deadline passes while it waits.
        """
        waiter = _Waiter(trio.Event())
        self._waiters[entry.request_id] = waiter
        self._deliver(self.queue.offer(entry, self.clock.now_s()))
        try:
            await self._wait(entry, waiter)
            started_s = self.clock.now_s()
            yield
        except BaseException:
            now_s = self.clock.now_s()
            self._deliver(self.queue.abandon(entry.request_id, now_s))
            raise
        else:
            now_s = self.clock.now_s()
            self._deliver(
                self.queue.finish(entry.request_id, now_s, now_s - started_s)
            )
        finally:
            self._waiters.pop(entry.request_id, None)

    async def _wait(self, entry: admission.Entry, waiter: _Waiter) -> None:
        with trio.move_on_at(entry.deadline_s):
            await waiter.decided.wait()
        if waiter.decision is None:
            self._deliver(self.queue.expire(self.clock.now_s()))
        decision = waiter.decision
        if isinstance(decision, admission.Start):
            return
        kind = errors.RefusalKind.DEADLINE
        retry_after_ms = 0
        if isinstance(decision, admission.Refuse):
            kind = decision.kind
            retry_after_ms = decision.retry_after_ms
        raise refusal_error(entry, kind, retry_after_ms, self.clock.now_s())

    def _deliver(self, decisions: abc.Iterable[admission.Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters.get(decision.entry.request_id)
            if waiter is not None:
                waiter.decision = decision
                waiter.decided.set()


def refusal_error(
    entry: admission.Entry,
    kind: errors.RefusalKind,
    retry_after_ms: int,
    now_s: float,
) -> errors.RefusalError:
    """Build the refusal of a request that was not admitted."""
    detail = messages.OVERLOADED.format(request_class=entry.request_class)
    if kind is errors.RefusalKind.DEADLINE:
        left_ms = max(0, round(1000 * (entry.deadline_s - now_s)))
        detail = messages.DEADLINE_TOO_SHORT.format(deadline_ms=left_ms)
    return errors.RefusalError(
        steps.Step.QUERY_ADMIT,
        "admission",
        detail,
        kind,
        errors.Ran.NO,
        retry_after_ms,
    )
