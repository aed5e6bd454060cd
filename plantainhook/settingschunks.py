"""Read and write chunks, manifests and the head of the settings.

In the object API, ``settings/chunk/<hash>`` and
``settings/manifest/<revision>/<hash>`` never change once written, and
``settings/head`` names the revision in force. Texts are stored as JSON
strings, so that a platform that formats numbers in its own way does not
change their hash. A text that is read by its hash cannot be outdated, but a
stale read may not find it yet; it is then read again.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import errors, objectapi, revisions, steps

HEAD_KEY: typing.Final = "settings/head"
CHUNK_PREFIX: typing.Final = "settings/chunk/"
MANIFEST_PREFIX: typing.Final = "settings/manifest/"
PARALLEL_CALLS_COUNT: typing.Final = 16
READ_ATTEMPTS_COUNT: typing.Final = 4
HEAD_ATTEMPTS_COUNT: typing.Final = 5
READ_FIRST_WAIT_S: typing.Final = 0.1

T = typing.TypeVar("T")
Failure = errors.PlantainhookError
Chain = list[tuple[str, revisions.Manifest]]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Name the revision in force.

    ``version`` and ``request_id`` are those of the object ``settings/head``.
    """

    revision: int
    manifest_hash: str
    version: int
    request_id: str = ""

    def value(self) -> dict[str, typing.Any]:
        """Return the JSON value that is stored."""
        return {"revision": self.revision, "manifest_hash": self.manifest_hash}


def chunk_key(text_hash: str) -> str:
    """Return the key of a chunk."""
    return f"{CHUNK_PREFIX}{text_hash}"


def manifest_key(revision: int, text_hash: str) -> str:
    """Return the key of a manifest.

    The hash is part of the key because two operators may each write a
    manifest for the same revision; the head then names one of them.
    """
    return f"{MANIFEST_PREFIX}{revision}/{text_hash}"


