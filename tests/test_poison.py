"""Test a request that crashes leafs and is resent through other daemons."""

import testtools
import trio
import trio.testing

from plantainhook import callerapi, errors
from tests import matrixcluster

RECOVERY_S = 8.0
# The first query runs on one leaf of each of the two groups at once. One more
# crash, of a run that began after those were detected, proves the cause.
CRASH_LIMIT_COUNT = 3


async def resend_everywhere(
    mock_clock: trio.testing.MockClock, kind: str
) -> tuple[int, list[callerapi.Response | None]]:
    """Send a crashing request to each daemon in turn; count the crashes."""
    crashes: list[str] = []
    responses = []
    async with trio.open_nursery() as nursery:
        cluster = matrixcluster.Cluster(nursery, mock_clock, seed=0)
        await cluster.start()
        for leaf in cluster.leafs.values():
            leaf.update({"crash_param": "poison"})
            cluster.record_crashes(leaf, crashes)
        for node in [*cluster.nodes, *cluster.nodes]:
            exchange = await cluster.query(kind, 0, node)
            responses.append(exchange.response)
            await trio.sleep(RECOVERY_S)
        nursery.cancel_scope.cancel()
    return len(crashes), responses


class PoisonTest(testtools.TestCase):
    """Check the limit on the crashes that one request causes."""

    def test_retried_request(self) -> None:
        """Guard against retries that crash more and more leafs."""
        self.check("poison")

    def test_request_without_retries(self) -> None:
        """Guard against one crash per daemon before quarantine."""
        self.check("poison-record")

    def check(self, kind: str) -> None:
        """Send a request of a kind through every daemon twice."""
        mock_clock = trio.testing.MockClock(autojump_threshold=0)
        crash_count, responses = trio.run(
            resend_everywhere, mock_clock, kind, clock=mock_clock
        )
        last = responses[-1]
        assert last is not None
        refusal = callerapi.RefusalBody.model_validate_json(last.body)
        self.assertEqual(errors.RefusalKind.QUARANTINED, refusal.refusal)
        self.assertLessEqual(crash_count, CRASH_LIMIT_COUNT)
