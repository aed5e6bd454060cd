"""Set-up of connections to leafs, and what the pools work with.

A new connection is checked by one health request, so that the set-up time of
the leaf and a refusal by its connection limit are met before a search is
sent.
"""

import dataclasses

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


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOptions:
    """Hold the limits and waiting times of every pool."""

    connect_timeout_s: float = 1.0
    warm_up_jitter_s: float = 0.5
    connects_per_leaf_count: int = 2
    backoff_min_s: float = 0.05
    backoff_max_s: float = 1.0
    late_reply_timeout_s: float = 0.25
    close_timeout_s: float = 1.0
    # Whether a new connection is checked by a health request, and whether
    # one more than the recent peak is kept open.
    checks_health: bool = True
    keeps_spare: bool = True


@dataclasses.dataclass(slots=True)
class Waiter:
    """Wait for a connection; ``outcome`` is set before the event."""

    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: httpconnection.LeafResult[leafclient.LeafClient] | None = None

    def resolve(
        self, outcome: httpconnection.LeafResult[leafclient.LeafClient]
    ) -> None:
        """Wake the waiter."""
        self.outcome = outcome
        self.event.set()


async def open_client(
    connector: leaftransport.Connector,
    leaf: str,
    address: str,
    timeout_s: float,
    checks_health: bool = True,
) -> httpconnection.LeafResult[leafclient.LeafClient]:
    """Open a connection and, where asked, check it."""
    deadline_s = trio.current_time() + timeout_s
    transport: leaftransport.Transport | None = None
    with trio.CancelScope(deadline=deadline_s):
        try:
            transport = await connector(address)
        except OSError as error:
            return result.Err(connect_error(address, str(error)))
    if transport is None:
        return result.Err(connect_error(address, "the connect timed out"))
    client = leafclient.LeafClient(transport, leaf, address)
    if not checks_health:
        return result.Ok(client)
    try:
        greeting = await client.request(
            "GET", leafprotocol.HEALTH_PATH, b"", deadline_s
        )
    except trio.Cancelled:
        client.close()
        raise
    if isinstance(greeting, result.Ok) and client.is_reusable():
        return result.Ok(client)
    client.close()
    return result.Err(connect_error(address, "the health check failed"))


def no_connection_error(address: str, detail: str) -> errors.LeafError:
    """Return the error of a call that got no connection."""
    return errors.LeafError(
        steps.Step.QUERY_CONNECT,
        address,
        detail,
        Failure.NO_CONNECTION,
        errors.Ran.NO,
    )


def connect_error(address: str, detail: str) -> errors.LeafError:
    """Return the error of a connect that failed."""
    return errors.LeafError(
        steps.Step.QUERY_CONNECT,
        address,
        detail,
        Failure.CONNECT,
        errors.Ran.NO,
    )
