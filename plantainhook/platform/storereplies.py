"""Replies of the platform's store, split into the objects that they contain.

The store hands out what writers wrote, so bytes of one writer may stand
between those of others without being JSON. ``read_reply`` splits a reply; an
object is only read from its own text. Bytes that can't be attributed to one
object are returned as a rest, whose objects have to be read one by one.
"""

import json
import re
import typing
from collections import abc

import msgspec

from plantainhook import (
    jsonparts,
    lenientjson,
    logs,
    objectsource,
    specreader,
)

LOGGER: typing.Final = logs.part_logger("store")
LIST_ARRAY: typing.Final = "items"
WATCH_ARRAY: typing.Final = "events"
# Of longer objects that are not JSON, only the description is read.
LENIENT_MAX_BYTES: typing.Final = specreader.LENIENT_MAX_BYTES
# How far the description of an object extends beyond its name.
META_MAX_BYTES: typing.Final = 16_384

# The store describes each object once, in plain spelling. Text of a writer
# that contains the same may be that of a neighbour which it has taken in.
_META: typing.Final = re.compile(rb'"meta"\s*+:\s*+')
_REVISION: typing.Final = re.compile(rb'"store-revision"\s*+:\s*+(\d{1,18})\b')
_META_DECODER: typing.Final = json.JSONDecoder()


class Meta(msgspec.Struct):
    """Describe an object's name and the revision of its last change."""

    name: str
    revision: objectsource.Revision


