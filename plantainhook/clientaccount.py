"""Decide how much memory and how many connections clients may hold.

One account for the process counts the bytes that clients make it hold, by
kind, and their connections. It does no I/O: it chooses the connections to
close, and its user closes them.

Pattern: hundreds of connections that each stay inside their own limits and
make no progress. Together they hold more memory than the VM has.
"""

import collections
import dataclasses
import enum
import typing
from collections import abc

BYTES_PER_MB: typing.Final = 1_000_000
# The process needs this much in normal work, without the bytes of clients.
PROCESS_MB: typing.Final = 90
DEFAULT_MEMORY_MB: typing.Final = 256
# The allocator and copies on the way to leafs take more than is counted.
CLIENT_MEMORY_RATIO: typing.Final = 0.4
CLIENT_MEMORY_MIN_BYTES: typing.Final = 8 * BYTES_PER_MB
FILES_COUNT: typing.Final = 200
CLIENT_DESCRIPTORS_RATIO: typing.Final = 0.6
PEER_DESCRIPTORS_RATIO: typing.Final = 0.25
CONNECTIONS_MIN_COUNT: typing.Final = 16
# Memory of a connection without data: its task, parser and socket.
CONNECTION_BYTES: typing.Final = 24_576
# A transfer that lasts longer counts as slow.
SLOW_AFTER_S: typing.Final = 0.5
# Closing connections continues until this part of the limit is held, so that
# connections are chosen rarely.
SHED_TO_RATIO: typing.Final = 0.9
# While a request runs, at most this much of the next ones is read.
LOOK_AHEAD_BYTES: typing.Final = 4096


