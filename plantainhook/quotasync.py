"""Exchange of admissions and grants for the quotas of tenants.

All daemons with the same members choose the same granter, by rendezvous
hashing, as for the limits of leafs (``limitsync``). Every daemon reports to
it while a tenant has a quota. A granter grants only the part of a quota that
belongs to the daemons that report to it, because the others may use another
granter. ``tenantquota`` decides; nothing is stored.
"""

import collections
import dataclasses
import math
import random
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    blackboard,
    granterfailures,
    limitsync,
    logs,
    peers,
    quotabucket,
    quotaidle,
    quotanotices,
    routetable,
    tenantquota,
    wire,
)

LOGGER: typing.Final = logs.part_logger("quota")
GRANTER_KEY: typing.Final = "quotas"
CANDIDATES_COUNT: typing.Final = 2
EXCHANGE_TIMEOUT_S: typing.Final = 0.15
# Admissions within this time are reported in one message.
REPORT_DELAY_S: typing.Final = 0.01
# Longest time between two reports, and per daemon of a large fleet.
REPORT_INTERVAL_S: typing.Final = 0.4
INTERVAL_PER_DAEMON_S: typing.Final = 0.001
# A daemon that has not reported for this many intervals may use another
# granter.
PRESENT_INTERVALS_COUNT: typing.Final = 2.0
# The least number of daemons' parts that a granter grants.
PART_MIN_COUNT: typing.Final = 0.1
# A daemon that reaches no candidate uses its own part for this time before it
# tries others.
ALONE_S: typing.Final = 1.0
# A request waits at most for two time-outs of an exchange that has begun and
# for the exchange that follows.
ASK_WAIT_S: typing.Final = 0.45
# A refusal without an answer of the granter names this time.
UNANSWERED_RETRY_S: typing.Final = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """Represent a request that waits for a grant."""

    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    retry_after_s: float | None = None
    is_asked: bool = False


