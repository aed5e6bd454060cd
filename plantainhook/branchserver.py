"""Run the branches that peers send to this daemon.

A branch stays here until it is done, is cancelled, or its sender has not
asked for the next batch for some time. The sender is then lost or has
finished the query without this branch.
"""

import dataclasses
import typing

import trio

from plantainhook import (
    branchworker,
    forwardtypes,
    gathertree,
    logs,
    peers,
    routetable,
    wire,
)

LOGGER: typing.Final = logs.part_logger("branch")
# A branch whose sender does not ask for the next batch ends after this time.
ABANDONED_S: typing.Final = 0.3

Key = tuple[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Served:
    """Represent a branch of a peer; ``services`` are in the peer's order."""

    running: branchworker.RunningBranch
    services: tuple[str, ...]


class BranchServer:
    """Answer the branch messages of peers."""

    def __init__(
        self,
        handlers: peers.Handlers,
        worker: branchworker.BranchWorker,
        decisions: logs.DecisionLog,
    ) -> None:
        self._worker = worker
        self._decisions = decisions
        self._served: dict[Key, _Served] = {}
        self._nursery: trio.Nursery | None = None
        handlers.register(wire.BranchWork)(self._on_work)
        handlers.register(wire.BranchMore)(self._on_more)
        handlers.register(wire.BranchCancel)(self._on_cancel)

    @property
    def running_count(self) -> int:
        """Return the number of branches that run for peers."""
        return len(self._served)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the branches of peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def _on_work(
        self, sender: wire.HelloFrame, body: wire.BranchWork
    ) -> wire.AnyBody:
        if self._nursery is None:
            return wire.Refused("branches are not served yet")
        key = (sender.incarnation, body.request_id)
        if key in self._served:
            return wire.Refused("a branch of the request runs already")
        now_s = trio.current_time()
        services = tuple(body.services)
        running = self._worker.start(self._nursery, _read_task(body, now_s))
        self._decisions.log(
            f"The branch of request {body.request_id} for {sender.name} "
            f"has {len(services)} parts and {body.deadline_ms:.0f} ms left; "
            f"{len(running.unknown)} parts have no known leaf."
        )
        self._served[key] = served = _Served(running, services)
        return await self._next_result(key, served, body.wait_ms, False)

    async def _on_more(
        self, sender: wire.HelloFrame, body: wire.BranchMore
    ) -> wire.AnyBody:
        key = (sender.incarnation, body.request_id)
        served = self._served.get(key)
        if served is None:
            # Whatever leafs have run is gone with the branch.
            return wire.Failed("the branch is not running")
        return await self._next_result(
            key, served, body.wait_ms, body.wants_progress
        )

    async def _on_cancel(
        self, sender: wire.HelloFrame, body: wire.BranchCancel
    ) -> wire.AnyBody:
        served = self._served.pop((sender.incarnation, body.request_id), None)
        if served is not None:
            served.running.scope.cancel()
        return wire.Ack()

    async def _next_result(
        self, key: Key, served: _Served, wait_ms: float, wants_progress: bool
    ) -> wire.BranchResult:
        """Return the next batch; end the branch if the link is lost."""
        running = served.running
        running.scope.deadline = float("inf")
        is_sent = False
        try:
            batch = await running.next_batch(
                trio.current_time() + max(0.0, wait_ms) / 1e3, wants_progress
            )
            is_sent = True
        finally:
            if not is_sent:
                running.scope.cancel()
                self._served.pop(key, None)
        if batch.done:
            self._served.pop(key, None)
        else:
            running.scope.deadline = trio.current_time() + ABANDONED_S
            self._forget_when_ended(key, served)
        return _build_result(batch, served.services)

    def _forget_when_ended(self, key: Key, served: _Served) -> None:
        """Remove the branch once its abandoned scope has ended it."""
        assert self._nursery is not None
        self._nursery.start_soon(self._wait_for_end, key, served)

    async def _wait_for_end(self, key: Key, served: _Served) -> None:
        await trio.sleep(2 * ABANDONED_S)
        is_waiting = served.running.scope.deadline == float("inf")
        if not is_waiting and self._served.get(key) is served:
            del self._served[key]


def _read_task(body: wire.BranchWork, now_s: float) -> branchworker.BranchTask:
    forwarded = forwardtypes.ForwardRequest(
        body.method,
        body.target,
        body.host,
        [(name, value) for name, value in body.headers],
        body.body,
        body.request_id,
        body.deadline_ms,
    )
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
    batch: gathertree.Batch, services: tuple[str, ...]
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
    )
