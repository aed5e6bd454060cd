"""Membership of the fleet: failure detection, joining and announcements.

The controller drives ``membertable.MemberTable``, owns
``blackboard.members`` and answers the probes of peers. ``membersync`` repairs
what piggybacking on probes missed.

A daemon probes its ring neighbours in turn, so it keeps connections to only
about ``log2`` of the fleet. A member becomes suspected after ``PROBE_ROUNDS``
failed rounds of direct and indirect probes. With a single round, 5 of 100
probes would fail at 20% message loss, and the resulting suspicions alone
would exceed the traffic budget of a large fleet.

To join, and to heal a partition, a daemon contacts candidates: the seed peers
of the options and the addresses in the VM list.
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
    hashing,
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
DEAD_REPORT_COUNT: typing.Final = 24
SEEDS_PER_ATTEMPT: typing.Final = 3
REMOTE_LINK_COUNT: typing.Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """Describe one VM of the VM list that may run a daemon.

    ``leaving`` is set while the platform is removing the VM.
    """

    vm_id: str
    peer_address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Configure failure detection and joining.

    ``seed_peers`` are peer addresses to contact before any member is known.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 5.0
    seed_peers: tuple[str, ...] = ()


class Membership:
    """Keep the member table up to date and publish it on the blackboard.

    The owner sets ``queued_s`` if the daemon gathers queries. It returns the
    CPU time that these need, which is part of the replies to probes.
    """

    queued_s: abc.Callable[[], float]

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
        self._probing: set[int] = set()
        self._unprobed: list[int] = []
        self._next_rejoin_s = 0.0
        self.queued_s = lambda: 0.0
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
        """Join the fleet and probe members until cancelled."""
        self._publish()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join_loop)
            while True:
                self._step(nursery)
                pause_s = self._options.probe_interval_s
                await trio.sleep(pause_s * self._rng.uniform(0.9, 1.1))

    def set_vm_list(self, vms: abc.Iterable[ListedVm]) -> None:
        """Accept a new VM list.

        Its addresses are candidates to contact, and members on a VM that is
        leaving are published as draining.
        """
        before = self._leaving_vm_ids()
        self._listed = {vm.vm_id: vm for vm in vms}
        self.table.mark_vms_changed(before ^ self._leaving_vm_ids())
        self._publish()

    def other_addresses(self) -> list[str]:
        """Return the addresses of all other members that are up."""
        return [
            entry.peer_address
            for entry in self.table.up_members()
            if entry.incarnation != self.table.own_incarnation
        ]

    def neighbour_addresses(self) -> list[str]:
        """Return the addresses of the peers to which this daemon pushes.

        These are its ring neighbours within the data centre and
        ``REMOTE_LINK_COUNT`` members of other data centres.
        """
        own = self.table.own
        local = [
            entry.incarnation
            for entry in self.table.up_members()
            if entry.data_centre == own.data_centre
        ]
        remote = (
            entry.incarnation
            for entry in self.table.up_members()
            if entry.data_centre != own.data_centre
        )
        chosen = memberentry.ring_neighbours(local, own.incarnation)
        key = f"far/{own.incarnation}"
        chosen += hashing.choose(key, remote, REMOTE_LINK_COUNT)
        return [
            self.table.entries[incarnation].peer_address
            for incarnation in chosen
        ]

    def set_share(self, share: int | None) -> None:
        """Announce the connection share that this daemon holds, if any."""
        number = wire.NO_SHARE if share is None else share
        self.table.set_share(number, self._clock.now_s())

    def _leaving_vm_ids(self) -> set[str]:
        return {vm.vm_id for vm in self._listed.values() if vm.leaving}

    async def announce(self, draining: bool, left: bool) -> None:
        """Notify the ring neighbours that this daemon drains or has left."""
        self.table.set_own_state(draining, left, self._clock.now_s())
        self._publish()
        async with trio.open_nursery() as nursery:
            for member in self._neighbours():
                nursery.start_soon(self._probe, member)

    def _step(self, nursery: trio.Nursery) -> None:
        now_s = self._clock.now_s()
        for entry in self.table.tick(now_s):
            LOGGER.info("Declared {} dead.", entry.name)
        self._publish()
        for target in self._next_targets():
            nursery.start_soon(self._probe_until_answered, target)
        if now_s >= self._next_rejoin_s:
            jitter = self._rng.uniform(0.5, 1.5)
            self._next_rejoin_s = now_s + REJOIN_INTERVAL_S * jitter
            nursery.start_soon(self._rejoin)

    def _next_targets(self) -> list[wire.MemberEntry]:
        """Return the next neighbour and one suspect to probe.

        The suspect learns of the suspicion from the probe and can refute it.
        """
        targets = []
        if not self._unprobed:
            ring = self.table.ring()
            own = self.table.own_incarnation
            self._unprobed = memberentry.ring_neighbours(ring, own)
            self._rng.shuffle(self._unprobed)
        if self._unprobed:
            targets.append(self.table.entries.get(self._unprobed.pop()))
        suspects = self.table.suspects()
        if suspects:
            targets.append(self._rng.choice(suspects))
        return [target for target in targets if target is not None]

    def _neighbours(self) -> list[wire.MemberEntry]:
        ring = self.table.ring()
        neighbours = memberentry.ring_neighbours(
            ring, self.table.own_incarnation
        )
        return [self.table.entries[incarnation] for incarnation in neighbours]

    async def _probe_until_answered(self, member: wire.MemberEntry) -> None:
        """Probe a member, and mark it as suspected if all rounds fail."""
        if member.incarnation in self._probing:
            return
        self._probing.add(member.incarnation)
        try:
            for _round in range(PROBE_ROUNDS):
                if await self._probe_round(member):
                    return
        finally:
            self._probing.discard(member.incarnation)
        if self.table.suspect(member.incarnation, self._clock.now_s()):
            LOGGER.info(
                "{} does not answer probes; it is suspected.", member.name
            )

    async def _probe_round(self, member: wire.MemberEntry) -> bool:
        """Run one round of probes; return whether the member answered.

        After a failed direct probe, another direct one and the indirect ones
        run at the same time.
        """
        if await self._probe(member):
            return True
        others = [
            entry
            for entry in self._neighbours()
            if entry.incarnation != member.incarnation
        ]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        outcomes: list[bool] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_again, member, outcomes)
            for helper in helpers:
                nursery.start_soon(
                    self._probe_through, helper, member, outcomes
                )
        return any(outcomes)

    async def _probe_again(
        self, member: wire.MemberEntry, outcomes: list[bool]
    ) -> None:
        outcomes.append(await self._probe(member))

    async def _probe(self, member: wire.MemberEntry) -> bool:
        """Probe a member directly; return whether its address answered.

        The probe carries this daemon's entry of the member, which the member
        refutes if it is wrong. If another incarnation answers at the address,
        the member is declared dead.
        """
        current = self.table.entries.get(member.incarnation, member)
        body = wire.Probe(
            [memberentry.shortened(current), *self._take_updates()]
        )
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

    async def _probe_through(
        self,
        helper: wire.MemberEntry,
        member: wire.MemberEntry,
        outcomes: list[bool],
    ) -> None:
        body = wire.IndirectProbe(member.peer_address, member.incarnation)
        timeout_s = 2 * self._options.probe_timeout_s
        reply = await self._transport.request(
            helper.peer_address, body, timeout_s
        )
        if isinstance(reply, result.Ok):
            answer = reply.ok_value
            if isinstance(answer, wire.IndirectResult):
                outcomes.append(answer.alive)

    async def _rejoin(self) -> None:
        """Contact a random dead member or candidate, and sync with it."""
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
        dead = [
            memberentry.shortened(entry)
            for entry in self._dead_to_report(address)
        ]
        body = wire.Probe([self.table.own, *dead])
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

    def _dead_to_report(self, address: str) -> list[wire.MemberEntry]:
        """Return dead members to report to an address.

        After a partition they may be alive on the other side, which then
        refutes their death. Members at the address itself are included.
        """
        dead = self.table.dead()
        count = min(DEAD_REPORT_COUNT, len(dead))
        sample = self._rng.sample(dead, count)
        return sample + [e for e in dead if e.peer_address == address]

    async def _join_loop(self) -> None:
        """Contact candidates until one answers, and copy its member table."""
        while True:
            candidates = self._unknown_candidates()
            count = min(SEEDS_PER_ATTEMPT, len(candidates))
            for address in self._rng.sample(candidates, count):
                if await self._contact(address):
                    await self._sync.copy_from(address)
            if len(self.table.ring()) > 1:
                return
            await trio.sleep(self._rng.uniform(0.5, 1.5))

    async def sync_with(self, address: str) -> None:
        """Exchange some of the members that differ, at a limited rate."""
        await self._sync.sync_with(address)

    def _take_updates(self) -> list[wire.MemberEntry]:
        return self.table.take_updates(UPDATES_LIMIT_BYTES)

    async def _on_probe(
        self, sender: wire.HelloFrame, body: wire.Probe
    ) -> wire.AnyBody:
        before = self.table.own.counter
        self.table.merge(body.members, self._clock.now_s())
        entries = self._take_updates()
        if self._is_unknown_to(sender, body):
            entries.append(self.table.own)
        elif self.table.own.counter != before:
            entries.append(memberentry.shortened(self.table.own))
        return wire.ProbeAck(
            self.table.own_incarnation, entries, self.queued_s() * 1e3
        )

    def _is_unknown_to(
        self, sender: wire.HelloFrame, body: wire.Probe
    ) -> bool:
        """Return whether the sender has no entry of this incarnation.

        The entries in a probe include that of the receiver, if there is one.
        """
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
        """Write the members that have changed to the blackboard."""
        changed = self.table.take_changed()
        if not changed:
            return
        members = dict(self._board.members)
        for incarnation in changed:
            entry = self.table.entries.get(incarnation)
            if entry is None:
                members.pop(incarnation, None)
            else:
                members[incarnation] = self._build_info(entry)
        self._board.members = members
        self._board.notify(blackboard.Topic.MEMBERS)

    def _build_info(self, entry: wire.MemberEntry) -> blackboard.MemberInfo:
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
            features=entry.features,
        )


def own_entry(
    hello: wire.HelloFrame, capacity: int = 0, features: int = 0
) -> wire.MemberEntry:
    """Return the entry with which a daemon starts in its own table.

    ``capacity`` is in hundredths of a core; 0 means that it is unknown.
    ``features`` are the feature bits of ``wire``.
    """
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
        features=features,
    )
