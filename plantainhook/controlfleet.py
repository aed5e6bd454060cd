"""Run membership and gossip of many daemons in one process.

``Fleet`` starts and stops the daemons; a daemon consists of the real
membership, gossip and fleet status code. Only the transport (``memorynet``),
the object API and the source of settings revisions are in-memory fakes.
``controlbench`` and tests use it on a virtual clock.
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
    errors,
    fleetstatus,
    gossip,
    membership,
    memorynet,
    memorystore,
    objectapi,
    peers,
    steps,
    wire,
)

INCARNATION_BITS: typing.Final = 64


class FakeRevisionSource:
    """Simulate a settings source whose revisions have no content.

    Only their numbers count. Each delta has the same size, ``delta_bytes``.
    """

    def __init__(self, store: objectapi.ObjectApi, delta_bytes: int) -> None:
        self._store = store
        self._delta = bytes(delta_bytes)
        self._view = blackboard.SettingsView()

    def view(self) -> blackboard.SettingsView:
        """Return the settings view of the highest adopted revision."""
        return self._view

    async def delta_from(self, revision: int) -> wire.RevisionDelta:
        """Return a delta of the fixed size."""
        current = self._view.revision
        objects = {"object": self._delta}
        return wire.RevisionDelta(revision, current, str(current), objects, [])

    async def adopt(
        self, delta: wire.RevisionDelta
    ) -> result.Result[int, errors.PlantainhookError]:
        """Adopt a higher revision if its hash is correct.

        Returns MessageError otherwise.
        """
        if delta.manifest_hash != str(delta.to_revision):
            return result.Err(
                errors.MessageError(
                    steps.Step.SETTINGS_SPREAD, "source", "wrong hash"
                )
            )
        self._adopt_if_higher(delta.to_revision)
        return result.Ok(self._view.revision)

    async def refresh(
        self,
    ) -> result.Result[int, errors.PlantainhookError]:
        """Adopt the head revision of the store if it is higher."""
        head = await self._store.get(gossip.HEAD_KEY)
        if isinstance(head, result.Err):
            return result.Err(head.err_value)
        self._adopt_if_higher(head.ok_value.value)
        return result.Ok(self._view.revision)

    def _adopt_if_higher(self, revision: int) -> None:
        if revision > self._view.revision:
            self._view = blackboard.SettingsView(revision=revision)


@dataclasses.dataclass(slots=True)
class PartitionedStore:
    """Provide one daemon with access to the store, except in a partition.

    Every call fails with ObjectApiUnavailableError while ``address`` is in
    ``cut_addresses``.
    """

    store: memorystore.MemoryStore
    cut_addresses: set[str]
    address: str

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object; fail in a partition."""
        found = await self.store.get(key)
        return self._partition_error() or found

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects under a prefix; fail in a partition."""
        found = await self.store.list(prefix)
        return self._partition_error() or found

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write an object; fail in a partition."""
        failure = self._partition_error()
        if failure is not None:
            return failure
        return await self.store.put(key, value, if_version, request_id)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object; fail in a partition."""
        failure = self._partition_error()
        if failure is not None:
            return failure
        return await self.store.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Wait for changes; fail in a partition."""
        found = await self.store.watch(prefix, from_version, timeout_s)
        return self._partition_error() or found

    def _partition_error(self) -> result.Err[errors.ObjectApiError] | None:
        if self.address not in self.cut_addresses:
            return None
        return result.Err(
            errors.ObjectApiUnavailableError(
                steps.Step.SETTINGS_SPREAD,
                memorystore.STORE_PEER,
                "partitioned from the store",
            )
        )


