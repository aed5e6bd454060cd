"""Anti-entropy of the member table: exchanges what piggybacking missed.

A round has two requests. The first sends one hash per bucket, and the peer
returns the versions of the members in some buckets that differ. The second
sends the entries that are newer here and asks for those that are newer at the
peer, so only entries that differ are transferred. A daemon that joins repeats
the round until it has a copy of all members.
"""

import random
import typing

import result

from plantainhook import clock, memberentry, membertable, peers, wire

SYNC_MIN_INTERVAL_S: typing.Final = 10.0
SYNC_BUCKET_COUNT: typing.Final = 4
SYNC_ENTRY_COUNT: typing.Final = 100
JOIN_ENTRY_COUNT: typing.Final = 400
JOIN_ROUNDS: typing.Final = 2 * memberentry.BUCKET_COUNT


class MemberSync:
    """Compare and exchange the member table with those of peers."""

    def __init__(
        self,
        table: membertable.MemberTable,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        timeout_s: float,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._transport = transport
        self._timeout_s = timeout_s
        self._clock = time_source
        self._rng = rng
        self._last_sync_s = -SYNC_MIN_INTERVAL_S
        handlers.register(wire.MemberBuckets)(self._on_buckets)
        handlers.register(wire.MemberSync)(self._on_sync)

    async def copy_from(self, address: str) -> None:
        """Copy the member table of a peer, for a daemon that joins.

        The copied entries are not propagated. The copy is incomplete if a
        request fails.
        """
        for _count in range(JOIN_ROUNDS):
            if not await self._run_round(address, False, JOIN_ENTRY_COUNT):
                return

    async def sync_with(self, address: str) -> None:
        """Exchange some of the entries that differ from those of a peer.

        Does nothing within ``SYNC_MIN_INTERVAL_S`` of the previous round.
        """
        now_s = self._clock.now_s()
        if now_s - self._last_sync_s >= SYNC_MIN_INTERVAL_S:
            self._last_sync_s = now_s
            await self._run_round(address, True, SYNC_ENTRY_COUNT)

    async def _run_round(
        self, address: str, propagate: bool, limit_count: int
    ) -> bool:
        """Run one round; return whether entries were exchanged."""
        hashes = list(self._table.bucket_hashes)
        reply = await self._transport.request(
            address, wire.MemberBuckets(hashes), self._timeout_s
        )
        if not isinstance(reply, result.Ok):
            return False
        summary = reply.ok_value
        if not isinstance(summary, wire.MemberSummary):
            return False
        newer = self._table.newer_than(summary.buckets, summary.versions)
        wanted = self._table.incarnations_to_fetch(summary.versions)[
            :limit_count
        ]
        if not newer and not wanted:
            return False
        body = wire.MemberSync(newer[:limit_count], wanted)
        answer = await self._transport.request(address, body, self._timeout_s)
        if not isinstance(answer, result.Ok):
            return False
        if isinstance(answer.ok_value, wire.MemberSync):
            entries = answer.ok_value.members
            self._table.merge(entries, self._clock.now_s(), propagate)
        return True

    async def _on_buckets(
        self, sender: wire.HelloFrame, body: wire.MemberBuckets
    ) -> wire.AnyBody:
        differing = self._table.differing_buckets(body.hashes)
        self._rng.shuffle(differing)
        buckets = differing[:SYNC_BUCKET_COUNT]
        return wire.MemberSummary(buckets, self._table.summary(buckets))

    async def _on_sync(
        self, sender: wire.HelloFrame, body: wire.MemberSync
    ) -> wire.AnyBody:
        self._table.merge(body.members, self._clock.now_s())
        known = self._table.entries
        wanted = body.wanted[:JOIN_ENTRY_COUNT]
        entries = [
            known[incarnation]
            for incarnation in wanted
            if incarnation in known
        ]
        return wire.MemberSync(entries, [])