def parse_head(
    stored: objectapi.StoredObject,
) -> result.Result[Head, Failure]:
    """Decode the head from its object."""
    try:
        return result.Ok(
            Head(
                int(stored.value["revision"]),
                str(stored.value["manifest_hash"]),
                stored.version,
                stored.request_id,
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return result.Err(_damaged_error(stored.key, repr(error)))


async def load_head(
    api: objectapi.ObjectApi,
) -> result.Result[Head, Failure]:
    """Read the head; it has revision 0 if there are no settings yet."""
    read = await api.get(HEAD_KEY)
    if isinstance(read, result.Ok):
        return parse_head(read.ok_value)
    if isinstance(read.err_value, errors.ObjectNotFoundError):
        return result.Ok(
            Head(revisions.NO_REVISION, "", objectapi.ABSENT_VERSION)
        )
    return result.Err(read.err_value)


async def load_head_after(
    api: objectapi.ObjectApi, version: int
) -> Head | None:
    """Read the head until its version is higher than a known one.

    Returns None if none of ``HEAD_ATTEMPTS_COUNT`` reads returns such a head.
    """
    wait_s = READ_FIRST_WAIT_S
    for _ in range(HEAD_ATTEMPTS_COUNT):
        head = await load_head(api)
        if isinstance(head, result.Ok) and head.ok_value.version > version:
            return head.ok_value
        await trio.sleep(wait_s)
        wait_s *= 2
    return None


async def load_text(
    api: objectapi.ObjectApi, key: str, text_hash: str
) -> result.Result[bytes, Failure]:
    """Read a text and check its hash.

    A read that fails is repeated after a pause, because a stale read may not
    find a text that was just written.
    """
    wait_s = READ_FIRST_WAIT_S
    for attempt in range(READ_ATTEMPTS_COUNT):
        read = await api.get(key)
        if isinstance(read, result.Ok):
            return _check_text(read.ok_value, text_hash)
        failure = read.err_value
        if attempt < READ_ATTEMPTS_COUNT - 1:
            await trio.sleep(wait_s)
            wait_s *= 2
    return result.Err(failure)


def _check_text(
    stored: objectapi.StoredObject, text_hash: str
) -> result.Result[bytes, Failure]:
    """Return the text of an object if it has the expected hash."""
    if not isinstance(stored.value, str):
        return result.Err(
            _damaged_error(stored.key, "its value is not a string")
        )
    text = stored.value.encode()
    if revisions.hash_of(text) != text_hash:
        return result.Err(_damaged_error(stored.key, "its hash differs"))
    return result.Ok(text)


async def load_manifest(
    api: objectapi.ObjectApi, revision: int, text_hash: str
) -> result.Result[revisions.Manifest, Failure]:
    """Read and decode a manifest."""
    key = manifest_key(revision, text_hash)
    loaded = await load_text(api, key, text_hash)
    if isinstance(loaded, result.Err):
        return loaded
    try:
        return result.Ok(
            msgspec.json.decode(loaded.ok_value, type=revisions.Manifest)
        )
    except msgspec.MsgspecError as error:
        return result.Err(_damaged_error(key, str(error)))


async def load_chain(
    api: objectapi.ObjectApi, head: Head, lowest: int
) -> result.Result[Chain, Failure]:
    """Read the manifests from the head down to a revision, newest first.

    Each manifest has the hash of the previous one, so manifests that the head
    never named are not part of the chain. It ends early at a revision that is
    no longer kept.
    """
    chain: Chain = []
    revision, text_hash = head.revision, head.manifest_hash
    while revision >= max(lowest, 1):
        loaded = await load_manifest(api, revision, text_hash)
        if isinstance(loaded, result.Err):
            error = loaded.err_value
            missing = isinstance(error, errors.ObjectNotFoundError)
            return result.Ok(chain) if missing and chain else loaded
        manifest = loaded.ok_value
        chain.append((text_hash, manifest))
        revision, text_hash = revision - 1, manifest.info.previous_hash
    return result.Ok(chain)


def infos_of(chain: Chain) -> list[revisions.Info]:
    """Return the information on each revision of a chain."""
    return [manifest.info for _, manifest in chain]


async def load_records(
    api: objectapi.ObjectApi,
    manifest: revisions.Manifest,
    known: abc.Mapping[str, abc.Mapping[str, bytes]],
) -> result.Result[dict[str, bytes], Failure]:
    """Return all records of a manifest; read only the chunks not in ``known``.

    ``known`` maps the hashes of chunks to their records.
    """
    chunks: dict[str, abc.Mapping[str, bytes]] = {}
    missing_hashes = []
    for _, text_hash in manifest.chunks:
        if text_hash in known:
            chunks[text_hash] = known[text_hash]
        else:
            missing_hashes.append(text_hash)

    async def load(text_hash: str) -> result.Result[bytes, Failure]:
        return await load_text(api, chunk_key(text_hash), text_hash)

    loaded = await call_in_parallel(load, missing_hashes)
    for text_hash, outcome in zip(missing_hashes, loaded, strict=True):
        if isinstance(outcome, result.Err):
            return outcome
        chunks[text_hash] = split_chunk(outcome.ok_value)
    records: dict[str, bytes] = {}
    for _, text_hash in manifest.chunks:
        records.update(chunks[text_hash])
    return result.Ok(records)


def split_chunk(text: bytes) -> dict[str, bytes]:
    """Return the text of each record in a chunk, by name."""
    raw = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    return {name: bytes(value) for name, value in raw.items()}


async def write_chunk(
    api: objectapi.ObjectApi, text_hash: str, text: bytes
) -> result.Result[None, Failure]:
    """Write a chunk, as a new version if it exists already.

    The new version prevents the clean-up job from deleting a chunk that the
    job found unused before.
    """
    key = chunk_key(text_hash)
    version = objectapi.ABSENT_VERSION
    for _ in range(READ_ATTEMPTS_COUNT):
        written = await objectapi.write_resolved(
            api, key, text.decode(), version, objectapi.new_request_id()
        )
        if isinstance(written, result.Ok):
            return result.Ok(None)
        error = written.err_value
        if isinstance(error, errors.ObjectConflictError):
            version = error.current_version
        elif isinstance(error, errors.ObjectOutcomeUnknownError):
            version = await _version_of(api, key)
        else:
            break
    return result.Err(error)


async def _version_of(api: objectapi.ObjectApi, key: str) -> int:
    """Return the version of an object; ``ABSENT_VERSION`` if unreadable."""
    read = await api.get(key)
    if isinstance(read, result.Ok):
        return read.ok_value.version
    return objectapi.ABSENT_VERSION


async def call_in_parallel(
    call: abc.Callable[[str], abc.Awaitable[T]], names: abc.Sequence[str]
) -> list[T]:
    """Call once for each name and return the results in order of names.

    At most ``PARALLEL_CALLS_COUNT`` calls run at the same time.
    """
    outcomes: dict[int, T] = {}
    limiter = trio.CapacityLimiter(PARALLEL_CALLS_COUNT)

    async def call_one(position: int, name: str) -> None:
        async with limiter:
            outcomes[position] = await call(name)

    async with trio.open_nursery() as nursery:
        for position, name in enumerate(names):
            nursery.start_soon(call_one, position, name)
    return [outcomes[i] for i in range(len(names))]


def _damaged_error(key: str, detail: str) -> Failure:
    """Build the error of an object whose value is not valid."""
    return errors.ObjectApiError(
        steps.Step.SETTINGS_APPLY, key, f"the object is damaged: {detail}"
    )
