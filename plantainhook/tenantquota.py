"""Decide which requests are within the quotas of tenants.

One daemon, the granter, keeps a token bucket for each tenant. Its state
consists of what daemons report: the times of their admissions within the last
window. A report replaces the earlier one of the same daemon, so lost and
repeated reports do no harm, and another daemon can take over from the reports
alone.

A daemon whose tenant is open admits requests at once and reports them
afterwards. Otherwise it asks the granter first. A daemon without a granter
admits its own part of the quota.

Pattern: one tenant sends many times its usual load through all daemons, while
the others use about 60% of their quotas and must not be refused.
"""

import collections
import dataclasses
import math
import random
import typing
from collections import abc

from plantainhook import quotabucket, wire

# Admissions within one bin are reported with the time of the last of them.
BIN_S: typing.Final = 0.05
# A tenant is open while at least this part of its tokens is left.
OPEN_RATIO: typing.Final = 0.5
# Several daemons may admit requests before one of them has reported, so each
# may use this part of what is left.
UNREPORTED_RATIO: typing.Final = 0.5
# A smaller bucket does not cover the requests that arrive while the daemons
# are told that the tenant is no longer open.
OPEN_MIN_COUNT: typing.Final = 4.0
# A daemon that has not heard of the granter for this time has to ask.
OPEN_S: typing.Final = 1.0


class Granter:
    """Answer the reports of daemons with grants.

    ``closings`` collects the tenants that are no longer open, by the daemon
    that takes them for open; the exchange empties it.
    """

    def __init__(self, window_s: float, started_s: float) -> None:
        self._window_s = window_s
        # Other daemons may have used up the bursts before the start.
        self._since_s = started_s
        self._accounts: dict[str, quotabucket.Account] = {}
        self._seen_s: dict[int, float] = {}
        self._sequences: dict[int, int] = {}
        self._sequence = 0
        self._granting_since_s = -math.inf
        # When daemons became known, by incarnation.
        self._known_s: dict[int, float] = {}
        self.closings: dict[int, list[str]] = {}

    def callers(self, present_s: float, now_s: float) -> abc.Set[int]:
        """Return the daemons that have reported within a time."""
        oldest_s = now_s - max(present_s, self._window_s)
        for caller_id, seen_s in list(self._seen_s.items()):
            if seen_s < oldest_s:
                del self._seen_s[caller_id]
                self._sequences.pop(caller_id, None)
        return {
            caller_id
            for caller_id, seen_s in self._seen_s.items()
            if seen_s >= now_s - present_s
        }

    def note_members(self, members: abc.Iterable[int], now_s: float) -> None:
        """Store when each daemon became known."""
        if now_s - self._since_s < self._full_window_s():
            # Nothing tells which of them started before this daemon.
            now_s = -math.inf
        known_s = self._known_s
        self._known_s = {
            member: known_s.get(member, now_s) for member in members
        }

    def parts_count(self, present: abc.Set[int], now_s: float) -> float:
        """Return how many daemons' parts of a quota may be granted.

        Pattern: the granter and other daemons are killed and start again.
        Nobody knows what they admitted within the last window, so the part of
        a new daemon grows from nothing during a window.
        """
        window_s = self._full_window_s()
        if now_s - self._granting_since_s >= window_s:
            return float(len(present))
        return sum(
            min(1.0, (now_s - self._known_s.get(member, now_s)) / window_s)
            for member in present
        )

    def _full_window_s(self) -> float:
        return quotabucket.kept_s(self._window_s)

    def next_sequence(self) -> int:
        """Return the number of the next message, which is never reused."""
        self._sequence += 1
        return self._sequence

    def on_report(
        self,
        caller_id: int,
        report: wire.QuotaReport,
        rules_by_name: abc.Mapping[str, quotabucket.Rules],
        ratio: float,
        now_s: float,
    ) -> wire.QuotaGrants:
        """Return the grants for a report.

        ``ratio`` is the part of each quota that this granter may grant.
        """
        is_late = report.sequence <= self._sequences.get(caller_id, 0)
        grants = []
        if not is_late:
            if not self._seen_s:
                self._granting_since_s = now_s
            self._seen_s[caller_id] = now_s
            self._sequences[caller_id] = report.sequence
            self._remove_idle(rules_by_name, now_s)
            for use in report.tenants:
                rules = rules_by_name.get(use.tenant)
                if rules is not None:
                    grants.append(
                        self._grant(caller_id, use, rules, ratio, now_s)
                    )
        is_young = now_s < self._since_s + self._window_s
        return wire.QuotaGrants(
            self.next_sequence(),
            grants,
            # Before a whole window, the bursts may have been used elsewhere.
            ratio=0.0 if is_young else ratio,
            closed=[
                name
                for name, account in self._accounts.items()
                if not account.is_open
            ],
        )

    def _grant(
        self,
        caller_id: int,
        use: wire.TenantUse,
        rules: quotabucket.Rules,
        ratio: float,
        now_s: float,
    ) -> wire.TenantGrant:
        account = self._accounts.get(use.tenant)
        horizon_s = now_s - self._full_window_s()
        if account is None:
            account = quotabucket.Account(rules, self._since_s, horizon_s)
            self._accounts[use.tenant] = account
        account.set_rules(rules, now_s)
        account.fold(horizon_s, ratio)
        account.replace(
            caller_id,
            [(now_s - age_ms / 1e3, count) for age_ms, count in use.ages],
        )
        level_count = account.level_count(ratio, now_s)
        room_count, room_s = account.window_room(ratio, self._window_s, now_s)
        left_count = min(level_count, room_count)
        granted = max(0, min(use.wanted, math.floor(left_count + 1e-9)))
        account.add(caller_id, granted, now_s)
        left_count -= granted
        rate_per_s = rules.rate_per_s * ratio
        retry_s = 0.0
        if granted < use.wanted:
            token_s = (1.0 - level_count + granted) / rate_per_s
            retry_s = account.promise(
                max(token_s, room_s), use.wanted - granted, rate_per_s, now_s
            )
        open_count = open_count_at(left_count, rules.part(ratio))
        self._update_told(
            use.tenant, account, caller_id, open_count > 0, now_s
        )
        return wire.TenantGrant(
            use.tenant,
            granted,
            open_count,
            math.ceil(retry_s * 1e3),
            math.ceil(1e3 / rate_per_s),
        )

    def _update_told(
        self,
        tenant: str,
        account: quotabucket.Account,
        caller_id: int,
        is_open: bool,
        now_s: float,
    ) -> None:
        was_open = account.is_open
        account.is_open = is_open
        if is_open or not was_open:
            return
        for other_id, seen_s in self._seen_s.items():
            if other_id != caller_id and seen_s + OPEN_S > now_s:
                self.closings.setdefault(other_id, []).append(tenant)

    def _remove_idle(
        self, rules_by_name: abc.Mapping[str, quotabucket.Rules], now_s: float
    ) -> None:
        for name, account in list(self._accounts.items()):
            if name not in rules_by_name:
                del self._accounts[name]
                continue
            if (
                account.is_idle()
                and account.level_count(1.0, now_s)
                >= account.rules.depth_count()
            ):
                del self._accounts[name]


