"""The platform's store of the soak, on real connections of loopback."""

import functools
import itertools
import json
import os
import socket
import typing
import urllib.parse

import trio

from plantainhook import (
    forwardtypes,
    httpserver,
    leaftransport,
    routetable,
)
from plantainhook.platform import names
from tests import platformfleet

# Several soaks may run at once.
FIRST_PORT: typing.Final = 10_000 + os.getpid() * 97 % 12_000
PORTS: typing.Final = itertools.cycle(range(FIRST_PORT, FIRST_PORT + 8_000))


class NoAnswerError(OSError):
    """Close a connection without an answer."""


def free_port() -> int:
    """Return a port on loopback that is free now.

    It lies below the range from which outgoing connections get theirs, so it
    is still free when a server that has ended starts again.
    """
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port on loopback is free")


class SoakStore:
    """Serve the model of the platform's store on real connections.

    ``delay_s`` slows replies. Connections that were opened before
    ``silent_before_s`` are never answered, and neither are the calls that
    began before ``lost_before_s``; writes among them are done.
    """

    def __init__(self) -> None:
        self.model = platformfleet.PlatformStoreModel()
        self.address = f"127.0.0.1:{free_port()}"
        self.delay_s = 0.0
        self.silent_before_s = float("-inf")
        self.lost_before_s = float("-inf")

    async def run(self) -> None:
        """Serve until cancelled."""
        with httpserver.listen(self.address) as listener:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    accepted, _ = listener.accept()
                    nursery.start_soon(self._serve, accepted)

    async def _serve(self, accepted: socket.socket) -> None:
        server = httpserver.HttpServer(
            functools.partial(self._answer, trio.current_time()),
            routetable.ClientLimits,
        )
        await server.serve_transport(leaftransport.SocketTransport(accepted))

    async def _answer(
        self,
        opened_s: float,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        began_s = trio.current_time()
        era = self.model.era
        url = urllib.parse.urlsplit(target.decode())
        kind = url.path.rpartition("/")[2]
        query = dict(urllib.parse.parse_qsl(url.query))
        with trio.move_on_after(int(query.get("wait-ms", 0)) / 1000):
            while not (
                self.model.is_down
                or era != self.model.era
                or self.model.has_events(kind, query)
            ):
                with trio.move_on_after(0.2):
                    await self.model.changed.wait()
        await trio.sleep(self.delay_s)
        is_lost = (
            opened_s < self.silent_before_s or began_s < self.lost_before_s
        )
        if is_lost and method == b"GET":
            await trio.sleep_forever()
        if self.model.is_down or era != self.model.era:
            raise NoAnswerError
        status, value = self.model.call(method.decode(), url.path, query, body)
        if is_lost:
            await trio.sleep_forever()
        era_header = (names.ERA, b"%d" % self.model.era)
        return forwardtypes.Response(
            status, [era_header], json.dumps(value).encode()
        )
