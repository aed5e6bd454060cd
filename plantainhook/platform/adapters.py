"""Objects through which a forwarding daemon uses the platform."""

from plantainhook import forwarddaemon, leaftransport, options
from plantainhook.platform import dialect, documents, names, store


def build_adapters(
    forward: options.ForwardOptions,
    connector: leaftransport.Connector = leaftransport.connect_for_watches,
) -> forwarddaemon.PlatformAdapters:
    """Build the adapters for the platform's store named in the options."""
    return forwarddaemon.PlatformAdapters(
        dialect=dialect.PlatformDialect(),
        documents=documents.PlatformDocuments(),
        leafs=store.PlatformStore(
            forward.store_address, names.LEAF_KIND, connector
        ),
        configurations=store.PlatformStore(
            forward.store_address, names.CONFIGURATION_KIND, connector
        ),
        configuration_name=names.CONFIGURATION_NAME,
    )
