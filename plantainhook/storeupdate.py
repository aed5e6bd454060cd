"""Updates of the store's objects that daemons exchange, and their packing.

Pattern: a release changes hundreds of entries at once, and each watcher sends
them to dozens of daemons over a link of 20 Mbit/s. Entries resemble each
other, so updates are compressed. Of several changes of an object,
``storereplica`` includes only the last.
"""

import typing
import zlib

import msgspec
import result

from plantainhook import errors, objectsource, steps

PACK_LEVEL: typing.Final = 1
# 20 objects of the maximum size that the store accepts.
UNPACKED_LIMIT_BYTES: typing.Final = 20_971_520


class StoreItem(msgspec.Struct, frozen=True, array_like=True):
    """Represent one object of the store; ``spec`` is JSON text."""

    name: str
    revision: int
    spec: bytes
    deleted: bool


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Represent the changes to objects of one kind, up to a position.

    If ``whole`` is true, the items are all objects and not changes. Older
    daemons leave out the era of the position.
    """

    kind: str
    revision: int
    whole: bool
    items: list[StoreItem]
    era: int | None = None


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[StoreUpdate]] = (
    msgspec.msgpack.Decoder(StoreUpdate)
)


def build_item(item: objectsource.SourceObject, deleted: bool) -> StoreItem:
    """Convert an object to the form that updates have."""
    spec = msgspec.json.encode(item.spec)
    return StoreItem(item.name, item.revision, spec, deleted)


def pack_update(update: StoreUpdate) -> bytes:
    """Return an update encoded as msgpack and compressed."""
    return zlib.compress(_ENCODER.encode(update), PACK_LEVEL)


def unpack_update(
    packed: bytes, peer: str
) -> result.Result[StoreUpdate, errors.MessageError]:
    """Decompress and decode an update that a peer packed.

    Returns MessageError if it is malformed, truncated or over
    ``UNPACKED_LIMIT_BYTES``.
    """
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(packed, UNPACKED_LIMIT_BYTES)
        if not inflater.eof:
            detail = (
                f"the update is truncated or over {UNPACKED_LIMIT_BYTES} bytes"
            )
            return result.Err(_error(peer, detail))
        return result.Ok(_DECODER.decode(plain))
    except (zlib.error, msgspec.DecodeError) as error:
        return result.Err(_error(peer, str(error)))


def _error(peer: str, detail: str) -> errors.MessageError:
    return errors.MessageError(steps.Step.SETTINGS_SPREAD, peer, detail)
