"""Objects through which a forwarding daemon uses the platform."""

import typing
from collections import abc

from plantainhook import forwardtypes, objectsource, specreader


class PlatformAdapters(typing.NamedTuple):
    """Collect the objects through which a daemon uses the platform.

    ``leafs``, ``configurations``, ``quarantines`` and ``evacuations`` read the
    platform's store; ``quarantine_writer`` writes to it.
    ``configuration_name`` names the configuration that daemons apply.
    ``spec_readers`` read the content of each kind.
    """

    dialect: forwardtypes.Dialect
    documents: forwardtypes.Documents
    leafs: objectsource.ObjectSource
    configurations: objectsource.ObjectSource
    configuration_name: str
    quarantines: objectsource.ObjectSource
    quarantine_writer: objectsource.ObjectWriter
    evacuations: objectsource.ObjectSource
    spec_readers: abc.Mapping[str, specreader.SpecReader]
