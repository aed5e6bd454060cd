"""Set-up of connections to leafs, and the options and errors of the pools.

A new connection is checked by one health request. A leaf may need time to
set up a connection, or refuse it because of its connection limit; the check
reveals both before a search is sent.
"""

import dataclasses
from collections import abc

import result
import trio

from plantainhook import (
    errors,
    httpconnection,
    leafclient,
    leafprotocol,
    leaftransport,
    steps,
)

Failure = errors.LeafFailureKind


def _ignore(leaf: str) -> None:
    """Ignore that a leaf refuses connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Configure the limits and timeouts of a connection pool.

    ``warm_up_jitter_s`` bounds the random delay before a pool opens its first
    spare connection. ``late_reply_timeout_s`` is how long an abandoned
    request may take to end before its connection is closed, and
    ``close_timeout_s`` how long the leaf may take to close its side.
    ``on_nothing_listens`` is called with the name of a leaf whose address
    refuses a connection.
    """

    connect_timeout_s: float = 1.0
    warm_up_jitter_s: float = 0.5
    connects_per_leaf_count: int = 2
    backoff_min_s: float = 0.05
    backoff_max_s: float = 1.0
    late_reply_timeout_s: float = 0.25
    close_timeout_s: float = 1.0
    # Whether a new connection is checked by a health request, and whether
    # one connection more than the recent peak of use is kept open.
    checks_health: bool = True
    keeps_spare: bool = True
    on_nothing_listens: abc.Callable[[str], None] = _ignore


@dataclasses.dataclass(slots=True)
class Waiter:
    """Represent a caller that waits for a connection.

    ``request_id`` names the request that it will send; empty if it has none.
    ``outcome`` is set before the event.
    """

    request_id: str = ""
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: httpconnection.LeafResult[leafclient.LeafClient] | None = None

    def resolve(
        self, outcome: httpconnection.LeafResult[leafclient.LeafClient]
    ) -> None:
        """Pass a connection or an error to the caller and wake it."""
        self.outcome = outcome
        self.event.set()


async def open_client(
    connector: leaftransport.Connector,
    leaf: str,
    address: str,
    timeout_s: float,
    checks_health: bool = True,
) -> httpconnection.LeafResult[leafclient.LeafClient]:
    """Open a connection and check it with a health request if asked to.

    The timeout covers both. Every failure is a CONNECT error.
    """
    deadline_s = trio.current_time() + timeout_s
    transport: leaftransport.Transport | None = None
    with trio.CancelScope(deadline=deadline_s):
        try:
            transport = await connector(address)
        except OSError as error:
            failed = connect_error(address, str(error))
            failed.nothing_listens = isinstance(error, ConnectionRefusedError)
            return result.Err(failed)
    if transport is None:
        return result.Err(connect_error(address, "connecting timed out"))
    client = leafclient.LeafClient(transport, leaf, address)
    if not checks_health:
        return result.Ok(client)
    try:
        health_reply = await client.request(
            "GET", leafprotocol.HEALTH_PATH, b"", deadline_s
        )
    except trio.Cancelled:
        client.close()
        raise
    if isinstance(health_reply, result.Ok) and client.is_reusable():
        return result.Ok(client)
    client.close()
    return result.Err(connect_error(address, "the health check failed"))


def no_connection_error(address: str, detail: str) -> errors.LeafError:
    """Return the error of a call that was given no connection."""
    return errors.LeafError(
        steps.Step.QUERY_CONNECT,
        address,
        detail,
        Failure.NO_CONNECTION,
        errors.Ran.NO,
    )


def connect_error(address: str, detail: str) -> errors.LeafError:
    """Return the error of a connection that could not be set up."""
    return errors.LeafError(
        steps.Step.QUERY_CONNECT,
        address,
        detail,
        Failure.CONNECT,
        errors.Ran.NO,
    )
