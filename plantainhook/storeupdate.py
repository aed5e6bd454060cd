"""News of the store between daemons: what changed, packed for the way.

Pattern: a release changes hundreds of entries at once, and each watcher sends
them to dozens of daemons over a link of 20 Mbit/s. Entries are alike, so
they are compressed, and of several changes of an object only the last is
sent.
"""

import typing
import zlib

import msgspec
import result

from plantainhook import errors, objectsource, steps

PACK_LEVEL: typing.Final = 1
# 20 objects of the greatest size that the store holds.
UNPACKED_LIMIT_BYTES: typing.Final = 20_971_520


class StoreItem(msgspec.Struct, frozen=True, array_like=True):
    """Hold an object of the store; ``spec`` is JSON text."""

    name: str
    revision: int
    spec: bytes
    deleted: bool


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold the changes of a kind up to a revision.

    ``whole`` states that the items are all objects and not changes.
    """

    kind: str
    revision: int
    whole: bool
    items: list[StoreItem]


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[StoreUpdate]] = (
    msgspec.msgpack.Decoder(StoreUpdate)
)


def build_item(item: objectsource.SourceObject, deleted: bool) -> StoreItem:
    """Return an object in the form of the news."""
    spec = msgspec.json.encode(item.spec)
    return StoreItem(item.name, item.revision, spec, deleted)


def pack_update(news: StoreUpdate) -> bytes:
    """Return news encoded and compressed."""
    return zlib.compress(_ENCODER.encode(news), PACK_LEVEL)


def unpack_update(
    packed: bytes, peer: str
) -> result.Result[StoreUpdate, errors.MessageError]:
    """Return the news that a peer packed."""
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(packed, UNPACKED_LIMIT_BYTES)
        if not inflater.eof:
            detail = f"news are cut or over {UNPACKED_LIMIT_BYTES} bytes"
            return result.Err(_error(peer, detail))
        return result.Ok(_DECODER.decode(plain))
    except (zlib.error, msgspec.DecodeError) as error:
        return result.Err(_error(peer, str(error)))


def _error(peer: str, detail: str) -> errors.MessageError:
    return errors.MessageError(steps.Step.SETTINGS_SPREAD, peer, detail)
