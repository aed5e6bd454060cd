"""Exchange of reports and grants with the daemon that grants for the fleet.

All daemons with the same members choose the same granter, by rendezvous
hashing. Nothing is elected and nothing is stored. Daemons that can't reach
it, or that know other members, report to another one. Each granter therefore
grants only the part of a limit that belongs to the daemons that report to it.
"""

import math
import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    hashing,
    leaflimits,
    limitgrants,
    logs,
    membercapacity,
    peers,
    snapshot,
    wire,
)

LOGGER: typing.Final = logs.part_logger("limit")
GRANTER_KEY: typing.Final = "limits"
EXCHANGE_INTERVAL_S: typing.Final = 0.25
# Least time between two exchanges, and per daemon of a large fleet.
EXCHANGE_GAP_S: typing.Final = 0.03
GAP_PER_DAEMON_S: typing.Final = 0.0005
EXCHANGE_TIMEOUT_S: typing.Final = 0.3
# A query without a token waits for exchanges at least this long, and for this
# part of the time until its goal. If it is refused, there is time for a retry.
TOKEN_WAIT_S: typing.Final = 0.06
TOKEN_WAIT_RATIO: typing.Final = 0.25
# A granter that has not answered is avoided for this time.
FAILED_AVOID_S: typing.Final = 3.0
CANDIDATES_COUNT: typing.Final = 2
# A daemon that reaches no candidate grants its own part for this time. It is
# shorter than FAILED_AVOID_S, so that other candidates are tried next.
ALONE_S: typing.Final = 2.0
# Changes within this time are told in one message.
NOTICE_DELAY_S: typing.Final = 0.01


