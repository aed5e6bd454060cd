"""Revisions of the settings: build, pack, compare and adopt them.

A revision is a set of named records and the information on who made it and
when. Records are packed into chunks; a chunk is stored under the hash of its
text and never changes. Most boundaries between chunks depend on one record
name only. A change of one record therefore changes one chunk, and an added
record changes only the chunks up to the next such boundary. The hash of a
revision covers its information and the hashes of its chunks, so two daemons
with the same hash have the same settings.
"""

import dataclasses
import hashlib
import typing
from collections import abc

import msgspec
import result

from plantainhook import errors, steps, wire

INFO_NAME: typing.Final = "revision"
NO_REVISION: typing.Final = 0
HASH_BYTES: typing.Final = 16
RECORDS_PER_CHUNK_COUNT: typing.Final = 32
CHUNK_LIMIT_COUNT: typing.Final = 64
CHUNK_LIMIT_BYTES: typing.Final = 64_000
RECORD_LIMIT_BYTES: typing.Final = 450_000
PEER: typing.Final = "settings"

_ENCODER: typing.Final = msgspec.json.Encoder(order="deterministic")


class Info(msgspec.Struct, frozen=True):
    """Describe who made a revision, when, and from which one.

    ``undo_of`` is the revision that this one undoes, or 0. ``changed_count``
    records differ from the previous revision; ``changed`` names the first of
    them.
    """

    revision: int
    author: str
    wall_s: float
    request_id: str
    previous_hash: str = ""
    comment: str = ""
    undo_of: int = 0
    changed: tuple[str, ...] = ()
    changed_count: int = 0


class Manifest(msgspec.Struct, frozen=True):
    """Map the names of records to the hashes of their chunks.

    Each entry of ``chunks`` is the first record name of a chunk and its hash.
    The chunk contains the names up to the first name of the next one.
    """

    info: Info
    chunks: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """Represent a revision with all its records.

    ``records`` maps names to JSON text; ``hash`` is that of the manifest.
    """

    info: Info
    records: abc.Mapping[str, bytes]
    manifest: Manifest
    hash: str


def encode(value: object) -> bytes:
    """Encode a value as JSON; equal values give the same text."""
    return _ENCODER.encode(value)


def hash_of(text: bytes) -> str:
    """Return the hash under which a text is stored."""
    return hashlib.blake2b(text, digest_size=HASH_BYTES).hexdigest()


def pack(
    records: abc.Mapping[str, bytes],
) -> list[dict[str, msgspec.Raw]]:
    """Pack records into chunks, in order of their names.

    A new chunk starts at names selected by their hash, or if the current
    chunk is full.
    """
    chunks: list[dict[str, msgspec.Raw]] = []
    chunk_bytes = 0
    for name in sorted(records):
        size = len(records[name])
        full = (
            not chunks
            or len(chunks[-1]) >= CHUNK_LIMIT_COUNT
            or chunk_bytes + size > CHUNK_LIMIT_BYTES
        )
        if full or _starts_chunk(name):
            chunks.append({})
            chunk_bytes = 0
        chunks[-1][name] = msgspec.Raw(records[name])
        chunk_bytes += size
    return chunks


def _starts_chunk(name: str) -> bool:
    """Return whether the hash of a name makes it the start of a chunk."""
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % RECORDS_PER_CHUNK_COUNT == 0


def build(
    info: Info, records: abc.Mapping[str, bytes]
) -> tuple[Revision, dict[str, bytes]]:
    """Build a revision; also return the texts of its chunks by hash."""
    texts: dict[str, bytes] = {}
    entries = []
    for chunk in pack(records):
        text = encode(chunk)
        key = hash_of(text)
        texts[key] = text
        entries.append((next(iter(chunk)), key))
    manifest = Manifest(info, tuple(entries))
    digest = hash_of(encode(manifest))
    return Revision(info, dict(records), manifest, digest), texts


