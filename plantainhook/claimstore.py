"""Read and conditionally write share claims in the object API.

A write counts only once it is confirmed, either by its reply or because the
claim that is read back has the request id of the write. Failures are returned
as None, and ``shares`` tries again in its next step.
"""

import typing

import msgspec
import result

from plantainhook import errors, logs, objectapi, shareclaim

LOGGER: typing.Final = logs.part_logger("shares")

ClaimsByShare = dict[int, shareclaim.StoredClaim]


class ClaimStore:
    """Read and write claims on behalf of one daemon incarnation."""

    def __init__(self, store: objectapi.ObjectApi, incarnation: int) -> None:
        self._store = store
        self._incarnation = incarnation
        self._write_count = 0

    async def list(self, scope: str) -> ClaimsByShare | None:
        """Return the claims of a scope by share.

        Return None if they can't be read or one is malformed.
        """
        listing = await self._store.list(shareclaim.prefix_of(scope))
        if isinstance(listing, result.Err):
            LOGGER.warning("Claims could not be listed: {}", listing.err_value)
            return None
        try:
            claims = map(shareclaim.decode_claim, listing.ok_value.objects)
            return {stored.share: stored for stored in claims}
        except (msgspec.ValidationError, ValueError) as error:
            LOGGER.error("Claims ignored, one is malformed: {}", error)
            return None

    async def read(
        self, scope: str, share: int
    ) -> shareclaim.StoredClaim | None:
        """Return the claim of a share.

        Return None if it doesn't exist, can't be read or is malformed.
        """
        read = await self._store.get(shareclaim.key_of(scope, share))
        if isinstance(read, result.Err):
            return None
        try:
            return shareclaim.decode_claim(read.ok_value)
        except msgspec.ValidationError:
            return None

    async def write(
        self,
        scope: str,
        before: shareclaim.StoredClaim,
        claim: shareclaim.Claim,
    ) -> shareclaim.StoredClaim | None:
        """Replace a claim if its object still has the version of ``before``.

        Return the stored claim, or None if the write failed or is not
        confirmed.
        """
        self._write_count += 1
        request_id = f"share-{self._incarnation:x}-{self._write_count}"
        key = shareclaim.key_of(scope, before.share)
        value = shareclaim.encode_claim(claim)
        outcome = await self._store.put(key, value, before.version, request_id)
        if isinstance(outcome, result.Err):
            if isinstance(outcome.err_value, errors.ObjectApiUnavailableError):
                return None
            outcome = await self._store.get(key)
        if isinstance(outcome, result.Err):
            return None
        stored = outcome.ok_value
        if stored.request_id != request_id:
            return None
        return shareclaim.StoredClaim(before.share, stored.version, claim)
