"""Connection shares: claim a share and publish what it allows.

The settings divide the connection limit of each leaf among a fixed number of
shares (see ``shareplan``). A daemon may open connections to leafs only while
it holds a share, up to the allotments of that share. Claims are objects in
the object API (see ``shareclaim``), and ``claimmemory`` keeps copies of them
at peers for a restart during an outage. The controller owns
``blackboard.shares``.

A share is held only after this daemon's write to its claim is confirmed. To
obey plans means to use, for each leaf, the smallest allotment over all of
them. Two rules keep all daemons together within the limits, also while the
plan in the settings changes:

- A daemon obeys its own plan and all plans in the claims that it listed last,
  and it has listed the claims after it wrote its own.
- To change the plans in its claim, a daemon adds the new plan, lists the
  claims, and only then drops the other plans.

So of any set of daemons, the one that listed the claims first has had one plan
in its claim ever since; all others have seen that plan and obey it.

Before plans change or a share is released, connections above the new
allotments are closed (``close_excess``), and the peers that keep a copy of
the claim confirm the change.
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
CLAIM_ATTEMPTS_COUNT: typing.Final = 5
EXTRA_WRITES_PER_STEP: typing.Final = 2
RELEASE_ATTEMPTS_COUNT: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ShareOptions:
    """Configure the checks of the claims; the interval is in seconds."""

    check_interval_s: float = 10.0


async def no_excess() -> None:
    """Return at once, for a daemon without connection pools to shrink."""


class ShareClaims:
    """Claim a share, follow plan changes and release the share at a stop.

    ``announce`` is called with the share after each change of what is
    published. ``close_excess`` returns once no connections above the
    published allotments are left.
    """

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
        close_excess: abc.Callable[[], abc.Awaitable[None]] = no_excess,
    ) -> None:
        self._board = board
        self._own = own
        self._data_centre = data_centre
        self._store = store
        self._memory = memory
        self._announce = announce
        self._options = options
        self._rng = rng
        self._close_excess = close_excess
        self._vms = shareclaim.VmListing()
        self._held: shareclaim.StoredClaim | None = None
        self._is_recalled = False
        self._plans: frozenset[shareplan.Plan] = frozenset()
        self._must_list_claims = True
        self._is_stopping = False
        self._cached_allotments_key: object = None
        self._cached_allotments: dict[str, int] = {}

    async def run(self) -> None:
        """Claim and maintain a share until cancelled.

        The claims are checked at an interval and after each change of the
        settings.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_members)
            while True:
                changed = self._board.change_event(blackboard.Topic.SETTINGS)
                await self.step()
                pause_s = self._options.check_interval_s
                with trio.move_on_after(pause_s * self._rng.uniform(0.5, 1.5)):
                    await changed.wait()

    async def step(self) -> None:
        """Claim a share, or update the claim that is held."""
        if self._is_stopping or not self._board.settings.revision:
            return
        if self._held is None or self._is_recalled:
            attempts_left = CLAIM_ATTEMPTS_COUNT
            while attempts_left > 0 and await self._acquire():
                attempts_left -= 1
        else:
            await self._maintain(self._held)
        self.publish()

    def set_vm_list(self, vms: shareclaim.VmListing) -> None:
        """Accept a VM list unless it is older than the last one."""
        if vms.as_of_s > self._vms.as_of_s:
            self._vms = vms

    async def release(self) -> bool:
        """Release the share for a planned stop; return whether it is free.

        The share stays claimed if a peer has not confirmed that it has
        dropped its copy of the claim, or if the claim is only known from
        peers.
        """
        self._is_stopping = True
        held, self._held = self._held, None
        self.publish()
        await self._close_excess()
        if held is None or self._is_recalled:
            return False
        for _attempt in range(RELEASE_ATTEMPTS_COUNT):
            if await self._free_claim(held):
                return True
            current = await self._store.read(self._own_scope(), held.share)
            if current is None or not self._is_mine(current):
                return False
            held = current
        return False

    def publish(self) -> None:
        """Write the held share and its allotments to the blackboard."""
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
        """Try to claim a share; return whether to try again at once.

        While the claims can't be listed, the copy at peers is used.
        """
        claims = await self._list()
        if claims is None:
            if self._held is None:
                await self._recall_claim()
            return False
        share_count = self._own_plan().share_count
        chosen = shareclaim.choose_claim(
            claims, share_count, self._own, self._vms, self._rng
        )
        if chosen is None or self._differs_from_recalled(chosen):
            self._held = None
            self._is_recalled = False
            self.publish()
            await self._close_excess()
        if chosen is None:
            await self._record_listed_vms(claims)
            return False
        await self._claim(chosen)
        return self._held is None

    def _differs_from_recalled(self, chosen: shareclaim.StoredClaim) -> bool:
        return self._held is not None and chosen.share != self._held.share

    async def _claim(self, chosen: shareclaim.StoredClaim) -> None:
        """Write the claim, then list all claims to learn the plans in use."""
        before = chosen.claim
        # Peers may keep a copy of the claim with the plans of the previous
        # process on this VM, so these plans stay in the claim until the
        # peers have confirmed other ones.
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
        self._must_list_claims = True
        await self._list_after_write()

    async def _recall_claim(self) -> None:
        """Use the claim of the previous process on this VM in an outage.

        The claim comes from the copies at peers.
        """
        members = self._board.members.values()
        asked = claimmemory.memory_peers(
            self._own,
            members,
            self._data_centre,
            claimmemory.RECALL_PEER_COUNT,
            claimmemory.RECALL_PEER_COUNT,
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
        LOGGER.info(
            "Using share {} as recalled from peers; the object API is not "
            "available.",
            remembered.share,
        )

    async def _record_listed_vms(
        self, claims: claimstore.ClaimsByShare
    ) -> None:
        """Record in the claims of others that their VMs were listed.

        Only a claim with this record can be taken over once its VM is removed.
        """
        unrecorded = shareclaim.claims_without_listing(claims, self._vms)
        for stored in unrecorded[:EXTRA_WRITES_PER_STEP]:
            await self._write(
                stored, shareclaim.with_listing(stored, self._vms)
            )

    # Maintaining

    async def _maintain(self, held: shareclaim.StoredClaim) -> None:
        """Take the next step that the held claim needs, if any."""
        plan = self._own_plan()
        claim = held.claim
        if claim is None:
            return
        if self._must_list_claims:
            await self._list_after_write()
        elif max(claim.plans) < plan:
            await self._change_plans(held, claim, (*claim.plans, plan))
        elif plan in claim.plans and len(claim.plans) > 1:
            await self._change_plans(held, claim, (plan,))
        elif len(self._plans) > 1:
            await self._list_after_write()
        elif held.share >= plan.share_count:
            await self._drop(held)
        elif not claim.listed_as_of_s and self._own.vm_id in self._vms.vm_ids:
            await self._write(held, shareclaim.with_listing(held, self._vms))
            await self._list_after_write()
        else:
            await self._refresh_peer_copies(held, claim)

    async def _drop(self, held: shareclaim.StoredClaim) -> None:
        """Give up a share whose number the plan no longer contains."""
        self._held = None
        self.publish()
        await self._close_excess()
        await self._free_claim(held)

    async def _change_plans(
        self,
        held: shareclaim.StoredClaim,
        claim: shareclaim.Claim,
        plans: tuple[shareplan.Plan, ...],
    ) -> None:
        """Change the plans in the claim.

        First the allotments are lowered to obey all plans and excess
        connections are closed, then the peers confirm their copies, then the
        claim is written, and last the claims are listed.
        """
        self._plans |= set(plans)
        self.publish()
        await self._close_excess()
        if not await self._copy_to_peers(held, claim):
            LOGGER.info(
                "Plans in the claim not changed; not all peers confirmed them."
            )
            return
        changed = msgspec.structs.replace(claim, plans=plans)
        self._must_list_claims = True
        written = await self._write(held, changed)
        if written is not None:
            self._held = written
        await self._list_after_write()

    async def _refresh_peer_copies(
        self, held: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> None:
        """Send copies of the claim; first name more peers if too few live."""
        memory = self._with_live_peers(claim.memory)
        if memory != claim.memory:
            changed = msgspec.structs.replace(claim, memory=memory)
            held = await self._write(held, changed) or held
            self._held = held
        if held.claim is not None:
            await self._copy_to_peers(held, held.claim)

    async def _copy_to_peers(
        self, held: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> bool:
        """Send the claim to its peers; return whether all confirmed."""
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

    async def _list_after_write(self) -> None:
        """List the claims after this daemon's write, to learn plans in use.

        The share is given up if its claim has another owner by now.
        """
        claims = await self._list()
        held = self._held
        if claims is None or held is None:
            return
        current = claims.get(held.share)
        if current is None or not self._is_mine(current):
            LOGGER.error(
                "Share {} is claimed by another owner; giving it up.",
                held.share,
            )
            self._held = None
            return
        self._held = current
        self._must_list_claims = False
        active = shareclaim.active_plans(claims, self._own, self._vms)
        self._plans = active | {self._own_plan()}
        self.publish()
        if current.claim is not None:
            await self._copy_to_peers(current, current.claim)
        await self._free_surplus(claims, current.share)

    async def _free_surplus(
        self, claims: claimstore.ClaimsByShare, kept: int
    ) -> None:
        """Free other shares that this VM has claimed.

        They are left over if the reply to a write was lost or late.
        """
        surplus = shareclaim.surplus_claims(claims, kept, self._own, self._vms)
        for stored in surplus[:EXTRA_WRITES_PER_STEP]:
            await self._free_claim(stored)

    async def _free_claim(self, stored: shareclaim.StoredClaim) -> bool:
        """Remove the owner from a claim; return whether that is confirmed.

        The peers must have dropped their copies first.
        """
        claim = stored.claim
        if claim is None:
            return False
        key = self._key(stored.share)
        if not await self._memory.forget(key, stored.version, claim):
            LOGGER.warning(
                "Share {} stays claimed; not all peers confirmed that they "
                "dropped the claim.",
                stored.share,
            )
            return False
        unowned = shareclaim.without_owner(claim)
        return await self._write(stored, unowned) is not None

    def _key(self, share: int) -> str:
        return shareclaim.key_of(self._own_scope(), share)

    async def _list(self) -> claimstore.ClaimsByShare | None:
        return await self._store.list(self._own_scope())

    async def _write(
        self, before: shareclaim.StoredClaim, claim: shareclaim.Claim
    ) -> shareclaim.StoredClaim | None:
        return await self._store.write(self._own_scope(), before, claim)

    # Helpers

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
        """Return the connections that the share allows, by leaf name.

        The result is cached: every change of the members causes a call, but
        seldom another result.
        """
        plans = self._plans | {self._own_plan()}
        if held.claim is not None:
            plans |= set(held.claim.plans)
        key = (self._board.settings.revision, held.share, plans)
        if key != self._cached_allotments_key:
            leafs = shareplan.leafs_in_scope(
                self._board.settings, self._data_centre
            )
            self._cached_allotments_key = key
            self._cached_allotments = shareplan.allotments(
                leafs, held.share, plans
            )
        return self._cached_allotments

    async def _follow_members(self) -> None:
        """Publish the share owners after each change of the members."""
        while True:
            await self._board.change_event(blackboard.Topic.MEMBERS).wait()
            self.publish()
