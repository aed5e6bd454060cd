"""Relay the store's objects from a few watchers to all daemons.

``StoreRelay`` feeds the ``storereplica`` copies of a daemon, either from the
store or from peers, and answers the pulls of peers from the same copies.

Pattern: each daemon that watches the store adds calls to it for every change,
so in a large fleet only one daemon of each data centre watches. The others
pull from the nearest watcher: it replies as soon as it has an update, and
states whether the store answers it. The other watchers are asked for their
positions only, and a daemon pulls from one that stays ahead. While no watcher
is up to date, a daemon reads the store itself. A small fleet needs no relay:
every daemon watches.

Pattern: the store refuses some daemons and serves the others. A watcher that
the store does not answer pulls from its peers until the store answers again.

Pattern: an open connection falls silent, so a watch neither returns nor fails.
Watchers compare their positions with a few peers. One that stays behind pulls
the changes and reads the store again on a new connection (``storereader``).
"""

import dataclasses
import random
import typing

import msgspec
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
    storereader,
    storereplica,
    storeupdate,
    wire,
)

LOGGER: typing.Final = logs.part_logger("relay")
PULL_WAIT_S: typing.Final = 1.0
PULL_TIMEOUT_S: typing.Final = 1.6
# How often the positions of the other watchers are compared, and how long one
# may be ahead before this daemon pulls from it. Watchers read bursts of
# changes at different moments, so each is ahead at times.
COMPARE_INTERVAL_S: typing.Final = 0.5
COMPARE_TIMEOUT_S: typing.Final = 0.8
AHEAD_MAX_S: typing.Final = 0.9
# While the preferred watcher is up to date, one of the others is compared per
# interval. It counts as up to date for this long after a reply that said so.
CALM_COMPARE_INTERVAL_S: typing.Final = 1.0
CALM_S: typing.Final = 1.2
RETRY_S: typing.Final = 0.25
CHECK_INTERVAL_S: typing.Final = 0.2
# A watcher counts as up to date for this long after a reply that said so; an
# older reply proves nothing about the store.
WATCHER_TIMEOUT_S: typing.Final = 1.8
# When watchers fail, many daemons lose them at the same time. Each waits for a
# random part of this time before it reads the store; most find another watcher
# meanwhile.
FALLBACK_DELAY_MAX_S: typing.Final = 0.9
# A watcher that gets no answer from the store pulls from peers after this
# time; a slow store answers within 0.3 s. It pulls from several peers, because
# the store may not answer some of them either.
WATCHER_PULL_DELAY_S: typing.Final = 0.4
# The number of peers with which a watcher compares, and from which it pulls.
WATCHER_PEERS_COUNT: typing.Final = 3
WATCHER_COMPARE_INTERVAL_S: typing.Final = 1.0
# A daemon that is no watcher stops reading the store once a watcher has been
# up to date for this long.
STOP_READING_DELAY_S: typing.Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOptions:
    """Set how many daemons watch the store.

    All daemons watch in a fleet of at most ``all_watch_max_count``. In a
    larger one there are at least ``min_watcher_count`` watchers.
    """

    min_watcher_count: int = 3
    all_watch_max_count: int = 12


