"""Connection shares: which share this daemon holds and what it allows.

The controller owns ``blackboard.shares``. A share is held only after an own
write to its claim is confirmed. The limits of leafs hold by two rules. A
daemon obeys, that is uses the smallest allotment of, its own plan and all
plans in the claims that it listed last, and it has listed after its claim
was written. A claim changes its plans by adding one, listing, and only then
dropping the others. So of all daemons, the one that listed first has had one
plan in its claim ever since; all others have seen that plan and obey it.

Before plans change or a share is released, connections above the new
allotment are closed (``settle``) and peers confirm what they remember.
"""

import dataclasses
import random
import typing
from collections import abc

import msgspec
import trio

from plantainhook import (
    blackboard,
    claimmemory,
    claimstore,
    logs,
    schema,
    shareclaim,
    shareplan,
)

LOGGER: typing.Final = logs.part_logger("shares")
CLAIM_TRIES: typing.Final = 5
EXTRAS_PER_STEP: typing.Final = 2
RELEASE_TRIES: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ShareOptions:
    """Hold the time between checks of the claims, in seconds."""

    check_interval_s: float = 10.0


async def settled() -> None:
    """Stand for a pool that has no connections above the allotments."""


class ShareClaims:
    """Claim a share, follow plan changes, release the share at a stop."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        own: shareclaim.Claimant,
        data_centre: str,
        store: claimstore.ClaimStore,
        memory: claimmemory.ClaimMemory,
        announce: abc.Callable[[int | None], None],
        options: ShareOptions,
        rng: random.Random,
        settle: abc.Callable[[], abc.Awaitable[None]] = settled,
    ) -> None:
        self._board = board
        self._own = own
        self._data_centre = data_centre
        self._store = store
        self._memory = memory
        self._announce = announce
        self._options = options
        self._rng = rng
        self._settle = settle
        self._vms = shareclaim.VmListing()
        self._held: shareclaim.StoredClaim | None = None
        self._is_recalled = False
        self._plans: frozenset[shareplan.Plan] = frozenset()
        self._must_list = True
        self._is_stopping = False
        self._allotments_key: object = None
        self._allotments_kept: dict[str, int] = {}

    async def run(self) -> None:
        """Keep a share until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_members)
            while True:
                changed = self._board.change_event(blackboard.Topic.SETTINGS)
                await self.step()
                pause_s = self._options.check_interval_s
                with trio.move_on_after(pause_s * self._rng.uniform(0.5, 1.5)):
                    await changed.wait()

    async def step(self) -> None:
        """Claim a share, or bring the held claim up to date."""
        if self._is_stopping or not self._board.settings.revision:
            return
        if self._held is None or self._is_recalled:
            tries = CLAIM_TRIES
            while tries > 0 and await self._acquire():
                tries -= 1
        else:
            await self._maintain(self._held)
        self.publish()

    def set_vm_list(self, vms: shareclaim.VmListing) -> None:
        """Take a VM list; one that is older than the last is ignored."""
        if vms.as_of_s > self._vms.as_of_s:
            self._vms = vms

    async def release(self) -> bool:
        """Give the share up for a planned stop; return whether it is free.

        A share that a peer may still remember stays claimed.
        """
        self._is_stopping = True
        held, self._held = self._held, None
        self.publish()
        await self._settle()
        if held is None or self._is_recalled:
            return False
        for _try in range(RELEASE_TRIES):
            if await self._free(held):
                return True
            current = await self._store.read(self._own_scope(), held.share)
            if current is None or not self._is_mine(current):
                return False
            held = current
        return False

    def publish(self) -> None:
        """Write the share and its allotments to the blackboard."""
        held = self._held
        share, allotments = None, dict[str, int]()
        if held is not None and self._plans:
            share, allotments = held.share, self._allotments(held)
        owners = shareplan.owners(
            self._board.members.values(), self._settings_plan()
        )
        view = blackboard.ShareView(share, allotments, owners)
        if view != self._board.shares:
            self._board.shares = view
            self._board.notify(blackboard.Topic.SHARES)
            self._announce(share)

    # Claiming

    async def _acquire(self) -> bool:
        """Try to claim a share; return whether to try again at once."""
        listed = await self._list()
        if listed is None:
            if self._held is None:
                await self._recall()
            return False
        share_count = self._own_plan().share_count
        chosen = shareclaim.choose_claim(
            listed, share_count, self._own, self._vms, self._rng
        )
        if chosen is None or self._differs_from_recalled(chosen):
            self._held = None
            self._is_recalled = False
            self.publish()
            await self._settle()
        if chosen is None:
            await self._mark_listed(listed)
            return False
        await self._take(chosen)
        return self._held is None

    def _differs_from_recalled(self, chosen: shareclaim.StoredClaim) -> bool:
        return self._held is not None and chosen.share != self._held.share

    async def _take(self, chosen: shareclaim.StoredClaim) -> None:
        """Write the claim, then list; only then are plans in use known."""
        before = chosen.claim
        # Peers may remember the plans of the VM's last process, so these
        # stay recorded until they confirm others.
        plans: tuple[shareplan.Plan, ...] = (self._own_plan(),)
        memory: tuple[shareclaim.MemoryPeer, ...] = ()
        if before is not None and shareclaim.is_same_vm(
            before, self._own, self._vms
        ):
            plans, memory = before.plans, before.memory
        claim = shareclaim.Claim(
            owner=self._own.incarnation,
            vm_id=self._own.vm_id,
            peer_address=self._own.peer_address,
            plans=plans,
            listed_as_of_s=self._listed_as_of_s(self._own.vm_id),
            memory=self._with_live_peers(memory),
        )
        written = await self._write(chosen, claim)
        if written is None:
            return
        if not self._is_recalled:
            self._plans = frozenset()
        self._held = written
        self._is_recalled = False
        self._must_list = True
        await self._relist()

    async def _recall(self) -> None:
        """Use the claim of this VM's last process during an outage."""
        members = self._board.members.values()
        asked = claimmemory.memory_peers(
            self._own,
            members,
            self._data_centre,
            claimmemory.RECALL_COUNT,
            claimmemory.RECALL_COUNT,
        )
        addresses = [member.peer_address for member in asked]
        recalled = await self._memory.recall(self._own, addresses)
        if recalled is None:
            return
        key, remembered = recalled
        if key != self._key(remembered.share):
            return
        self._held = shareclaim.StoredClaim(
            remembered.share, 0, remembered.claim
        )
        self._is_recalled = True
        self._plans = frozenset(remembered.plans)
        LOGGER.info("Peers remember share {}.", remembered.share)

    async def _mark_listed(self, listed: claimstore.ClaimsByShare) -> None:
        """Record for owners that their VMs were listed."""
        unmarked = shareclaim.claims_without_listing(listed, self._vms)
        for stored in unmarked[:EXTRAS_PER_STEP]:
            await self._write(
                stored, shareclaim.with_listing(stored, self._vms)
            )

    # Keeping

    async def _maintain(self, held: shareclaim.StoredClaim) -> None:
        plan = self._own_plan()
        claim = held.claim
        if claim is None:
            return
        if self._must_list:
            await self._relist()
        elif max(claim.plans) < plan:
            await self._record(held, claim, (*claim.plans, plan))
        elif plan in claim.plans and len(claim.plans) > 1:
            await self._record(held, claim, (plan,))
        elif len(self._plans) > 1:
            await self._relist()
        elif held.share >= plan.share_count:
            await self._drop(held)
        elif not claim.listed_as_of_s and self._own.vm_id in self._vms.vm_ids:
            await self._write(held, shareclaim.with_listing(held, self._vms))
            await self._relist()
        else:
            await self._renew_memory(held, claim)

    async def _drop(self, held: shareclaim.StoredClaim) -> None:
        """Give up a share that the plan no longer has."""
        self._held = None
        self.publish()
        await self._settle()
        await self._free(held)

    async def _record(
        self,
        held: shareclaim.StoredClaim,
        claim: shareclaim.Claim,
        plans: tuple[shareplan.Plan, ...],
    ) -> None:
        """Change the plans in the claim: lower, tell peers, write, list."""
        self._plans |= set(plans)
        self.publish()
        await self._settle()
        if not await self._remember(held, claim):
            LOGGER.info("Peers have not confirmed the plan.")
            return
        changed = msgspec.structs.replace(claim, plans=plans)
        self._must_list = True
        written = await self._write(held, changed)
        if written is not None:
            self._held = written
        await self._relist()

    async def _renew_memory(
        self, held: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> None:
        memory = self._with_live_peers(claim.memory)
        if memory != claim.memory:
            renewed = msgspec.structs.replace(claim, memory=memory)
            held = await self._write(held, renewed) or held
            self._held = held
        if held.claim is not None:
            await self._remember(held, held.claim)

    async def _remember(
        self, held: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> bool:
        remembered = shareclaim.RememberedClaim(
            held.share, claim, tuple(sorted(self._plans))
        )
        key = self._key(held.share)
        return await self._memory.remember(key, held.version, remembered)

    def _with_live_peers(
        self, memory: tuple[shareclaim.MemoryPeer, ...]
    ) -> tuple[shareclaim.MemoryPeer, ...]:
        members = self._board.members.values()
        return claimmemory.with_live_peers(
            memory, self._own, members, self._data_centre
        )

    async def _relist(self) -> None:
        """Find the plans in use after the last own write."""
        listed = await self._list()
        held = self._held
        if listed is None or held is None:
            return
        current = listed.get(held.share)
        if current is None or not self._is_mine(current):
            LOGGER.error("Share {} has another owner.", held.share)
            self._held = None
            return
        self._held = current
        self._must_list = False
        active = shareclaim.active_plans(listed, self._own, self._vms)
        self._plans = active | {self._own_plan()}
        self.publish()
        if current.claim is not None:
            await self._remember(current, current.claim)
        await self._free_extras(listed, current.share)

    async def _free_extras(
        self, listed: claimstore.ClaimsByShare, kept: int
    ) -> None:
        """Free other shares of this VM, left by lost or late replies."""
        extras = shareclaim.surplus_claims(listed, kept, self._own, self._vms)
        for stored in extras[:EXTRAS_PER_STEP]:
            await self._free(stored)

    async def _free(self, stored: shareclaim.StoredClaim) -> bool:
        claim = stored.claim
        if claim is None:
            return False
        key = self._key(stored.share)
        if not await self._memory.forget(key, stored.version, claim):
            LOGGER.warning("Peers still remember share {}.", stored.share)
            return False
        freed = shareclaim.without_owner(claim)
        return await self._write(stored, freed) is not None

    def _key(self, share: int) -> str:
        return shareclaim.key_of(self._own_scope(), share)

    async def _list(self) -> claimstore.ClaimsByShare | None:
        return await self._store.list(self._own_scope())

    async def _write(
        self, before: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> shareclaim.StoredClaim | None:
        return await self._store.write(self._own_scope(), before, claim)

    # Views

    def _is_mine(self, stored: shareclaim.StoredClaim) -> bool:
        claim = stored.claim
        return claim is not None and claim.owner == self._own.incarnation

    def _own_plan(self) -> shareplan.Plan:
        return shareplan.plan_of(self._settings_plan())

    def _settings_plan(self) -> schema.SharePlan:
        return self._board.settings.settings.share_plan

    def _scope(self, data_centre: str) -> str:
        return shareplan.scope_of(self._settings_plan(), data_centre)

    def _own_scope(self) -> str:
        return self._scope(self._data_centre)

    def _listed_as_of_s(self, vm_id: str) -> float:
        return self._vms.as_of_s if vm_id in self._vms.vm_ids else 0.0

    def _allotments(self, held: shareclaim.StoredClaim) -> dict[str, int]:
        """Return the allotments; they change less often than members."""
        plans = self._plans | {self._own_plan()}
        if held.claim is not None:
            plans |= set(held.claim.plans)
        key = (self._board.settings.revision, held.share, plans)
        if key != self._allotments_key:
            leafs = shareplan.leafs_in_scope(
                self._board.settings, self._data_centre
            )
            self._allotments_key = key
            self._allotments_kept = shareplan.allotments(
                leafs, held.share, plans
            )
        return self._allotments_kept

    async def _follow_members(self) -> None:
        """Publish the owners that members announce."""
        while True:
            await self._board.change_event(blackboard.Topic.MEMBERS).wait()
            self.publish()
