"""Copies of claims at peers, for a restart during an object API outage.

A daemon sends a copy of its claim to a few peers, which keep it in memory.
While the object API is down, a new process on the same VM may use the claim
as the peers recall it. That is safe only if no peer has a copy of a claim that
has been released since, or a copy with only plans that the owner no longer
obeys. So the owner writes a release or other plans to the object API only
after every peer named in the claim has confirmed the change of its copy.

Messages may arrive late or more than once, so each has an order: among the
messages about one claim the one with the highest order wins.
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
LOCAL_PEER_COUNT: typing.Final = 1
REMOTE_PEER_COUNT: typing.Final = 1
RECALL_PEER_COUNT: typing.Final = 4
MEMORY_PEER_LIMIT_COUNT: typing.Final = 4
COPY_LIMIT_COUNT: typing.Final = 1024


@dataclasses.dataclass(slots=True)
class _Entry:
    """Represent the copy of a claim.

    ``message`` is None once the copy was dropped; the order then keeps late
    messages from restoring it.
    """

    order: tuple[int, int]
    message: wire.ClaimMemory | None


class ClaimMemory:
    """Keep copies of peers' claims, and let peers copy this daemon's claim."""

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
        """Send a copy to the claim's peers; return whether all confirmed.

        ``key`` and ``version`` are those of the claim's object.
        """
        claim = remembered.claim
        body = wire.ClaimMemory(
            key,
            self._next_order(version),
            claim.vm_id,
            claim.peer_address,
            msgspec.json.encode(remembered),
        )
        return await self._send_to_all(claim.memory, body)

    async def forget(
        self, key: str, version: int, claim: shareclaim.Claim
    ) -> bool:
        """Have the claim's peers drop their copies; return whether all did.

        A reply from any process at the peer's address counts as confirmation.
        Copies are kept in memory only, so a process that was started after
        the copy was sent doesn't have it.
        """
        body = wire.ClaimForget(key, self._next_order(version))
        return await self._send_to_all(claim.memory, body)

    async def recall(
        self, own: shareclaim.Claimant, addresses: abc.Iterable[str]
    ) -> tuple[str, shareclaim.RememberedClaim] | None:
        """Return the key and newest copy of the claim of this VM.

        Return None if none of the peers returns a copy.
        """
        copies: list[wire.ClaimMemory] = []
        body = wire.ClaimRecall(own.vm_id, own.peer_address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._ask, address, body, copies)
        if not copies:
            return None
        newest = max(copies, key=lambda message: message.order)
        remembered = msgspec.json.decode(
            newest.value, type=shareclaim.RememberedClaim
        )
        return newest.key, remembered

    def _next_order(self, version: int) -> tuple[int, int]:
        self._sent_count += 1
        return version, self._sent_count

    async def _send_to_all(
        self,
        memory: abc.Iterable[shareclaim.MemoryPeer],
        body: wire.AnyBody,
    ) -> bool:
        outcomes: list[bool] = []
        async with trio.open_nursery() as nursery:
            for peer in memory:
                nursery.start_soon(
                    self._send, peer.peer_address, body, outcomes
                )
        return all(outcomes)

    async def _send(
        self, address: str, body: wire.AnyBody, outcomes: list[bool]
    ) -> None:
        reply = await self._transport.request(address, body, REQUEST_TIMEOUT_S)
        outcomes.append(isinstance(reply, result.Ok))

    async def _ask(
        self,
        address: str,
        body: wire.AnyBody,
        copies: list[wire.ClaimMemory],
    ) -> None:
        reply = await self._transport.request(address, body, REQUEST_TIMEOUT_S)
        if isinstance(reply, result.Ok):
            recalled = reply.ok_value
            if isinstance(recalled, wire.ClaimRecalled):
                copies.extend(recalled.claims)

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
        if known is None and len(self._entries) >= COPY_LIMIT_COUNT:
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
    local_count: int = LOCAL_PEER_COUNT,
    remote_count: int = REMOTE_PEER_COUNT,
) -> list[blackboard.MemberInfo]:
    """Return the members that should keep a copy of a VM's claim.

    Some are in other data centres, for the case that all daemons of this one
    restart.
    """
    others = {
        member.incarnation: member
        for member in members
        if member.alive and member.incarnation != own.incarnation
    }
    local = [i for i, m in others.items() if m.data_centre == data_centre]
    remote = [i for i, m in others.items() if m.data_centre != data_centre]
    key = f"memory/{own.vm_id}/{own.peer_address}"
    chosen = hashing.choose(key, local, local_count)
    chosen += hashing.choose(key, remote, remote_count)
    return [others[incarnation] for incarnation in chosen]


def with_live_peers(
    memory: tuple[shareclaim.MemoryPeer, ...],
    own: shareclaim.Claimant,
    members: abc.Collection[blackboard.MemberInfo],
    data_centre: str,
) -> tuple[shareclaim.MemoryPeer, ...]:
    """Return the peers of a claim, with new ones if too few are alive.

    No peer is removed, because one that can't be reached may still have a
    copy. At most ``MEMORY_PEER_LIMIT_COUNT`` peers are named.
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
    return (memory + added)[:MEMORY_PEER_LIMIT_COUNT]
