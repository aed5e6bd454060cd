"""Claims of connection shares, as stored in the object API.

Everything here is pure: ``shares`` decides when to claim, and ``claimstore``
reads and writes the claims.

A claim names its owner and the plans that the owner obeys. ``TAKEOVER_RULES``
holds the only reasons for which a claim may get another owner. None of them
uses a clock: a claim that expired by time could be taken from a daemon that
is paused or cut off and still holds its connections.
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
    """Name a daemon that keeps a copy of a claim."""

    vm_id: str
    peer_address: str


class Claim(msgspec.Struct, frozen=True):
    """Represent the claim of one share, as stored.

    ``owner`` is an incarnation, or ``NO_OWNER`` if the share is free.
    ``plans`` are the plans that the owner obeys. ``listed_as_of_s`` is the
    time of a VM list that contained the owner's VM, on the platform's clock,
    or 0 before there was one. ``memory`` names every daemon that may keep a
    copy of the claim.
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
    """Represent the copy of a claim that a peer keeps.

    ``plans`` are all plans that the owner obeys, which may be more than those
    in the claim.
    """

    share: int
    claim: Claim
    plans: tuple[shareplan.Plan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """Represent a claim and the version of its object.

    If the object doesn't exist, the version is 0 and the claim is None.
    """

    share: int
    version: int
    claim: Claim | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmListing:
    """Represent one VM list.

    ``as_of_s`` is the time of the list on the platform's clock.
    """

    vm_ids: frozenset[str] = frozenset()
    as_of_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claimant:
    """Identify the daemon that claims a share."""

    incarnation: int
    vm_id: str
    peer_address: str


class TakeoverReason(enum.StrEnum):
    """Name the reasons for which a share may be claimed."""

    SAME_VM = "same_vm"
    RELEASED = "released"
    VM_GONE = "vm_gone"


Rule = abc.Callable[[Claim, Claimant, VmListing], bool]
TAKEOVER_RULES: typing.Final[registry.Registry[bool]] = registry.Registry(
    "takeover rule"
)


@TAKEOVER_RULES.register(TakeoverReason.SAME_VM)
def is_same_vm(claim: Claim, claimant: Claimant, vms: VmListing) -> bool:
    """Return whether the claimant has the owner's VM and peer address.

    Only one process can listen on the port, so the owner's process has
    ended.
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
    """Return whether the owner's VM was listed once and no longer is.

    A VM that was never listed may be new, and a list that is older than the
    claim's record proves nothing.
    """
    return (
        0.0 < claim.listed_as_of_s < vms.as_of_s
        and claim.vm_id not in vms.vm_ids
    )


def takeover_reason(
    claim: Claim, claimant: Claimant, vms: VmListing
) -> str | None:
    """Return the reason for which a claim may be taken over, or None.

    If several apply, the first in the order of ``TakeoverReason`` is returned.
    """
    names = [str(reason) for reason in TakeoverReason]
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


def decode_claim(stored: objectapi.StoredObject) -> StoredClaim:
    """Decode a claim.

    Raises msgspec.ValidationError if the value is malformed, and ValueError
    if the key doesn't end in the number of a share.
    """
    claim = msgspec.convert(stored.value, Claim)
    share = int(stored.key.rpartition("/")[2])
    return StoredClaim(share, stored.version, claim)


def encode_claim(claim: Claim) -> typing.Any:
    """Return the JSON value of a claim."""
    return msgspec.to_builtins(claim)


ClaimsByShare = abc.Mapping[int, StoredClaim]


def choose_claim(
    claims: ClaimsByShare,
    share_count: int,
    own: Claimant,
    vms: VmListing,
    rng: random.Random,
) -> StoredClaim | None:
    """Return a claim to take: one of this VM first, else any free one.

    Return None if no share is free. Among equal ones the choice is random, so
    that daemons which start together spread over the shares.
    """
    by_reason: dict[str, list[StoredClaim]] = {}
    for share in sorted({*range(share_count), *claims}):
        stored = claims.get(share) or StoredClaim(share, 0, None)
        reason: str | None = TakeoverReason.RELEASED
        if stored.claim is not None:
            reason = takeover_reason(stored.claim, own, vms)
        if reason == TakeoverReason.SAME_VM or (
            reason and share < share_count
        ):
            by_reason.setdefault(reason, []).append(stored)
    for reason in (TakeoverReason.SAME_VM, *by_reason):
        if reason in by_reason:
            chosen = rng.choice(by_reason[reason])
            LOGGER.info("Claiming share {}: {}.", chosen.share, reason)
            return chosen
    return None


def active_plans(
    claims: ClaimsByShare, own: Claimant, vms: VmListing
) -> frozenset[shareplan.Plan]:
    """Return the plans of all claims whose owner may still run."""
    return frozenset(
        plan
        for stored in claims.values()
        if (claim := stored.claim) is not None
        and not claim.is_free
        and not is_vm_gone(claim, own, vms)
        for plan in claim.plans
    )


def claims_without_listing(
    claims: ClaimsByShare, vms: VmListing
) -> list[StoredClaim]:
    """Return the claims that don't record yet that their VM is listed."""
    return [
        stored
        for stored in claims.values()
        if stored.claim is not None
        and not stored.claim.is_free
        and not stored.claim.listed_as_of_s
        and stored.claim.vm_id in vms.vm_ids
    ]


def with_listing(stored: StoredClaim, vms: VmListing) -> Claim:
    """Return the claim with the record that its owner's VM is listed.

    Raises ValueError if the share has no claim.
    """
    if stored.claim is None:
        raise ValueError(f"share {stored.share} has no claim")
    return msgspec.structs.replace(stored.claim, listed_as_of_s=vms.as_of_s)


def without_owner(claim: Claim) -> Claim:
    """Return the claim without an owner.

    Its plans stay, but no longer count as plans in use.
    """
    return msgspec.structs.replace(
        claim, owner=NO_OWNER, listed_as_of_s=0.0, memory=()
    )


def surplus_claims(
    claims: ClaimsByShare, kept: int, own: Claimant, vms: VmListing
) -> list[StoredClaim]:
    """Return the claims of this VM for shares other than ``kept``.

    Such claims are left over if the reply to a write was lost or late.
    """
    return [
        stored
        for share, stored in claims.items()
        if share != kept
        and stored.claim is not None
        and not stored.claim.is_free
        and is_same_vm(stored.claim, own, vms)
    ]