class _StoredText(msgspec.Struct):
    """Represent an object; ``spec`` is not decoded yet."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _EventText(msgspec.Struct):
    """Represent a change; a deleted object comes with its last state."""

    object: msgspec.Raw
    deleted: bool = False


class _ListText(msgspec.Struct, rename="kebab"):
    """Represent one page of a listing; ``more`` if others follow."""

    items: list[msgspec.Raw]
    store_revision: objectsource.Revision
    more: bool = False


class _WatchText(msgspec.Struct, rename="kebab"):
    """Represent the changes after a revision."""

    events: list[msgspec.Raw]
    store_revision: objectsource.Revision


_TEXT_TYPES: typing.Final[dict[str, type[_ListText] | type[_WatchText]]] = {
    LIST_ARRAY: _ListText,
    WATCH_ARRAY: _WatchText,
}


class Reply(typing.NamedTuple):
    """Represent a reply by the texts of its objects or changes.

    ``rest`` is the text from the first one on that can't be told apart from
    its neighbours; it is empty in most replies. ``revision`` is that of the
    store, or None if it can't be read. ``more`` states that others follow.
    """

    parts: list[bytes]
    rest: bytes
    revision: int | None
    more: bool


async def read_reply(body: bytes, array: str) -> Reply | None:
    """Split a reply with an array of objects or changes.

    Returns None if it is not such a reply.
    """
    try:
        text = msgspec.json.decode(body, type=_TEXT_TYPES[array])
    except (msgspec.DecodeError, RecursionError):
        return await _read_damaged(body, array)
    if isinstance(text, _ListText):
        raws, more = text.items, text.more
    else:
        raws, more = text.events, False
    parts = [bytes(raw) for raw in raws]
    counts = [_count(_META, part) for part in parts]
    is_sound = (
        max(counts, default=0) <= 1
        and sum(counts) == _count(_META, body)
        and _count(_REVISION, body) == 1
    )
    if not is_sound:
        return await _read_damaged(body, array)
    return Reply(parts, b"", text.store_revision, more)


async def _read_damaged(body: bytes, array: str) -> Reply | None:
    """Split a reply that is not JSON, or in which a writer may hide others."""
    split = await lenientjson.run_in_steps(
        jsonparts.split_array(body, array.encode())
    )
    if split is None:
        return None
    parts = []
    end = split.end
    for start, part_end in split.values:
        part = body[start:part_end]
        if _count(_META, part) > 1:
            end = start
            break
        parts.append(part)
    is_whole = split.is_whole and not _META.search(body, end)
    revisions = _REVISION.findall(body)
    return Reply(
        parts,
        b"" if is_whole else body[end:],
        int(revisions[0]) if len(revisions) == 1 else None,
        split.members.get(b"more", b"").strip() == b"true",
    )


def names_in(rest: bytes) -> abc.Iterator[str]:
    """Return the names of the objects that a text may contain, in order.

    Some may be text of a writer, without an object of that name.
    """
    return (meta.name for meta in _metas_in(rest))


async def read_object(
    text: bytes, reader: specreader.SpecReader
) -> objectsource.SourceObject | None:
    """Read an object from its own text; its spec may be unreadable.

    Returns None, and logs it, if the text does not describe an object.
    """
    stored = await _read_stored(text)
    if stored is None:
        return None
    spec = await reader.read_leniently(bytes(stored.spec))
    return objectsource.SourceObject(
        stored.meta.name, stored.meta.revision, spec
    )


async def read_changes(
    parts: list[bytes], reader: specreader.SpecReader
) -> list[objectsource.Change]:
    """Read changes, each from its own text; the last one of each object.

    A deleted object has no spec. Pattern: a storm of changes of one large
    object, of which only the last is needed.
    """
    last: dict[str, tuple[_StoredText, bool]] = {}
    for part in parts:
        text, deleted = await _read_event(part)
        stored = await _read_stored(text)
        if stored is not None:
            last.pop(stored.meta.name, None)
            last[stored.meta.name] = stored, deleted
    changes = []
    for stored, deleted in last.values():
        spec = None
        if not deleted:
            spec = await reader.read_leniently(bytes(stored.spec))
        item = objectsource.SourceObject(
            stored.meta.name, stored.meta.revision, spec
        )
        changes.append(objectsource.Change(item, deleted))
    return changes


async def _read_event(text: bytes) -> tuple[bytes, bool]:
    """Return the text of an object that changed, and whether it is deleted."""
    try:
        event = msgspec.json.decode(text, type=_EventText)
        return bytes(event.object), event.deleted
    except (msgspec.DecodeError, RecursionError):
        members = await lenientjson.run_in_steps(jsonparts.split_members(text))
    members = members or {}
    deleted = members.get(b"deleted", b"").strip() == b"true"
    return members.get(b"object", b""), deleted


async def _read_stored(text: bytes) -> _StoredText | None:
    """Return the description of an object and the text of its spec.

    Returns None, and logs it, if the text does not describe an object.
    """
    try:
        return msgspec.json.decode(text, type=_StoredText)
    except (msgspec.DecodeError, RecursionError):
        members = None
    if len(text) <= LENIENT_MAX_BYTES:
        members = await lenientjson.run_in_steps(jsonparts.split_members(text))
    if members is None:
        # The spec is cut, or too long; only what precedes it is read.
        members = {}
        meta = next(_metas_in(text), None)
    else:
        meta = _read_meta(members.get(b"meta", b""))
    if meta is None:
        LOGGER.warning("A part of a reply of the store is no object.")
        return None
    return _StoredText(meta, msgspec.Raw(members.get(b"spec", b"null")))


def _count(pattern: re.Pattern[bytes], text: bytes) -> int:
    return sum(1 for _ in pattern.finditer(text))


def _metas_in(text: bytes) -> abc.Iterator[Meta]:
    """Return the descriptions of objects that a text contains, in order."""
    for matched in _META.finditer(text):
        meta = _read_meta(text[matched.end() :][:META_MAX_BYTES])
        if meta is not None:
            yield meta


def _read_meta(text: bytes) -> Meta | None:
    """Read the description of an object at the start of a text."""
    try:
        value, _ = _META_DECODER.raw_decode(text.decode("utf-8", "replace"))
        return msgspec.convert(value, Meta)
    except (ValueError, RecursionError):
        return None
