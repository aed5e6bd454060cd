"""Remove the chunks and manifests that no kept revision uses.

The job lists the stored objects, reads the manifests of the kept revisions,
and writes the head again with the same revision before it deletes anything.
The conditional update of the head then fails for a change that is in
progress, which starts again. A change that starts later writes every chunk
that its base does not have, and a chunk with a new version is not deleted.
So the job never relies on a clock to decide which objects are old.

The job runs under the lease ``LEASE_NAME``, which only saves calls: two jobs
that run at the same time do no harm.
"""

import dataclasses
import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    clock,
    errors,
    lease,
    logs,
    objectapi,
    revisions,
    settingschunks,
    steps,
)

LEASE_NAME: typing.Final = "settings-cleanup"
KEPT_REVISIONS_COUNT: typing.Final = 200
INTERVAL_S: typing.Final = 3600.0
PEER: typing.Final = "settings"

Failure = errors.PlantainhookError


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedCounts:
    """Count the objects that a run of the job removed."""

    chunks_count: int
    manifests_count: int


async def clean_up(
    api: objectapi.ObjectApi, kept_count: int = KEPT_REVISIONS_COUNT
) -> result.Result[RemovedCounts, Failure]:
    """Remove the objects that none of the last revisions uses.

    ``kept_count`` is the number of revisions to keep. Returns
    ObjectConflictError if the head changed meanwhile; then nothing was
    removed, and the next run removes the objects.
    """
    chunks = await api.list(settingschunks.CHUNK_PREFIX)
    if isinstance(chunks, result.Err):
        return result.Err(chunks.err_value)
    manifests = await api.list(settingschunks.MANIFEST_PREFIX)
    if isinstance(manifests, result.Err):
        return result.Err(manifests.err_value)
    loaded = await settingschunks.load_head(api)
    if isinstance(loaded, result.Err):
        return loaded
    head = loaded.ok_value
    if head.revision == revisions.NO_REVISION:
        return result.Ok(RemovedCounts(0, 0))
    lowest = max(
        _lowest_stored(manifests.ok_value.objects),
        head.revision - kept_count + 1,
    )
    used = await _used_keys(api, head, lowest)
    if isinstance(used, result.Err):
        return used
    renewed = await renew_head(api, head)
    if isinstance(renewed, result.Err):
        return result.Err(renewed.err_value)
    return result.Ok(
        RemovedCounts(
            await remove_unused(api, chunks.ok_value.objects, used.ok_value),
            await remove_unused(
                api, manifests.ok_value.objects, used.ok_value
            ),
        )
    )


async def run(
    api: objectapi.ObjectApi,
    holder: str,
    own_clock: clock.Clock,
    rng: random.Random,
    interval_s: float = INTERVAL_S,
) -> None:
    """Run the job about once per interval until cancelled.

    Every daemon calls this. The lease lasts one interval and is not released
    after a run, so the whole fleet runs the job once in that time.
    """
    own_lease = lease.Lease(api, LEASE_NAME, holder, interval_s, own_clock)
    logger = logs.part_logger("cleanup")
    while True:
        await trio.sleep(interval_s * rng.uniform(0.5, 1.5))
        acquired = await own_lease.acquire()
        if isinstance(acquired, result.Err):
            logger.debug(
                "Skipped the settings clean-up, no lease: {}.",
                acquired.err_value,
            )
            continue
        outcome = await clean_up(api)
        if isinstance(outcome, result.Err):
            logger.warning(
                "The settings clean-up failed before it removed anything: {}.",
                outcome.err_value,
            )
            continue
        removed = outcome.ok_value
        logger.info(
            "Removed {} unused chunks and {} unused manifests.",
            removed.chunks_count,
            removed.manifests_count,
        )


async def renew_head(
    api: objectapi.ObjectApi, head: settingschunks.Head
) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
    """Write the same head again, so that a change in progress starts over."""
    return await objectapi.write_resolved(
        api,
        settingschunks.HEAD_KEY,
        head.value(),
        head.version,
        objectapi.new_request_id(),
    )


async def _used_keys(
    api: objectapi.ObjectApi, head: settingschunks.Head, lowest: int
) -> result.Result[set[str], Failure]:
    """Return the keys of the manifests and chunks of kept revisions.

    Returns an error if a manifest is not found, which ends the run: if the
    read was stale, the chunks of that manifest are in use.
    """
    loaded = await settingschunks.load_chain(api, head, lowest)
    if isinstance(loaded, result.Err):
        return loaded
    chain = loaded.ok_value
    if not chain or chain[-1][1].info.revision > lowest:
        return result.Err(
            errors.PlantainhookError(
                steps.Step.SETTINGS_WRITE,
                PEER,
                f"not all manifests down to revision {lowest} could be read",
            )
        )
    keys: set[str] = set()
    for text_hash, manifest in chain:
        revision = manifest.info.revision
        keys.add(settingschunks.manifest_key(revision, text_hash))
        keys.update(settingschunks.chunk_key(h) for _, h in manifest.chunks)
    return result.Ok(keys)


def _lowest_stored(stored: abc.Sequence[objectapi.StoredObject]) -> int:
    """Return the lowest revision that has a manifest, or 1."""
    prefix_length = len(settingschunks.MANIFEST_PREFIX)
    numbers = [o.key[prefix_length:].partition("/")[0] for o in stored]
    return min((int(n) for n in numbers if n.isdecimal()), default=1)


async def remove_unused(
    api: objectapi.ObjectApi,
    stored: abc.Sequence[objectapi.StoredObject],
    used_keys: abc.Set[str],
) -> int:
    """Delete the objects that are not in use and still have their version.

    Returns the number of objects deleted.
    """
    removed_count = 0
    for candidate in stored:
        if candidate.key in used_keys:
            continue
        deleted = await api.delete(
            candidate.key, candidate.version, objectapi.new_request_id()
        )
        if isinstance(deleted, result.Ok):
            removed_count += 1
    return removed_count