def open_count_at(level_count: float, part: quotabucket.Rules) -> int:
    """Return how many requests a daemon may admit before it reports them.

    It is 0 if the tenant is not open.
    """
    depth_count = part.depth_count()
    if depth_count < OPEN_MIN_COUNT or level_count < OPEN_RATIO * depth_count:
        return 0
    return int(UNREPORTED_RATIO * level_count)


# The daemons that admit requests


@dataclasses.dataclass(slots=True)
class Gate:
    """Store what a daemon knows of a tenant, and its own admissions.

    ``open_limit_count`` is the number of admissions since the start up to
    which the tenant is open. ``bins`` holds the time of the last admission of
    each bin, their count and the time of the first.
    ``level_count`` is the part of the quota that is left if there is no
    granter.
    """

    open_until_s: float = -math.inf
    open_limit_count: int = 0
    sequence: int = 0
    admitted_count: int = 0
    bins: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    level_count: float = 0.0
    refilled_s: float = -math.inf
    promised_s: float = -math.inf

    def is_open(self, now_s: float) -> bool:
        """Return whether a request may be admitted without asking."""
        return (
            now_s < self.open_until_s
            and self.admitted_count < self.open_limit_count
        )

    def record(self, now_s: float) -> None:
        """Count an admission."""
        self.admitted_count += 1
        if self.bins and now_s - self.bins[-1][2] < BIN_S:
            self.bins[-1][0] = now_s
            self.bins[-1][1] += 1
        else:
            self.bins.append([now_s, 1, now_s])

    def ages(self, window_s: float, now_s: float) -> list[tuple[int, int]]:
        """Return the ages in milliseconds and counts of the admissions."""
        while self.bins and self.bins[0][0] < now_s - window_s:
            self.bins.popleft()
        return [
            (max(0, int(1e3 * (now_s - at_s))), int(count))
            for at_s, count, _ in self.bins
        ]

    def admit_alone(
        self,
        part: quotabucket.Rules,
        window_s: float,
        rng: random.Random,
        now_s: float,
    ) -> float | None:
        """Decide without a granter; return when to retry if refused.

        If the part of the burst is less than one request, the decision is
        drawn at random, so that the parts of all daemons add up to the quota.

        Pattern: all daemons lose contact while a tenant uses its whole quota.
        What each has admitted before counts in its part of the window.
        """
        if self.refilled_s == -math.inf:
            self.refilled_s = now_s
        gained_count = part.rate_per_s * (now_s - self.refilled_s)
        self.level_count = min(
            part.burst_count, self.level_count + gained_count
        )
        self.refilled_s = now_s
        full_s = window_s + quotabucket.WINDOW_MARGIN_S
        ages = self.ages(full_s, now_s)
        used_count = sum(count for _, count in ages)
        has_room = used_count < part.window_count(window_s)
        if has_room and self.level_count >= 1.0:
            self.level_count -= 1.0
            self.record(now_s)
            return None
        if has_room and part.burst_count < 1.0:
            drawn = rng.random() < self.level_count
            self.level_count = 0.0
            if drawn:
                self.record(now_s)
                return None
        step_s = 1.0 / part.rate_per_s
        room_s = now_s if has_room else now_s + full_s - ages[0][0] / 1e3
        self.promised_s = min(
            now_s + quotabucket.RETRY_MAX_S,
            max(
                room_s,
                now_s + (1.0 - self.level_count) * step_s,
                self.promised_s + step_s,
            ),
        )
        return max(quotabucket.RETRY_MIN_S, self.promised_s - now_s)
