"""Liveness of members: probes, suspicion, the VM list, anti-entropy.

The controller drives ``membertable.MemberTable`` and writes
``blackboard.members``. It probes its neighbours on the ring in turn, so the
number of connections stays at about ``log2`` of the fleet. A member becomes
suspected after ``PROBE_ROUNDS`` rounds of direct and indirect probes: at 20%
message loss a single round fails in 5 of 100 cases, and the suspicions alone
would exceed the traffic budget of a large fleet.
"""

import dataclasses
import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    blackboard,
    clock,
    logs,
    memberentry,
    membersync,
    membertable,
    peers,
    wire,
)

LOGGER: typing.Final = logs.part_logger("membership")
PROBE_ROUNDS: typing.Final = 3
INDIRECT_PROBES: typing.Final = 2
UPDATES_LIMIT_BYTES: typing.Final = 512
REJOIN_INTERVAL_S: typing.Final = 10.0
DEAD_VIEW_COUNT: typing.Final = 24
SEEDS_PER_TRY: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """Describe a VM of the VM list as membership needs it."""

    vm_id: str
    peer_address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Hold the times of membership, in seconds, and the seeds."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 5.0
    seed_peers: tuple[str, ...] = ()


class Membership:
    """Keep the member table current and publish it."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        own: wire.MemberEntry,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        options: MembershipOptions,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._transport = transport
        self._options = options
        self._clock = time_source
        self._rng = rng
        rules = membertable.MemberRules(options.suspicion_s)
        self.table = membertable.MemberTable(own, rules, time_source.now_s())
        self._listed: dict[str, ListedVm] = {}
        self._checking: set[int] = set()
        self._to_probe: list[int] = []
        self._rejoin_s = 0.0
        handlers.register(wire.Probe)(self._on_probe)
        handlers.register(wire.IndirectProbe)(self._on_indirect)
        self._sync = membersync.MemberSync(
            self.table,
            transport,
            handlers,
            2 * options.probe_timeout_s,
            time_source,
            rng,
        )

    async def run(self) -> None:
        """Join and probe until cancelled."""
        self._publish()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join_loop)
            while True:
                self._step(nursery)
                pause_s = self._options.probe_interval_s
                await trio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    def set_vm_list(self, vms: abc.Iterable[ListedVm]) -> None:
        """Take the VM list: candidates to contact and VMs that leave."""
        before = self._leaving()
        self._listed = {vm.vm_id: vm for vm in vms}
        self.table.mark_vms_changed(before ^ self._leaving())
        self._publish()

    def set_share(self, share: int | None) -> None:
        """Announce the connection share that this daemon holds."""
        number = wire.NO_SHARE if share is None else share
        self.table.set_share(number, self._clock.now_s())

    def _leaving(self) -> set[str]:
        return {vm.vm_id for vm in self._listed.values() if vm.leaving}

    async def announce(self, draining: bool, left: bool) -> None:
        """Tell neighbours that this daemon drains or has left."""
        self.table.set_own_state(draining, left, self._clock.now_s())
        self._publish()
        async with trio.open_nursery() as nursery:
            for member in self._neighbours():
                nursery.start_soon(self._probe, member)

    def _step(self, nursery: trio.Nursery) -> None:
        now_s = self._clock.now_s()
        for entry in self.table.tick(now_s):
            LOGGER.info("{} is declared dead.", entry.name)
        self._publish()
        for target in self._targets():
            nursery.start_soon(self._check, target)
        if now_s >= self._rejoin_s:
            jitter = self._rng.uniform(0.5, 1.5)
            self._rejoin_s = now_s + REJOIN_INTERVAL_S * jitter
            nursery.start_soon(self._rejoin)

    def _targets(self) -> list[wire.MemberEntry]:
        """Return the next neighbour and one suspect, which may refute."""
        targets = []
        if not self._to_probe:
            ring = self.table.ring()
            own = self.table.own_incarnation
            self._to_probe = memberentry.ring_neighbours(ring, own)
            self._rng.shuffle(self._to_probe)
        if self._to_probe:
            targets.append(self.table.entries.get(self._to_probe.pop()))
        suspects = self.table.suspects()
        if suspects:
            targets.append(self._rng.choice(suspects))
        return [target for target in targets if target is not None]

    def _neighbours(self) -> list[wire.MemberEntry]:
        ring = self.table.ring()
        found = memberentry.ring_neighbours(ring, self.table.own_incarnation)
        return [self.table.entries[incarnation] for incarnation in found]

    async def _check(self, member: wire.MemberEntry) -> None:
        """Probe a member and suspect it if all rounds fail."""
        if member.incarnation in self._checking:
            return
        self._checking.add(member.incarnation)
        try:
            for _round in range(PROBE_ROUNDS):
                if await self._reaches(member):
                    return
        finally:
            self._checking.discard(member.incarnation)
        if self.table.suspect(member.incarnation, self._clock.now_s()):
            LOGGER.info("{} does not answer and is suspected.", member.name)

    async def _reaches(self, member: wire.MemberEntry) -> bool:
        """Probe directly, then again and through two others at once."""
        if await self._probe(member):
            return True
        others = [
            entry
            for entry in self._neighbours()
            if entry.incarnation != member.incarnation
        ]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        found: list[bool] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_again, member, found)
            for helper in helpers:
                nursery.start_soon(self._ask, helper, member, found)
        return any(found)

    async def _probe_again(
        self, member: wire.MemberEntry, found: list[bool]
    ) -> None:
        found.append(await self._probe(member))

    async def _probe(self, member: wire.MemberEntry) -> bool:
        """Probe a member directly; its view by others goes along."""
        current = self.table.entries.get(member.incarnation, member)
        body = wire.Probe([memberentry.shortened(current), *self._updates()])
        reply = await self._transport.request(
            member.peer_address, body, self._options.probe_timeout_s
        )
        if not isinstance(reply, result.Ok):
            return False
        ack = reply.ok_value
        if not isinstance(ack, wire.ProbeAck):
            return False
        now_s = self._clock.now_s()
        self.table.merge(ack.members, now_s)
        if ack.incarnation != member.incarnation:
            self.table.declare_dead(member.incarnation, now_s)
        return True

    async def _ask(
        self,
        helper: wire.MemberEntry,
        member: wire.MemberEntry,
        found: list[bool],
    ) -> None:
        body = wire.IndirectProbe(member.peer_address, member.incarnation)
        timeout_s = 2 * self._options.probe_timeout_s
        reply = await self._transport.request(
            helper.peer_address, body, timeout_s
        )
        if isinstance(reply, result.Ok):
            answer = reply.ok_value
            if isinstance(answer, wire.IndirectResult):
                found.append(answer.alive)

    async def _rejoin(self) -> None:
        """Contact one member believed dead or a candidate address."""
        addresses = [entry.peer_address for entry in self.table.dead()]
        addresses += self._unknown_candidates()
        if addresses:
            address = self._rng.choice(addresses)
            if await self._contact(address):
                await self.sync_with(address)

    def _unknown_candidates(self) -> list[str]:
        known = {entry.peer_address for entry in self.table.up_members()}
        return [
            address
            for address in (
                *self._options.seed_peers,
                *(vm.peer_address for vm in self._listed.values()),
            )
            if address not in known
        ]

    async def _contact(self, address: str) -> bool:
        """Introduce this daemon to an address; return whether it answers."""
        views = [
            memberentry.shortened(entry) for entry in self._dead_views(address)
        ]
        body = wire.Probe([self.table.own, *views])
        reply = await self._transport.request(
            address, body, self._options.probe_timeout_s
        )
        if not isinstance(reply, result.Ok):
            return False
        ack = reply.ok_value
        if not isinstance(ack, wire.ProbeAck):
            return False
        self.table.merge(ack.members, self._clock.now_s())
        return True

    def _dead_views(self, address: str) -> list[wire.MemberEntry]:
        """Return members believed dead, which the other side may refute."""
        dead = self.table.dead()
        count = min(DEAD_VIEW_COUNT, len(dead))
        views = self._rng.sample(dead, count)
        return views + [e for e in dead if e.peer_address == address]

    async def _join_loop(self) -> None:
        """Contact seeds until one answers, then copy its members."""
        while True:
            candidates = self._unknown_candidates()
            count = min(SEEDS_PER_TRY, len(candidates))
            for address in self._rng.sample(candidates, count):
                if await self._contact(address):
                    await self._sync.copy_from(address)
            if len(self.table.ring()) > 1:
                return
            await trio.sleep(self._rng.uniform(0.5, 1.5))

    async def sync_with(self, address: str) -> None:
        """Exchange some of the members that differ, within a rate."""
        await self._sync.sync_with(address)

    def _updates(self) -> list[wire.MemberEntry]:
        return self.table.updates(UPDATES_LIMIT_BYTES)

    async def _on_probe(
        self, sender: wire.HelloFrame, body: wire.Probe
    ) -> wire.AnyBody:
        before = self.table.own.counter
        self.table.merge(body.members, self._clock.now_s())
        entries = self._updates()
        if self._is_stranger(sender, body):
            entries.append(self.table.own)
        elif self.table.own.counter != before:
            entries.append(memberentry.shortened(self.table.own))
        return wire.ProbeAck(self.table.own_incarnation, entries)

    def _is_stranger(self, sender: wire.HelloFrame, body: wire.Probe) -> bool:
        """Return whether the sender does not know this incarnation."""
        own = self.table.own_incarnation
        return all(entry.incarnation != own for entry in body.members)

    async def _on_indirect(
        self, sender: wire.HelloFrame, body: wire.IndirectProbe
    ) -> wire.AnyBody:
        reply = await self._transport.request(
            body.peer_address,
            wire.Probe([]),
            self._options.probe_timeout_s,
        )
        if not isinstance(reply, result.Ok):
            return wire.IndirectResult(alive=False)
        ack = reply.ok_value
        alive = (
            isinstance(ack, wire.ProbeAck)
            and ack.incarnation == body.incarnation
        )
        return wire.IndirectResult(alive)

    def _publish(self) -> None:
        """Write changed members to the blackboard."""
        changed = self.table.take_changed()
        if not changed:
            return
        members = dict(self._board.members)
        for incarnation in changed:
            entry = self.table.entries.get(incarnation)
            if entry is None:
                members.pop(incarnation, None)
            else:
                members[incarnation] = self._info_of(entry)
        self._board.members = members
        self._board.notify(blackboard.Topic.MEMBERS)

    def _info_of(self, entry: wire.MemberEntry) -> blackboard.MemberInfo:
        listed = self._listed.get(entry.vm_id)
        draining = bool(entry.state & memberentry.DRAINING_BIT)
        return blackboard.MemberInfo(
            incarnation=entry.incarnation,
            name=entry.name,
            vm_id=entry.vm_id,
            data_centre=entry.data_centre,
            peer_address=entry.peer_address,
            http_address=entry.http_address,
            alive=memberentry.is_up(entry),
            draining=draining or (listed is not None and listed.leaving),
            share=None if entry.share == wire.NO_SHARE else entry.share,
            capacity=entry.capacity,
        )


def own_entry(hello: wire.HelloFrame, capacity: int = 0) -> wire.MemberEntry:
    """Return the first entry of a daemon about itself."""
    return wire.MemberEntry(
        hello.incarnation,
        hello.name,
        hello.vm_id,
        hello.data_centre,
        hello.peer_address,
        hello.http_address,
        memberentry.Liveness.ALIVE,
        0,
        capacity=capacity,
    )
