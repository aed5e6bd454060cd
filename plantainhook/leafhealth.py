"""Controller of the leaf view: which leafs are live, cold, draining, down.

It polls the state endpoints of each leaf to which this daemon holds
connections, reads the VM list, and learns from the refusals of calls. It is
the only writer of ``Blackboard.leafs``. A leaf that is leaving gets no new
work after at most 3 s: the earliest sign takes effect at once, a poll comes
every second, and a leaf that does not answer its polls for 2 s counts as
down.
"""

import dataclasses
import functools
import random
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    blackboard,
    errors,
    httpconnection,
    leafclient,
    leafgateway,
    leafprotocol,
    leafstate,
    leaftransport,
    logs,
    vmlist,
)

POLL_TIMEOUT_S: typing.Final = 0.5
# The load endpoint is only a hint, and each read costs as much as a health
# read.
LOAD_STRIDE_COUNT: typing.Final = 5
RETRY_S: typing.Final = 0.2
JITTER_RATIO: typing.Final = 0.1

_HEALTH: typing.Final = msgspec.json.Decoder(leafprotocol.HealthReply)
_LOAD: typing.Final = msgspec.json.Decoder(leafprotocol.LoadReply)
_VERSIONS: typing.Final = msgspec.json.Decoder(leafprotocol.VersionsReply)

Beliefs = dict[str, leafstate.LeafStateTracker]


