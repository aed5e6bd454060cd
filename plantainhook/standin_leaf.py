"""Stand-in for a backend server (leaf): connections and admin requests.

It serves ``standin_model.LeafModel`` over HTTP/1.1 and enforces its
connection limit by closing connections above the limit. Tests change its
behaviour by method calls in the same process or with ``POST /v1/admin/...``:

- ``behaviour`` with some fields of ``standin_model.Behaviour``,
- ``versions`` with ``{version: [shards]}``,
- ``drain``, ``undrain``, ``crash`` and ``cold`` without a body.

``GET /v1/admin/journal`` returns the executed requests and
``GET /v1/admin/stats`` the counts of connections and searches.
"""

import dataclasses
import typing

import msgspec
import trio

from plantainhook import leafprotocol, standin_model, standinhttp

ADMIN_PREFIX: typing.Final = "/v1/admin/"
_VERSIONS_DECODER: typing.Final = msgspec.json.Decoder(dict[int, set[str]])
_CHANGES_DECODER: typing.Final = msgspec.json.Decoder(dict[str, typing.Any])


class StandinLeaf(standin_model.LeafModel):
    """Serve a leaf model on connections.

    ``open_count`` is the number of connections that the limit applies to; a
    closed connection counts for another ``close_lag_ms``. ``open_max_count``
    is its maximum so far. ``over_limit_count`` counts the connections that
    were closed because they exceeded the limit.
    """

    open_count: int
    open_max_count: int
    over_limit_count: int

    def __init__(
        self,
        name: str,
        versions: dict[int, set[str]],
        behaviour: standin_model.Behaviour | None = None,
        seed: int = 0,
    ) -> None:
        super().__init__(name, versions, behaviour, seed)
        self.open_count = 0
        self.open_max_count = 0
        self.over_limit_count = 0
        self._connection_scopes: set[trio.CancelScope] = set()
        self._crashed = trio.Event()

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; ``task_status`` receives the address.

        While the leaf is down, its port refuses connections.
        """
        started = False
        while True:
            listeners = await trio.open_tcp_listeners(port, host=host)
            port = listeners[0].socket.getsockname()[1]
            if not started:
                task_status.started(f"{host}:{port}")
                started = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners, self.serve_stream, listeners
                )
                await self._crashed.wait()
                nursery.cancel_scope.cancel()
            await self.recover()

    async def recover(self) -> None:
        """Stay down for ``down_ms``, then start with a cold phase."""
        await trio.sleep(self.behaviour.down_ms / 1000)
        self._crashed = trio.Event()
        self.down = False
        self.start_cold()

    def crash(self) -> None:
        """Go down and drop every connection."""
        super().crash()
        self._crashed.set()
        for scope in list(self._connection_scopes):
            scope.cancel()

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection, within the connection limit."""
        self.open_count += 1
        self.open_max_count = max(self.open_max_count, self.open_count)
        try:
            if self.down or self._over_limit():
                return
            await trio.sleep(self.behaviour.connect_ms / 1000)
            with trio.CancelScope() as scope:
                self._connection_scopes.add(scope)
                connection = standinhttp.ServerConnection(stream)
                await connection.serve(self.handle)
            self._connection_scopes.discard(scope)
            await trio.sleep(self.behaviour.close_lag_ms / 1000)
        finally:
            self.open_count -= 1
            await trio.aclose_forcefully(stream)

    def _over_limit(self) -> bool:
        """Return whether the limit is exceeded; count the connection if so."""
        is_over = self.open_count > self.behaviour.connection_limit_count
        self.over_limit_count += is_over
        return is_over

    async def handle(
        self, request: standinhttp.HttpRequest
    ) -> standinhttp.HttpReply:
        """Answer one request."""
        route = (request.method, request.path)
        if route == ("POST", leafprotocol.SEARCH_PATH):
            return await self.search(request.body)
        if route[0] == "DELETE":
            return self.cancel(request.path.rpartition("/")[2])
        if request.path.startswith(ADMIN_PREFIX):
            return self._admin(request)
        return await self.answer_state_request(request.path)

    def _admin(
        self, request: standinhttp.HttpRequest
    ) -> standinhttp.HttpReply:
        action = request.path.removeprefix(ADMIN_PREFIX)
        if request.method == "GET":
            return self._inspect(action)
        try:
            exists = self._run_command(action, request.body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return standinhttp.json_reply(400, {"detail": str(error)})
        return standinhttp.HttpReply(200 if exists else 404)

    def _run_command(self, action: str, body: bytes) -> bool:
        """Execute an admin command; return whether it exists."""
        if action == "behaviour":
            self.update(_CHANGES_DECODER.decode(body))
            return True
        if action == "versions":
            self.set_versions(_VERSIONS_DECODER.decode(body))
            return True
        commands = {
            "drain": self.drain,
            "undrain": self.undrain,
            "crash": self.crash,
            "cold": self.start_cold,
        }
        command = commands.get(action)
        if command is not None:
            command()
        return command is not None

    def _inspect(self, subject: str) -> standinhttp.HttpReply:
        """Answer an admin request that reads."""
        if subject == "journal":
            runs = [dataclasses.asdict(run) for run in self.journal.runs]
            return standinhttp.json_reply(200, {"runs": runs})
        if subject == "stats":
            return standinhttp.json_reply(200, self.stats())
        return standinhttp.HttpReply(404)

    def stats(self) -> dict[str, int]:
        """Return the counts of connections, searches and shard runs."""
        return {
            "open_count": self.open_count,
            "open_max_count": self.open_max_count,
            "over_limit_count": self.over_limit_count,
            "in_flight_count": self.in_flight_count(),
            "run_count": len(self.journal.runs),
        }
