"""Pools of connections to leafs, one per leaf of the settings view.

``LeafPools`` reacts to changes of the settings and of the connection shares:
it starts and stops pools and sets their allotments. ``wait_any`` and
``may_resend`` are helpers for code that uses the pools.
"""

import functools
import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    errors,
    leafconnect,
    leafpool,
    leaftransport,
    logs,
    metrics,
    shardmap,
)

LOGGER: typing.Final = logs.part_logger("leafpool")

CONCURRENT_CONNECTS_COUNT: typing.Final = 16
# A request that waited for a connection is still sent for this long after its
# leaf began to leave: the leaf serves for at least 3 s more, and the shard may
# have no other.
SEND_AFTER_LEAVING_S: typing.Final = 1.0
TOPICS: typing.Final = (blackboard.Topic.SETTINGS, blackboard.Topic.SHARES)

AllotmentOf = abc.Callable[[shardmap.LeafInfo], int]


class LeafPools:
    """Manage the connection pools of a daemon.

    ``allotment_of`` returns how many connections this daemon may open to a
    leaf; it is called after each change of the settings or the shares.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        allotment_of: AllotmentOf,
        instruments: metrics.LeafMetrics,
        rng: random.Random,
        connector: leaftransport.Connector = leaftransport.connect,
        options: leafconnect.PoolOptions | None = None,
    ) -> None:
        self._board = board
        self._allotment_of = allotment_of
        self._metrics = instruments
        self._rng = rng
        self._connector = connector
        self._options = options or leafconnect.PoolOptions()
        self._connect_gate = trio.Semaphore(CONCURRENT_CONNECTS_COUNT)
        self._pools: dict[str, leafpool.LeafPool] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._pool_added = trio.Event()
        instruments.connections.set_function(self._connection_count)

    def pool(self, leaf: str) -> leafpool.LeafPool | None:
        """Return the pool of a leaf, or None if there is none yet."""
        return self._pools.get(leaf)

    async def wait_for_pool(self, leaf: str) -> leafpool.LeafPool | None:
        """Return the pool of a leaf, waiting until it has started.

        A starting daemon learns of all leafs at once and starts their pools
        one by one, while calls already arrive. Return None if the settings
        do not contain the leaf.
        """
        while True:
            pool = self._pools.get(leaf)
            if pool is not None or leaf not in self._board.settings.leafs:
                return pool
            await self._pool_added.wait()

    def check(self, leaf: str) -> None:
        """Find out whether a leaf accepts connections, if it is registered.

        See ``LeafPool.check``. An evacuated leaf is not connected to.
        """
        if self._is_evacuated(leaf):
            return
        pool = self._pools.get(leaf)
        if pool is not None:
            pool.check()

    def may_send(self, leaf: str) -> bool:
        """Return whether a leaf may still be sent a request.

        Pattern: a request waits for a connection, and its leaf drains or its
        data centre is evacuated meanwhile.
        """
        if self._is_evacuated(leaf):
            return False
        view = self._board.leafs.get(leaf)
        if view is None or view.leaving_since_s is None:
            return True
        leaving_s = trio.current_time() - view.leaving_since_s
        return leaving_s < SEND_AFTER_LEAVING_S

    def _is_evacuated(self, leaf: str) -> bool:
        view = self._board.leafs.get(leaf)
        evacuated = blackboard.LeafState.EVACUATED
        return view is not None and view.state is evacuated

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Start, change and stop pools with the blackboard until cancelled."""
        async with trio.open_nursery() as nursery:
            started = False
            while True:
                events = [self._board.change_event(topic) for topic in TOPICS]
                await self._update(nursery)
                if not started:
                    task_status.started()
                    started = True
                await wait_any(events)

    async def _update(self, nursery: trio.Nursery) -> None:
        leafs = self._board.settings.leafs
        new_counts: list[int] = []
        for name, pool in list(self._pools.items()):
            info = leafs.get(name)
            if info is None or info.address != pool.address:
                self._remove(name)
        for name, info in leafs.items():
            if name not in self._pools:
                await self._add(nursery, info)
            allotment_count = self._allotment_of(info)
            if allotment_count != self._pools[name].allotment_count:
                new_counts.append(allotment_count)
                self._pools[name].set_allotment(allotment_count)
        if new_counts:
            LOGGER.info(
                "Allotments of {} leafs changed, to between {} and {} "
                "connections.",
                len(new_counts),
                min(new_counts),
                max(new_counts),
            )

    async def _add(
        self, nursery: trio.Nursery, info: shardmap.LeafInfo
    ) -> None:
        pool = leafpool.LeafPool(
            info.name,
            info.address,
            self._options,
            self._connector,
            self._connect_gate,
            self._metrics,
            self._rng,
        )
        scope = trio.CancelScope()
        await nursery.start(functools.partial(run_pool_in_scope, scope, pool))
        self._pools[info.name] = pool
        self._scopes[info.name] = scope
        self._pool_added.set()
        self._pool_added = trio.Event()

    def _remove(self, leaf: str) -> None:
        self._pools.pop(leaf)
        self._scopes.pop(leaf).cancel()

    def _connection_count(self) -> float:
        return sum(pool.open_count for pool in self._pools.values())


async def wait_any(events: abc.Iterable[trio.Event]) -> None:
    """Wait until one of the events is set."""

    async def wait_one(event: trio.Event) -> None:
        await event.wait()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for event in events:
            nursery.start_soon(wait_one, event)


async def run_pool_in_scope(
    scope: trio.CancelScope,
    pool: leafpool.LeafPool,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a pool inside a cancel scope, which stops it."""
    with scope:
        await pool.run(task_status=task_status)


def may_resend(
    outcome: result.Result[typing.Any, errors.LeafError],
) -> bool:
    """Return whether a connection broke before any byte was written.

    Such a call can be repeated even if it is not idempotent.
    """
    if isinstance(outcome, result.Ok):
        return False
    error = outcome.err_value
    lost = error.kind is errors.LeafFailureKind.CONNECTION_LOST
    return lost and error.ran is errors.Ran.NO
