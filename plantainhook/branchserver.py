"""Run the branches that peers send to this daemon.

A branch stays here until it is done, is cancelled, or its sender has not
asked for the next batch for some time. The sender is then lost or has
finished the query without this branch.
"""

import dataclasses
import math
import typing

import trio

from plantainhook import (
    branchworker,
    gatherers,
    gathertypes,
    logs,
    peers,
    routetable,
    stopadmission,
    wire,
)

# A branch whose sender does not ask for the next batch ends after this time.
ABANDONED_S: typing.Final = 0.3
SWEEP_INTERVAL_S: typing.Final = 0.2
# A branch that has ended is not started again within this time. A copy of its
# first message may arrive after the cancellation, on a stalled connection.
ENDED_KEPT_S: typing.Final = 10.0

Key = tuple[int, str]


@dataclasses.dataclass(slots=True, eq=False)
class _Served:
    """Track a branch of a peer; ``services`` are in the peer's order.

    ``waiting_count`` is the number of messages that wait for a batch. Without
    any, the branch ends at ``expires_s``.
    """

    running: branchworker.RunningBranch
    services: tuple[str, ...]
    waiting_count: int = 0
    expires_s: float = math.inf


class BranchServer:
    """Answer the branch messages of peers."""

    def __init__(
        self,
        handlers: peers.Handlers,
        worker: branchworker.BranchWorker,
        stop: stopadmission.StopAdmission,
        decisions: logs.DecisionLog,
    ) -> None:
        self._worker = worker
        self._stop = stop
        self._decisions = decisions
        self._served: dict[Key, _Served] = {}
        # When branches ended, by key; the oldest comes first.
        self._ended_s: dict[Key, float] = {}
        self._nursery: trio.Nursery | None = None
        handlers.register(wire.BranchWork)(self._on_work)
        handlers.register(wire.BranchMore)(self._on_more)
        handlers.register(wire.BranchCancel)(self._on_cancel)

    @property
    def running_count(self) -> int:
        """Return the number of branches that run for peers."""
        return sum(
            not served.running.is_done or served.waiting_count > 0
            for served in self._served.values()
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the branches of peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self._remove_expired()

    async def _on_work(
        self, sender: wire.HelloFrame, body: wire.BranchWork
    ) -> wire.AnyBody:
        if self._nursery is None:
            return wire.Refused("branches are not served yet")
        key = (sender.incarnation, body.request_id)
        served = self._served.get(key)
        if served is not None:
            # The sender repeats a message whose reply is late.
            return await self._next_result(served, 0.0, False, 0)
        if key in self._ended_s:
            return wire.Failed("the branch has ended")
        if not self._stop.admits_work(
            body.goal_ms / 1e3, body.deadline_ms / 1e3, trio.current_time()
        ):
            return wire.Refused("this daemon stops")
        services = tuple(body.services)
        task = _read_task(body, trio.current_time())
        running = self._worker.start(self._nursery, task)
        self._decisions.log(
            f"The branch of request {body.request_id} for {sender.name} "
            f"has {len(services)} parts and {body.deadline_ms:.0f} ms left; "
            f"{len(running.unknown)} parts have no known leaf."
        )
        self._served[key] = served = _Served(running, services)
        return await self._next_result(served, body.wait_ms, False, 0)

    async def _on_more(
        self, sender: wire.HelloFrame, body: wire.BranchMore
    ) -> wire.AnyBody:
        key = (sender.incarnation, body.request_id)
        served = self._served.get(key)
        if served is None:
            # Whatever leafs have run is gone with the branch.
            return wire.Failed("the branch is not running")
        return await self._next_result(
            served, body.wait_ms, body.wants_progress, body.acknowledged
        )

    async def _on_cancel(
        self, sender: wire.HelloFrame, body: wire.BranchCancel
    ) -> wire.AnyBody:
        key = (sender.incarnation, body.request_id)
        served = self._served.pop(key, None)
        if served is not None:
            served.running.scope.cancel()
        self._ended_s[key] = trio.current_time()
        return wire.Ack()

    async def _next_result(
        self,
        served: _Served,
        wait_ms: float,
        wants_progress: bool,
        acknowledged: int,
    ) -> wire.BranchResult:
        """Return the next batch."""
        wait_until_s = trio.current_time() + max(0.0, wait_ms) / 1e3
        served.waiting_count += 1
        served.running.scope.deadline = math.inf
        try:
            batch = await served.running.next_batch(
                wait_until_s, wants_progress, acknowledged
            )
        finally:
            # Also if the link of the sender is lost.
            served.waiting_count -= 1
            served.expires_s = trio.current_time() + ABANDONED_S
            if served.waiting_count == 0:
                served.running.scope.deadline = served.expires_s
        return _build_result(
            batch,
            served.services,
            self._worker.limits.limits_of(served.services),
        )

    def _remove_expired(self) -> None:
        now_s = trio.current_time()
        for key, served in list(self._served.items()):
            if served.waiting_count == 0 and served.expires_s <= now_s:
                del self._served[key]
                self._ended_s[key] = now_s
        for key, ended_s in list(self._ended_s.items()):
            if ended_s > now_s - ENDED_KEPT_S:
                break
            del self._ended_s[key]


def _read_task(body: wire.BranchWork, now_s: float) -> branchworker.BranchTask:
    forwarded = gatherers.read_forwarded(body, body.deadline_ms)
    services = tuple(body.services)
    route = routetable.Route(
        name=body.route,
        host=body.host,
        path_prefix=body.path_prefix,
        idempotent=True,
        timeout_ms=body.deadline_ms,
        goal_ms=body.goal_ms,
        max_leafs_count=body.max_leafs_count,
        urgency_rank=0,
        gather=routetable.Gather(services, body.record_limit_count, 1.0),
    )
    return branchworker.BranchTask(
        forwarded,
        route,
        services,
        now_s + body.goal_ms / 1e3,
        now_s + body.deadline_ms / 1e3,
        body.lost_limit_count,
    )


def _build_result(
    batch: gathertypes.Batch,
    services: tuple[str, ...],
    limits: dict[str, float],
) -> wire.BranchResult:
    """Build the reply, which names services by their index."""
    index_of = {name: index for index, name in enumerate(services)}
    return wire.BranchResult(
        batch.records,
        {index_of[name]: part for name, part in batch.signatures.items()},
        [index_of[name] for name in batch.lost],
        [index_of[name] for name in batch.unknown],
        batch.done,
        batch.ran,
        batch.quarantine_ms,
        batch.sequence,
        limits,
    )
