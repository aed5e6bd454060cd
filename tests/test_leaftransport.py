"""Tests of the TCP connections on which a daemon waits long for replies."""

import socket
import typing

import testtools
import trio

from plantainhook.platform import store

# The time after which the users' platform expects a daemon whose connections
# fell silent to be up to date again.
RECOVERY_BOUND_S: typing.Final = 4.0
# A new connection, a call and the pause before it.
RECONNECT_S: typing.Final = 0.5


class KeepAliveTest(testtools.TestCase):
    """Check how soon a connection to the store counts as lost."""

    def test_silent_connection_to_the_store_is_lost_in_time(self) -> None:
        """Guard against a fleet whose watches all fall silent at once.

        No peer knows better then, so only the own connection tells.
        """

        async def main() -> int:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                source = store.PlatformStore("", "things")
                transport = await source._connector(f"127.0.0.1:{port}")
                option = typing.cast(typing.Any, transport)._socket.getsockopt
                lost_after_s: int = option(
                    socket.IPPROTO_TCP, socket.TCP_KEEPIDLE
                ) + option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) * option(
                    socket.IPPROTO_TCP, socket.TCP_KEEPCNT
                )
                transport.close()
                return lost_after_s

        self.assertTrue(trio.run(main) + RECONNECT_S <= RECOVERY_BOUND_S)
