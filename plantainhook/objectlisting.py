"""Listing of the objects of one kind, page by page.

Pattern: the bytes of one writer are cut off, or have a bracket or quote too
many, so that what follows them in a page can't be told apart. The first object
there is read by itself, and the listing goes on behind its name. Each such
object costs two calls more, and the others are read from bytes that the store
returned without it. Nothing is searched for in the text of a writer except
names, and a name counts only if the store returns an object for it.
"""

import dataclasses
import typing
from collections import abc

import result
import trio

from plantainhook import errors, logs, objectsource

LOGGER: typing.Final = logs.part_logger("store")
# Sorts after the names of all objects.
LAST_NAME: typing.Final = "\U0010ffff"
# How often a call of a listing with damaged pages is tried, because all of it
# would have to be read again.
TRIES_COUNT: typing.Final = 3
RETRY_S: typing.Final = 0.1
# How many names that have no object are tried in one page.
HIDDEN_NAMES_MAX_COUNT: typing.Final = 32

T = typing.TypeVar("T")
ApiResult = result.Result[T, errors.ObjectApiError]


class Page(typing.NamedTuple):
    """Represent a page of a listing; ``more`` if others follow.

    ``hidden_names`` are names that text may contain which can't be told apart,
    in order. It is None if all of the page was read. ``revision`` is None if
    it can't be read.
    """

    items: list[objectsource.SourceObject]
    hidden_names: list[str] | None
    revision: int | None
    more: bool
    era: int


ReadPage = abc.Callable[[str | None], abc.Awaitable[ApiResult[Page]]]
ReadObject = abc.Callable[
    [str], abc.Awaitable[ApiResult[objectsource.SourceObject | None]]
]
MakeError = abc.Callable[[str], errors.ObjectApiError]


@dataclasses.dataclass(slots=True)
class _Found:
    """Collect the objects of a listing, by name.

    ``hiding`` holds the revisions of those that hid the ones after them, and
    ``repeated`` the names that came twice. ``last`` is the name after which
    the listing continues.
    """

    objects: dict[str, objectsource.SourceObject] = dataclasses.field(
        default_factory=dict
    )
    hiding: dict[str, int] = dataclasses.field(default_factory=dict)
    repeated: set[str] = dataclasses.field(default_factory=set)
    last: str | None = None

    def add(self, items: list[objectsource.SourceObject]) -> None:
        """Add the objects of a page."""
        for item in items:
            if item.name in self.objects:
                self.repeated.add(item.name)
            self.objects[item.name] = item
            self.last = item.name


class ListingReader:
    """Read all objects of a kind.

    ``read_page`` returns the page after a name, or the first one.
    ``read_object`` returns one object, or None if it does not exist.
    ``make_error`` builds the error of a listing that fails.
    """

    def __init__(
        self,
        kind: str,
        read_page: ReadPage,
        read_object: ReadObject,
        make_error: MakeError,
    ) -> None:
        self._kind = kind
        self._read_page = read_page
        self._read_object = read_object
        self._make_error = make_error
        # The revisions of the objects that hid others in the last listing.
        self._hiding: dict[str, int] = {}

    async def read(self) -> objectsource.ListResult:
        """Return all objects and the position at which they were read."""
        try:
            return result.Ok(await self._read())
        except errors.ObjectApiError as error:
            return result.Err(error)

    async def _read(self) -> objectsource.Listing:
        page, position = await self._read_first()
        found = _Found()
        passed: set[str | None] = {None}
        while True:
            after = found.last
            found.add(page.items)
            if page.hidden_names is not None:
                await self._read_hidden(page.hidden_names, found)
            elif not page.more or found.last == after:
                break
            if found.last in passed:
                raise self._make_error("its objects can't be told apart")
            passed.add(found.last)
            page = await self._page(found.last, bool(found.hiding))
            if page.era != position.era:
                detail = "the store was restored between two pages"
                raise self._make_error(detail)
        for name in found.repeated:
            single = await self._single(name)
            del found.objects[name]
            if single is not None:
                found.objects[name] = single
        self._record(found.hiding)
        return objectsource.Listing(list(found.objects.values()), position)

    async def _read_hidden(self, names: list[str], found: _Found) -> None:
        """Read the first object of those that can't be told apart."""
        for name in names:
            single = await self._single(name)
            if single is not None and name not in found.hiding:
                found.hiding[name] = single.revision
                found.objects[name] = single
                found.last = name
                return

    async def _read_first(self) -> tuple[Page, objectsource.Position]:
        """Return the first page, and its position.

        A watch from there also returns the changes made between two pages.
        """
        page = await self._page(None)
        revision = page.revision
        if revision is None:
            # An empty page shows the revision; what follows is read later.
            end = await self._page(LAST_NAME, is_repeated=True)
            page = await self._page(None, is_repeated=True)
            revision = end.revision if end.era == page.era else None
        if revision is None:
            raise self._make_error("its revision can't be read")
        return page, objectsource.Position(page.era, revision)

    async def _single(self, name: str) -> objectsource.SourceObject | None:
        return await self._call(lambda: self._read_object(name), TRIES_COUNT)

    async def _page(
        self, after: str | None, is_repeated: bool = False
    ) -> Page:
        tries_count = TRIES_COUNT if is_repeated else 1
        return await self._call(lambda: self._read_page(after), tries_count)

    async def _call(
        self,
        call: abc.Callable[[], abc.Awaitable[ApiResult[T]]],
        tries_count: int,
    ) -> T:
        """Return the value of a call. Raises ObjectApiError if all fail."""
        while True:
            called = await call()
            if isinstance(called, result.Ok):
                return called.ok_value
            tries_count -= 1
            if tries_count == 0:
                raise called.err_value
            await trio.sleep(RETRY_S)

    def _record(self, hiding: dict[str, int]) -> None:
        """Log the objects that hide others, once for each change of one."""
        for name, revision in hiding.items():
            if self._hiding.get(name) != revision:
                LOGGER.warning(
                    "The {} object {!r} can't be told apart from those after "
                    "it; each is read by itself.",
                    self._kind,
                    name,
                )
        self._hiding = hiding
