"""Claims of connection shares, as stored in the object API.

A claim names its owner and the plan that the owner uses. ``TAKEOVER_RULES``
holds the only grounds on which a claim changes hands. None of them uses a
clock: a claim that ran out by time could be taken from a daemon that is
paused or cut off and still holds its connections.
"""

import dataclasses
import enum
import random
import typing
from collections import abc

import msgspec

from plantainhook import logs, objectapi, registry, shareplan

LOGGER: typing.Final = logs.part_logger("shares")
NO_OWNER: typing.Final = 0


class MemoryPeer(msgspec.Struct, frozen=True):
    """Name a daemon that remembers a claim."""

    vm_id: str
    peer_address: str


class Claim(msgspec.Struct, frozen=True):
    """Record who holds a share and which plans it obeys.

    ``listed_as_of_s`` is the time of a VM list that contained the owner's
    VM, on the platform's clock, or 0. ``memory`` names every daemon that
    may remember the claim.
    """

    owner: int
    vm_id: str
    peer_address: str
    plans: tuple[shareplan.Plan, ...]
    listed_as_of_s: float = 0.0
    memory: tuple[MemoryPeer, ...] = ()

    @property
    def is_free(self) -> bool:
        """Return whether the share has no owner."""
        return self.owner == NO_OWNER


class RememberedClaim(msgspec.Struct, frozen=True):
    """Hold what a peer keeps: the claim and the plans its owner obeys."""

    share: int
    claim: Claim
    plans: tuple[shareplan.Plan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """Hold a claim and the version of its object; version 0 is absent."""

    share: int
    version: int
    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmListing:
    """Hold the VMs of one VM list and the platform's time of it."""

    vm_ids: frozenset[str] = frozenset()
    as_of_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claimant:
    """Describe the daemon that wants a share."""

    incarnation: int
    vm_id: str
    peer_address: str


class TakeoverReason(enum.StrEnum):
    """Name the grounds on which a share may be claimed."""

    SAME_VM = "same_vm"
    RELEASED = "released"
    VM_GONE = "vm_gone"


Rule = abc.Callable[[Claim, Claimant, VmListing], bool]
TAKEOVER_RULES: typing.Final[registry.Registry[bool]] = registry.Registry(
    "take-over rule"
)


@TAKEOVER_RULES.register(TakeoverReason.SAME_VM)
def is_same_vm(claim: Claim, claimant: Claimant, vms: VmListing) -> bool:
    """Return whether the claimant has the owner's VM and address.

    The listening port is exclusive, so the owner's process has ended.
    """
    return (
        claim.vm_id == claimant.vm_id
        and claim.peer_address == claimant.peer_address
    )


@TAKEOVER_RULES.register(TakeoverReason.RELEASED)
def is_released(claim: Claim, claimant: Claimant, vms: VmListing) -> bool:
    """Return whether the owner has released the share."""
    return claim.is_free


@TAKEOVER_RULES.register(TakeoverReason.VM_GONE)
def is_vm_gone(claim: Claim, claimant: Claimant, vms: VmListing) -> bool:
    """Return whether the owner's VM was listed and has disappeared.

    A VM that was never listed may be new, and an older list proves nothing.
    """
    return (
        0.0 < claim.listed_as_of_s < vms.as_of_s
        and claim.vm_id not in vms.vm_ids
    )


def takeover_reason(
    claim: Claim, claimant: Claimant, vms: VmListing
) -> str | None:
    """Return the ground on which a claim may be taken over, if any."""
    names = [str(ground) for ground in TakeoverReason]
    names += [n for n in TAKEOVER_RULES.names() if n not in names]
    for name in names:
        if TAKEOVER_RULES.create(name, claim, claimant, vms):
            return name
    return None


def prefix_of(scope: str) -> str:
    """Return the prefix of the keys of all claims of a scope."""
    return f"shares/{scope}/"


def key_of(scope: str, share: int) -> str:
    """Return the key of the claim of a share."""
    return f"{prefix_of(scope)}{share}"


def stored_claim(stored: objectapi.StoredObject) -> StoredClaim:
    """Read a claim; raises msgspec.ValidationError where it is malformed."""
    claim = msgspec.convert(stored.value, Claim)
    share = int(stored.key.rpartition("/")[2])
    return StoredClaim(share, stored.version, claim)


def value_of(claim: Claim) -> typing.Any:
    """Return the JSON value of a claim."""
    return msgspec.to_builtins(claim)


ClaimsByShare = abc.Mapping[int, StoredClaim]


def choose_claim(
    listed: ClaimsByShare,
    share_count: int,
    own: Claimant,
    vms: VmListing,
    rng: random.Random,
) -> StoredClaim | None:
    """Return a share to claim: the VM's own first, else any free one."""
    found: dict[str, list[StoredClaim]] = {}
    for share in sorted({*range(share_count), *listed}):
        stored = listed.get(share) or StoredClaim(share, 0, None)
        ground: str | None = TakeoverReason.RELEASED
        if stored.claim is not None:
            ground = takeover_reason(stored.claim, own, vms)
        if ground == TakeoverReason.SAME_VM or (
            ground and share < share_count
        ):
            found.setdefault(ground, []).append(stored)
    for ground in (TakeoverReason.SAME_VM, *found):
        if ground in found:
            chosen = rng.choice(found[ground])
            LOGGER.info("Claims share {}: {}.", chosen.share, ground)
            return chosen
    return None


def active_plans(
    listed: ClaimsByShare, own: Claimant, vms: VmListing
) -> frozenset[shareplan.Plan]:
    """Return the plans of all claims whose owner may exist."""
    return frozenset(
        plan
        for stored in listed.values()
        if (claim := stored.claim) is not None
        and not claim.is_free
        and not is_vm_gone(claim, own, vms)
        for plan in claim.plans
    )


def claims_without_listing(
    listed: ClaimsByShare, vms: VmListing
) -> list[StoredClaim]:
    """Return claims whose owner's VM is listed, but not yet on record."""
    return [
        stored
        for stored in listed.values()
        if stored.claim is not None
        and not stored.claim.is_free
        and not stored.claim.listed_as_of_s
        and stored.claim.vm_id in vms.vm_ids
    ]


def with_listing(stored: StoredClaim, vms: VmListing) -> Claim:
    """Return the claim with the record that its owner's VM is listed."""
    if stored.claim is None:
        raise ValueError(f"share {stored.share} has no claim")
    return msgspec.structs.replace(stored.claim, listed_as_of_s=vms.as_of_s)


def without_owner(claim: Claim) -> Claim:
    """Return the claim without an owner; its plans are for the record."""
    return msgspec.structs.replace(
        claim, owner=NO_OWNER, listed_as_of_s=0.0, memory=()
    )


def surplus_claims(
    listed: ClaimsByShare, kept: int, own: Claimant, vms: VmListing
) -> list[StoredClaim]:
    """Return other shares of this VM, left by lost or late replies."""
    return [
        stored
        for share, stored in listed.items()
        if share != kept
        and stored.claim is not None
        and not stored.claim.is_free
        and is_same_vm(stored.claim, own, vms)
    ]
