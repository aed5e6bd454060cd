"""Count the daemons of the fleet by data centre and settings revision.

Every daemon reports its revision to the watchers of its data centre (see
``gossip``), after each change and at an interval. The command ``status`` asks
one watcher of each data centre, so the counts are computed only on request.
"""

import collections
import dataclasses
import random
import typing

import result
import trio

from plantainhook import blackboard, gossip, membership, peers, wire

REPORT_INTERVAL_S: typing.Final = 30.0
REQUEST_TIMEOUT_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CentreStatus:
    """Count the daemons of a data centre by settings revision.

    ``counts`` maps revisions to numbers of daemons, and ``silent_count``
    counts live daemons whose revision is not known. ``answered`` is false
    if no watcher of the data centre replied.
    """

    data_centre: str
    counts: dict[int, int]
    silent_count: int
    answered: bool


class FleetStatus:
    """Report this daemon's revision and collect the counts of the fleet.

    On a watcher it also keeps the revisions that other daemons reported.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        members: membership.Membership,
        gossiper: gossip.Gossip,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._members = members
        self._gossiper = gossiper
        self._transport = transport
        self._rng = rng
        self._reported: dict[int, int] = {}
        handlers.register(wire.StatusReport)(self._on_report)
        handlers.register(wire.StatusQuery)(self._on_query)

    async def run(self) -> None:
        """Report the revision after changes and at an interval.

        Runs until cancelled.
        """
        while True:
            changed = self._board.change_event(blackboard.Topic.SETTINGS)
            await self._report()
            pause_s = REPORT_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            with trio.move_on_after(pause_s):
                await changed.wait()

    async def collect(self) -> list[CentreStatus]:
        """Return the status of every data centre, sorted by name."""
        statuses: dict[str, CentreStatus] = {}
        async with trio.open_nursery() as nursery:
            for centre in self._live_counts():
                nursery.start_soon(self._ask, centre, statuses)
        return [statuses[centre] for centre in sorted(statuses)]

    def _live_counts(self) -> collections.Counter[str]:
        members = self._members.table.up_members()
        return collections.Counter(entry.data_centre for entry in members)

    async def _report(self) -> None:
        own = self._members.table.own
        body = wire.StatusReport(self._board.settings.revision)
        for incarnation in self._gossiper.watchers(own.data_centre):
            entry = self._members.table.entries[incarnation]
            if incarnation != own.incarnation:
                await self._transport.request(
                    entry.peer_address, body, REQUEST_TIMEOUT_S
                )

    async def _ask(
        self, centre: str, statuses: dict[str, CentreStatus]
    ) -> None:
        for incarnation in self._gossiper.watchers(centre):
            reply = await self._counts_from(incarnation)
            if reply is not None:
                statuses[centre] = CentreStatus(
                    centre, reply.counts, reply.silent_count, answered=True
                )
                return
        live_count = self._live_counts()[centre]
        statuses[centre] = CentreStatus(centre, {}, live_count, answered=False)

    async def _counts_from(self, incarnation: int) -> wire.StatusCounts | None:
        own = self._members.table.own
        if incarnation == own.incarnation:
            return self._own_counts()
        entry = self._members.table.entries.get(incarnation)
        if entry is None:
            return None
        reply = await self._transport.request(
            entry.peer_address, wire.StatusQuery(), REQUEST_TIMEOUT_S
        )
        if isinstance(reply, result.Ok):
            body = reply.ok_value
            if isinstance(body, wire.StatusCounts):
                return body
        return None

    def _own_counts(self) -> wire.StatusCounts:
        """Count the live members of this data centre by revision.

        Reports of members that are not live are dropped.
        """
        own = self._members.table.own
        reported = {
            **self._reported,
            own.incarnation: self._board.settings.revision,
        }
        counts: collections.Counter[int] = collections.Counter()
        silent_count = 0
        self._reported = {}
        for entry in self._members.table.up_members():
            if entry.data_centre != own.data_centre:
                continue
            revision = reported.get(entry.incarnation)
            if revision is None:
                silent_count += 1
                continue
            counts[revision] += 1
            self._reported[entry.incarnation] = revision
        return wire.StatusCounts(own.data_centre, dict(counts), silent_count)

    async def _on_report(
        self, sender: wire.HelloFrame, body: wire.StatusReport
    ) -> wire.AnyBody:
        self._reported[sender.incarnation] = body.revision
        return wire.Ack()

    async def _on_query(
        self, sender: wire.HelloFrame, body: wire.StatusQuery
    ) -> wire.AnyBody:
        return self._own_counts()
