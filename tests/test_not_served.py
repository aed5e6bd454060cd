"""Test that a 409 reply states which index versions a leaf serves."""

import testtools
import trio
import trio.testing

from plantainhook import errors, leafclient
from tests import leafhelp


async def call_unserved_version() -> errors.LeafError:
    """Call a leaf for version 1 although it serves only version 2."""
    async with leafhelp.running_rig() as rig:
        rig.leafs[0].set_versions({2: set(leafhelp.SHARDS)})
        outcome = await rig.call()
        return outcome.unwrap_err()


class NotServedTest(testtools.TestCase):
    """Check the failure after which a query restarts."""

    def test_served_versions(self) -> None:
        """Guard against a restart without a known version."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        failure = trio.run(call_unserved_version, clock=clock)
        self.assertEqual(errors.LeafFailureKind.NOT_SERVED, failure.kind)
        self.assertEqual(errors.Ran.NO, failure.ran)
        self.assertEqual((2,), failure.served)

    def test_malformed_body(self) -> None:
        """Guard against a crash on a 409 that names no versions."""
        for body in (b"", b"{", b'{"served": "x"}', b"[]"):
            self.assertEqual((), leafclient.read_served(body))
