"""Dissemination of quarantine entries and suspicions between daemons.

What changes is pushed to neighbours, which push it on. Digests exchanged with
a random member repair lost messages, and tell a daemon that has just started
what the others know.

Pattern: a request crashes a leaf, and its caller sends it to another daemon
within a fraction of a second. A push therefore waits only as long as most
sound requests of the same leaf need to be answered elsewhere, which clears
them.
"""

import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    logs,
    membership,
    peers,
    quarantine,
    quarantinesync,
    wire,
)

LOGGER: typing.Final = logs.part_logger("quarantine")
REQUEST_TIMEOUT_S: typing.Final = 1.0
PUSH_DELAY_S: typing.Final = 0.05
REPAIR_INTERVAL_S: typing.Final = 2.0
# In a fleet of this size a daemon pushes to all others.
PUSH_TO_ALL_MAX_COUNT: typing.Final = 12


class QuarantineGossip:
    """Exchange the quarantine entries of the blackboard with peers.

    ``on_unreached`` is called with the fingerprints of changes that no peer
    has confirmed.
    """

    on_unreached: abc.Callable[[set[str]], None]

    def __init__(
        self,
        board: blackboard.Blackboard,
        members: membership.Membership,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.sync = quarantinesync.QuarantineSync(board)
        self._board = board
        self._members = members
        self._transport = transport
        self._clock = time_source
        self._rng = rng
        self.on_unreached = lambda fingerprints: None
        handlers.register(wire.QuarantineSync)(self._on_sync)

    def share(self, shared: quarantine.Quarantine) -> None:
        """Exchange the entries and suspicions of a quarantine."""
        self._board.share_quarantine(shared)
        shared.on_change = self.sync.record_change

    async def push_changes(self) -> None:
        """Push what changes, here and at peers, until cancelled."""
        async with trio.open_nursery() as nursery:
            changed = self._board.change_event(blackboard.Topic.QUARANTINE)
            digest = self.sync.digest()
            while True:
                await changed.wait()
                await trio.sleep(PUSH_DELAY_S)
                changed = self._board.change_event(blackboard.Topic.QUARANTINE)
                unsent = self.sync.take_unsent()
                if not unsent and digest == self.sync.digest():
                    continue
                digest = self.sync.digest()
                message = self.sync.message(
                    self._clock.now_s(), unsent or None
                )
                nursery.start_soon(self._push_to_peers, message, unsent)

    async def repair(self, handlers: peers.Handlers) -> None:
        """Compare digests with random members until cancelled.

        It is for daemons that exchange no other digests.
        """
        handlers.register(wire.Digest)(self._on_digest)
        while len(self._board.usable_members()) < 2:
            await self._board.change_event(blackboard.Topic.MEMBERS).wait()
        while True:
            self.sync.expire(self._clock.now_s())
            others = self._members.other_addresses()
            if others:
                await self._compare(self._rng.choice(others))
            await trio.sleep(REPAIR_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def exchange(self, address: str) -> None:
        """Send all entries to a peer, and merge those that it returns."""
        message = self.sync.message(self._clock.now_s())
        reply = await self._transport.request(
            address, message, REQUEST_TIMEOUT_S
        )
        if isinstance(reply, result.Ok) and isinstance(
            reply.ok_value, wire.QuarantineSync
        ):
            self.sync.merge(reply.ok_value, self._clock.now_s())

    def _push_addresses(self) -> list[str]:
        others = self._members.other_addresses()
        if len(others) <= PUSH_TO_ALL_MAX_COUNT:
            return others
        return self._members.neighbour_addresses()

    async def _push_to_peers(
        self, message: wire.QuarantineSync, unsent: set[str]
    ) -> None:
        confirmed: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in self._push_addresses():
                nursery.start_soon(self._push, address, message, confirmed)
        if not confirmed:
            self.on_unreached(unsent)

    async def _push(
        self, address: str, message: wire.QuarantineSync, confirmed: list[str]
    ) -> None:
        reply = await self._transport.request(
            address, message, REQUEST_TIMEOUT_S
        )
        if isinstance(reply, result.Err):
            LOGGER.debug("No reply to a push: {}", reply.err_value)
        else:
            confirmed.append(address)

    async def _compare(self, address: str) -> None:
        reply = await self._transport.request(
            address, self._digest(), REQUEST_TIMEOUT_S
        )
        if (
            isinstance(reply, result.Ok)
            and isinstance(reply.ok_value, wire.Digest)
            and reply.ok_value.quarantine_hash != self.sync.digest()
        ):
            await self.exchange(address)

    def _digest(self) -> wire.Digest:
        return wire.Digest(0, 0, self.sync.digest())

    async def _on_digest(
        self, sender: wire.HelloFrame, body: wire.Digest
    ) -> wire.AnyBody:
        return self._digest()

    async def _on_sync(
        self, sender: wire.HelloFrame, body: wire.QuarantineSync
    ) -> wire.AnyBody:
        now_s = self._clock.now_s()
        self.sync.merge(body, now_s)
        if body.is_push:
            return wire.Ack()
        return self.sync.message(now_s)
