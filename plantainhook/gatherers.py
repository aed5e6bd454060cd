"""Choice of the daemon that asks all shards, and the way to it.

Pattern: many daemons, each with few requests that ask hundreds of leafs. Were
each to ask them itself, its connections would be idle for longer than the
leafs keep them, and a leaf has not connections enough for all. In a large
fleet a few daemons of each data centre gather for the others; they keep their
connections in use and learn the latencies of the leafs. A small fleet needs
none of this.

A request that its gatherer has certainly not begun is run here instead.
"""

import dataclasses
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    errors,
    forwardtypes,
    hashing,
    logs,
    membercapacity,
    peers,
    routetable,
    wire,
)

LOGGER: typing.Final = logs.part_logger("gatherers")
# A gatherer that let a request run out of time is passed over for so long.
AVOID_S: typing.Final = 3.0
# A gatherer that misses a probe is passed over until one is answered.
PROBE_INTERVAL_S: typing.Final = 0.5
PROBE_TIMEOUT_S: typing.Final = 0.45
MISSED_S: typing.Final = 1.1
CANCEL_TIMEOUT_S: typing.Final = 0.5
CANCEL_QUEUE_COUNT: typing.Final = 256
# The gatherer answers by the deadline; its answer needs a moment to arrive.
ANSWER_MARGIN_S: typing.Final = 0.02

RunHere = abc.Callable[
    [forwardtypes.ForwardRequest, float],
    abc.Awaitable[forwardtypes.Response],
]


@dataclasses.dataclass(frozen=True, slots=True)
class GathererOptions:
    """Hold up to which size all daemons gather, and how many do beyond."""

    all_gather_count: int = 12
    members_per_gatherer_count: int = 8
    least_per_data_centre_count: int = 2


