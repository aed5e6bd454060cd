"""Stand-in for the platform's VM list, which lags behind the true state.

``GET /v1/vms`` returns the list as it was ``lag_s`` seconds ago.
``POST /v1/admin/vms`` replaces the list and ``POST /v1/admin/lag`` the lag.
"""

import typing

import msgspec
import trio

from plantainhook import leafprotocol, standin_journal, standinhttp

VMS_PATH: typing.Final = "/v1/vms"
_VMS_DECODER: typing.Final = msgspec.json.Decoder(list[leafprotocol.VmEntry])
_LAG_DECODER: typing.Final = msgspec.json.Decoder(float)


class StandinVmList:
    """Serve the list of VMs as it was ``lag_s`` seconds ago.

    While ``down`` is set, it answers 503.
    """

    lag_s: float
    down: bool

    def __init__(
        self, vms: list[leafprotocol.VmEntry], lag_s: float = 0.0
    ) -> None:
        self.lag_s = lag_s
        self.down = False
        self._vms = standin_journal.History(tuple(vms))

    def set_vms(self, vms: list[leafprotocol.VmEntry]) -> None:
        """Replace the true list."""
        self._vms.append(tuple(vms))

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; ``task_status`` receives the address."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"{host}:{port}")
        await trio.serve_listeners(self.serve_stream, listeners)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        try:
            connection = standinhttp.ServerConnection(stream)
            await connection.serve(self.handle)
        finally:
            await trio.aclose_forcefully(stream)

    async def handle(
        self, request: standinhttp.HttpRequest
    ) -> standinhttp.HttpReply:
        """Answer one request."""
        if request.method == "POST":
            return self._admin(request)
        if request.path != VMS_PATH:
            return standinhttp.HttpReply(404)
        if self.down:
            return standinhttp.HttpReply(503)
        return standinhttp.json_reply(200, self.listing())

    def listing(self) -> leafprotocol.VmListing:
        """Return the list as it was ``lag_s`` seconds ago, with that time."""
        as_of_s = trio.current_time() - self.lag_s
        return leafprotocol.VmListing(self._vms.at(as_of_s), as_of_s)

    def _admin(
        self, request: standinhttp.HttpRequest
    ) -> standinhttp.HttpReply:
        try:
            if request.path == "/v1/admin/vms":
                self.set_vms(_VMS_DECODER.decode(request.body))
                return standinhttp.HttpReply(200)
            if request.path == "/v1/admin/lag":
                self.lag_s = _LAG_DECODER.decode(request.body)
                return standinhttp.HttpReply(200)
        except msgspec.DecodeError as error:
            return standinhttp.json_reply(400, {"detail": str(error)})
        return standinhttp.HttpReply(404)
