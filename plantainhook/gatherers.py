"""Send scatter-gather requests to the daemons that run them for others.

Pattern: there are many daemons, and each has few requests that query hundreds
of leafs. If each daemon queried the leafs itself, its connections would be
idle for longer than the leafs keep them open, and a leaf does not accept
enough connections for all daemons. In a large fleet a few daemons of each
data centre, the gatherers, therefore query the leafs for the others. Their
connections stay in use, and they learn the latencies of the leafs. In a small
fleet every daemon runs its own requests.

A request that its gatherer has certainly not started is run here instead.
"""

import dataclasses
import math
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    cancelqueue,
    clock,
    errors,
    forwardtypes,
    gathererload,
    hashing,
    logs,
    membercapacity,
    peers,
    routetable,
    stopadmission,
    urgency,
    wire,
)

LOGGER: typing.Final = logs.part_logger("gatherers")
# A gatherer that failed to answer a request is avoided for this time.
FAILED_AVOID_S: typing.Final = 3.0
# A gatherer that does not answer a probe is avoided until the result of the
# next one is known, so in effect until it answers again.
PROBE_INTERVAL_S: typing.Final = 0.5
PROBE_TIMEOUT_S: typing.Final = 0.45
PROBE_FAILED_AVOID_S: typing.Final = 1.1
# CPU time of one call to a leaf on one core, and the time that the calls of a
# query may take on the CPU of one VM.
CALL_CPU_S: typing.Final = 0.0005
CALLS_S: typing.Final = 0.03
SHARDS_LIMIT_MIN_COUNT: typing.Final = 4
CAPACITY_PER_CORE: typing.Final = 100
# The request to the gatherer ends this long before the deadline, because its
# answer takes some time to arrive.
ANSWER_MARGIN_S: typing.Final = 0.02

RunHere = abc.Callable[
    [forwardtypes.ForwardRequest, float],
    abc.Awaitable[forwardtypes.Response],
]


@dataclasses.dataclass(frozen=True, slots=True)
class GathererOptions:
    """Configure how many daemons are gatherers.

    In a fleet of up to ``all_gather_max_count`` daemons, each daemon runs its
    own requests. The other two apply to each data centre of a larger fleet.
    """

    all_gather_max_count: int = 12
    members_per_gatherer_count: int = 8
    min_per_data_centre_count: int = 2


