"""Dissemination of settings revisions and quarantine entries.

The controller owns ``blackboard.settings``; it keeps the revisions in a
``dissemination.RevisionSource`` and reads the members from ``membership``.

A few daemons of each data centre, ``GossipOptions.watcher_count``, watch the
settings head in the object API. A daemon that adopts a new revision notifies
its ring neighbours. A receiver pulls the difference from the first peer that
announced the revision, and asks further peers only if that fails. Digests
exchanged with a random member repair lost messages, and a slow poll covers a
broken watch.

A revision is adopted only if it is higher than the current one, whatever its
source, so messages may arrive late, twice or out of order. The digests also
repair quarantine entries, which ``quarantinegossip`` pushes.
"""

import dataclasses
import random
import typing

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    dissemination,
    hashing,
    logs,
    membership,
    objectapi,
    peers,
    quarantinegossip,
    wire,
)

LOGGER: typing.Final = logs.part_logger("gossip")
HEAD_KEY: typing.Final = "settings/head"
REQUEST_TIMEOUT_S: typing.Final = 1.0
PULL_TIMEOUT_S: typing.Final = 1.0
PULL_TIMEOUT_MAX_S: typing.Final = 8.0
PULL_PAUSE_S: typing.Final = 0.1
PULL_PEER_COUNT: typing.Final = 3
PULL_ATTEMPTS_COUNT: typing.Final = 8
API_PAUSE_S: typing.Final = 1.0
REFRESH_ATTEMPTS_COUNT: typing.Final = 6
API_PAUSE_MAX_S: typing.Final = 30.0
ANNOUNCER_COUNT: typing.Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOptions:
    """Configure gossip.

    ``strategy`` is a name in ``dissemination.STRATEGIES``; ``watcher_count``
    is the number of watchers in each data centre.
    """

    strategy: str = "push"
    watcher_count: int = 2
    digest_interval_s: float = 2.0
    poll_interval_s: float = 30.0
    watch_timeout_s: float = 20.0


