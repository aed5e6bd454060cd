"""Claims remembered by peers for a restart during an object API outage.

A daemon lets a few peers remember its claim. A new process on the same VM
may use what they remember while the object API is down. That is safe only
if no peer remembers a claim that has been released since, or only plans
that its owner has left behind. So the owner writes a release or other plans
only after every peer named in the claim has confirmed.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    blackboard,
    hashing,
    peers,
    shareclaim,
    wire,
)

REQUEST_TIMEOUT_S: typing.Final = 1.0
NEAR_COUNT: typing.Final = 1
FAR_COUNT: typing.Final = 1
RECALL_COUNT: typing.Final = 4
MEMORY_LIMIT_COUNT: typing.Final = 4
REMEMBERED_LIMIT_COUNT: typing.Final = 1024


@dataclasses.dataclass(slots=True)
class _Entry:
    """Hold a remembered claim, or the order at which it was forgotten."""

    order: tuple[int, int]
    message: wire.ClaimMemory | None


class ClaimMemory:
    """Remember claims of peers and let peers remember the own one."""

    def __init__(
        self, transport: peers.PeerTransport, handlers: peers.Handlers
    ) -> None:
        self._transport = transport
        self._entries: dict[str, _Entry] = {}
        self._sent_count = 0
        handlers.register(wire.ClaimMemory)(self._on_memory)
        handlers.register(wire.ClaimForget)(self._on_forget)
        handlers.register(wire.ClaimRecall)(self._on_recall)

    async def remember(
        self,
        key: str,
        version: int,
        remembered: shareclaim.RememberedClaim,
    ) -> bool:
        """Tell the claim's peers; return whether all confirmed."""
        claim = remembered.claim
        body = wire.ClaimMemory(
            key,
            self._next_order(version),
            claim.vm_id,
            claim.peer_address,
            msgspec.json.encode(remembered),
        )
        return await self._tell_all(claim.memory, body)

    async def forget(
        self, key: str, version: int, claim: shareclaim.Claim
    ) -> bool:
        """Let the claim's peers forget it; return whether all did.

        A reply from any process at the address confirms: another process
        than the one that was told never knew the claim.
        """
        body = wire.ClaimForget(key, self._next_order(version))
        return await self._tell_all(claim.memory, body)

    async def recall(
        self, own: shareclaim.Claimant, addresses: abc.Iterable[str]
    ) -> tuple[str, shareclaim.RememberedClaim] | None:
        """Return the newest claim that peers remember for this VM."""
        found: list[wire.ClaimMemory] = []
        body = wire.ClaimRecall(own.vm_id, own.peer_address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._ask, address, body, found)
        if not found:
            return None
        newest = max(found, key=lambda message: message.order)
        remembered = msgspec.json.decode(
            newest.value, type=shareclaim.RememberedClaim
        )
        return newest.key, remembered

    def _next_order(self, version: int) -> tuple[int, int]:
        self._sent_count += 1
        return version, self._sent_count

    async def _tell_all(
        self,
        memory: abc.Iterable[shareclaim.MemoryPeer],
        body: wire.AnyBody,
    ) -> bool:
        outcomes: list[bool] = []
        async with trio.open_nursery() as nursery:
            for peer in memory:
                nursery.start_soon(
                    self._tell, peer.peer_address, body, outcomes
                )
        return all(outcomes)

    async def _tell(
        self, address: str, body: wire.AnyBody, outcomes: list[bool]
    ) -> None:
        reply = await self._transport.request(address, body, REQUEST_TIMEOUT_S)
        outcomes.append(isinstance(reply, result.Ok))

    async def _ask(
        self,
        address: str,
        body: wire.AnyBody,
        found: list[wire.ClaimMemory],
    ) -> None:
        reply = await self._transport.request(address, body, REQUEST_TIMEOUT_S)
        if isinstance(reply, result.Ok):
            recalled = reply.ok_value
            if isinstance(recalled, wire.ClaimRecalled):
                found.extend(recalled.claims)

    async def _on_memory(
        self, sender: wire.HelloFrame, body: wire.ClaimMemory
    ) -> wire.AnyBody:
        return self._store(body.key, _Entry(body.order, body))

    async def _on_forget(
        self, sender: wire.HelloFrame, body: wire.ClaimForget
    ) -> wire.AnyBody:
        return self._store(body.key, _Entry(body.order, None))

    def _store(self, key: str, entry: _Entry) -> wire.AnyBody:
        known = self._entries.get(key)
        if known is not None and known.order >= entry.order:
            return wire.Ack()
        if known is None and len(self._entries) >= REMEMBERED_LIMIT_COUNT:
            return wire.Refused("too many remembered claims")
        self._entries[key] = entry
        return wire.Ack()

    async def _on_recall(
        self, sender: wire.HelloFrame, body: wire.ClaimRecall
    ) -> wire.AnyBody:
        claims = [
            entry.message
            for entry in self._entries.values()
            if entry.message is not None
            and entry.message.vm_id == body.vm_id
            and entry.message.peer_address == body.peer_address
        ]
        return wire.ClaimRecalled(claims)


def memory_peers(
    own: shareclaim.Claimant,
    members: abc.Collection[blackboard.MemberInfo],
    data_centre: str,
    near_count: int = NEAR_COUNT,
    far_count: int = FAR_COUNT,
) -> list[blackboard.MemberInfo]:
    """Return the members that should remember the claim of a VM.

    One is in another data centre, for the restart of a whole one.
    """
    others = {
        member.incarnation: member
        for member in members
        if member.alive and member.incarnation != own.incarnation
    }
    near = [i for i, m in others.items() if m.data_centre == data_centre]
    far = [i for i, m in others.items() if m.data_centre != data_centre]
    key = f"memory/{own.vm_id}/{own.peer_address}"
    chosen = hashing.choose(key, near, near_count)
    chosen += hashing.choose(key, far, far_count)
    return [others[incarnation] for incarnation in chosen]


def with_live_peers(
    memory: tuple[shareclaim.MemoryPeer, ...],
    own: shareclaim.Claimant,
    members: abc.Collection[blackboard.MemberInfo],
    data_centre: str,
) -> tuple[shareclaim.MemoryPeer, ...]:
    """Add peers where too few of those named are alive.

    Nobody is taken off: a peer that can't be reached may still remember.
    """
    live = {member.peer_address for member in members if member.alive}
    wanted = memory_peers(own, members, data_centre)
    if sum(peer.peer_address in live for peer in memory) >= len(wanted):
        return memory
    known = {peer.peer_address for peer in memory}
    added = tuple(
        shareclaim.MemoryPeer(member.vm_id, member.peer_address)
        for member in wanted
        if member.peer_address not in known
    )
    return (memory + added)[:MEMORY_LIMIT_COUNT]
