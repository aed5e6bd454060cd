"""Provide a read-only object API over a directory of exported objects.

Each ``*.json`` file contains one object in the form that the object API
returns: ``key``, ``version``, ``value`` and ``request_id``.
"""

import pathlib
import typing
from collections import abc

import msgspec
import result

from plantainhook import errors, objectapi, steps


class ExportedObject(msgspec.Struct, frozen=True):
    """Represent the content of one exported file."""

    key: str
    version: int
    value: typing.Any
    request_id: str = ""


class DirectoryObjectApi:
    """Implement ``objectapi.ObjectApi`` over exports; writes fail."""

    _objects: dict[str, objectapi.StoredObject]

    def __init__(self, objects: dict[str, objectapi.StoredObject]) -> None:
        self._objects = objects

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        stored = self._objects.get(key)
        if stored is None:
            return result.Err(
                errors.ObjectNotFoundError(
                    steps.Step.FIGURES_FOLD,
                    key,
                    "the object is not in the export",
                )
            )
        return result.Ok(stored)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        found = tuple(
            self._objects[key]
            for key in sorted(self._objects)
            if key.startswith(prefix)
        )
        version = max((item.version for item in found), default=0)
        return result.Ok(objectapi.Listing(found, version))

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an error."""
        return result.Err(_read_only_error(key))

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Return an error."""
        return result.Err(_read_only_error(key))

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Return no changes; an export does not change."""
        return result.Ok([])


def _read_only_error(key: str) -> errors.ObjectApiError:
    return errors.ObjectApiUnavailableError(
        steps.Step.FIGURES_WRITE, key, "an export is read-only"
    )


def load_directory(
    directory: pathlib.Path,
) -> result.Result[DirectoryObjectApi, errors.PlantainhookError]:
    """Read all exported objects of a directory.

    Returns MessageError if a file cannot be read or there are no objects.
    """
    objects = {}
    try:
        for path in sorted(directory.glob("*.json")):
            exported = msgspec.json.decode(
                path.read_bytes(), type=ExportedObject
            )
            objects[exported.key] = objectapi.StoredObject(
                exported.key,
                exported.version,
                exported.value,
                exported.request_id,
            )
    except (OSError, msgspec.DecodeError) as error:
        return result.Err(
            errors.MessageError(
                steps.Step.FIGURES_FOLD, str(directory), str(error)
            )
        )
    if not objects:
        return result.Err(
            errors.MessageError(
                steps.Step.FIGURES_FOLD,
                str(directory),
                "the directory contains no exported objects (*.json)",
            )
        )
    return result.Ok(DirectoryObjectApi(objects))


def save_directory(
    objects: abc.Iterable[objectapi.StoredObject], directory: pathlib.Path
) -> None:
    """Write objects as an export, one file per object."""
    directory.mkdir(parents=True, exist_ok=True)
    for number, stored in enumerate(objects):
        exported = ExportedObject(
            stored.key, stored.version, stored.value, stored.request_id
        )
        path = directory / f"{number:06d}.json"
        path.write_bytes(msgspec.json.encode(exported))