def empty() -> Revision:
    """Build revision 0, which has no records."""
    return build(Info(NO_REVISION, "", 0.0, ""), {})[0]


def changed_names(
    old: abc.Mapping[str, bytes], new: abc.Mapping[str, bytes]
) -> tuple[str, ...]:
    """Return the names of records that were added, changed or removed."""
    names = old.keys() | new.keys()
    return tuple(sorted(n for n in names if old.get(n) != new.get(n)))


def delta(old: Revision, new: Revision) -> wire.RevisionDelta:
    """Build the difference between a revision and a newer one."""
    objects = {
        name: text
        for name, text in new.records.items()
        if old.records.get(name) != text
    }
    objects[INFO_NAME] = encode(new.info)
    return wire.RevisionDelta(
        from_revision=old.info.revision,
        to_revision=new.info.revision,
        manifest_hash=new.hash,
        objects=objects,
        removed=sorted(old.records.keys() - new.records.keys()),
    )


def apply_delta(
    old: Revision, difference: wire.RevisionDelta
) -> result.Result[Revision, errors.PlantainhookError]:
    """Build the newer revision from a difference.

    Returns an error if the difference starts at another revision or is
    malformed, or if the hash differs. A difference from revision 0 is a full
    copy and needs no old records.
    """
    base = old if difference.from_revision != NO_REVISION else empty()
    if difference.from_revision != base.info.revision:
        return _rejection(
            f"the difference starts at revision {difference.from_revision}, "
            f"not at {base.info.revision}"
        )
    changed = dict(difference.objects)
    try:
        info = msgspec.json.decode(changed.pop(INFO_NAME, b""), type=Info)
    except msgspec.MsgspecError as error:
        return _rejection(
            f"the information on the revision is malformed: {error}"
        )
    removed = set(difference.removed)
    records = {n: t for n, t in base.records.items() if n not in removed}
    records.update(changed)
    return _checked(info, records, difference)


def _checked(
    info: Info,
    records: dict[str, bytes],
    difference: wire.RevisionDelta,
) -> result.Result[Revision, errors.PlantainhookError]:
    """Build a revision and check its number and hash."""
    try:
        revision, _ = build(info, records)
    except msgspec.MsgspecError as error:
        return _rejection(f"a record is not JSON: {error}")
    if info.revision != difference.to_revision:
        return _rejection(f"the difference contains revision {info.revision}")
    if revision.hash != difference.manifest_hash:
        return _rejection(f"revision {info.revision} has a different hash")
    return result.Ok(revision)


def _rejection(detail: str) -> result.Err[errors.PlantainhookError]:
    """Build the error of a difference that is not applied."""
    return result.Err(
        errors.PlantainhookError(steps.Step.SETTINGS_SPREAD, PEER, detail)
    )


@dataclasses.dataclass(slots=True)
class RevisionHistory:
    """Store the revision in force and up to ``kept_count`` recent ones.

    A lower or equal revision is ignored whatever its source, so a stale
    read, a slow peer or a restart cannot bring an older revision back.
    """

    kept_count: int = 16
    current: Revision = dataclasses.field(default_factory=empty)
    _kept: dict[int, Revision] = dataclasses.field(default_factory=dict)

    def adopt(self, revision: Revision) -> bool:
        """Put a revision in force if it is higher; return whether it was."""
        if not is_newer(revision.info.revision, self.current.info.revision):
            return False
        self.current = revision
        self._kept[revision.info.revision] = revision
        for number in sorted(self._kept)[: -self.kept_count]:
            del self._kept[number]
        return True

    def delta_from(self, have_revision: int) -> wire.RevisionDelta:
        """Build the difference for a peer.

        It is a full copy if the peer's revision is not kept.
        """
        old = self._kept.get(have_revision)
        return delta(old if old is not None else empty(), self.current)


def is_newer(candidate: int, current: int) -> bool:
    """Return whether a revision may replace the one in force."""
    return candidate > current
