"""Bound what connections to the peer port hold before and after the hello.

A connection without a valid hello may come from anyone who reaches the port.
Few of them are kept, each with few bytes and for a short time, and the oldest
is closed for a new one. All connections are charged to the account of the
process; a link is closed for its bytes after all connections of callers that
do not run a request.
"""

import collections
import typing

import trio

from plantainhook import clientaccount, clientguard

# All daemons of a fleet connect at about the same time after a restart.
GREETING_COUNT: typing.Final = 64
HELLO_LIMIT_BYTES: typing.Final = 4096
# A link that holds no more is in normal use and not closed for its bytes.
LINK_BYTES: typing.Final = 16_384
REASON_NO_HELLO: typing.Final = "no hello"


class PeerConnection:
    """Represent an accepted connection; cancelling ``scope`` closes it."""

    def __init__(self, guard: clientguard.ClientGuard) -> None:
        self.scope = trio.CancelScope()
        self.holding: clientaccount.Holding | None = None
        self._guard = guard
        self._is_greeted = False
        self._held = {
            clientaccount.Kind.FRAME: 0,
            clientaccount.Kind.RESPONSE: 0,
        }

    def set_partial(self, partial_bytes: int) -> None:
        """Charge the bytes of a frame that is not complete."""
        self._set(clientaccount.Kind.FRAME, partial_bytes)

    def set_unsent(self, unsent_bytes: int) -> None:
        """Charge the replies that are not written."""
        self._set(clientaccount.Kind.RESPONSE, unsent_bytes)

    def set_greeted(self) -> None:
        """Note that the peer sent a valid hello."""
        self._is_greeted = True
        self._update_phase()

    def _set(self, kind: clientaccount.Kind, held_bytes: int) -> None:
        if self.holding is None or held_bytes == self._held[kind]:
            return
        self._held[kind] = held_bytes
        self._update_phase()
        self._guard.charge(self.holding, kind, held_bytes)

    def _update_phase(self) -> None:
        """Begin a phase if the link becomes idle or stops being idle."""
        if self.holding is None or not self._is_greeted:
            return
        phase = clientaccount.Phase.LINKED
        if sum(self._held.values()) > LINK_BYTES:
            phase = clientaccount.Phase.LINK_BUSY
        if self.holding.phase is not phase:
            self.holding.enter(phase, trio.current_time())


class PeerAdmission:
    """Admit connections to the peer port of one process.

    Pattern: a crowd that connects to the peer port and sends nothing, or
    frames that never end.
    """

    def __init__(self, guard: clientguard.ClientGuard) -> None:
        self._guard = guard
        self._greeting: collections.OrderedDict[PeerConnection, None] = (
            collections.OrderedDict()
        )

    def admit(self, address: str) -> PeerConnection | None:
        """Return a connection that awaits its hello, or None."""
        if len(self._greeting) >= GREETING_COUNT:
            oldest, _ = self._greeting.popitem(last=False)
            self._guard.count(REASON_NO_HELLO)
            oldest.scope.cancel()
        connection = PeerConnection(self._guard)
        connection.holding = self._guard.admit(
            address, connection.scope.cancel, is_peer=True
        )
        if connection.holding is None:
            return None
        self._greeting[connection] = None
        return connection

    def greeted(self, connection: PeerConnection) -> None:
        """Note that a connection sent a valid hello."""
        self._greeting.pop(connection, None)
        connection.set_greeted()

    def release(self, connection: PeerConnection) -> None:
        """Remove a connection that has ended."""
        self._greeting.pop(connection, None)
        if connection.holding is not None:
            self._guard.release(connection.holding)
