"""Controller of the leaf view: which leafs are live, cold, draining or down.

It polls the state endpoints of each leaf to which this daemon may open
connections, polls the VM list, and receives the refusals and connection
failures of calls from the gateway. ``leafstate`` decides on the state of a
leaf; this module does the I/O and publishes the result. Where leafs come from
the settings, it is the only writer of ``Blackboard.leafs``.

A leaf that is leaving gets no new work after at most 3 s: the first report
from any source takes effect at once, each leaf is polled every second, and a
leaf that does not answer its polls for 2 s counts as down.
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
# The reported load is only a hint, and reading it costs as much as a health
# request, so it isn't read in every poll.
POLLS_PER_LOAD_READ_COUNT: typing.Final = 5
FAILED_POLL_RETRY_S: typing.Final = 0.2
JITTER_RATIO: typing.Final = 0.1

_HEALTH_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.HealthReply)
_LOAD_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.LoadReply)
_VERSIONS_DECODER: typing.Final = msgspec.json.Decoder(
    leafprotocol.VersionsReply
)

Trackers = dict[str, leafstate.LeafStateTracker]


class VmListReader(typing.Protocol):
    """Source of the VM list; ``vmlist.VmListClient`` implements it."""

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Return the current list of VMs, or why it could not be read."""


@dataclasses.dataclass(slots=True)
class Poller:
    """Control the task that polls one leaf.

    Cancelling ``scope`` ends the task; setting ``wake`` starts the next poll.
    """

    scope: trio.CancelScope
    wake: trio.Event