class Kind(enum.StrEnum):
    """Name what the bytes that are held belong to."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    AHEAD = "ahead"
    RESPONSE = "response"
    FRAME = "frame"


class Phase(enum.Enum):
    """Name what a connection does."""

    IDLE = enum.auto()
    READING = enum.auto()
    RUNNING = enum.auto()
    WRITING = enum.auto()
    # A link of a peer that sent a valid hello.
    LINKED = enum.auto()
    # The same, while it holds much of a partial frame or of replies.
    LINK_BUSY = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit what all clients together may hold."""

    held_bytes: int
    connections_count: int
    peer_connections_count: int


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """Represent what one connection holds.

    ``phase_began_s`` is when the phase began. ``is_shed`` states that the
    connection was chosen to be closed.
    """

    address: str
    is_peer: bool
    phase_began_s: float
    phase: Phase = Phase.IDLE
    has_served: bool = False
    is_shed: bool = False
    is_open: bool = True
    held_bytes: int = 0
    bytes_by_kind: dict[Kind, int] = dataclasses.field(default_factory=dict)

    def enter(self, phase: Phase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.phase_began_s = now_s


class Account:
    """Count what clients hold and choose who is closed when it is full."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.bytes_by_kind = dict.fromkeys(Kind, 0)
        self.holdings: set[Holding] = set()
        self._shed_bytes = 0
        self._open_counts = {False: 0, True: 0}

    def connections_count(self, is_peer: bool) -> int:
        """Return the number of connections that are not being closed."""
        return self._open_counts[is_peer]

    def admit(
        self, address: str, now_s: float, is_peer: bool = False
    ) -> tuple[Holding | None, list[Holding]]:
        """Return a holding for a new connection, and whom to close for it.

        The holding is None if no connection can be closed.
        """
        victims: list[Holding] = []
        if self._open_counts[is_peer] >= self._most_count(is_peer):
            victims = self._choose_connections(now_s, is_peer)
            if not victims:
                return None, []
        holding = Holding(address, is_peer, now_s)
        self.holdings.add(holding)
        self._open_counts[is_peer] += 1
        if self.charge(holding, Kind.CONNECTION, CONNECTION_BYTES):
            victims += self.shed(now_s)
        if holding.is_shed:
            self.release(holding)
            victims.remove(holding)
            return None, victims
        return holding, victims

    def charge(self, holding: Holding, kind: Kind, held_bytes: int) -> bool:
        """Set what a connection holds of a kind; return whether to shed."""
        if not holding.is_open:
            return False
        more_bytes = held_bytes - holding.bytes_by_kind.get(kind, 0)
        if not more_bytes:
            return False
        holding.bytes_by_kind[kind] = held_bytes
        holding.held_bytes += more_bytes
        self.bytes_by_kind[kind] += more_bytes
        self.held_bytes += more_bytes
        if holding.is_shed:
            self._shed_bytes += more_bytes
        return more_bytes > 0 and self.is_over()

    def is_over(self) -> bool:
        """Return whether more is held than the limit."""
        return self.held_bytes - self._shed_bytes > self.limits.held_bytes

    def release(self, holding: Holding) -> None:
        """Remove a connection; a second call does nothing."""
        if not holding.is_open:
            return
        for kind in holding.bytes_by_kind:
            self.charge(holding, kind, 0)
        holding.is_open = False
        self.holdings.discard(holding)
        if not holding.is_shed:
            self._open_counts[holding.is_peer] -= 1

    def pause(self, ahead_bytes: int) -> bool:
        """Return whether to stop reading while a request runs."""
        return ahead_bytes >= LOOK_AHEAD_BYTES or self.is_over()

    def shed(self, now_s: float) -> list[Holding]:
        """Return whom to close until enough bytes are free."""
        if not self.is_over():
            return []
        target_bytes = int(self.limits.held_bytes * SHED_TO_RATIO)
        order = self._order(now_s, _BYTES_ORDER, self.holdings)
        victims = []
        for holding in order:
            if self.held_bytes - self._shed_bytes <= target_bytes:
                break
            victims.append(holding)
            self._mark(holding)
        return victims

    def _choose_connections(
        self, now_s: float, is_peer: bool
    ) -> list[Holding]:
        """Return whom to close for new connections."""
        candidates = [
            each for each in self.holdings if each.is_peer is is_peer
        ]
        order = self._order(now_s, _CONNECTIONS_ORDER, candidates)
        # Several at once, so that connections are chosen rarely.
        most_count = self._most_count(is_peer)
        spare_count = max(1, most_count - int(most_count * SHED_TO_RATIO))
        slow = [each for each in order if _standing(each, now_s) is _SLOW]
        victims = slow[:spare_count] or order[:1]
        for holding in victims:
            self._mark(holding)
        return victims

    def _most_count(self, is_peer: bool) -> int:
        if is_peer:
            return self.limits.peer_connections_count
        return self.limits.connections_count

    def _mark(self, holding: Holding) -> None:
        holding.is_shed = True
        self._shed_bytes += holding.held_bytes
        self._open_counts[holding.is_peer] -= 1

    def _order(
        self,
        now_s: float,
        standings: abc.Sequence["_Standing"],
        candidates: abc.Iterable[Holding],
    ) -> list[Holding]:
        """Return who may be closed, the first to close first."""
        address_bytes: collections.Counter[str] = collections.Counter()
        for holding in self.holdings:
            address_bytes[holding.address] += holding.held_bytes
        keyed = []
        for holding in candidates:
            standing = _standing(holding, now_s)
            if holding.is_shed or standing not in standings:
                continue
            weight = (
                holding.held_bytes
                * max(now_s - holding.phase_began_s, 0.001)
                * address_bytes[holding.address]
            )
            keyed.append((standings.index(standing), -weight, holding))
        keyed.sort(key=lambda entry: entry[:2])
        return [holding for _, _, holding in keyed]


class _Standing(enum.Enum):
    """Name the classes in which connections are closed."""

    SLOW = enum.auto()
    YOUNG = enum.auto()
    IDLE = enum.auto()
    BUSY_LINK = enum.auto()
    LINKED = enum.auto()
    RUNNING = enum.auto()


_SLOW: typing.Final = _Standing.SLOW
# An idle connection holds little, so closing it frees few bytes. Nothing that
# runs is closed: its caller could not know whether it ran.
_BYTES_ORDER: typing.Final = (
    _SLOW,
    _Standing.YOUNG,
    _Standing.IDLE,
    _Standing.BUSY_LINK,
)
_CONNECTIONS_ORDER: typing.Final = (
    _SLOW,
    _Standing.IDLE,
    _Standing.YOUNG,
    _Standing.BUSY_LINK,
    _Standing.LINKED,
)


def _standing(holding: Holding, now_s: float) -> _Standing:
    """Return the class of a connection."""
    if holding.phase is Phase.RUNNING:
        return _Standing.RUNNING
    if holding.phase is Phase.LINKED:
        return _Standing.LINKED
    if holding.phase is Phase.LINK_BUSY:
        return _Standing.BUSY_LINK
    if holding.phase is Phase.IDLE and holding.has_served:
        return _Standing.IDLE
    is_slow = now_s - holding.phase_began_s > SLOW_AFTER_S
    return _SLOW if is_slow else _Standing.YOUNG


def derive_limits(memory_limit_mb: float, descriptor_count: int) -> Limits:
    """Return the limits for a VM's memory and number of descriptors."""
    spare_bytes = (memory_limit_mb - PROCESS_MB) * BYTES_PER_MB
    sockets_count = descriptor_count - FILES_COUNT
    return Limits(
        max(CLIENT_MEMORY_MIN_BYTES, int(spare_bytes * CLIENT_MEMORY_RATIO)),
        max(
            CONNECTIONS_MIN_COUNT,
            int(sockets_count * CLIENT_DESCRIPTORS_RATIO),
        ),
        max(
            CONNECTIONS_MIN_COUNT, int(sockets_count * PEER_DESCRIPTORS_RATIO)
        ),
    )