class Gatherers:
    """Send requests to gatherers, and run the requests that peers send.

    ``run_here`` answers a request of a peer; its second argument is the time
    in seconds since the peer received the request. ``is_overloaded`` takes the
    same arguments and returns whether the answer would be late. ``knows``
    returns whether the configuration here allows a request. ``queued_s``
    returns the CPU time that the queries of this daemon need. The owner sets
    them before ``run``.
    """

    run_here: RunHere
    is_overloaded: abc.Callable[[forwardtypes.ForwardRequest, float], bool]
    knows: abc.Callable[[forwardtypes.ForwardRequest], bool]
    queued_s: abc.Callable[[], float]

    def __init__(
        self,
        board: blackboard.Blackboard,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        choice: "GathererChoice",
        stop: stopadmission.StopAdmission,
        time_source: clock.Clock,
    ) -> None:
        self._board = board
        self._transport = transport
        self._choice = choice
        self._stop = stop
        self._clock = time_source
        self.is_overloaded = lambda forwarded, elapsed_s: False
        self.knows = lambda forwarded: True
        self.queued_s = lambda: 0.0
        self._loads = gathererload.GathererLoads()
        self._avoid_until_s: dict[str, float] = {}
        self._running: dict[tuple[int, str], trio.CancelScope] = {}
        self._cancels = cancelqueue.CancelQueue(transport)
        handlers.register(wire.HttpWork)(self._on_work)
        handlers.register(wire.CancelWork)(self._on_cancel)

    @property
    def running_count(self) -> int:
        """Return the number of requests that run for peers."""
        return len(self._running)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Probe the gatherers and send them cancellations until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancels.run)
            while True:
                current = self._current_gatherers()
                self._loads.keep(current)
                for address in current:
                    nursery.start_soon(self._probe, address)
                await trio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, address: str) -> None:
        """Learn the load of a gatherer; avoid it if it does not answer."""
        if address == self._board.own_address():
            return
        reply = await self._transport.request(
            address, wire.Probe([]), PROBE_TIMEOUT_S
        )
        if isinstance(reply, result.Err):
            self._avoid_until_s[address] = (
                self._clock.now_s() + PROBE_FAILED_AVOID_S
            )
        elif isinstance(reply.ok_value, wire.ProbeAck):
            self._learn(address, reply.ok_value.queued_ms)

    def _learn(self, address: str, queued_ms: float) -> None:
        self._loads.report(address, queued_ms / 1e3, self._clock.now_s())

    async def answer(
        self,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
    ) -> forwardtypes.Response | None:
        """Return the answer of a gatherer, or None to run the request here.

        If this call is cancelled, the request is cancelled at the gatherer.
        """
        chosen = self._choose_gatherers(forwarded.request_id)
        for address in chosen:
            if address == self._board.own_address():
                return None
            may_refuse = len(chosen) > 1 and address == chosen[0]
            reply = await self._send(
                address, forwarded, route, arrived_s, may_refuse
            )
            if not _is_passed_over(reply):
                return self._read_reply(address, forwarded, reply)
        return None

    async def _send(
        self,
        address: str,
        forwarded: forwardtypes.ForwardRequest,
        route: routetable.Route,
        arrived_s: float,
        may_refuse: bool,
    ) -> peers.Reply:
        """Send a request to a gatherer; return its reply."""
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
            forwarded.tenant,
            forwarded.ranks,
            forwarded.rank,
            may_refuse,
            self._board.routes.version,
            forwarded.caller,
        )
        cores = self._current_gatherers().get(address, 1.0)
        work_s = work_of(route, cores)
        self._loads.begin(address, work_s)
        try:
            return await self._transport.request(
                address, work, max(0.0, left_s)
            )
        except trio.Cancelled:
            self._cancels.put(address, wire.CancelWork(forwarded.request_id))
            raise
        finally:
            self._loads.end(address, work_s)

    def _read_reply(
        self,
        address: str,
        forwarded: forwardtypes.ForwardRequest,
        reply: peers.Reply,
    ) -> forwardtypes.Response | None:
        if isinstance(reply, result.Ok):
            answer = reply.ok_value
            if isinstance(answer, wire.HttpAnswer):
                self._learn(address, answer.queued_ms)
                return forwardtypes.Response(
                    answer.status, list(answer.headers), answer.body
                )
            return None
        error = reply.err_value
        self._avoid_until_s[address] = self._clock.now_s() + FAILED_AVOID_S
        LOGGER.info(
            "Request {} to gatherer {} failed: {}",
            forwarded.request_id,
            address,
            error,
        )
        if error.ran is errors.Ran.NO:
            return None
        return forwardtypes.Response(forwardtypes.STATUS_TIMEOUT, [], b"")

    def _choose_gatherers(self, request_id: str) -> list[str]:
        """Return the addresses of the gatherers to ask, preferred first."""
        now_s = self._clock.now_s()
        usable = {
            address: cores
            for address, cores in self._current_gatherers().items()
            if self._avoid_until_s.get(address, 0.0) <= now_s
        }
        own_address = self._board.own_address()
        if own_address in usable:
            self._loads.report(own_address, self.queued_s(), now_s)
        return self._loads.choose(request_id, usable, now_s)

    def _current_gatherers(self) -> dict[str, float]:
        """Return the cores of the gatherers of this data centre by address.

        There are none in a small fleet.
        """
        own = self._board.members.get(self._board.incarnation)
        if own is None or not self._choice.is_large_fleet():
            return {}
        chosen = self._choice.by_data_centre().get(own.data_centre, [])
        return {
            member.peer_address: cores_of(member.capacity) for member in chosen
        }

    async def _on_work(
        self, sender: wire.HelloFrame, body: wire.HttpWork
    ) -> wire.AnyBody:
        left_s = math.inf
        if body.left_ms is not None:
            left_s = (body.left_ms - body.elapsed_ms) / 1e3
        if not self._stop.admits_work(0.0, left_s, trio.current_time()):
            return wire.Refused("this daemon stops")
        forwarded = read_forwarded(body, body.left_ms)
        # A sender whose configuration is older is not told to run a request
        # of a tenant that was removed.
        is_older = self._board.routes.version < body.configuration
        if is_older and not self.knows(forwarded):
            return wire.Refused(wire.OLDER_CONFIGURATION)
        if body.may_refuse and self.is_overloaded(
            forwarded, body.elapsed_ms / 1e3
        ):
            return wire.Refused(wire.OVERLOADED)
        key = (sender.incarnation, body.request_id)
        scope = self._running[key] = trio.CancelScope()
        try:
            with scope:
                response = await self.run_here(
                    forwarded, body.elapsed_ms / 1e3
                )
                return wire.HttpAnswer(
                    response.status,
                    response.headers,
                    response.body,
                    self.queued_s() * 1e3,
                )
        finally:
            self._running.pop(key, None)
        # The sender cancelled the request and no longer waits for an answer.
        return wire.Ack()

    async def _on_cancel(
        self, sender: wire.HelloFrame, body: wire.CancelWork
    ) -> wire.AnyBody:
        scope = self._running.get((sender.incarnation, body.request_id))
        if scope is not None:
            scope.cancel()
        return wire.Ack()


