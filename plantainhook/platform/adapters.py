"""Objects through which a forwarding daemon uses the platform."""

import typing

from plantainhook import (
    leaftransport,
    options,
    platformadapters,
    quarantinestore,
    specreader,
)
from plantainhook.platform import dialect, documents, names, store

SPEC_READERS: typing.Final = {
    names.LEAF_KIND: specreader.SpecReader(documents.LeafDocument),
    names.CONFIGURATION_KIND: specreader.SpecReader(
        documents.ConfigurationDocument
    ),
    names.QUARANTINE_KIND: specreader.SpecReader(quarantinestore.StoredEntry),
    names.EVACUATION_KIND: specreader.UNUSED,
}


def build_adapters(
    forward: options.ForwardOptions,
    connector: leaftransport.Connector = leaftransport.connect_for_watches,
) -> platformadapters.PlatformAdapters:
    """Build the adapters for the platform's store named in the options."""

    def build_store(kind: str) -> store.PlatformStore:
        return store.PlatformStore(
            forward.store_address, kind, connector, SPEC_READERS[kind]
        )

    return platformadapters.PlatformAdapters(
        dialect=dialect.PlatformDialect(),
        documents=documents.PlatformDocuments(),
        leafs=build_store(names.LEAF_KIND),
        configurations=build_store(names.CONFIGURATION_KIND),
        configuration_name=names.CONFIGURATION_NAME,
        quarantines=build_store(names.QUARANTINE_KIND),
        quarantine_writer=build_store(names.QUARANTINE_KIND),
        evacuations=build_store(names.EVACUATION_KIND),
        spec_readers=SPEC_READERS,
    )