class VmListReader(typing.Protocol):
    """Read the VM list; ``vmlist.VmListClient`` implements it."""

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Return the list."""


@dataclasses.dataclass(slots=True)
class Poller:
    """Hold the task that polls one leaf."""

    scope: trio.CancelScope
    wake: trio.Event


class LeafHealth:
    """Keep the leaf view up to date.

    It is the observer of the gateway. ``poll_interval_s`` is the time
    between two polls of a leaf, before jitter.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        gateway: leafgateway.LeafGateway,
        vm_list: VmListReader | None,
        poll_interval_s: float,
        rng: random.Random,
        vm_list_interval_s: float | None = None,
    ) -> None:
        self._board = board
        self._gateway = gateway
        self._vm_list = vm_list
        self._poll_interval_s = poll_interval_s
        self._vm_list_interval_s = vm_list_interval_s or poll_interval_s
        self._rng = rng
        self._beliefs: Beliefs = {}
        self._pollers: dict[str, Poller] = {}
        self._listed: set[str] = set()
        self._logger = logs.part_logger("leafhealth")
        gateway.observer = self

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll leafs and the VM list until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._vm_list is not None:
                nursery.start_soon(self._follow_vm_list, self._vm_list)
            task_status.started()
            while True:
                changed = self._board.change_event(blackboard.Topic.SETTINGS)
                self._update(nursery)
                await changed.wait()

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Take note of a refusal of a call."""
        belief = self._beliefs.get(leaf)
        if belief is None:
            return
        if reason is leafprotocol.Refusal.DRAINING:
            belief.on_leaving(leafstate.Source.REFUSAL, trio.current_time())
            self._publish(leaf)
        elif reason is leafprotocol.Refusal.COLD:
            belief.health = leafprotocol.HealthState.COLD
            self._publish(leaf)
        elif reason is leafprotocol.Refusal.UNKNOWN:
            self._poll_soon(leaf)

    def on_connection_lost(self, leaf: str) -> None:
        """Poll at once a leaf that broke a connection."""
        self._poll_soon(leaf)

    def on_peer_leaving(self, leaf: str) -> None:
        """Take note of a peer's word that a leaf is leaving."""
        belief = self._beliefs.get(leaf)
        if belief is not None:
            belief.on_leaving(leafstate.Source.PEER, trio.current_time())
            self._publish(leaf)

    def leaving_leafs(self) -> tuple[str, ...]:
        """Return the leafs that this daemon itself found to be leaving."""
        own = set(leafstate.Source) - {leafstate.Source.PEER}
        return tuple(
            leaf
            for leaf, belief in self._beliefs.items()
            if own & belief.leaving_s.keys()
        )

    def in_flight_counts(self) -> dict[str, int]:
        """Return what each leaf last said of its load; it may be wrong."""
        return {
            leaf: belief.in_flight_count
            for leaf, belief in self._beliefs.items()
        }

    def _update(self, nursery: trio.Nursery) -> None:
        """Start and stop pollers as the settings say."""
        leafs = self._board.settings.leafs
        for leaf in [name for name in self._pollers if name not in leafs]:
            self._pollers.pop(leaf).scope.cancel()
            del self._beliefs[leaf]
            self._drop_view(leaf)
        for leaf in leafs:
            if leaf not in self._pollers:
                self._beliefs[leaf] = leafstate.LeafStateTracker()
                poller = Poller(trio.CancelScope(), trio.Event())
                self._pollers[leaf] = poller
                nursery.start_soon(self._poll_forever, leaf, poller)

    async def _poll_forever(self, leaf: str, poller: Poller) -> None:
        with poller.scope:
            await trio.sleep(self._rng.uniform(0, self._poll_interval_s / 4))
            while True:
                await self._poll(leaf)
                with trio.move_on_after(self._pause_s(leaf)):
                    await poller.wake.wait()
                poller.wake = trio.Event()

    def _pause_s(self, leaf: str) -> float:
        """Return the time to the next poll; it is short after a failure."""
        belief = self._beliefs[leaf]
        if belief.failing_since_s is not None and not belief.down:
            return RETRY_S
        spread = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
        return self._poll_interval_s * (1 + spread)

    def _poll_soon(self, leaf: str) -> None:
        poller = self._pollers.get(leaf)
        if poller is not None:
            poller.wake.set()

    async def _poll(self, leaf: str) -> None:
        """Read the state endpoints of a leaf once."""
        belief = self._beliefs[leaf]
        belief.expire(trio.current_time())
        pool = self._gateway.pool(leaf)
        if pool is None or pool.allotment_count == 0:
            self._publish(leaf)
            return
        deadline_s = trio.current_time() + POLL_TIMEOUT_S
        read = functools.partial(self._read, belief, deadline_s)
        outcome = await self._gateway.read_state(leaf, read, deadline_s)
        if isinstance(outcome, result.Err):
            idle = pool.busy_count == 0
            self._on_poll_failed(belief, outcome.err_value, idle)
        self._publish(leaf)

    def _on_poll_failed(
        self,
        belief: leafstate.LeafStateTracker,
        error: errors.LeafError,
        idle: bool,
    ) -> None:
        """Judge a failed poll; a full pool says nothing of the leaf."""
        full = error.kind is errors.LeafFailureKind.NO_CONNECTION and not idle
        if full:
            return
        refused = error.kind is errors.LeafFailureKind.CONNECT
        belief.on_unreachable(refused, trio.current_time())

    async def _read(
        self,
        belief: leafstate.LeafStateTracker,
        deadline_s: float,
        client: leafclient.LeafClient,
    ) -> httpconnection.LeafResult[None]:
        started_s = trio.current_time()
        health = await client.get(
            leafprotocol.HEALTH_PATH, _HEALTH, deadline_s
        )
        if isinstance(health, result.Err):
            return health
        belief.on_health(health.ok_value.state, started_s, trio.current_time())
        versions = await client.get(
            leafprotocol.VERSIONS_PATH, _VERSIONS, deadline_s
        )
        if isinstance(versions, result.Err):
            return versions
        belief.versions = {
            version: frozenset(shards)
            for version, shards in versions.ok_value.versions.items()
        }
        belief.poll_count += 1
        if belief.poll_count % LOAD_STRIDE_COUNT != 1:
            return result.Ok(None)
        load = await client.get(leafprotocol.LOAD_PATH, _LOAD, deadline_s)
        if isinstance(load, result.Err):
            return load
        belief.in_flight_count = load.ok_value.in_flight
        return result.Ok(None)

    async def _follow_vm_list(self, reader: VmListReader) -> None:
        while True:
            started_s = trio.current_time()
            listing = await reader.read()
            if isinstance(listing, result.Ok):
                self._apply_vm_list(listing.ok_value, started_s)
            else:
                self._logger.info("{}.", listing.err_value)
            spread = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await trio.sleep(self._vm_list_interval_s * (1 + spread))

    def _apply_vm_list(
        self, listing: leafprotocol.VmListing, started_s: float
    ) -> None:
        """Join the list to the leafs by address.

        A leaf that was listed and has disappeared is gone. A leaf that never
        was listed is judged by the other signs only.
        """
        states = {vm.address: vm.state for vm in listing.vms}
        now_s = trio.current_time()
        for leaf, info in self._board.settings.leafs.items():
            belief = self._beliefs.get(leaf)
            state = state_of(states, info.address)
            if state is not None:
                self._listed.add(leaf)
            if belief is None or leaf not in self._listed:
                continue
            belief.on_vm_listed(state != "live", started_s, now_s)
            self._publish(leaf)

    def _publish(self, leaf: str) -> None:
        """Write the view of a leaf; notify where it changed."""
        belief = self._beliefs.get(leaf)
        if belief is None:
            return
        state = belief.state()
        if state is None:
            return
        old = self._board.leafs.get(leaf)
        view = blackboard.LeafView(state, belief.versions, belief.health_s)
        if view == old:
            return
        self._board.leafs = {**self._board.leafs, leaf: view}
        if old is None or old.state is not state:
            signs = ", ".join(belief.leaving_s) or "polls"
            self._logger.info("{} is {} by {}.", leaf, state, signs)
        elif old.versions == view.versions:
            return
        self._board.notify(blackboard.Topic.LEAFS)

    def _drop_view(self, leaf: str) -> None:
        """Remove a leaf that the settings no longer have."""
        self._listed.discard(leaf)
        views = self._board.leafs
        self._board.leafs = {k: v for k, v in views.items() if k != leaf}
        self._board.notify(blackboard.Topic.LEAFS)


def state_of(states: abc.Mapping[str, str], address: str) -> str | None:
    """Find a leaf in the VM list, by host and port or by host alone."""
    host = leaftransport.split_address(address)[0]
    return states.get(address, states.get(host))