class Gossip:
    """Disseminate revisions and quarantine entries; publish the settings.

    ``pull_count`` counts the pulls that were sent, including failed ones.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        members: membership.Membership,
        source: dissemination.RevisionSource,
        store: objectapi.ObjectApi,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        options: GossipOptions,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._members = members
        self._source = source
        self._store = store
        self._transport = transport
        self._options = options
        self._strategy = dissemination.STRATEGIES.create(options.strategy)
        self._clock = time_source
        self._rng = rng
        self._announcers: dict[str, int] = {}
        self._announced = trio.Event()
        self.quarantine_gossip = quarantinegossip.QuarantineGossip(
            board, members, transport, handlers, time_source, rng
        )
        self.quarantine = self.quarantine_gossip.sync
        self.pull_count = 0
        handlers.register(wire.RevisionNotice)(self._on_notice)
        handlers.register(wire.RevisionPull)(self._on_pull)
        handlers.register(wire.Digest)(self._on_digest)

    async def run(self) -> None:
        """Disseminate and adopt revisions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._publish()
            nursery.start_soon(self._pull_loop)
            if self._strategy.push:
                nursery.start_soon(self.quarantine_gossip.push_changes)
            if self._strategy.digest:
                nursery.start_soon(self._digest_loop)
            if self._strategy.watch:
                nursery.start_soon(self._watch_loop)
            nursery.start_soon(self._poll_loop)

    # Adoption

    def _publish(self) -> bool:
        """Publish the source's revision if it is higher than the current one.

        Return whether it was. If so, the ring neighbours are notified, unless
        the strategy has no push.
        """
        view = self._source.view()
        if view.revision <= self._board.settings.revision:
            return False
        self._board.settings = view
        self._board.notify(blackboard.Topic.SETTINGS)
        LOGGER.info("Settings revision {} is in force.", view.revision)
        if self._strategy.push:
            self._push(wire.RevisionNotice(view.revision))
        return True

    def _push(self, body: wire.AnyBody) -> None:
        for address in self._members.neighbour_addresses():
            self._nursery.start_soon(self._send, address, body)

    async def _send(self, address: str, body: wire.AnyBody) -> None:
        reply = await self._transport.request(address, body, REQUEST_TIMEOUT_S)
        if isinstance(reply, result.Err):
            LOGGER.debug("No reply to a push: {}", reply.err_value)

    # Watching and polling

    def is_watcher(self) -> bool:
        """Return whether this daemon is a watcher of its data centre."""
        own = self._members.table.own
        return own.incarnation in self.watchers(own.data_centre)

    def watchers(self, data_centre: str) -> list[int]:
        """Return the incarnations of the watchers of a data centre."""
        candidates = (
            entry.incarnation
            for entry in self._members.table.up_members()
            if entry.data_centre == data_centre
        )
        return hashing.choose(
            HEAD_KEY, candidates, self._options.watcher_count
        )

    async def _watch_loop(self) -> None:
        version = 0
        pause_s = API_PAUSE_S
        while True:
            if not self.is_watcher():
                await self._board.change_event(blackboard.Topic.MEMBERS).wait()
                continue
            changes = await self._store.watch(
                HEAD_KEY, version, self._options.watch_timeout_s
            )
            if isinstance(changes, result.Err):
                await self._back_off(pause_s)
                pause_s = min(2 * pause_s, API_PAUSE_MAX_S)
                continue
            pause_s = API_PAUSE_S
            for change in changes.ok_value:
                version = max(version, change.version)
            if changes.ok_value:
                await self._refresh_after_change()

    async def _refresh_after_change(self) -> None:
        """Read the head until it is newer.

        A read may return an older state than the change event that led to
        it. Without another read, the daemon would stay behind until the slow
        poll. There are at most ``REFRESH_ATTEMPTS_COUNT`` reads.
        """
        before = self._board.settings.revision
        for _ in range(REFRESH_ATTEMPTS_COUNT):
            await self._refresh()
            if self._board.settings.revision > before:
                return
            await self._back_off(API_PAUSE_S)

    async def _poll_loop(self) -> None:
        """Poll slowly, so that a broken watch delays but never loses changes.

        With the strategy ``poll`` every daemon polls, otherwise only watchers.
        """
        while True:
            if self._strategy.poll_by_all or self.is_watcher():
                await self._refresh()
            await self._back_off(self._options.poll_interval_s)

    async def _back_off(self, pause_s: float) -> None:
        await trio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _refresh(self) -> None:
        refreshed = await self._source.refresh()
        if isinstance(refreshed, result.Err):
            LOGGER.warning(
                "Settings could not be read: {}", refreshed.err_value
            )
        self._publish()

    # Pulling

    def _record_announcement(self, address: str, revision: int) -> None:
        """Record a peer that announced a higher revision, in order of arrival.

        At most ``ANNOUNCER_COUNT`` peers are kept.
        """
        if revision <= self._board.settings.revision:
            return
        known = self._announcers.get(address, 0)
        if known or len(self._announcers) < ANNOUNCER_COUNT:
            self._announcers[address] = max(known, revision)
        self._announced.set()

    async def _pull_loop(self) -> None:
        while True:
            await self._announced.wait()
            self._announced = trio.Event()
            failure_count = 0
            while failure_count < PULL_ATTEMPTS_COUNT:
                asked = self._take_announcers(failure_count + 1)
                if not asked:
                    break
                if await self._pull_first(asked, failure_count):
                    failure_count = 0
                    continue
                failure_count += 1
                self._announcers = {**asked, **self._announcers}
                await self._back_off(PULL_PAUSE_S)

    def _take_announcers(self, count: int) -> dict[str, int]:
        """Remove the first peers that announced a higher revision.

        Return their revisions by address.
        """
        own = self._board.settings.revision
        ahead = {a: r for a, r in self._announcers.items() if r > own}
        chosen = list(ahead)[: min(count, PULL_PEER_COUNT)]
        self._announcers = {a: r for a, r in ahead.items() if a not in chosen}
        return {address: ahead[address] for address in chosen}

    async def _pull_first(
        self, asked: dict[str, int], failure_count: int
    ) -> bool:
        """Pull from some peers in parallel; return whether one answered.

        The other pulls are cancelled after the first answer. Only a repeated
        pull asks more than one peer, so that the delays of successive lost
        messages don't add up.
        """
        timeout_s = pull_timeout_s(failure_count)
        answered: list[str] = []

        async def ask(address: str) -> None:
            if await self._pull(address, timeout_s):
                answered.append(address)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in asked:
                nursery.start_soon(ask, address)
        return bool(answered)

    async def _pull(self, address: str, timeout_s: float) -> bool:
        """Pull the difference from one peer and adopt it.

        Return False if there was no reply or it was not adopted. A reply
        without a newer revision counts as an answer.
        """
        self.pull_count += 1
        body = wire.RevisionPull(self._board.settings.revision)
        reply = await self._transport.request(address, body, timeout_s)
        if isinstance(reply, result.Err):
            LOGGER.info("Pull of settings failed: {}", reply.err_value)
            return False
        delta = reply.ok_value
        if not isinstance(delta, wire.RevisionDelta):
            return True
        if delta.to_revision <= self._board.settings.revision:
            return True
        adopted = await self._source.adopt(delta)
        if isinstance(adopted, result.Err):
            LOGGER.warning(
                "Pulled settings revision was not adopted: {}",
                adopted.err_value,
            )
            return False
        self._publish()
        return True

    # Digests

    async def _digest_loop(self) -> None:
        while True:
            await self._back_off(self._options.digest_interval_s)
            self.quarantine.expire(self._clock.now_s())
            target = self._random_member()
            if target is not None:
                await self._exchange_digests(target.peer_address)

    def _random_member(self) -> wire.MemberEntry | None:
        table = self._members.table
        ring = table.ring()
        if len(ring) < 2:
            return None
        chosen = self._rng.choice(ring)
        while chosen == table.own_incarnation:
            chosen = self._rng.choice(ring)
        return table.entries[chosen]

    def _digest(self) -> wire.Digest:
        return wire.Digest(
            self._board.settings.revision,
            self._members.table.members_hash(),
            self.quarantine.digest(),
        )

    async def _exchange_digests(self, address: str) -> None:
        """Exchange digests with a peer and repair what differs."""
        reply = await self._transport.request(
            address, self._digest(), REQUEST_TIMEOUT_S
        )
        if not isinstance(reply, result.Ok):
            return
        theirs = reply.ok_value
        if not isinstance(theirs, wire.Digest):
            return
        self._record_announcement(address, theirs.revision)
        if theirs.quarantine_hash != self.quarantine.digest():
            await self.quarantine_gossip.exchange(address)
        if theirs.member_hash != self._members.table.members_hash():
            await self._members.sync_with(address)

    # Requests of peers

    async def _on_notice(
        self, sender: wire.HelloFrame, body: wire.RevisionNotice
    ) -> wire.AnyBody:
        self._record_announcement(sender.peer_address, body.revision)
        return wire.Ack()

    async def _on_pull(
        self, sender: wire.HelloFrame, body: wire.RevisionPull
    ) -> wire.AnyBody:
        revision = self._board.settings.revision
        if revision <= body.have_revision:
            return wire.RevisionNotice(revision)
        return await self._source.delta_from(body.have_revision)

    async def _on_digest(
        self, sender: wire.HelloFrame, body: wire.Digest
    ) -> wire.AnyBody:
        self._record_announcement(sender.peer_address, body.revision)
        return self._digest()


def pull_timeout_s(failure_count: int) -> float:
    """Return the timeout of a pull after some failed ones, in seconds.

    The first pulls time out quickly, because a message may have been lost.
    Later ones wait longer, because a full copy over a slow link takes longer.
    """
    return min(
        PULL_TIMEOUT_MAX_S, PULL_TIMEOUT_S * 2.0 ** max(0, failure_count - 4)
    )
