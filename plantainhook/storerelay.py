"""Spreads what a few daemons read of the store to all others.

Pattern: every daemon that watches the store pays for each change, so in a
large fleet one of each data centre watches. The others pull from the nearest:
the reply comes as soon as there is news, and says whether the store answers
the watcher. They ask the other watchers for their revisions only, and pull
from one that stays ahead. Where no watcher is fresh for a moment, a daemon
reads the store itself. A small fleet needs no relay and every daemon watches.

Pattern: the store turns some daemons away and serves the others. A watcher
that it does not answer pulls from its peers until it does.
"""

import dataclasses
import random
import typing

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    errors,
    hashing,
    leafpools,
    logs,
    membercapacity,
    objectsource,
    peers,
    steps,
    storereplica,
    storeupdate,
    wire,
)

LOGGER: typing.Final = logs.part_logger("relay")
PULL_WAIT_S: typing.Final = 1.0
PULL_TIMEOUT_S: typing.Final = 1.6
# How often the revisions of the other watchers are compared, and how long one
# may be ahead before it is pulled from.
COMPARE_S: typing.Final = 0.5
COMPARE_TIMEOUT_S: typing.Final = 0.8
AHEAD_S: typing.Final = 0.4
RETRY_S: typing.Final = 0.25
CHECK_S: typing.Final = 0.2
# A watcher whose last reply is older says nothing about the store.
FRESH_S: typing.Final = 1.8
# Daemons lose their watchers together; they turn to the store one after the
# other within this time, and most find a watcher before their turn.
PATIENCE_MAX_S: typing.Final = 0.9
# A watcher without the store pulls from peers after this time: a slow store
# answers within 0.3 s. It asks so many, as some may be without it too.
LOST_S: typing.Final = 0.4
LOST_SOURCES_COUNT: typing.Final = 3
# A daemon stops reading the store when watchers were fresh for this long.
HAND_BACK_S: typing.Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOptions:
    """Hold how many daemons watch at least, and up to which size all do."""

    min_watcher_count: int = 3
    all_watch_max_count: int = 12


