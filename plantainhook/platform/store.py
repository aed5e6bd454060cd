"""Client of the platform's store, over HTTP/1.1.

``PlatformStore`` lists, watches and writes one kind of objects; it implements
``objectsource.ObjectSource`` and ``ObjectWriter``. Every failure is an
``ObjectApiError``.
"""

import itertools
import math
import typing
import urllib.parse

import h11
import msgspec
import result
import trio

from plantainhook import (
    errors,
    httpconnection,
    leaftransport,
    logs,
    objectlisting,
    objectsource,
    specreader,
    steps,
)
from plantainhook.platform import names, storereplies

LOGGER: typing.Final = logs.part_logger("store")
CALL_TIMEOUT_S: typing.Final = 2.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
STATUS_OK: typing.Final = 200
STATUS_NOT_FOUND: typing.Final = 404
STATUS_CONFLICT: typing.Final = 409
STATUS_HISTORY_EXPIRED: typing.Final = 410
# A number of so many digits is no era; it would not fit the messages to peers.
ERA_DIGITS: typing.Final = 19


class PlatformStore:
    """Use one kind of objects over one connection that it keeps open."""

    def __init__(
        self,
        address: str,
        kind: str,
        connector: leaftransport.Connector = leaftransport.connect_for_watches,
        spec_reader: specreader.SpecReader = specreader.ANY,
    ) -> None:
        self.kind = kind
        self._address = address
        self._connector = connector
        self._spec_reader = spec_reader
        self._connection: httpconnection.HttpConnection | None = None
        self._probe: PlatformStore | None = None
        self._era = 0
        self._listing = objectlisting.ListingReader(
            kind,
            self._read_page,
            self._read_object,
            self._unavailable,
        )

    async def list(self) -> objectsource.ListResult:
        """Return all objects and the position at which they were read."""
        return await self._listing.read()

    async def watch(
        self, position: objectsource.Position, wait_s: float
    ) -> objectsource.WatchResult:
        """Return the changes after a position, waiting for the first.

        ObjectNotFoundError means that the store no longer has the history
        after that position, is in another era, or that its reply can't be
        read. A reply may be too large, because no bound is known for it; the
        pages of a listing have one.
        """
        query = {
            "watch": str(position.revision),
            "wait-ms": str(int(wait_s * 1000)),
        }
        read = await self._read_reply(
            query, wait_s + CALL_TIMEOUT_S, storereplies.WATCH_ARRAY
        )
        if isinstance(read, result.Err):
            if isinstance(read.err_value, errors.ObjectReplyError):
                return result.Err(self._history_expired(str(read.err_value)))
            return read
        reply, era = read.ok_value
        if era != position.era:
            detail = f"the store is in era {era}, not in era {position.era}"
            return result.Err(self._history_expired(detail))
        if reply.rest or reply.revision is None:
            detail = "the changes can't be told apart"
            return result.Err(self._history_expired(detail))
        if reply.revision < position.revision:
            self._close()
            return result.Err(
                self._unavailable("the reply belongs to an earlier call")
            )
        changes = await storereplies.read_changes(
            reply.parts, self._spec_reader
        )
        return result.Ok(
            objectsource.Changes(
                changes, objectsource.Position(era, reply.revision)
            )
        )

    async def probe(
        self, position: objectsource.Position, timeout_s: float
    ) -> objectsource.ProbeOutcome:
        """Read on a second connection, at a tenth of the price of a call."""
        if self._probe is None:
            self._probe = PlatformStore(
                self._address, self.kind, self._connector
            )
        query = {
            "watch": str(position.revision),
            "wait-ms": "0",
            "allow-stale": "1",
        }
        with trio.move_on_after(timeout_s):
            read = await self._probe._read_reply(
                query, math.inf, storereplies.WATCH_ARRAY
            )
            return _read_probe(read, position)
        return objectsource.ProbeOutcome.SILENT

    async def put(self, name: str, spec: object) -> objectsource.WriteResult:
        """Create an object, or replace its spec if it exists.

        Use another instance than that of a watch, which occupies the
        connection.
        """
        path = f"{names.OBJECTS_PATH}/{self.kind}"
        document = {"meta": {"name": name}, "spec": spec}
        body = msgspec.json.encode(document)
        written = await self._write("POST", path, body)
        if isinstance(written, result.Err):
            return written
        if written.ok_value == STATUS_CONFLICT:
            written = await self._write("PUT", f"{path}/{name}", body)
        return self._check_write(written)

    async def delete(
        self, name: str, revision: int
    ) -> objectsource.WriteResult:
        """Remove an object unless it has changed since a revision.

        One that does not exist counts as removed.
        """
        path = f"{names.OBJECTS_PATH}/{self.kind}/{name}?revision={revision}"
        deleted = await self._write("DELETE", path, b"")
        if deleted == result.Ok(STATUS_NOT_FOUND):
            return result.Ok(None)
        return self._check_write(deleted)

    def _check_write(
        self, written: result.Result[int, errors.ObjectApiError]
    ) -> objectsource.WriteResult:
        """Return an error unless the status of a write is a success."""
        if isinstance(written, result.Err):
            return written
        status = written.ok_value
        if not 200 <= status < 300:
            detail = f"the store replied to a write with status {status}"
            return result.Err(self._unavailable(detail))
        return result.Ok(None)

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> result.Result[int, errors.ObjectApiError]:
        """Make a call that writes; return its status."""
        headers = []
        if body:
            headers = [
                ("content-type", "application/json"),
                ("content-length", str(len(body))),
            ]
        called = await self._call(method, path, headers, body, CALL_TIMEOUT_S)
        if isinstance(called, result.Err):
            return called
        return result.Ok(called.ok_value.status)

    async def _read_page(
        self, after: str | None
    ) -> result.Result[objectlisting.Page, errors.ObjectApiError]:
        """Return the page of a listing after a name, or the first one."""
        query = {} if after is None else {"after": after}
        read = await self._read_reply(
            query, CALL_TIMEOUT_S, storereplies.LIST_ARRAY
        )
        if isinstance(read, result.Err):
            return read
        reply, era = read.ok_value
        items = [
            item
            for part in reply.parts
            if (
                item := await storereplies.read_object(part, self._spec_reader)
            )
        ]
        hidden_names = None
        if reply.rest:
            found = storereplies.names_in(reply.rest)
            most_count = objectlisting.HIDDEN_NAMES_MAX_COUNT
            hidden_names = list(itertools.islice(found, most_count))
        return result.Ok(
            objectlisting.Page(
                items, hidden_names, reply.revision, reply.more, era
            )
        )

    async def _read_object(
        self, name: str
    ) -> result.Result[
        objectsource.SourceObject | None, errors.ObjectApiError
    ]:
        """Return one object; None if it does not exist."""
        path = f"{self.kind}/{urllib.parse.quote(name, safe='')}"
        called = await self._get(path, CALL_TIMEOUT_S)
        if isinstance(called, result.Err):
            return called
        raw = called.ok_value
        if raw.status == STATUS_NOT_FOUND:
            return result.Ok(None)
        item = await storereplies.read_object(raw.body, self._spec_reader)
        if item is None or item.name != name:
            # Its writer may have put another description into its text.
            item = objectsource.SourceObject(name, 0, None)
        return result.Ok(item)

    async def _read_reply(
        self, query: dict[str, str], timeout_s: float, array: str
    ) -> result.Result[tuple[storereplies.Reply, int], errors.ObjectApiError]:
        """Call the store; return the reply and the store's era."""
        path = self.kind
        if query:
            path += "?" + urllib.parse.urlencode(query)
        called = await self._get(path, timeout_s)
        if isinstance(called, result.Err):
            return called
        raw = called.ok_value
        if raw.status == STATUS_NOT_FOUND:
            return result.Err(self._unavailable("the kind is not known"))
        reply = await storereplies.read_reply(raw.body, array)
        if reply is None:
            return result.Err(self._unavailable("the reply can't be decoded"))
        return result.Ok((reply, _parse_era(raw)))

    async def _get(
        self, path: str, timeout_s: float
    ) -> result.Result[httpconnection.RawReply, errors.ObjectApiError]:
        """Read a path below the objects; its status is 200 or 404."""
        path = f"{names.OBJECTS_PATH}/{path}"
        called = await self._call("GET", path, [], b"", timeout_s)
        if isinstance(called, result.Err):
            return called
        raw = called.ok_value
        if raw.status == STATUS_HISTORY_EXPIRED:
            detail = "the store has no history after the revision"
            return result.Err(self._history_expired(detail))
        if raw.status not in (STATUS_OK, STATUS_NOT_FOUND):
            return result.Err(
                self._unavailable(
                    f"the store replied with status {raw.status}"
                )
            )
        return result.Ok(raw)

    async def _call(
        self,
        method: str,
        path: str,
        headers: httpconnection.TextHeaders,
        body: bytes,
        timeout_s: float,
    ) -> result.Result[httpconnection.RawReply, errors.ObjectApiError]:
        """Exchange a call and its reply on the connection."""
        connected = await self._get_connection()
        if isinstance(connected, result.Err):
            return connected
        connection = connected.ok_value
        head = h11.Request(
            method=method,
            target=path,
            headers=[("host", self._address), *headers],
        )
        deadline_s = trio.current_time() + timeout_s
        try:
            read = await connection.exchange(head, body, deadline_s)
        finally:
            if not connection.is_reusable():
                self._close()
        if isinstance(read, result.Err):
            return result.Err(self._failed(read.err_value))
        self._record_era(_parse_era(read.ok_value))
        return result.Ok(read.ok_value)

    async def _get_connection(
        self,
    ) -> result.Result[httpconnection.HttpConnection, errors.ObjectApiError]:
        if self._connection is not None:
            if not self._connection.is_stale():
                return result.Ok(self._connection)
            self._close()
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                transport = await self._connector(self._address)
            except OSError as error:
                return result.Err(self._unavailable(str(error)))
            self._connection = httpconnection.HttpConnection(
                transport, self.kind, self._address
            )
            return result.Ok(self._connection)
        return result.Err(self._unavailable("connecting timed out"))

    def _record_era(self, era: int) -> None:
        """Log that the store came back from a copy since the last reply."""
        if self._era not in (0, era):
            LOGGER.warning(
                "The store of {} came back from an older copy: era {}, "
                "was {}.",
                self.kind,
                era,
                self._era,
            )
        self._era = era

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _failed(self, error: errors.LeafError) -> errors.ObjectApiError:
        """Return the error of a call whose exchange failed."""
        if error.kind is errors.LeafFailureKind.MALFORMED:
            return errors.ObjectReplyError(
                steps.Step.SETTINGS_SPREAD, self._address, str(error)
            )
        return self._unavailable(str(error))

    def _unavailable(self, detail: str) -> errors.ObjectApiError:
        return errors.ObjectApiUnavailableError(
            steps.Step.SETTINGS_SPREAD, self._address, f"{self.kind}: {detail}"
        )

    def _history_expired(self, detail: str) -> errors.ObjectApiError:
        return errors.ObjectNotFoundError(
            steps.Step.SETTINGS_SPREAD, self._address, f"{self.kind}: {detail}"
        )


def _read_probe(
    read: result.Result[tuple[storereplies.Reply, int], errors.ObjectApiError],
    position: objectsource.Position,
) -> objectsource.ProbeOutcome:
    """Return what the reply to a probe shows of the watch after a position."""
    if isinstance(read, result.Err):
        if isinstance(read.err_value, errors.ObjectNotFoundError):
            return objectsource.ProbeOutcome.CHANGED
        return objectsource.ProbeOutcome.FAILED
    reply, era = read.ok_value
    if reply.parts or reply.rest or era != position.era:
        return objectsource.ProbeOutcome.CHANGED
    return objectsource.ProbeOutcome.CURRENT


def _parse_era(raw: httpconnection.RawReply) -> int:
    """Return the era that a reply states; 0 if there is none or it is invalid.

    A store that does not come back from copies does not state an era.
    """
    value = raw.header(names.ERA) or b""
    return int(value) if value.isdigit() and len(value) < ERA_DIGITS else 0
