"""Read the store into the copies of this daemon, and notice silent watches.

``StoreReader`` follows each kind of objects while it is started, and records
which kinds the store does not answer.

Pattern: open connections fall silent, or the store loses a watch, so that it
neither returns nor fails. The reader makes a cheap call each second, on
another connection than that of the watches. It reads again if that gets no
reply, or tells of changes that the watch has not returned.
"""

import itertools
import random
import typing

import trio

from plantainhook import logs, objectsource, storereplica

LOGGER: typing.Final = logs.part_logger("relay")
# How often the store is probed. The pause doubles each time that a watch is
# silent, so that a slow store is not asked more and more.
PROBE_INTERVAL_S: typing.Final = 1.0
PROBE_INTERVAL_MAX_S: typing.Final = 8.0
PROBE_TIMEOUT_S: typing.Final = 1.0
# Watches return bursts of changes at different moments.
WATCH_DELAY_MAX_S: typing.Final = 0.9


class StoreReader:
    """Keep copies up to date from the store while it is started.

    ``replicas`` and ``sources`` are keyed by the kind of objects.
    ``unavailable_kinds`` are those that the store does not answer.
    """

    unavailable_kinds: set[str]

    def __init__(
        self,
        replicas: dict[str, storereplica.StoreReplica],
        sources: dict[str, objectsource.ObjectSource],
        options: objectsource.FollowOptions,
        rng: random.Random,
    ) -> None:
        self.unavailable_kinds = set()
        self._replicas = replicas
        self._sources = sources
        self._options = options
        self._rng = rng
        self._scope: trio.CancelScope | None = None
        # Cancelling one of these reads its kind again on a new connection.
        self._follow_scopes: dict[str, trio.CancelScope] = {}

    def is_reading(self) -> bool:
        """Return whether the store is read."""
        return self._scope is not None

    def is_up_to_date(self) -> bool:
        """Return whether the store answers all reads."""
        return self.is_reading() and not self.unavailable_kinds

    def start(self, nursery: trio.Nursery) -> None:
        """Start to read the store, unless it is read already."""
        if self._scope is None:
            LOGGER.info("Started reading the store.")
            self._scope = trio.CancelScope()
            self.unavailable_kinds = set(self._vital_kinds())
            nursery.start_soon(self._follow_all, self._scope)

    def stop(self) -> None:
        """Stop reading the store."""
        if self._scope is not None:
            LOGGER.info("Stopped reading the store; pulling from watchers.")
            self._scope.cancel()
            self._scope = None

    def restart(self, kind: str, reason: str) -> None:
        """Give up a read, and read again on a new connection."""
        LOGGER.warning("Reading {} again: {}.", kind, reason)
        if self._replicas[kind].is_vital:
            self.unavailable_kinds.add(kind)
        self._follow_scopes[kind].cancel()

    async def _follow_all(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in self._replicas:
                    nursery.start_soon(self._follow, kind)
                nursery.start_soon(self._probe_loop)

    async def _follow(self, kind: str) -> None:
        """Read the objects of one kind, anew whenever its scope is cancelled.

        A cancelled call closes its connection.
        """
        replica = self._replicas[kind]
        unavailable = self.unavailable_kinds if replica.is_vital else set()
        while True:
            scope = self._follow_scopes[kind] = trio.CancelScope()
            with scope:
                await objectsource.follow(
                    self._sources[kind],
                    AvailabilityRecorder(replica, unavailable),
                    self._options,
                    self._rng,
                )

    async def _probe_loop(self) -> None:
        """Read again whenever a watch has lost its connection or changes."""
        pause_s = PROBE_INTERVAL_S
        for kind in itertools.cycle(self._vital_kinds()):
            await trio.sleep(pause_s)
            if self.unavailable_kinds:
                continue
            silent = await self._find_silent_watches(kind)
            if not silent:
                pause_s = PROBE_INTERVAL_S
                continue
            pause_s = min(PROBE_INTERVAL_MAX_S, 2 * pause_s)
            for silent_kind in silent:
                self.restart(silent_kind, "its watch is silent")

    def _vital_kinds(self) -> list[str]:
        """Return the kinds that are probed, and without which none is read.

        A further kind would make the probes of these rarer.
        """
        return [
            kind
            for kind, replica in self._replicas.items()
            if replica.is_vital
        ]

    async def _find_silent_watches(self, kind: str) -> list[str]:
        """Return the kinds whose watches are silent, as a probe shows."""
        replica = self._replicas[kind]
        position = replica.position
        outcome = await self._sources[kind].probe(position, PROBE_TIMEOUT_S)
        if outcome is objectsource.ProbeOutcome.SILENT:
            return list(self._replicas)
        if outcome is objectsource.ProbeOutcome.CHANGED:
            await trio.sleep(WATCH_DELAY_MAX_S)
            if replica.position == position:
                return [kind]
        return []


class AvailabilityRecorder:
    """Pass reads of the store on to a copy; record whether it answers.

    While the store does not answer, the kind of the copy is in
    ``unavailable_kinds``, which all copies of a relay share.
    """

    def __init__(
        self, replica: storereplica.StoreReplica, unavailable_kinds: set[str]
    ) -> None:
        self._replica = replica
        self._unavailable_kinds = unavailable_kinds

    @property
    def position(self) -> objectsource.Position:
        """Return the position of the copy."""
        return self._replica.position

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all objects by those of a listing."""
        self._replica.on_listing(listing)

    def on_changes(
        self,
        changes: list[objectsource.Change],
        position: objectsource.Position,
        after: objectsource.Position,
    ) -> None:
        """Apply the changes after one position up to another."""
        self._replica.on_changes(changes, position, after)

    def on_unavailable(self, error: typing.Any) -> None:
        """Record that the store does not answer."""
        self._unavailable_kinds.add(self._replica.kind)
        self._replica.on_unavailable(error)

    def on_available(self) -> None:
        """Record that the store answers."""
        self._unavailable_kinds.discard(self._replica.kind)
        self._replica.on_available()
