"""Test that forwarding daemons share what they know of crashing requests."""

import typing

import testtools
import trio

from plantainhook import forwarddaemon, options, quarantine, wire
from plantainhook.platform import adapters
from tests import virtualtime

FINGERPRINT: typing.Final = "request that crashes leafs"


class SharedQuarantineTest(testtools.TestCase):
    """Check the quarantine of a daemon that ``forward`` runs."""

    def test_daemon_adopts_the_quarantine_of_a_peer(self) -> None:
        """Guard against a request that crashes leafs once for each daemon."""

        async def main() -> quarantine.RequestState:
            forward = options.ForwardOptions(
                front_address="127.0.0.1:1",
                ready_address="127.0.0.1:2",
                store_address="127.0.0.1:3",
            )
            daemon = forwarddaemon.ForwardDaemon(
                options.Options(forward=forward),
                forward,
                adapters.build_adapters(forward),
            )
            peer = wire.HelloFrame(
                wire.PROTOCOL_VERSION, 7, "peer", "vm-7", "a", "peer:1", ""
            )
            await daemon.handlers.handle(
                peer, wire.QuarantineSync({FINGERPRINT: 60.0}, {})
            )
            policies = daemon.planner.policies
            return policies.quarantine.request_state(
                FINGERPRINT, trio.current_time()
            )

        self.assertIs(
            quarantine.RequestState.QUARANTINED, virtualtime.run(main)
        )
