"""Fleets of daemons that call leafs with request limits, on virtual time.

Each daemon decides with the real planner and query machine. Leafs record
which daemon called them when.
"""

import dataclasses
import random
import typing

import result
import trio

from plantainhook import (
    blackboard,
    errors,
    executor,
    forwardplanner,
    forwardtypes,
    goalhedging,
    hashing,
    leaflimits,
    limitsync,
    memorynet,
    peers,
    queryplan,
    querytypes,
    routetable,
    shardmap,
    windowbudget,
    wire,
)

WORK_S: typing.Final = 0.03
WINDOW_S: typing.Final = 4.0
# A daemon has to respect a limit this long after it has learnt of it, and the
# fleet ``SETTLE_S`` after the leaf has stated it first.
NOTICE_S: typing.Final = 0.5
SETTLE_S: typing.Final = 4.0


@dataclasses.dataclass(slots=True)
class Leaf:
    """Answer calls, and state a limit between two times."""

    info: shardmap.LeafInfo
    limit_per_s: float | None = None
    from_s: float = 0.0
    until_s: float = float("inf")
    calls: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    told_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def stated_limit(self) -> float | None:
        """Return the limit that a reply states now."""
        if self.from_s <= trio.current_time() < self.until_s:
            return self.limit_per_s
        return None

    def excess(self) -> float:
        """Return by how many calls the limit was exceeded at most.

        A window counts once the limit has been stated for ``SETTLE_S``, and
        in it the calls of the daemons that know the limit.
        """
        if self.limit_per_s is None or not self.told_s:
            return 0.0
        allowed = 1.5 * self.limit_per_s * WINDOW_S + 5.0
        settled_s = min(self.told_s.values()) + SETTLE_S
        worst = -allowed
        for end_s, _caller in self.calls:
            if not settled_s <= end_s < self.until_s:
                continue
            count = sum(
                end_s - WINDOW_S < at_s <= end_s
                and self.told_s.get(caller, end_s) + NOTICE_S <= end_s
                for at_s, caller in self.calls
            )
            worst = max(worst, count - allowed)
        return worst