class Gatherers:
    """Send requests to the gatherers and run those of peers."""

    run_here: RunHere

    def __init__(
        self,
        board: blackboard.Blackboard,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        options: GathererOptions,
        time_source: clock.Clock,
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._clock = time_source
        self._avoid_until_s: dict[str, float] = {}
        self._running: dict[tuple[int, str], trio.CancelScope] = {}
        self._chosen_from: dict[int, blackboard.MemberInfo] | None = None
        self._chosen: list[str] = []
        self._cancels, self._to_cancel = trio.open_memory_channel[
            tuple[str, str]
        ](CANCEL_QUEUE_COUNT)
        handlers.register(wire.HttpWork)(self._on_work)
        handlers.register(wire.CancelWork)(self._on_cancel)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Probe gatherers and tell them who left, until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_loop)
            while True:
                for address in self._current():
                    nursery.start_soon(self._probe, address)
                await trio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, address: str) -> None:
        """Pass a gatherer over while it does not answer."""
        if address == self._board.own_address():
            return
        reply = await self._transport.request(
            address, wire.Probe([]), PROBE_TIMEOUT_S
        )
        if isinstance(reply, result.Err):
            self._avoid_until_s[address] = self._clock.now_s() + MISSED_S

    async def _cancel_loop(self) -> None:
        async for address, request_id in self._to_cancel:
            await self._transport.request(
                address, wire.CancelWork(request_id), CANCEL_TIMEOUT_S
            )

    async def answer(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
    ) -> forwardtypes.Response | None:
        """Return the answer of a gatherer, or None to run the request here."""
        address = self._gatherer_of(forwarded.request_id)
        if address is None:
            return None
        now_s = trio.current_time()
        left_ms = route.timeout_ms
        if forwarded.left_ms is not None:
            left_ms = min(left_ms, forwarded.left_ms)
        left_s = arrived_s + left_ms / 1e3 - now_s - ANSWER_MARGIN_S
        work = wire.HttpWork(
            forwarded.request_id,
            forwarded.method,
            forwarded.target,
            forwarded.host,
            forwarded.headers,
            forwarded.body,
            forwarded.left_ms,
            (now_s - arrived_s) * 1e3,
        )
        try:
            reply = await self._transport.request(
                address, work, max(0.0, left_s)
            )
        except trio.Cancelled:
            self._cancel_at(address, forwarded.request_id)
            raise
        return self._response(address, forwarded, reply)

    def _response(
        self,
        address: str,
        forwarded: forwardtypes.ForwardRequest,
        reply: peers.Reply,
    ) -> forwardtypes.Response | None:
        if isinstance(reply, result.Ok):
            answer = reply.ok_value
            if isinstance(answer, wire.HttpAnswer):
                return forwardtypes.Response(
                    answer.status, list(answer.headers), answer.body
                )
            return None
        error = reply.err_value
        self._avoid_until_s[address] = self._clock.now_s() + AVOID_S
        LOGGER.info(
            "Request {} at gatherer {} failed: {}",
            forwarded.request_id,
            address,
            error,
        )
        if error.ran is errors.Ran.NO:
            return None
        return forwardtypes.Response(forwardtypes.STATUS_TIMEOUT, [], b"")

    def gatherer_count(self) -> int:
        """Return how many daemons gather in all; 0 where all do."""
        members = self._board.usable_members()
        if len(members) <= self._options.all_gather_count:
            return 0
        by_data_centre: dict[str, list[blackboard.MemberInfo]] = {}
        for member in members:
            by_data_centre.setdefault(member.data_centre, []).append(member)
        return sum(
            len(choose_gatherers(near, self._options))
            for near in by_data_centre.values()
        )

    def _gatherer_of(self, request_id: str) -> str | None:
        """Return the gatherer of a request; None where it is run here."""
        now_s = self._clock.now_s()
        usable = [
            address
            for address in self._current()
            if self._avoid_until_s.get(address, 0.0) <= now_s
        ]
        if not usable:
            return None
        (address,) = hashing.choose(request_id, usable, 1)
        return None if address == self._board.own_address() else address

    def _current(self) -> list[str]:
        """Return the gatherers; they are chosen again as members change."""
        if self._board.members is not self._chosen_from:
            self._chosen_from = self._board.members
            self._chosen = self._choose()
        return self._chosen

    def _choose(self) -> list[str]:
        """Return the gatherers of the own data centre."""
        board = self._board
        own = board.members.get(board.incarnation)
        alive = self._board.usable_members()
        if own is None or len(alive) <= self._options.all_gather_count:
            return []
        near = [
            member for member in alive if member.data_centre == own.data_centre
        ]
        return choose_gatherers(near, self._options)

    def _cancel_at(self, address: str, request_id: str) -> None:
        try:
            self._cancels.send_nowait((address, request_id))
        except trio.WouldBlock:
            LOGGER.warning("Cancel of {} is left out.", request_id)

    async def _on_work(
        self, sender: wire.HelloFrame, body: wire.HttpWork
    ) -> wire.AnyBody:
        forwarded = forwardtypes.ForwardRequest(
            body.method,
            body.target,
            body.host,
            [(name, value) for name, value in body.headers],
            body.body,
            body.request_id,
            body.left_ms,
        )
        key = (sender.incarnation, body.request_id)
        scope = self._running[key] = trio.CancelScope()
        try:
            with scope:
                response = await self.run_here(
                    forwarded, body.elapsed_ms / 1e3
                )
                return wire.HttpAnswer(
                    response.status, response.headers, response.body
                )
        finally:
            self._running.pop(key, None)
        return wire.Ack()

    async def _on_cancel(
        self, sender: wire.HelloFrame, body: wire.CancelWork
    ) -> wire.AnyBody:
        scope = self._running.get((sender.incarnation, body.request_id))
        if scope is not None:
            scope.cancel()
        return wire.Ack()


def choose_gatherers(
    members: abc.Sequence[blackboard.MemberInfo], options: GathererOptions
) -> list[str]:
    """Return the addresses of those that gather for a data centre.

    Pattern: VMs are not alike, and a query over hundreds of shards takes more
    time on a weak processor than its callers have. Strong members gather
    where there are enough of them.
    """
    if not members:
        return []
    wanted = -(-len(members) // options.members_per_gatherer_count)
    least = options.least_per_data_centre_count
    strong = [
        member.peer_address
        for member in membercapacity.highest_capacity(members)
    ]
    if len(strong) >= least:
        return hashing.choose("gather", strong, max(least, wanted))
    rest = [
        member.peer_address
        for member in members
        if member.peer_address not in strong
    ]
    count = max(least, wanted) - len(strong)
    return strong + hashing.choose("gather", rest, count)
