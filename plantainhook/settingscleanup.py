"""Removal of chunks and manifests that no kept revision names.

The job lists what is stored, reads the kept revisions, and writes the head
anew with the same revision before it deletes anything. A change that was
under way loses its conditional update of the head and starts again; a
change that starts later writes every chunk that its base does not name, and
a chunk with a new version is not deleted. So no clock decides what is old.
The job runs under the lease ``LEASE_NAME``, which saves calls; two jobs at
the same time do no harm.
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
class Removed:
    """Count what a run of the job removed."""

    chunks_count: int
    manifests_count: int


async def clean_up(
    api: objectapi.ObjectApi, kept_count: int = KEPT_REVISIONS_COUNT
) -> result.Result[Removed, Failure]:
    """Remove what none of the last revisions names.

    Returns ObjectConflictError where the head moved meanwhile; then nothing
    was removed and the next run will do it.
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
        return result.Ok(Removed(0, 0))
    lowest = max(
        _lowest_stored(manifests.ok_value.objects),
        head.revision - kept_count + 1,
    )
    named = await _named_keys(api, head, lowest)
    if isinstance(named, result.Err):
        return named
    fenced = await renew_head(api, head)
    if isinstance(fenced, result.Err):
        return result.Err(fenced.err_value)
    return result.Ok(
        Removed(
            await remove(api, chunks.ok_value.objects, named.ok_value),
            await remove(api, manifests.ok_value.objects, named.ok_value),
        )
    )


async def run(
    api: objectapi.ObjectApi,
    holder: str,
    own_clock: clock.Clock,
    rng: random.Random,
    interval_s: float = INTERVAL_S,
) -> None:
    """Run the job about once in an interval until cancelled.

    Every daemon calls this. The lease lasts an interval and is not released
    after a pass, so the fleet as a whole makes one pass in that time.
    """
    own = lease.Lease(api, LEASE_NAME, holder, interval_s, own_clock)
    logger = logs.part_logger("cleanup")
    while True:
        await trio.sleep(interval_s * rng.uniform(0.5, 1.5))
        acquired = await own.acquire()
        if isinstance(acquired, result.Err):
            logger.debug("No lease: {}.", acquired.err_value)
            continue
        outcome = await clean_up(api)
        if isinstance(outcome, result.Err):
            logger.warning("Nothing removed: {}.", outcome.err_value)
            continue
        removed = outcome.ok_value
        logger.info(
            "Removed {} chunks and {} manifests.",
            removed.chunks_count,
            removed.manifests_count,
        )


async def renew_head(
    api: objectapi.ObjectApi, head: settingschunks.Head
) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
    """Write the head anew, so that a change under way loses its update."""
    return await objectapi.write_resolved(
        api,
        settingschunks.HEAD_KEY,
        head.value(),
        head.version,
        objectapi.new_request_id(),
    )


async def _named_keys(
    api: objectapi.ObjectApi, head: settingschunks.Head, lowest: int
) -> result.Result[set[str], Failure]:
    """Return the keys of the manifests and chunks of kept revisions.

    A manifest that is not found ends the job: its chunks are in use if the
    read was stale.
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
                f"the manifests down to revision {lowest} were not all read",
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


async def remove(
    api: objectapi.ObjectApi,
    stored: abc.Sequence[objectapi.StoredObject],
    named: abc.Set[str],
) -> int:
    """Delete objects that are not named and still have their version."""
    removed = 0
    for candidate in stored:
        if candidate.key in named:
            continue
        deleted = await api.delete(
            candidate.key, candidate.version, objectapi.new_request_id()
        )
        if isinstance(deleted, result.Ok):
            removed += 1
    return removed
