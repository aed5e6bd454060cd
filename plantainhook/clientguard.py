"""Apply the account of clients to the connections of a process.

The servers for callers, readiness checks, metrics and peers share one guard.
It closes the connections that the account chooses, counts them, and logs
them at a bounded rate.
"""

import functools
import typing
from collections import abc

import prometheus_client
import trio

from plantainhook import clientaccount, clock, fairturns, logs

DEFAULT_DESCRIPTORS_COUNT: typing.Final = 4096
LOG_LINES_PER_S: typing.Final = 1.0
# Reasons for which connections are closed; a refused request is counted by
# its status.
REASON_BYTES: typing.Final = "bytes"
REASON_CONNECTIONS: typing.Final = "connections"
REASON_NOT_ADMITTED: typing.Final = "not admitted"

Close = abc.Callable[[], None]


class ClientGuard:
    """Admit connections, count what they hold and close some when full.

    ``turns`` are the turns of connections that send tiny pieces.
    """

    def __init__(
        self,
        limits: clientaccount.Limits,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self.account = clientaccount.Account(limits)
        self.turns = fairturns.FairTurns()
        self._closes: dict[clientaccount.Holding, Close] = {}
        self._log = logs.DecisionLog(
            logs.part_logger("clients"), clock.TrioClock(), LOG_LINES_PER_S
        )
        self._ended = prometheus_client.Counter(
            "plantainhook_client_ended",
            "Requests refused by status and connections closed by reason.",
            ["reason"],
            registry=registry,
        )
        if registry is not None:
            self._show(registry)

    def _show(self, registry: prometheus_client.CollectorRegistry) -> None:
        held = prometheus_client.Gauge(
            "plantainhook_client_held_bytes",
            "Bytes that clients make this process hold, by kind.",
            ["kind"],
            registry=registry,
        )
        for kind in clientaccount.Kind:
            held.labels(kind).set_function(
                functools.partial(self.account.bytes_by_kind.__getitem__, kind)
            )
        connections = prometheus_client.Gauge(
            "plantainhook_client_connections",
            "Open connections of callers and of peers.",
            ["side"],
            registry=registry,
        )
        for side, is_peer in (("caller", False), ("peer", True)):
            connections.labels(side).set_function(
                functools.partial(self.account.connections_count, is_peer)
            )

    def admit(
        self, address: str, close: Close, is_peer: bool = False
    ) -> clientaccount.Holding | None:
        """Return a holding for a new connection, or None if there is no room.

        ``close`` is called if the connection must make room for others.
        """
        holding, victims = self.account.admit(
            address, trio.current_time(), is_peer
        )
        self._close(victims, REASON_CONNECTIONS)
        if holding is None:
            self.count(REASON_NOT_ADMITTED)
            self._log.log("A connection is not admitted: all others run.")
            return None
        self._closes[holding] = close
        return holding

    def charge(
        self,
        holding: clientaccount.Holding,
        kind: clientaccount.Kind,
        held_bytes: int,
    ) -> None:
        """Set what a connection holds of a kind; close others if full.

        The connection itself may be closed; ``holding.is_shed`` tells.
        """
        if self.account.charge(holding, kind, held_bytes):
            victims = self.account.shed(trio.current_time())
            self._close(victims, REASON_BYTES)

    def release(self, holding: clientaccount.Holding) -> None:
        """Remove a connection that has ended."""
        self.account.release(holding)
        self._closes.pop(holding, None)

    def count(self, reason: str) -> None:
        """Count a refused request or a closed connection."""
        self._ended.labels(reason).inc()

    def log(self, text: str) -> None:
        """Log an event that clients cause, at a bounded rate."""
        self._log.log(text)

    def _close(
        self, victims: list[clientaccount.Holding], reason: str
    ) -> None:
        if not victims:
            return
        for holding in victims:
            self.count(reason)
            self._closes[holding]()
        self._log.log(
            f"Closed {len(victims)} connections to make room ({reason}); "
            f"clients hold {self.account.held_bytes} bytes on "
            f"{len(self.account.holdings)} connections."
        )


def build_guard(
    memory_limit_mb: float = clientaccount.DEFAULT_MEMORY_MB,
    descriptor_limit_count: int = DEFAULT_DESCRIPTORS_COUNT,
    registry: prometheus_client.CollectorRegistry | None = None,
) -> ClientGuard:
    """Build a guard for the limits of a VM."""
    limits = clientaccount.derive_limits(
        memory_limit_mb, descriptor_limit_count
    )
    return ClientGuard(limits, registry)