class LimitSync:
    """Keep the tokens of this daemon up to date; grant those of others.

    ``daemons_count`` returns the number of daemons in the fleet.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        limits: leaflimits.LeafLimits,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        daemons_count: abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._board = board
        self._limits = limits
        self._transport = transport
        self._daemons_count = daemons_count
        self._rng = rng
        self._granter = limitgrants.LimitGranter(board)
        self._granter_id: int | None = None
        self._sequence = 0
        self._avoid_until_s: dict[int, float] = {}
        self._alone_until_s = -math.inf
        self._wake = trio.Event()
        # Set when the next exchange that starts from now on has ended.
        self._exchanged = trio.Event()
        limits.service_of = self._service_of
        limits.on_change = self._on_change
        board.listeners.append(self._on_board_change)
        # Set when this daemon has learnt of a limit for which it may grant.
        self._granted = trio.Event()
        handlers.register(wire.LimitReport)(self._on_report)
        handlers.register(wire.LimitNotice)(self._on_notice)

    async def run(self) -> None:
        """Exchange reports and grants while limits are known.

        The first exchange with a granter tells this daemon the limits.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notify_others)
            await self._exchange_repeatedly()

    async def _exchange_repeatedly(self) -> None:
        while True:
            while not self._needs_exchange():
                await self._wait(FAILED_AVOID_S)
            exchanged, self._exchanged = self._exchanged, trio.Event()
            await self._exchange()
            exchanged.set()
            gap_s = max(
                EXCHANGE_GAP_S, GAP_PER_DAEMON_S * self._daemons_count()
            )
            await trio.sleep(gap_s)
            interval_s = max(EXCHANGE_INTERVAL_S, 2.0 * gap_s)
            await self._wait(interval_s * self._rng.uniform(0.8, 1.2))

    def _needs_exchange(self) -> bool:
        if self._limits.needs_exchange():
            return True
        candidates = self._candidates()
        return (
            bool(candidates) and candidates[0].incarnation != self._granter_id
        )

    async def _notify_others(self) -> None:
        """Tell changed limits to the daemons that have not reported.

        Pattern: a leaf accepts one request a second. If each of many daemons
        learnt the limit from its own call, these calls would exceed it.
        """
        sequence = 0
        while True:
            await self._granted.wait()
            await trio.sleep(NOTICE_DELAY_S)
            self._granted = trio.Event()
            limits = self._granter.limits()
            if self._granter.sequence == sequence or not limits:
                continue
            sequence = self._granter.sequence
            callers = self._granter.callers(trio.current_time())
            async with trio.open_nursery() as nursery:
                for member in self._board.usable_members():
                    if (
                        member.features & wire.FEATURE_LIMITS
                        and member.incarnation not in callers
                    ):
                        nursery.start_soon(
                            self._notify, member, wire.LimitNotice(limits)
                        )

    async def _notify(
        self, member: blackboard.MemberInfo, notice: wire.LimitNotice
    ) -> None:
        reply = await self._transport.request(
            member.peer_address, notice, EXCHANGE_TIMEOUT_S
        )
        if isinstance(reply, result.Err):
            LOGGER.info(
                "Limits were not told to {}: {}", member.name, reply.err_value
            )

    async def prepare(
        self,
        view: snapshot.VersionView,
        services: abc.Collection[str],
        rank: float,
        goal_s: float,
    ) -> None:
        """Get tokens for a query that lacks them; wait for a short time.

        ``goal_s`` is when the query should be answered. Pattern: a fleet is
        large and each daemon calls a leaf rarely. If the daemons held tokens
        in advance, few of them would be used.
        """
        now_s = trio.current_time()
        wait_s = max(TOKEN_WAIT_S, TOKEN_WAIT_RATIO * (goal_s - now_s))
        with trio.move_on_after(wait_s):
            while self._request_lacking(view, services, rank):
                self._wake.set()
                await self._exchanged.wait()

    def _request_lacking(
        self,
        view: snapshot.VersionView,
        services: abc.Iterable[str],
        rank: float,
    ) -> bool:
        """Request the tokens that a query lacks; return whether it does."""
        if not self._limits.leafs:
            return False
        lacking = False
        for service in services:
            route = view.route_of.get(service)
            if route is None or not self._limits.admits(service, rank):
                continue
            names = [leaf.info.name for leaf in (*route.near, *route.far)]
            if not any(self._limits.may_call(name) for name in names):
                for name in names:
                    self._limits.request_token(name)
                lacking = lacking or bool(names)
        return lacking

    def _on_change(self) -> None:
        self._wake.set()

    def _on_board_change(self, topic: blackboard.Topic) -> None:
        if topic is blackboard.Topic.MEMBERS:
            self._wake.set()

    async def _wait(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await self._wake.wait()
        self._wake = trio.Event()

    async def _exchange(self) -> None:
        """Exchange with the first candidate that answers, or else alone."""
        self._limits.remove_absent()
        for member in self._candidates():
            report = self._build_report(member.incarnation)
            grants = await self._send(member, report)
            if grants is not None:
                self._apply(member.incarnation, report, grants)
                return
        own_id = self._board.incarnation
        if self._granter_id != own_id:
            LOGGER.info(
                "No other daemon grants tokens; this one uses its own part."
            )
        if trio.current_time() >= self._alone_until_s:
            self._alone_until_s = trio.current_time() + ALONE_S
        report = self._build_report(own_id)
        self._apply(own_id, report, self._grant(own_id, report))

    def _build_report(self, granter_id: int) -> wire.LimitReport:
        since = self._sequence if granter_id == self._granter_id else 0
        return self._limits.build_report(since, trio.current_time())

    def _apply(
        self,
        granter_id: int,
        report: wire.LimitReport,
        grants: wire.LimitGrants,
    ) -> None:
        self._granter_id = granter_id
        self._sequence = grants.sequence
        self._limits.apply(report, grants, trio.current_time())

    async def _send(
        self, member: blackboard.MemberInfo, report: wire.LimitReport
    ) -> wire.LimitGrants | None:
        now_s = trio.current_time()
        if member.incarnation == self._board.incarnation:
            return self._grant(member.incarnation, report)
        reply = await self._transport.request(
            member.peer_address, report, EXCHANGE_TIMEOUT_S
        )
        if isinstance(reply, result.Ok):
            if isinstance(reply.ok_value, wire.LimitGrants):
                return reply.ok_value
            LOGGER.warning(
                "Unexpected reply {} of {} to a report on limits.",
                type(reply.ok_value).__name__,
                member.name,
            )
        else:
            LOGGER.info("No grants from {}: {}", member.name, reply.err_value)
        self._avoid_until_s[member.incarnation] = now_s + FAILED_AVOID_S
        return None

    def _candidates(self) -> list[blackboard.MemberInfo]:
        """Return the granter and its substitutes without those that failed."""
        now_s = trio.current_time()
        if now_s < self._alone_until_s:
            return []
        self._avoid_until_s = {
            incarnation: until_s
            for incarnation, until_s in self._avoid_until_s.items()
            if until_s > now_s
        }
        alone = self._granter_id == self._board.incarnation
        return [
            member
            for member in granters(
                self._board, CANDIDATES_COUNT + len(self._avoid_until_s)
            )
            if member.incarnation not in self._avoid_until_s
        ][: 1 if alone else CANDIDATES_COUNT]

    async def _on_report(
        self, sender: wire.HelloFrame, body: wire.LimitReport
    ) -> wire.AnyBody:
        self._limits.learn(
            {
                demand.leaf: demand.limit_per_s
                for demand in body.leafs
                if demand.limit_per_s is not None
            },
            trio.current_time(),
        )
        return self._grant(sender.incarnation, body)

    async def _on_notice(
        self, sender: wire.HelloFrame, body: wire.LimitNotice
    ) -> wire.AnyBody:
        self._limits.learn(body.limits, trio.current_time())
        return wire.Ack()

    def _grant(
        self, caller_id: int, report: wire.LimitReport
    ) -> wire.LimitGrants:
        now_s = trio.current_time()
        before = self._granter.sequence
        grants = self._granter.on_report(
            caller_id, report, self._part_ratio(caller_id, now_s), now_s
        )
        if self._granter.sequence != before:
            self._granted.set()
        return grants

    def _part_ratio(self, caller_id: int, now_s: float) -> float:
        """Return the part of each limit that this daemon may grant.

        It is the part of the daemons that report here, because the others may
        report to another granter.
        """
        callers = {caller_id, *self._granter.callers(now_s)}
        return min(1.0, len(callers) / self._daemons_count())

    def _service_of(self, leaf: str) -> str | None:
        info = self._board.settings.leafs.get(leaf)
        return info.service if info is not None else None


def granters(
    board: blackboard.Blackboard,
    count: int,
    key: str = GRANTER_KEY,
    feature: int = wire.FEATURE_LIMITS,
) -> list[blackboard.MemberInfo]:
    """Return the daemon that grants, and its substitutes in order.

    Only daemons that announce the feature are chosen, because others don't
    know the messages. Another ``key`` leads to another choice.
    """
    able = [
        member
        for member in board.usable_members()
        if member.features & feature
    ]
    members = {
        member.incarnation: member
        for member in membercapacity.highest_capacity(able)
    }
    chosen = hashing.choose(key, members, count)
    return [members[incarnation] for incarnation in chosen]