def _is_passed_over(reply: peers.Reply) -> bool:
    """Return whether a gatherer refused a request that others may run.

    Pattern: a configuration adds a route or a tenant, and reaches the daemon
    that a caller uses before the gatherer.
    """
    return (
        isinstance(reply, result.Err)
        and reply.err_value.ran is errors.Ran.NO
        and reply.err_value.detail
        in (wire.OVERLOADED, wire.OLDER_CONFIGURATION)
    )


class GathererChoice:
    """Choose the gatherers of all data centres from the members.

    All daemons with the same members and routes choose the same ones. In a
    small fleet every daemon is a gatherer.
    """

    def __init__(
        self, board: blackboard.Blackboard, options: GathererOptions
    ) -> None:
        self._board = board
        self._options = options
        self._members: dict[int, blackboard.MemberInfo] | None = None
        self._routes: routetable.RouteTable | None = None
        self._chosen: dict[str, list[blackboard.MemberInfo]] = {}
        self._is_large = False

    def by_data_centre(self) -> dict[str, list[blackboard.MemberInfo]]:
        """Return the gatherers by data centre."""
        self._update()
        return self._chosen

    def is_large_fleet(self) -> bool:
        """Return whether only some of the daemons gather."""
        self._update()
        return self._is_large

    def count(self) -> int:
        """Return the number of gatherers in the fleet; 0 if all gather."""
        if not self.is_large_fleet():
            return 0
        return sum(len(chosen) for chosen in self._chosen.values())

    def _update(self) -> None:
        board = self._board
        if board.members is self._members and board.routes is self._routes:
            return
        self._members = board.members
        self._routes = board.routes
        alive = board.usable_members()
        self._is_large = len(alive) > self._options.all_gather_max_count
        near: dict[str, list[blackboard.MemberInfo]] = {}
        for member in alive:
            near.setdefault(member.data_centre, []).append(member)
        self._chosen = near
        if self._is_large:
            shards_count = -(-board.routes.max_shards_count() // len(near))
            self._chosen = {
                name: choose_gatherers(members, self._options, shards_count)
                for name, members in near.items()
            }


def choose_gatherers(
    members: abc.Sequence[blackboard.MemberInfo],
    options: GathererOptions,
    shards_count: int = 0,
) -> list[blackboard.MemberInfo]:
    """Choose the gatherers among the members of one data centre.

    ``shards_count`` is how many shards of a query are called in the data
    centre.

    Pattern: VMs differ, and on one with little CPU capacity a query over
    hundreds of shards takes longer than its caller waits. The members of the
    highest capacity are gatherers; others are added if they are too few for
    the fleet or for the calls of a query.
    """
    if not members:
        return []
    preferred = membercapacity.highest_capacity(members)
    limit_count = shards_limit_count(preferred[0].capacity)
    wanted_count = max(
        options.min_per_data_centre_count,
        -(-len(members) // options.members_per_gatherer_count),
    )
    needed_count = max(
        options.min_per_data_centre_count, -(-shards_count // limit_count)
    )
    if len(preferred) >= needed_count:
        return _choose(preferred, max(wanted_count, needed_count))
    rest = [member for member in members if member not in preferred]
    count = max(wanted_count, needed_count) - len(preferred)
    return preferred + _choose(rest, count)


def _choose(
    members: abc.Iterable[blackboard.MemberInfo], count: int
) -> list[blackboard.MemberInfo]:
    by_address = {member.peer_address: member for member in members}
    return [
        by_address[address]
        for address in hashing.choose("gather", by_address, count)
    ]


def read_forwarded(
    body: wire.HttpWork | wire.BranchWork, left_ms: float | None
) -> forwardtypes.ForwardRequest:
    """Return the request that a message of a peer carries."""
    return forwardtypes.ForwardRequest(
        body.method,
        body.target,
        body.host,
        [(name, value) for name, value in body.headers],
        body.body,
        body.request_id,
        left_ms,
        tenant=body.tenant,
        ranks=urgency.Urgency(*body.urgency) if body.urgency else None,
        rank=body.rank,
        caller=body.caller,
    )


def cores_of(capacity: int) -> float:
    """Return the cores of a VM; an unknown capacity counts as one core.

    ``capacity`` is in hundredths of a core; 0 is unknown.
    """
    return (capacity or CAPACITY_PER_CORE) / CAPACITY_PER_CORE


def work_of(route: routetable.Route, cores: float) -> float:
    """Return the CPU time in seconds of a request on a VM."""
    shards_count = len(route.gather.shard_services) if route.gather else 1
    return shards_count * CALL_CPU_S / cores


def shards_limit_count(capacity: int) -> int:
    """Return how many shards of a query one daemon should call.

    ``capacity`` is that of its VM in hundredths of a core; 0 is unknown.
    """
    limit = cores_of(capacity) * CALLS_S / CALL_CPU_S
    return max(SHARDS_LIMIT_MIN_COUNT, int(limit))