class QuotaSync:
    """Admit requests of tenants by their quotas; grant those of others.

    ``daemons_count`` returns the number of daemons in the fleet, and
    ``window_s`` is the window in which a quota has to hold.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        daemons_count: abc.Callable[[], int],
        rng: random.Random,
        window_s: float,
        started_s: float,
        slack_count: float = 0.0,
    ) -> None:
        self._board = board
        self._transport = transport
        self._daemons_count = daemons_count
        self._rng = rng
        self._window_s = window_s
        self._granter = tenantquota.Granter(window_s, started_s)
        self._gates: dict[str, tenantquota.Gate] = {}
        self._waiting: dict[str, collections.deque[_Waiting]] = {}
        self._granter_id: int | None = None
        self._sequence = 0
        self._noted_members: abc.Mapping[int, blackboard.MemberInfo] = {}
        self._failures = granterfailures.GranterFailures()
        self._alone_until_s = -math.inf
        self._rules = quotabucket.CurrentRules(slack_count)
        self._idle = quotaidle.IdleTenants()
        self._wake = trio.Event()
        self._notices = quotanotices.QuotaNotices(
            board, transport, self._granter, self._close
        )
        handlers.register(wire.QuotaReport)(self._on_report)
        handlers.register(wire.QuotaGrants)(self._on_notice)

    async def run(self) -> None:
        """Exchange reports and grants while any tenant has a quota."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notices.run)
            while True:
                while not self._is_needed():
                    await self._board.change_event(
                        blackboard.Topic.ROUTES
                    ).wait()
                await self._exchange()
                if not any(self._waiting.values()):
                    await self._wait_for_work()

    async def admit(
        self, tenant: routetable.Tenant, now_s: float, deadline_s: float
    ) -> float | None:
        """Admit a request, or return after how many seconds to retry.

        The request waits for the granter unless the tenant is open.
        """
        if quotabucket.rules_of(tenant) is None:
            return None
        gate = self._gates.setdefault(tenant.name, tenantquota.Gate())
        waiting = self._waiting.setdefault(tenant.name, collections.deque())
        if not waiting and self._is_open(tenant, gate, now_s):
            gate.record(now_s)
            self._wake.set()
            return None
        entry = _Waiting()
        waiting.append(entry)
        self._wake.set()
        try:
            with trio.move_on_at(min(deadline_s, now_s + ASK_WAIT_S)):
                await entry.decided.wait()
                return entry.retry_after_s
        finally:
            if entry in waiting:
                waiting.remove(entry)
        if entry.decided.is_set():
            return entry.retry_after_s
        return UNANSWERED_RETRY_S

    def _is_open(
        self, tenant: routetable.Tenant, gate: tenantquota.Gate, now_s: float
    ) -> bool:
        if gate.is_open(now_s):
            return True
        table = self._board.routes
        rules = self._rules.of(table).get(tenant.name)
        return (
            rules is not None
            and not gate.ages(quotabucket.kept_s(self._window_s), now_s)
            and self._idle.is_open(tenant.name, rules, table.version, now_s)
        )

    def _is_needed(self) -> bool:
        """Return whether a tenant has a quota or a request still waits."""
        has_quotas = bool(self._rules.of(self._board.routes))
        return has_quotas or any(self._waiting.values())

    def _interval_s(self) -> float:
        return max(
            REPORT_INTERVAL_S, INTERVAL_PER_DAEMON_S * self._daemons_count()
        )

    def _present_s(self) -> float:
        return PRESENT_INTERVALS_COUNT * self._interval_s()

    async def _wait_for_work(self) -> None:
        """Wait until a request needs an exchange or a report is due."""
        interval_s = self._interval_s() * self._rng.uniform(0.8, 1.0)
        with trio.move_on_after(interval_s):
            await self._wake.wait()
            if not any(self._waiting.values()):
                await trio.sleep(REPORT_DELAY_S)
        self._wake = trio.Event()

    async def _exchange(self) -> None:
        """Exchange with the first candidate that answers, or else alone."""
        self._note_members()
        for member in self._candidates():
            sent_s = trio.current_time()
            if self._is_own_only_caller(member, sent_s):
                break
            report = self._build_report(sent_s)
            if member.incarnation == self._board.incarnation:
                grants = self._grant(member.incarnation, report)
            else:
                received = await self._send(member, report)
                if received is None:
                    self._close_all()
                    continue
                grants = received
            self._apply(member.incarnation, report, grants, sent_s)
            return
        else:
            if trio.current_time() >= self._alone_until_s:
                self._alone_until_s = trio.current_time() + ALONE_S
        self._close_all()
        self._failures.retry(None, trio.current_time())
        self._build_report(trio.current_time())
        for name in self._waiting:
            self._decide_alone(name)

    def _is_own_only_caller(
        self, member: blackboard.MemberInfo, now_s: float
    ) -> bool:
        """Return whether this daemon grants, but to no other daemon.

        Pattern: all daemons of a large fleet are cut off from each other. If
        each of them granted at least one request, these would exceed a burst.
        """
        own_id = self._board.incarnation
        return (
            member.incarnation == own_id
            and self._daemons_count() > 1
            and not self._granter.callers(self._present_s(), now_s) - {own_id}
        )

    def _build_report(self, now_s: float) -> wire.QuotaReport:
        self._sequence += 1
        rules = self._rules.of(self._board.routes)
        uses = []
        for name in list(self._gates):
            gate = self._gates[name]
            waiting = self._waiting.get(name, ())
            ages = gate.ages(quotabucket.kept_s(self._window_s), now_s)
            for entry in waiting:
                entry.is_asked = True
            if name not in rules and not waiting:
                del self._gates[name]
                self._waiting.pop(name, None)
            elif ages or waiting:
                uses.append(
                    wire.TenantUse(
                        name, len(waiting), gate.admitted_count, ages
                    )
                )
        return wire.QuotaReport(self._sequence, uses)

    async def _send(
        self, member: blackboard.MemberInfo, report: wire.QuotaReport
    ) -> wire.QuotaGrants | None:
        reply = await self._transport.request(
            member.peer_address, report, EXCHANGE_TIMEOUT_S
        )
        if isinstance(reply, result.Ok):
            if isinstance(reply.ok_value, wire.QuotaGrants):
                return reply.ok_value
            detail = f"unexpected {type(reply.ok_value).__name__}"
        else:
            detail = str(reply.err_value)
        LOGGER.info("No grants of quotas from {}: {}", member.name, detail)
        self._failures.record(member.incarnation, trio.current_time())
        return None

    def _apply(
        self,
        granter_id: int,
        report: wire.QuotaReport,
        grants: wire.QuotaGrants,
        sent_s: float,
    ) -> None:
        if granter_id != self._granter_id:
            self._granter_id = granter_id
            self._close_all()
            for gate in self._gates.values():
                gate.sequence = 0
        self._idle.update(grants, sent_s)
        now_s = trio.current_time()
        self._failures.clear(granter_id)
        may_ask_again = False
        if grants.granter != granter_id:
            # The substitute reaches the granter, and can grant little itself.
            may_ask_again = self._failures.retry_first(grants.granter)
            self._failures.retry(grants.granter, now_s)
        reported = {use.tenant: use.admitted for use in report.tenants}
        for grant in grants.tenants:
            if grant.tenant not in self._gates:
                continue
            gate = self._gates[grant.tenant]
            if grants.sequence > gate.sequence:
                gate.sequence = grants.sequence
                gate.open_until_s = -math.inf
                if grant.open_count:
                    gate.open_until_s = sent_s + tenantquota.OPEN_S
                    gate.open_limit_count = (
                        reported.get(grant.tenant, 0)
                        + grant.granted
                        + grant.open_count
                    )
            self._decide(gate, grant, may_ask_again, now_s)
        # The granter may not know a tenant of a newer configuration.
        for name in self._waiting:
            if name in reported:
                self._decide_alone(name)

    def _decide(
        self,
        gate: tenantquota.Gate,
        grant: wire.TenantGrant,
        may_ask_again: bool,
        now_s: float,
    ) -> None:
        """Tell the requests that were asked for whether they are admitted.

        Those that are not may be asked for again at another granter.
        """
        waiting = self._waiting.get(grant.tenant, collections.deque())
        granted_count, refused_count = grant.granted, 0
        while waiting and waiting[0].is_asked:
            if may_ask_again and not granted_count:
                for entry in waiting:
                    entry.is_asked = False
                break
            entry = waiting.popleft()
            if granted_count:
                granted_count -= 1
                gate.record(now_s)
            else:
                retry_ms = grant.retry_ms + refused_count * grant.step_ms
                refused_count += 1
                entry.retry_after_s = max(
                    quotabucket.RETRY_MIN_S,
                    min(quotabucket.RETRY_MAX_S, retry_ms / 1e3),
                )
            entry.decided.set()

    def _decide_alone(self, name: str) -> None:
        """Decide the requests of a tenant that no granter has decided.

        They use this daemon's own part of the quota.
        """
        rules = self._rules.of(self._board.routes).get(name)
        waiting = self._waiting[name]
        while waiting and waiting[0].is_asked:
            entry = waiting.popleft()
            if rules is not None:
                entry.retry_after_s = self._gates[name].admit_alone(
                    rules.part(1.0 / self._daemons_count()),
                    self._window_s,
                    self._rng,
                    trio.current_time(),
                )
            entry.decided.set()

    def _close_all(self) -> None:
        self._idle.reset()
        for gate in self._gates.values():
            gate.open_until_s = -math.inf

    def _candidates(self) -> list[blackboard.MemberInfo]:
        """Return the granter and its substitutes without those that failed."""
        now_s = trio.current_time()
        if now_s < self._alone_until_s:
            return []
        avoided = self._failures.avoided(
            self._granter_id == self._board.incarnation, now_s
        )
        members = limitsync.granters(
            self._board,
            CANDIDATES_COUNT + len(avoided),
            GRANTER_KEY,
            wire.FEATURE_QUOTAS,
        )
        return [
            member for member in members if member.incarnation not in avoided
        ][:CANDIDATES_COUNT]

    # The granter

    async def _on_report(
        self, sender: wire.HelloFrame, body: wire.QuotaReport
    ) -> wire.AnyBody:
        return self._grant(sender.incarnation, body)

    def _grant(
        self, caller_id: int, report: wire.QuotaReport
    ) -> wire.QuotaGrants:
        now_s = trio.current_time()
        callers = {
            caller_id,
            *self._granter.callers(self._present_s(), now_s),
        }
        self._note_members()
        parts_count = self._granter.parts_count(callers, now_s)
        ratio = min(
            1.0, max(PART_MIN_COUNT, parts_count) / self._daemons_count()
        )
        grants = self._granter.on_report(
            caller_id, report, self._rules.of(self._board.routes), ratio, now_s
        )
        self._notices.check()
        return msgspec.structs.replace(
            grants,
            granter=self._granter_id or 0,
            version=self._board.routes.version,
        )

    def _note_members(self) -> None:
        """Let the granter learn which daemons are new."""
        if self._board.members is not self._noted_members:
            self._noted_members = self._board.members
            self._granter.note_members(
                self._board.members, trio.current_time()
            )

    async def _on_notice(
        self, sender: wire.HelloFrame, body: wire.QuotaGrants
    ) -> wire.AnyBody:
        self._close(sender.incarnation, body)
        return wire.Ack()

    def _close(self, granter_id: int, notice: wire.QuotaGrants) -> None:
        if granter_id != self._granter_id:
            return
        names = [grant.tenant for grant in notice.tenants]
        self._idle.close(names, notice.sequence)
        for grant in notice.tenants:
            known = self._gates.get(grant.tenant)
            if known is not None and notice.sequence > known.sequence:
                known.sequence = notice.sequence
                known.open_until_s = -math.inf
