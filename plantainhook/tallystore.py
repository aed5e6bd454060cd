"""Store documents of tallies in the object API, split into parts where large.

A document consists of a head object and the part objects that the head names.
Its tallies are grouped by the UTC day of arrival. Groups are stored in the
head while it stays small. Larger groups are first written to part objects; one
conditional update of the head then replaces the whole document. A part belongs
to one write and is never changed, so a reader sees either the old or the new
document.

Each write is identified by its request id. Repeating it with the same id and
the same content has no further effect.
"""

import typing
from collections import abc

import msgspec
import result

from plantainhook import errors, figures, objectapi, steps, tallies

PART_PREFIX: typing.Final = "figures/part/"
# With its other fields, a head of this size stays below the object API's
# limit of 1 MB.
INLINE_LIMIT_BYTES: typing.Final = 600_000
PART_LIMIT_BYTES: typing.Final = 900_000

# A month object may have a hundred parts. If one write in twenty is lost,
# three attempts per write let about one in 80 of such documents fail.
PUT_ATTEMPTS_COUNT: typing.Final = 3

PutOutcome = result.Result[objectapi.StoredObject, errors.PlantainhookError]
PutFunction = abc.Callable[
    [str, typing.Any, int, str],
    abc.Coroutine[typing.Any, typing.Any, "PutOutcome"],
]
Rows = list[tallies.TallyRow]


class Group(msgspec.Struct, frozen=True):
    """Represent the tallies of one group, or the keys of their parts."""

    rows: list[tallies.TallyRow] = []
    parts: list[str] = []


class Part(msgspec.Struct, frozen=True):
    """Represent a part object, which stores tallies outside the head."""

    rows: list[tallies.TallyRow]


class GroupWrite(typing.NamedTuple):
    """Identify the owner and the write to which new parts belong."""

    owner: str
    write_id: str


def rows_by_day(rows: abc.Iterable[tallies.TallyRow]) -> dict[str, Rows]:
    """Group tallies by the UTC day of arrival, as ``YYYY-MM-DD``."""
    groups: dict[str, Rows] = {}
    for row in rows:
        day = figures.day_of_slice(row.arrival_slice)
        groups.setdefault(day, []).append(row)
    return groups


def encoded_size_bytes(rows: Rows) -> int:
    """Return the size of the tallies when encoded as JSON."""
    return len(msgspec.json.encode(rows))


async def put_and_confirm(
    put: PutFunction,
    api: objectapi.ObjectApi,
    key: str,
    value: typing.Any,
    if_version: int,
    request_id: str,
) -> PutOutcome:
    """Write an object; read it back and retry while the outcome is unknown.

    A remaining ObjectOutcomeUnknownError means that the write may still take
    effect; the caller has to repeat it unchanged.
    """
    unknown: PutOutcome | None = None
    for _ in range(PUT_ATTEMPTS_COUNT):
        outcome: PutOutcome = await put(key, value, if_version, request_id)
        if isinstance(outcome, result.Ok):
            return outcome
        error = outcome.err_value
        if isinstance(error, errors.ObjectOutcomeUnknownError):
            unknown = outcome
        elif not isinstance(error, errors.ObjectConflictError):
            return unknown or outcome
        read = await api.get(key)
        found = read.ok_value if isinstance(read, result.Ok) else None
        if found is not None and found.request_id == request_id:
            return result.Ok(found)
        if isinstance(error, errors.ObjectConflictError):
            return outcome
    return unknown or outcome


async def store_groups(
    api: objectapi.ObjectApi, write: GroupWrite, groups: dict[str, Group]
) -> result.Result[dict[str, Group], errors.PlantainhookError]:
    """Move the largest groups into parts until the rest fits into the head.

    Returns the groups as the head has to store them.
    """
    stored = dict(groups)
    sizes = sorted(
        (encoded_size_bytes(group.rows), name)
        for name, group in groups.items()
    )
    total_bytes = 0
    for size_bytes, name in sizes:
        total_bytes += size_bytes
        if total_bytes <= INLINE_LIMIT_BYTES or not groups[name].rows:
            continue
        moved = await _store_parts(api, write, name, groups[name].rows)
        if isinstance(moved, result.Err):
            return moved
        stored[name] = Group(parts=moved.ok_value)
    return result.Ok(stored)


async def _store_parts(
    api: objectapi.ObjectApi, write: GroupWrite, name: str, rows: Rows
) -> result.Result[list[str], errors.PlantainhookError]:
    keys = []
    for number, chunk in enumerate(_chunks(rows)):
        key = f"{PART_PREFIX}{write.owner}/{write.write_id}/{name}/{number}"
        value = msgspec.to_builtins(Part(chunk))
        outcome = await put_and_confirm(
            api.put, api, key, value, objectapi.ABSENT_VERSION, write.write_id
        )
        if isinstance(outcome, result.Err):
            return outcome
        keys.append(key)
    return result.Ok(keys)


def _chunks(rows: Rows) -> abc.Iterator[Rows]:
    chunk: Rows = []
    chunk_bytes = 0
    for row in rows:
        row_bytes = encoded_size_bytes([row])
        if chunk and chunk_bytes + row_bytes > PART_LIMIT_BYTES:
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(row)
        chunk_bytes += row_bytes
    yield chunk


async def load_group(
    api: objectapi.ObjectApi, group: Group
) -> result.Result[Rows, errors.PlantainhookError]:
    """Return the tallies of a group, including those in its parts."""
    rows = list(group.rows)
    for key in group.parts:
        read = await api.get(key)
        if isinstance(read, result.Err):
            return read
        part = decode_object(read.ok_value, Part)
        if isinstance(part, result.Err):
            return part
        rows.extend(part.ok_value.rows)
    return result.Ok(rows)


async def delete_unused_parts(
    api: objectapi.ObjectApi,
    old: dict[str, Group],
    kept: dict[str, Group],
    write_id: str,
) -> None:
    """Delete the parts that the old head names and the new one does not.

    A part that can't be deleted now remains in the store unused.
    """
    kept_keys = {key for group in kept.values() for key in group.parts}
    for group in old.values():
        for key in set(group.parts) - kept_keys:
            read = await api.get(key)
            if isinstance(read, result.Ok):
                await api.delete(key, read.ok_value.version, write_id)


T = typing.TypeVar("T")


def decode_object(
    stored: objectapi.StoredObject, struct_type: type[T]
) -> result.Result[T, errors.PlantainhookError]:
    """Convert the value of an object to a struct, or return MessageError."""
    try:
        return result.Ok(msgspec.convert(stored.value, struct_type))
    except msgspec.ValidationError as error:
        return result.Err(
            errors.MessageError(
                steps.Step.FIGURES_FOLD, stored.key, str(error)
            )
        )