class StoreRelay:
    """Choose the source of the copies and serve them to peers."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        data_centre: str,
        replicas: dict[str, storereplica.StoreReplica],
        sources: dict[str, objectsource.ObjectSource],
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        options: RelayOptions,
        follow_options: objectsource.FollowOptions,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._data_centre = data_centre
        self._replicas = replicas
        self._sources = sources
        self._transport = transport
        self._options = options
        self._follow_options = follow_options
        self._clock = time_source
        self._rng = rng
        self._own: trio.CancelScope | None = None
        self._pulls: dict[str, trio.CancelScope] = {}
        self._fresh_s: dict[str, float] = {}
        self._stale_s = time_source.now_s()
        self._relayed_s = float("-inf")
        self._patience_s = 0.0
        self._lost_since_s = time_source.now_s()
        self._lost_kinds: set[str] = set()
        handlers.register(wire.StorePull)(self._on_pull)

    async def run(self) -> None:
        """Keep the copies fed until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._step(nursery)
                await trio.sleep(CHECK_S)

    def watchers(self) -> list[str]:
        """Return the addresses of the daemons that watch the store."""
        alive = {
            member.peer_address: member
            for member in self._board.usable_members()
        }
        if len(alive) <= self._options.all_watch_max_count:
            return list(alive)
        by_data_centre: dict[str, list[blackboard.MemberInfo]] = {}
        for member in alive.values():
            by_data_centre.setdefault(member.data_centre, []).append(member)
        chosen = []
        for _, near in sorted(by_data_centre.items()):
            strong = membercapacity.highest_capacity(near)
            addresses = [member.peer_address for member in strong]
            chosen += hashing.choose("store", addresses, 1)
        lacking = self._options.min_watcher_count - len(chosen)
        rest = [address for address in alive if address not in chosen]
        return chosen + hashing.choose("store", rest, max(0, lacking))

    def _nearest(self) -> str | None:
        """Return the watcher to pull from: fresh, and near if possible."""
        now_s = self._clock.now_s()
        near = {
            member.peer_address
            for member in self._board.members.values()
            if member.data_centre == self._data_centre
        }

        def order(address: str) -> tuple[bool, bool, str]:
            stale = now_s - self._fresh_s.get(address, -FRESH_S) >= FRESH_S
            return (stale, address not in near, address)

        return min(self._pulls, key=order, default=None)

    def is_reading_store(self) -> bool:
        """Return whether this daemon reads the store itself."""
        return self._own is not None

    def _step(self, nursery: trio.Nursery) -> None:
        now_s = self._clock.now_s()
        watchers = self.watchers()
        own_address = self._board.own_address()
        is_watcher = own_address in watchers or not watchers
        self._set_pulls(nursery, self._pulled(watchers, is_watcher, now_s))
        relayed = any(
            now_s - at_s < FRESH_S
            for address, at_s in self._fresh_s.items()
            if address in self._pulls
        )
        if is_watcher or not relayed:
            self._stale_s = now_s
            if is_watcher or now_s - self._relayed_s >= self._patience_s:
                self._start_own(nursery)
            return
        self._relayed_s = now_s
        self._patience_s = self._rng.uniform(0.0, PATIENCE_MAX_S)
        if self._own is not None and now_s - self._stale_s > HAND_BACK_S:
            LOGGER.info("Watchers read the store for this daemon.")
            self._own.cancel()
            self._own = None

    def _pulled(
        self, watchers: list[str], is_watcher: bool, now_s: float
    ) -> list[str]:
        """Return the watchers from which this daemon pulls."""
        own_address = self._board.own_address()
        others = [address for address in watchers if address != own_address]
        if not is_watcher:
            return others
        if not self._lost_kinds:
            self._lost_since_s = now_s
        if now_s - self._lost_since_s < LOST_S:
            return []
        return hashing.choose(own_address, others, LOST_SOURCES_COUNT)

    def _start_own(self, nursery: trio.Nursery) -> None:
        if self._own is None:
            LOGGER.info("Reading the store.")
            self._own = trio.CancelScope()
            self._lost_kinds = set(self._replicas)
            nursery.start_soon(self._follow_all, self._own)

    async def _follow_all(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for kind, replica in self._replicas.items():
                    nursery.start_soon(
                        objectsource.follow,
                        self._sources[kind],
                        WatchedReplica(replica, self._lost_kinds),
                        self._follow_options,
                        self._rng,
                    )

    def _set_pulls(self, nursery: trio.Nursery, watchers: list[str]) -> None:
        for address in list(self._pulls):
            if address not in watchers:
                self._pulls.pop(address).cancel()
        for address in watchers:
            if address not in self._pulls:
                scope = self._pulls[address] = trio.CancelScope()
                nursery.start_soon(self._pull_loop, address, scope)

    async def _pull_loop(self, address: str, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                if address == self._nearest():
                    answered = await self._pull(address, PULL_WAIT_S)
                else:
                    answered = await self._compare(address)
                if not answered:
                    await trio.sleep(RETRY_S)

    async def _compare(self, address: str) -> bool:
        """Pull from a watcher only where it stays ahead of this daemon."""
        ahead = await self._revisions_ahead(address)
        if ahead is None:
            return False
        if ahead:
            await trio.sleep(AHEAD_S)
            if any(
                self._replicas[kind].revision < revision
                for kind, revision in ahead.items()
            ):
                return await self._pull(address, 0.0)
        await trio.sleep(COMPARE_S)
        return True

    async def _revisions_ahead(self, address: str) -> dict[str, int] | None:
        """Return the higher revisions of a watcher, or None without any."""
        body = wire.StorePull({}, 0)
        answer = await self._ask(address, body, COMPARE_TIMEOUT_S)
        if answer is None:
            return None
        return {
            kind: revision
            for kind, revision in answer.revisions.items()
            if kind in self._replicas
            and revision > self._replicas[kind].revision
        }

    async def _pull(self, address: str, wait_s: float) -> bool:
        """Pull once; return whether the peer is fresh."""
        have = {
            kind: replica.revision for kind, replica in self._replicas.items()
        }
        body = wire.StorePull(have, int(wait_s * 1000))
        answer = await self._ask(address, body, PULL_TIMEOUT_S)
        if answer is None:
            return False
        self._tell_consumers(address, answer.fresh)
        for packed in answer.packed:
            unpacked = storeupdate.unpack_update(packed, address)
            if isinstance(unpacked, result.Err):
                LOGGER.warning("News not read: {}", unpacked.err_value)
                return False
            news = unpacked.ok_value
            replica = self._replicas.get(news.kind)
            if replica is not None:
                replica.apply_update(news, have[news.kind])
        return answer.fresh

    def _tell_consumers(self, address: str, fresh: bool) -> None:
        """Pass on whether the store answers the watcher.

        Pattern: entries lapse while the store is away and come back shortly
        after it. Their removal must look the same at every daemon. One that
        reads the store itself learns this there.
        """
        if self._own is not None:
            return
        for kind, replica in self._replicas.items():
            if fresh:
                replica.on_available()
                continue
            detail = f"{kind}: the store does not answer the watcher"
            replica.on_unavailable(
                errors.ObjectApiUnavailableError(
                    steps.Step.SETTINGS_SPREAD, address, detail
                )
            )

    async def _ask(
        self, address: str, body: wire.StorePull, timeout_s: float
    ) -> wire.StoreReply | None:
        """Return the answer of a watcher and note whether it is fresh."""
        reply = await self._transport.request(address, body, timeout_s)
        if isinstance(reply, result.Err):
            return None
        answer = reply.ok_value
        if not isinstance(answer, wire.StoreReply):
            return None
        if answer.fresh:
            self._fresh_s[address] = self._clock.now_s()
        return answer

    async def _on_pull(
        self, sender: wire.HelloFrame, body: wire.StorePull
    ) -> wire.AnyBody:
        with trio.move_on_after(body.wait_ms / 1000):
            while body.wait_ms and not self._has_news(body):
                await leafpools.wait_any(
                    [replica.changed for replica in self._replicas.values()]
                )
        revisions = {
            kind: replica.revision for kind, replica in self._replicas.items()
        }
        found = [
            self._replicas[kind].packed_update_after(revision)
            for kind, revision in body.have.items()
            if kind in self._replicas
        ]
        packed = [news for news in found if news is not None]
        return wire.StoreReply(self._is_fresh(), revisions, packed)

    def _has_news(self, body: wire.StorePull) -> bool:
        return any(
            self._replicas[kind].revision > revision
            for kind, revision in body.have.items()
            if kind in self._replicas
        )

    def _is_fresh(self) -> bool:
        """Return whether the store answers this daemon."""
        return self._own is not None and not self._lost_kinds


class WatchedReplica:
    """Pass reads on to a copy and note whether the store answers."""

    def __init__(
        self, replica: storereplica.StoreReplica, lost_kinds: set[str]
    ) -> None:
        self._replica = replica
        self._lost_kinds = lost_kinds

    @property
    def revision(self) -> int:
        """Return the revision of the copy."""
        return self._replica.revision

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Take all objects as of a revision."""
        self._replica.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        revision: int,
        after_revision: int,
    ) -> None:
        """Take the changes after a revision up to another."""
        self._replica.on_changes(changes, revision, after_revision)

    def on_unavailable(self, error: typing.Any) -> None:
        """Note that the store does not answer."""
        self._lost_kinds.add(self._replica.kind)
        self._replica.on_unavailable(error)

    def on_available(self) -> None:
        """Note that the store answers."""
        self._lost_kinds.discard(self._replica.kind)
        self._replica.on_available()
