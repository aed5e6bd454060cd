"""Suspend gathered queries until ``gatheradmission`` starts or refuses them.

While queries run, a task measures how late the event loop is, which shows
whether the processor has room for more.
"""

import contextlib
from collections import abc

import trio

from plantainhook import gatheradmission


class GatherGate:
    """Admit the gathered queries of one daemon; ``cores`` is its capacity."""

    def __init__(self, cores: float) -> None:
        self.cores = cores
        self.queue = gatheradmission.AdmissionQueue()
        self._ticks_needed = trio.Event()

    @contextlib.asynccontextmanager
    async def admit(
        self, query: gatheradmission.GatherQuery
    ) -> abc.AsyncIterator[bool]:
        """Yield whether the query may run; it runs inside of the context.

        If it may not, its ``retry_after_s`` is set.
        """
        decided = trio.Event()
        query.on_decided = decided.set
        self.queue.offer(query, trio.current_time())
        if self.queue.needs_ticks:
            self._ticks_needed.set()
        try:
            await _wait_unless_set(decided)
            yield query.state is gatheradmission.State.RUNNING
        finally:
            self.queue.end(query, trio.current_time())

    async def run(self) -> None:
        """Measure the delay of the event loop until cancelled."""
        while True:
            await self._ticks_needed.wait()
            while self.queue.needs_ticks:
                due_s = trio.current_time() + gatheradmission.TICK_S
                await trio.sleep_until(due_s)
                now_s = trio.current_time()
                self.queue.tick(now_s - due_s, now_s)
            self._ticks_needed = trio.Event()


async def _wait_unless_set(event: trio.Event) -> None:
    """Wait for an event, without a checkpoint if it is set."""
    if not event.is_set():
        await event.wait()
