"""What a forwarding daemon reads from the platform's store, and for whom."""

import functools
import random

import trio

from plantainhook import (
    blackboard,
    clock,
    evacuations,
    forwardmetrics,
    leafdirectory,
    objectsource,
    peers,
    platformadapters,
    quarantinestore,
    routecontroller,
    storeaccount,
    storerelay,
    storereplica,
)

Consumers = list[tuple[objectsource.ObjectSource, objectsource.Consumer]]


def list_consumers(
    adapters: platformadapters.PlatformAdapters,
    directory: leafdirectory.LeafDirectory,
    routes: routecontroller.RouteController,
    quarantines: quarantinestore.QuarantineStore,
    evacuated: evacuations.Evacuations | None,
) -> Consumers:
    """Return what is read from the store, and who receives it.

    ``evacuated`` is None if the daemon doesn't read evacuations.
    """
    consumers: Consumers = [
        (adapters.leafs, directory),
        (adapters.configurations, routes),
        (adapters.quarantines, quarantines),
    ]
    if evacuated is not None:
        consumers.insert(0, (adapters.evacuations, evacuated))
    return consumers


def build_relay(
    board: blackboard.Blackboard,
    data_centre: str,
    adapters: platformadapters.PlatformAdapters,
    consumers: Consumers,
    links: peers.PeerTransport,
    handlers: peers.Handlers,
    forward_metrics: forwardmetrics.ForwardMetrics,
    memory_limit_mb: float,
    time_source: clock.Clock,
    rng: random.Random,
) -> storerelay.StoreRelay:
    """Return the relay that reads the store, with a copy for each kind."""
    account = storeaccount.build_account(memory_limit_mb)
    replicas = build_replicas(adapters, consumers, account)
    watch_age(replicas, forward_metrics)
    forward_metrics.watch_store(account)
    return storerelay.StoreRelay(
        board,
        data_centre,
        replicas,
        {source.kind: source for source, _ in consumers},
        links,
        handlers,
        storerelay.RelayOptions(),
        objectsource.FollowOptions(),
        time_source,
        rng,
    )


def build_replicas(
    adapters: platformadapters.PlatformAdapters,
    consumers: Consumers,
    account: storeaccount.StoreAccount,
) -> dict[str, storereplica.StoreReplica]:
    """Return a copy of the store's objects for each kind that is read."""
    return {
        source.kind: storereplica.StoreReplica(
            source.kind,
            consumer,
            is_vital=source in (adapters.leafs, adapters.configurations),
            spec_reader=adapters.spec_readers[source.kind],
            account=account,
        )
        for source, consumer in consumers
    }


def watch_age(
    replicas: dict[str, storereplica.StoreReplica],
    forward_metrics: forwardmetrics.ForwardMetrics,
) -> None:
    """Show the age of each copy as a metric."""
    for kind, replica in replicas.items():
        forward_metrics.store_age.labels(kind).set_function(
            functools.partial(store_age_s, replica)
        )


def store_age_s(replica: storereplica.StoreReplica) -> float:
    """Return how long ago a copy was confirmed; infinite if it never was."""
    return trio.current_time() - replica.confirmed_s
