"""Reading of the content of objects, as far as their consumers use it.

An object of a store is as large as its writer made it, and its decoded form
can take 25 times the memory of its text. A ``SpecReader`` decodes only the
members of a document type, and passes over all others without building them.
Content that no consumer can use is not kept at all.
"""

import typing

import msgspec

from plantainhook import lenientjson

# Longer texts that are not JSON are not decoded in part.
LENIENT_MAX_BYTES: typing.Final = 65_536
# The strings of an entry are names and addresses; longer ones are invalid.
NAME_MAX_LENGTH: typing.Final = 1000
Name = typing.Annotated[str, msgspec.Meta(max_length=NAME_MAX_LENGTH)]


class SpecReader:
    """Read the specs of one kind of objects.

    ``document_type`` is the type that the consumers of the kind convert specs
    to. None means that they don't use the content.
    """

    def __init__(self, document_type: typing.Any) -> None:
        self._type = document_type
        self._decoder = msgspec.json.Decoder(document_type)

    def read(self, text: bytes) -> object:
        """Return the spec, or None if consumers can't use it.

        Raises msgspec.DecodeError or RecursionError if the text is not JSON.
        """
        if self._type is None:
            return None
        try:
            return self._decoder.decode(text)
        except msgspec.ValidationError:
            return None

    async def read_leniently(self, text: bytes) -> object:
        """Return what can be read of a text that need not be JSON."""
        try:
            return self.read(text)
        except (msgspec.DecodeError, RecursionError):
            if len(text) > LENIENT_MAX_BYTES:
                return None
            value = await lenientjson.decode_in_steps(text)
        try:
            return msgspec.convert(value, self._type)
        except msgspec.ValidationError:
            return None


ANY: typing.Final = SpecReader(typing.Any)
UNUSED: typing.Final = SpecReader(None)