class StoreRelay:
    """Choose where this daemon's copies are read from; serve them to peers.

    ``replicas`` and ``sources`` are keyed by the kind of objects.
    """

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
        self._reader = storereader.StoreReader(
            replicas, sources, follow_options, rng
        )
        self._transport = transport
        self._options = options
        self._clock = time_source
        self._rng = rng
        self._pull_scopes: dict[str, trio.CancelScope] = {}
        self._last_up_to_date_s: dict[str, float] = {}
        # A daemon is relayed while it pulls from a watcher that is up to date.
        self._last_unrelayed_s = time_source.now_s()
        self._last_relayed_s = float("-inf")
        self._fallback_delay_s = 0.0
        self._is_watcher = False
        self._store_answered_s = time_source.now_s()
        handlers.register(wire.StorePull)(self._on_pull)

    async def run(self) -> None:
        """Keep the copies up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._step(nursery)
                await trio.sleep(CHECK_INTERVAL_S)

    def watchers(self) -> list[str]:
        """Return the addresses of the daemons that watch the store.

        Every daemon computes this on its own, from the member list.
        """
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
            largest = membercapacity.highest_capacity(near)
            addresses = [member.peer_address for member in largest]
            chosen += hashing.choose("store", addresses, 1)
        missing_count = self._options.min_watcher_count - len(chosen)
        rest = [address for address in alive if address not in chosen]
        return chosen + hashing.choose("store", rest, max(0, missing_count))

    def _preferred_watcher(self) -> str | None:
        """Return the watcher to pull from.

        Watchers that are up to date come first, then those of the own data
        centre. Returns None if this daemon pulls from no watcher.
        """
        now_s = self._clock.now_s()
        near = {
            member.peer_address
            for member in self._board.members.values()
            if member.data_centre == self._data_centre
        }

        def rank(address: str) -> tuple[bool, bool, str]:
            stale = (
                now_s
                - self._last_up_to_date_s.get(address, -WATCHER_TIMEOUT_S)
                >= WATCHER_TIMEOUT_S
            )
            return (stale, address not in near, address)

        return min(self._pull_scopes, key=rank, default=None)

    def is_reading_store(self) -> bool:
        """Return whether this daemon reads the store itself."""
        return self._reader.is_reading()

    def _step(self, nursery: trio.Nursery) -> None:
        """Start and stop pulls and the own reads of the store."""
        now_s = self._clock.now_s()
        watchers = self.watchers()
        own_address = self._board.own_address()
        is_watcher = own_address in watchers or not watchers
        self._record_role(is_watcher)
        self._set_pulls(nursery, self._pull_sources(watchers, is_watcher))
        is_relayed = any(
            now_s - at_s < WATCHER_TIMEOUT_S
            for address, at_s in self._last_up_to_date_s.items()
            if address in self._pull_scopes
        )
        if is_watcher or not is_relayed:
            self._last_unrelayed_s = now_s
            if (
                is_watcher
                or now_s - self._last_relayed_s >= self._fallback_delay_s
            ):
                self._reader.start(nursery)
            return
        self._last_relayed_s = now_s
        self._fallback_delay_s = self._rng.uniform(0.0, FALLBACK_DELAY_MAX_S)
        if (
            self._reader.is_reading()
            and now_s - self._last_unrelayed_s > STOP_READING_DELAY_S
        ):
            self._reader.stop()

    def _record_role(self, is_watcher: bool) -> None:
        """Record whether this daemon watches, and that the store answers."""
        self._is_watcher = is_watcher
        if is_watcher and not self._reader.unavailable_kinds:
            self._store_answered_s = self._clock.now_s()

    def _pull_sources(
        self, watchers: list[str], is_watcher: bool
    ) -> list[str]:
        """Return the watchers from which this daemon pulls.

        A watcher only compares with them while the store answers it.
        """
        own_address = self._board.own_address()
        others = [address for address in watchers if address != own_address]
        if not is_watcher:
            return others
        return hashing.choose(own_address, others, WATCHER_PEERS_COUNT)

    def _is_served(self) -> bool:
        """Return whether this daemon is a watcher that the store answers.

        An outage counts only after ``WATCHER_PULL_DELAY_S``.
        """
        silence_s = self._clock.now_s() - self._store_answered_s
        return self._is_watcher and silence_s < WATCHER_PULL_DELAY_S

    def _set_pulls(self, nursery: trio.Nursery, watchers: list[str]) -> None:
        for address in list(self._pull_scopes):
            if address not in watchers:
                self._pull_scopes.pop(address).cancel()
        for address in watchers:
            if address not in self._pull_scopes:
                scope = self._pull_scopes[address] = trio.CancelScope()
                nursery.start_soon(self._pull_loop, address, scope)

    async def _pull_loop(self, address: str, scope: trio.CancelScope) -> None:
        """Pull from the preferred watcher; compare positions with others.

        While the store answers a watcher, it compares with all.
        """
        with scope:
            while True:
                if (
                    not self._is_served()
                    and address == self._preferred_watcher()
                ):
                    answered = await self._pull(address, PULL_WAIT_S)
                else:
                    answered = await self._compare(address)
                if not answered:
                    await trio.sleep(RETRY_S)

    async def _compare(self, address: str) -> bool:
        """Pull from a watcher only if it stays ahead of this daemon.

        Returns False if the watcher did not answer or is not up to date.
        """
        ahead = await self._changes_ahead(address)
        if ahead is None:
            return False
        if ahead:
            await trio.sleep(AHEAD_MAX_S)
            behind = [
                kind
                for kind, position in ahead.items()
                if self._replicas[kind].position < position
            ]
            if behind:
                return await self._catch_up(address, behind)
        await self._pause_compare()
        return True

    async def _catch_up(self, address: str, kinds: list[str]) -> bool:
        """Pull kinds of which a watcher has had changes for some time.

        Returns False if the watcher did not answer or is not up to date.
        """
        was_served = self._is_served()
        answered = await self._pull(address, 0.0)
        if was_served and answered and self.is_reading_store():
            for kind in kinds:
                self._reader.restart(kind, "the watch missed changes")
        return answered

    async def _pause_compare(self) -> None:
        """Wait until the next comparison with a watcher is due.

        Pattern: hundreds of daemons compare with the watchers of all data
        centres. If each did so twice a second with each, these messages would
        be most of the bytes between data centres.
        """
        if self._is_served():
            step_s = CHECK_INTERVAL_S
            pause_s = WATCHER_COMPARE_INTERVAL_S
        else:
            step_s = COMPARE_INTERVAL_S
            others_count = max(1, len(self._pull_scopes) - 1)
            pause_s = CALM_COMPARE_INTERVAL_S * others_count
        due_s = self._clock.now_s() + pause_s
        while True:
            await trio.sleep(step_s)
            if not self._is_calm() or self._clock.now_s() >= due_s:
                return

    def _is_calm(self) -> bool:
        """Return whether the store or the preferred watcher is up to date."""
        if self._is_watcher:
            return self._is_served()
        preferred = self._preferred_watcher()
        if preferred is None:
            return False
        up_to_date_s = self._last_up_to_date_s.get(preferred, float("-inf"))
        return self._clock.now_s() - up_to_date_s < CALM_S

    async def _changes_ahead(
        self, address: str
    ) -> dict[str, objectsource.Position] | None:
        """Return by kind where a watcher has changes that are not known here.

        Returns None if the watcher did not answer.
        """
        body = wire.StorePull({}, 0)
        answer = await self._ask(address, body, COMPARE_TIMEOUT_S)
        if answer is None:
            return None
        changed = {**answer.revisions, **answer.changed}
        positions = {
            kind: self._position_of(kind, changed, answer.eras)
            for kind in changed
            if kind in self._replicas
        }
        return {
            kind: position
            for kind, position in positions.items()
            if position > self._replicas[kind].position
        }

    def _position_of(
        self,
        kind: str,
        revisions: dict[str, int],
        eras: dict[str, int],
    ) -> objectsource.Position:
        """Return the position that a message states for a kind.

        A daemon that states no era is taken to be in that of the own copy.
        """
        own_era = self._replicas[kind].position.era
        return objectsource.Position(eras.get(kind, own_era), revisions[kind])

    async def _pull(self, address: str, wait_s: float) -> bool:
        """Pull once; return whether a valid, up-to-date reply came."""
        have = {
            kind: replica.position for kind, replica in self._replicas.items()
        }
        body = wire.StorePull(
            {kind: position.revision for kind, position in have.items()},
            int(wait_s * 1000),
            {kind: position.era for kind, position in have.items()},
        )
        answer = await self._ask(address, body, PULL_TIMEOUT_S)
        if answer is None:
            return False
        self._report_availability(address, answer.fresh)
        for packed in answer.packed:
            unpacked = storeupdate.unpack_update(packed, address)
            if isinstance(unpacked, result.Err):
                LOGGER.warning(
                    "Rejected an update of the store: {}", unpacked.err_value
                )
                return False
            update = unpacked.ok_value
            replica = self._replicas.get(update.kind)
            if replica is None:
                continue
            try:
                replica.apply_update(update, have[update.kind])
            except (msgspec.DecodeError, RecursionError) as error:
                LOGGER.warning(
                    "Rejected an update of the store from {}: {}",
                    address,
                    error,
                )
                return False
        return answer.fresh

    def _report_availability(self, address: str, available: bool) -> None:
        """Notify the consumers whether the store answers the watcher.

        Pattern: entries expire while the store is unavailable and are
        registered again shortly after it recovers. Every daemon has to treat
        such removals alike, so the followers of a watcher learn of the outage
        too. A daemon that reads the store itself learns of it there.
        """
        if self._reader.is_reading():
            return
        for kind, replica in self._replicas.items():
            if available:
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
        """Send a pull to a watcher; return its reply, or None.

        Records the time of a reply which states that the watcher is up to
        date.
        """
        reply = await self._transport.request(address, body, timeout_s)
        if isinstance(reply, result.Err):
            return None
        answer = reply.ok_value
        if not isinstance(answer, wire.StoreReply):
            return None
        if answer.fresh:
            self._last_up_to_date_s[address] = self._clock.now_s()
        return answer

    async def _on_pull(
        self, sender: wire.HelloFrame, body: wire.StorePull
    ) -> wire.AnyBody:
        """Reply once there is an update or the sender's wait has passed."""
        with trio.move_on_after(body.wait_ms / 1000):
            while body.wait_ms and not self._has_update(body):
                await leafpools.wait_any(
                    [replica.changed for replica in self._replicas.values()]
                )
        replicas = self._replicas
        updates = [
            replicas[kind].packed_update_after(position)
            for kind, position in self._positions_in(body).items()
        ]
        return wire.StoreReply(
            self._is_up_to_date(),
            {kind: copy.position.revision for kind, copy in replicas.items()},
            [update for update in updates if update is not None],
            {
                kind: copy.last_change.revision
                for kind, copy in replicas.items()
            },
            {kind: copy.position.era for kind, copy in replicas.items()},
        )

    def _has_update(self, body: wire.StorePull) -> bool:
        return any(
            self._replicas[kind].position > position
            for kind, position in self._positions_in(body).items()
        )

    def _positions_in(
        self, body: wire.StorePull
    ) -> dict[str, objectsource.Position]:
        """Return the positions that a pull states, by known kind."""
        return {
            kind: self._position_of(kind, body.have, body.eras)
            for kind in body.have
            if kind in self._replicas
        }

    def _is_up_to_date(self) -> bool:
        """Return whether the store answers this daemon."""
        return self._reader.is_up_to_date()