class Daemon:
    """Run the queries of one daemon."""

    def __init__(self, number: int, fleet: "Fleet") -> None:
        self.number = number
        self.fleet = fleet
        place = fleet.members[number].data_centre
        self.board = blackboard.Blackboard(number, members=fleet.members)
        self.board.settings = blackboard.SettingsView(
            leafs={name: leaf.info for name, leaf in fleet.leafs.items()}
        )
        self.board.leafs = {
            name: blackboard.LeafView(blackboard.LeafState.LIVE, {}, 0.0)
            for name in fleet.leafs
        }
        self.limits = leaflimits.LeafLimits()
        handlers = peers.Handlers()
        member = fleet.members[number]
        hello = wire.HelloFrame(
            wire.PROTOCOL_VERSION,
            number,
            member.name,
            "",
            place,
            member.peer_address,
            "",
        )
        self.transport = memorynet.MemoryTransport(
            fleet.network, hello, handlers
        )
        self.tokens = limitsync.LimitSync(
            self.board,
            self.limits,
            self.transport,
            handlers,
            lambda: len(fleet.members),
            random.Random(number),
        )
        self.scope = trio.CancelScope()
        fleet.nursery.start_soon(self._run_tokens)
        budgets = windowbudget.WindowBudgets(
            windowbudget.WindowRules(10.0, 0.2, 52.0),
            lambda service: len(fleet.members),
            -100.0,
        )
        policies = queryplan.build_policies(place, number)
        policies.latencies = goalhedging.PooledLatencies()
        policies.budgets = budgets
        policies.replicas.limits = self.limits
        self.planner = forwardplanner.ForwardPlanner(
            self.board, place, policies, budgets
        )
        self.outcomes: list[tuple[float, executor.Outcome]] = []

    async def _run_tokens(self) -> None:
        with self.scope:
            await self.tokens.run()

    def stop(self) -> None:
        """Stop answering peers and calling leafs, as after a crash."""
        self.scope.cancel()
        self.transport.close()

    async def send_queries(self, rate_per_s: float) -> None:
        """Run queries at random times until cancelled."""
        rng = random.Random(f"queries {self.number}")
        async with trio.open_nursery() as nursery:
            while not self.scope.cancel_called:
                await trio.sleep(rng.expovariate(rate_per_s))
                nursery.start_soon(self.run_query, f"{rng.random()}")

    async def run_query(self, request_id: str) -> None:
        """Run one query over all shards of the route."""
        route = self.fleet.route
        forwarded = forwardtypes.ForwardRequest(
            b"GET", b"/a/b", "h", [], b"", request_id, route.timeout_ms
        )
        now_s = trio.current_time()
        request = forwardplanner.build_query_request(forwarded, route, now_s)
        self.limits.record_query(self.fleet.services, now_s)
        rank = forwardplanner.rank_of(request_id)
        await self.tokens.prepare(
            self.planner.version_view(self.fleet.services),
            self.fleet.services,
            rank,
            now_s + forwardplanner.goal_ms_of(route) / 1e3,
        )
        machine = self.planner.build_machine(
            request, route, self.fleet.services, now_s
        )
        outcome = await executor.run_query(
            machine, request, self, self.planner.clock
        )
        self.outcomes.append((now_s, outcome))

    async def call(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> executor.AttemptResult:
        """Call a leaf, as ``executor.LeafCaller``."""
        leaf = self.fleet.leafs[send.leaf]
        now_s = trio.current_time()
        self.limits.record_call(send.leaf, send.reason, now_s)
        leaf.calls.append((now_s, self.number))
        await trio.sleep(WORK_S)
        stated = leaf.stated_limit()
        if stated is not None:
            leaf.told_s.setdefault(self.number, trio.current_time())
        self.limits.observe(send.leaf, stated, trio.current_time())
        shard_result = querytypes.ShardResult(send.shards[0], ["part"])
        return result.Ok(
            querytypes.LeafReply(
                request.request_id, send.snapshot, (shard_result,)
            )
        )


class Fleet:
    """Set up daemons and leafs; ``places`` has a letter for each daemon.

    ``leaf_places`` has, for each shard, a letter for each of its leafs.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        places: str,
        leaf_places: dict[str, str],
        goal_ms: float = 175.0,
    ) -> None:
        self.nursery = nursery
        self.network = memorynet.MemoryNetwork(
            nursery, random.Random(1), delay_s=0.004
        )
        self.members: dict[int, blackboard.MemberInfo] = {}
        self.services = tuple(leaf_places)
        self.leafs = {
            f"{service}{place}": Leaf(
                shardmap.LeafInfo(
                    f"{service}{place}", "l:1", place, service, service, 2, 25
                )
            )
            for service, leafs in leaf_places.items()
            for place in leafs
        }
        self.route = routetable.Route(
            "r",
            "h",
            "/a/",
            True,
            5.0 * goal_ms,
            goal_ms,
            2,
            1,
            gather=routetable.Gather(self.services, 5, 1.0),
        )
        self.daemons: list[Daemon] = []
        for place in places:
            self.add_daemon(place)

    def add_daemon(self, place: str) -> Daemon:
        """Add a daemon, which all others know at once."""
        number = len(self.daemons)
        self.members[number] = blackboard.MemberInfo(
            number,
            f"d{number}",
            "",
            place,
            f"d{number}:1",
            "",
            True,
            False,
            features=wire.FEATURE_LIMITS,
        )
        daemon = Daemon(number, self)
        self.daemons.append(daemon)
        return daemon

    def granter(self) -> Daemon:
        """Return the daemon that grants, from the members."""
        (number,) = hashing.choose(limitsync.GRANTER_KEY, self.members, 1)
        return self.daemons[number]

    def calls_per_s(self, leaf: str, from_s: float, until_s: float) -> float:
        """Return the rate of the calls to a leaf in a time."""
        count = sum(
            from_s <= at_s < until_s for at_s, _ in self.leafs[leaf].calls
        )
        return count / (until_s - from_s)

    def limit(self, names: typing.Iterable[str], **limits: float) -> None:
        """Let some leafs state a limit."""
        for name in names:
            for field, value in limits.items():
                setattr(self.leafs[name], field, value)

    def start_queries(self, rates_per_s: typing.Iterable[float]) -> None:
        """Start the queries of the daemons."""
        for daemon, rate_per_s in zip(self.daemons, rates_per_s, strict=True):
            self.nursery.start_soon(daemon.send_queries, rate_per_s)

    def answered_ratio(self, from_s: float, until_s: float) -> float:
        """Return the share of the queries begun in a time with an answer."""
        begun = sum(
            from_s <= at_s < until_s
            for daemon in self.daemons
            for at_s, _ in daemon.outcomes
        )
        answered = self.answered_per_s(from_s, until_s) * (until_s - from_s)
        return answered / begun

    def answered_per_s(self, from_s: float, until_s: float) -> float:
        """Return the rate of the queries begun in a time with an answer."""
        answered = sum(
            from_s <= at_s < until_s
            and not isinstance(outcome, errors.RefusalError)
            for daemon in self.daemons
            for at_s, outcome in daemon.outcomes
        )
        return answered / (until_s - from_s)
