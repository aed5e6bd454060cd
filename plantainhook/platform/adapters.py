"""Objects through which a forwarding daemon uses the platform."""

from plantainhook import forwarddaemon, options
from plantainhook.platform import dialect, documents, names, store


def build_adapters(
    forward: options.ForwardOptions,
) -> forwarddaemon.PlatformAdapters:
    """Build the adapters for the platform's store named in the options."""
    return forwarddaemon.PlatformAdapters(
        dialect=dialect.PlatformDialect(),
        documents=documents.PlatformDocuments(),
        leafs=store.PlatformStore(forward.store_address, names.LEAF_KIND),
        configurations=store.PlatformStore(
            forward.store_address, names.CONFIGURATION_KIND
        ),
        configuration_name=names.CONFIGURATION_NAME,
    )