@dataclasses.dataclass(slots=True)
class Node:
    """Represent one daemon; cancelling ``scope`` ends it."""

    hello: wire.HelloFrame
    board: blackboard.Blackboard
    transport: memorynet.MemoryTransport
    members: membership.Membership
    gossiper: gossip.Gossip
    status: fleetstatus.FleetStatus
    scope: trio.CancelScope

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.board.settings.revision

    def live_count(self) -> int:
        """Return the number of live members, including the daemon itself."""
        return len(self.members.table.ring())


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Define the parameters of a fleet.

    With ``known_members`` all daemons know each other from the start.
    """

    daemon_count: int = 7
    data_centre_count: int = 3
    seed: int = 0
    loss_ratio: float = 0.0
    delta_bytes: int = 1024
    known_members: bool = True
    member_options: membership.MembershipOptions = dataclasses.field(
        default_factory=membership.MembershipOptions
    )
    gossip_options: gossip.GossipOptions = dataclasses.field(
        default_factory=gossip.GossipOptions
    )


class Fleet:
    """Start and stop daemons in the running trio loop.

    Daemons whose peer addresses are in ``cut_addresses`` are partitioned
    from all others and from the store.
    """

    def __init__(self, nursery: trio.Nursery, options: FleetOptions) -> None:
        self._nursery = nursery
        self._options = options
        self.rng = random.Random(options.seed)
        self.store = memorystore.MemoryStore()
        self.cut_addresses: set[str] = set()
        self.nodes: list[Node] = []
        self.network = memorynet.MemoryNetwork(
            nursery,
            self.rng,
            options.loss_ratio,
            delay_s=0.002,
            jitter_s=0.004,
            is_reachable=self._reachable,
        )
        for index in range(options.daemon_count):
            self.start_daemon(index)
        if options.known_members:
            self._merge_all_members()

    def start_daemon(self, index: int) -> Node:
        """Start a daemon with a new incarnation at the address of an index."""
        hello = self._build_hello(index)
        handlers = peers.Handlers()
        transport = memorynet.MemoryTransport(self.network, hello, handlers)
        board = blackboard.Blackboard(hello.incarnation)
        seeds = (_address(0), _address(1))
        own_entry = membership.own_entry(hello)
        time_source = clock.TrioClock()
        rng = random.Random(self.rng.random())
        members = membership.Membership(
            board,
            own_entry,
            transport,
            handlers,
            dataclasses.replace(
                self._options.member_options, seed_peers=seeds
            ),
            time_source,
            rng,
        )
        store = PartitionedStore(
            self.store, self.cut_addresses, hello.peer_address
        )
        source = FakeRevisionSource(store, self._options.delta_bytes)
        gossiper = gossip.Gossip(
            board,
            members,
            source,
            store,
            transport,
            handlers,
            self._options.gossip_options,
            time_source,
            rng,
        )
        status = fleetstatus.FleetStatus(
            board, members, gossiper, transport, handlers, rng
        )
        scope = trio.CancelScope()
        node = Node(hello, board, transport, members, gossiper, status, scope)
        self.nodes.append(node)
        self._nursery.start_soon(self._run, node)
        return node

    def kill_daemon(self, node: Node) -> None:
        """End a daemon without a planned stop."""
        node.scope.cancel()
        node.transport.close()
        self.nodes.remove(node)

    async def write_revision(self, revision: int) -> None:
        """Write the head of the settings, as an operator's change does."""
        version = objectapi.ABSENT_VERSION
        head = self.store.objects.get(gossip.HEAD_KEY)
        if head is not None:
            version = head.version
        await self.store.put(gossip.HEAD_KEY, revision, version, "operator")

    def _build_hello(self, index: int) -> wire.HelloFrame:
        centre = index % self._options.data_centre_count
        return wire.HelloFrame(
            wire.PROTOCOL_VERSION,
            self.rng.getrandbits(INCARNATION_BITS),
            f"daemon-{index}",
            f"vm-{index}",
            f"dc-{centre}",
            _address(index),
            _address(index).replace(":7080", ":8080"),
        )

    def _merge_all_members(self) -> None:
        entries = [membership.own_entry(node.hello) for node in self.nodes]
        for node in self.nodes:
            node.members.table.merge(entries, 0.0, propagate=False)

    def _reachable(self, sender: str, receiver: str) -> bool:
        if not self.cut_addresses:
            return True
        return (sender in self.cut_addresses) == (
            receiver in self.cut_addresses
        )

    async def _run(self, node: Node) -> None:
        with node.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.members.run)
                nursery.start_soon(node.gossiper.run)
                nursery.start_soon(node.status.run)


def _address(index: int) -> str:
    return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7080"
