"""Run one short seed of the soak: real processes, real connections, faults."""

import pathlib
import tempfile
import typing

import loguru
import testtools
import trio

from tests import soak

SEED: typing.Final = 5
FAULT_S: typing.Final = 20.0
DAEMONS_COUNT: typing.Final = 4


class SoakTest(testtools.TestCase):
    """Check the promises to callers while faults overlap."""

    def test_short_soak(self) -> None:
        """Guard against a promise that holds for single faults only.

        Seed 5 once silenced the connections of all daemons to the store, and
        a later change was not served for half a minute.
        """
        # The stand-ins log each connection that they break on purpose.
        loguru.logger.disable("plantainhook")
        self.addCleanup(loguru.logger.enable, "plantainhook")
        with tempfile.TemporaryDirectory() as directory:
            ledger = trio.run(
                soak.soak,
                SEED,
                FAULT_S,
                DAEMONS_COUNT,
                pathlib.Path(directory),
            )
        self.assertEqual([], ledger.violations)
        self.assertTrue(len(ledger.sent) > 0)
