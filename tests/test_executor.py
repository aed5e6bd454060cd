"""Test queries that end before they are decided."""

import testtools
import trio

from tests import forwardrig


class LeavingCallerTest(testtools.TestCase):
    """Check what remains of queries whose caller has left."""

    def test_open_attempts_are_closed(self) -> None:
        """Guard against leafs that seem to be busy for ever.

        Pattern: callers leave while their requests run. Attempts that stay
        open count as in flight, so the leaf gets less and less work.
        """
        leaf = forwardrig.Leaf()
        leaf.service_s = 10.0
        rig = forwardrig.ForwardRig({"leaf": leaf})

        async def scenario() -> None:
            for _ in range(5):
                with trio.move_on_after(0.1):
                    await rig.send()
            policies = rig.daemon.planner.policies
            (state,) = policies.replicas.states.values()
            self.assertEqual(0, state.in_flight_count)
            self.assertFalse(any(policies.quarantine.running.values()))

        forwardrig.run(rig, scenario)