class LeafHealth:
    """Keep the leaf view up to date.

    It registers itself as the observer of the gateway.
    ``poll_interval_s`` is the time between two polls of a leaf, before
    jitter; the VM list is read at the same interval unless
    ``vm_list_interval_s`` is given. Without ``vm_list`` no list is read.
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
        self._trackers: Trackers = {}
        self._pollers: dict[str, Poller] = {}
        self._seen_in_vm_list: set[str] = set()
        self._logger = logs.part_logger("leafhealth")
        gateway.observer = self

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the leafs and the VM list until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._vm_list is not None:
                nursery.start_soon(self._poll_vm_list, self._vm_list)
            task_status.started()
            while True:
                changed = self._board.change_event(blackboard.Topic.SETTINGS)
                self._update(nursery)
                await changed.wait()

    def on_refusal(self, leaf: str, reason: leafprotocol.Refusal) -> None:
        """Record that a leaf refused a call, and why."""
        tracker = self._trackers.get(leaf)
        if tracker is None:
            return
        if reason is leafprotocol.Refusal.DRAINING:
            tracker.on_leaving(
                leafstate.ReportSource.REFUSAL, trio.current_time()
            )
            self._publish(leaf)
        elif reason is leafprotocol.Refusal.COLD:
            tracker.health = leafprotocol.HealthState.COLD
            self._publish(leaf)
        elif reason is leafprotocol.Refusal.UNKNOWN:
            self._poll_soon(leaf)

    def on_connection_lost(self, leaf: str) -> None:
        """Poll a leaf at once after a connection to it failed."""
        self._poll_soon(leaf)

    def on_peer_leaving(self, leaf: str) -> None:
        """Record that a peer reported a leaf as leaving."""
        tracker = self._trackers.get(leaf)
        if tracker is not None:
            tracker.on_leaving(
                leafstate.ReportSource.PEER, trio.current_time()
            )
            self._publish(leaf)

    def leaving_leafs(self) -> tuple[str, ...]:
        """Return the leafs that this daemon itself found to be leaving."""
        own_sources = set(leafstate.ReportSource) - {
            leafstate.ReportSource.PEER
        }
        return tuple(
            leaf
            for leaf, tracker in self._trackers.items()
            if own_sources & tracker.leaving_reported_s.keys()
        )

    def in_flight_counts(self) -> dict[str, int]:
        """Return the number of running requests that each leaf last reported.

        The numbers may be old, and leafs may report wrong ones.
        """
        return {
            leaf: tracker.in_flight_count
            for leaf, tracker in self._trackers.items()
        }

    def _update(self, nursery: trio.Nursery) -> None:
        """Start and stop pollers to match the leafs of the settings."""
        leafs = self._board.settings.leafs
        for leaf in [name for name in self._pollers if name not in leafs]:
            self._pollers.pop(leaf).scope.cancel()
            del self._trackers[leaf]
            self._remove_view(leaf)
        for leaf in leafs:
            if leaf not in self._pollers:
                self._trackers[leaf] = leafstate.LeafStateTracker()
                poller = Poller(trio.CancelScope(), trio.Event())
                self._pollers[leaf] = poller
                nursery.start_soon(self._poll_forever, leaf, poller)

    async def _poll_forever(self, leaf: str, poller: Poller) -> None:
        with poller.scope:
            await trio.sleep(self._rng.uniform(0, self._poll_interval_s / 4))
            while True:
                await self._poll(leaf)
                with trio.move_on_after(self._next_poll_delay_s(leaf)):
                    await poller.wake.wait()
                poller.wake = trio.Event()

    def _next_poll_delay_s(self, leaf: str) -> float:
        """Return the time to the next poll of a leaf.

        It is short while polls fail and the leaf does not count as down yet.
        """
        tracker = self._trackers[leaf]
        if tracker.failing_since_s is not None and not tracker.down:
            return FAILED_POLL_RETRY_S
        jitter = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
        return self._poll_interval_s * (1 + jitter)

    def _poll_soon(self, leaf: str) -> None:
        poller = self._pollers.get(leaf)
        if poller is not None:
            poller.wake.set()

    async def _poll(self, leaf: str) -> None:
        """Read the state endpoints of a leaf once and publish its state.

        A leaf to which this daemon may open no connections is not contacted.
        """
        tracker = self._trackers[leaf]
        tracker.expire(trio.current_time())
        pool = self._gateway.pool(leaf)
        if pool is None or pool.allotment_count == 0:
            self._publish(leaf)
            return
        deadline_s = trio.current_time() + POLL_TIMEOUT_S
        read = functools.partial(self._read, tracker, deadline_s)
        outcome = await self._gateway.read_state(leaf, read, deadline_s)
        if isinstance(outcome, result.Err):
            is_idle = pool.busy_count == 0
            self._on_poll_failed(tracker, outcome.err_value, is_idle)
        self._publish(leaf)

    def _on_poll_failed(
        self,
        tracker: leafstate.LeafStateTracker,
        error: errors.LeafError,
        is_idle: bool,
    ) -> None:
        """Record a failed poll, unless only the pool was exhausted.

        A pool whose connections are all busy says nothing about the leaf.
        """
        exhausted = (
            error.kind is errors.LeafFailureKind.NO_CONNECTION and not is_idle
        )
        if exhausted:
            return
        connect_failed = error.kind is errors.LeafFailureKind.CONNECT
        tracker.on_unreachable(connect_failed, trio.current_time())

    async def _read(
        self,
        tracker: leafstate.LeafStateTracker,
        deadline_s: float,
        client: leafclient.LeafClient,
    ) -> httpconnection.LeafResult[None]:
        """Read the state endpoints into a tracker over one connection.

        Health and versions are read in each poll, the load only in some.
        Return the first failure; what was read before it is kept.
        """
        started_s = trio.current_time()
        health = await client.get(
            leafprotocol.HEALTH_PATH, _HEALTH_DECODER, deadline_s
        )
        if isinstance(health, result.Err):
            return health
        tracker.on_health(
            health.ok_value.state, started_s, trio.current_time()
        )
        versions = await client.get(
            leafprotocol.VERSIONS_PATH, _VERSIONS_DECODER, deadline_s
        )
        if isinstance(versions, result.Err):
            return versions
        tracker.versions = {
            version: frozenset(shards)
            for version, shards in versions.ok_value.versions.items()
        }
        tracker.poll_count += 1
        if tracker.poll_count % POLLS_PER_LOAD_READ_COUNT != 1:
            return result.Ok(None)
        load = await client.get(
            leafprotocol.LOAD_PATH, _LOAD_DECODER, deadline_s
        )
        if isinstance(load, result.Err):
            return load
        tracker.in_flight_count = load.ok_value.in_flight
        return result.Ok(None)

    async def _poll_vm_list(self, reader: VmListReader) -> None:
        while True:
            started_s = trio.current_time()
            listing = await reader.read()
            if isinstance(listing, result.Ok):
                self._apply_vm_list(listing.ok_value, started_s)
            else:
                self._logger.info("No new VM list: {}.", listing.err_value)
            jitter = self._rng.uniform(-JITTER_RATIO, JITTER_RATIO)
            await trio.sleep(self._vm_list_interval_s * (1 + jitter))

    def _apply_vm_list(
        self, listing: leafprotocol.VmListing, started_s: float
    ) -> None:
        """Update the leafs from a VM list, matched by address.

        A leaf that was listed before and no longer is counts as leaving. The
        list says nothing about a leaf that it has never contained.
        """
        states = {vm.address: vm.state for vm in listing.vms}
        now_s = trio.current_time()
        for leaf, info in self._board.settings.leafs.items():
            tracker = self._trackers.get(leaf)
            state = find_vm_state(states, info.address)
            if state is not None:
                self._seen_in_vm_list.add(leaf)
            if tracker is None or leaf not in self._seen_in_vm_list:
                continue
            tracker.on_vm_listed(state != "live", started_s, now_s)
            self._publish(leaf)

    def _publish(self, leaf: str) -> None:
        """Publish the view of a leaf; notify if state or versions changed."""
        tracker = self._trackers.get(leaf)
        if tracker is None:
            return
        state = tracker.state()
        if state is None:
            return
        old = self._board.leafs.get(leaf)
        view = blackboard.LeafView(
            state, tracker.versions, tracker.health_read_s
        )
        if view == old:
            return
        self._board.leafs = {**self._board.leafs, leaf: view}
        if old is None or old.state is not state:
            sources = ", ".join(tracker.leaving_reported_s) or "polls"
            self._logger.info(
                "Leaf {} is {} according to {}.", leaf, state, sources
            )
        elif old.versions == view.versions:
            return
        self._board.notify(blackboard.Topic.LEAFS)

    def _remove_view(self, leaf: str) -> None:
        """Remove the view of a leaf that the settings no longer contain."""
        self._seen_in_vm_list.discard(leaf)
        views = self._board.leafs
        self._board.leafs = {k: v for k, v in views.items() if k != leaf}
        self._board.notify(blackboard.Topic.LEAFS)


def find_vm_state(states: abc.Mapping[str, str], address: str) -> str | None:
    """Return the state of a leaf's VM, or None if it is not in the list.

    ``states`` maps addresses to states; an address may lack the port.
    """
    host = leaftransport.split_address(address)[0]
    return states.get(address, states.get(host))
