"""Test that forwarding daemons share what they know of crashing requests."""

import math
import typing

import testtools
import trio

from plantainhook import (
    blackboard,
    forwarddaemon,
    options,
    quarantine,
    quarantinesync,
    steps,
    wire,
)
from plantainhook.platform import adapters
from tests import virtualtime

FINGERPRINT: typing.Final = "request-that-crashes-leafs"


def build_sync() -> quarantinesync.QuarantineSync:
    """Return the entries of a daemon that has none."""
    return quarantinesync.QuarantineSync(blackboard.Blackboard(1))


def crash_entry(age_s: float) -> wire.CrashEntry:
    """Return a suspicion of some age, as a peer sends it."""
    return wire.CrashEntry(FINGERPRINT, "leaf", age_s, age_s, [], 4, age_s)


class MergeTest(testtools.TestCase):
    """Check what a daemon accepts of its peers."""

    def test_malformed_numbers(self) -> None:
        """Guard against a message that ends a process or holds for ever."""
        for number in (math.nan, math.inf, -1.0, 1e300):
            bodies = [
                wire.QuarantineSync({FINGERPRINT: number}, {}),
                wire.QuarantineSync({}, {FINGERPRINT: number}),
                wire.QuarantineSync({}, {}, [crash_entry(number)]),
                wire.QuarantineSync({}, {}, [], {FINGERPRINT: number}),
            ]
            for body in bodies:
                frame = wire.encode_frame(wire.RequestFrame(1, body))
                content = frame[wire.FRAME_HEADER.size :]
                decoded = wire.decode_body(
                    content, "peer", steps.Step.MEMBERS_SPREAD
                )
                self.assertTrue(decoded.is_err())

    def test_malformed_name(self) -> None:
        """Guard against a name that no object of the store can have."""
        for name in ("a b", "\u00e9", "a/b", "a?b", "", "a\n", "x" * 101):
            body = wire.QuarantineSync({name: 60.0}, {})
            frame = wire.encode_frame(wire.RequestFrame(1, body))
            decoded = wire.decode_body(
                frame[wire.FRAME_HEADER.size :],
                "peer",
                steps.Step.MEMBERS_SPREAD,
            )
            self.assertTrue(decoded.is_err(), name)

    def test_far_end(self) -> None:
        """Guard against a quarantine that a peer sets for days."""
        sync = build_sync()
        sync.merge(wire.QuarantineSync({FINGERPRINT: 1e6}, {}), 0.0)
        (end_s,) = sync.board.quarantine_until_s.values()
        self.assertEqual(quarantinesync.ENTRY_MAX_S, end_s)

    def test_expired_suspicion(self) -> None:
        """Guard against a suspicion that daemons send to and fro for ever."""
        sync = build_sync()
        old = crash_entry(quarantine.SUSPICION_S + 1.0)
        self.assertFalse(sync.merge(wire.QuarantineSync({}, {}, [old]), 0.0))
        young = crash_entry(1.0)
        self.assertTrue(sync.merge(wire.QuarantineSync({}, {}, [young]), 0.0))
        message = sync.message(quarantine.SUSPICION_S)
        self.assertEqual([], message.crashes)

    def test_repeated_answers(self) -> None:
        """Guard against a suspicion that a second reply does not clear.

        Pattern: leafs crash each second, and a popular request that runs on
        them is answered by others each time.
        """
        sync = build_sync()
        for number, now_s in enumerate((10.0, 12.0, 14.0)):
            suspicion = wire.CrashEntry(
                FINGERPRINT, f"leaf{number}", 0.5, 0.4, [], 1, 0.6
            )
            sync.merge(wire.QuarantineSync({}, {}, [suspicion]), now_s)
            self.assertIn(FINGERPRINT, sync.board.suspicions)
            answer = wire.QuarantineSync({}, {}, [], {FINGERPRINT: 0.3})
            sync.merge(answer, now_s + 0.1)
            self.assertEqual({}, sync.board.suspicions)

    def test_same_crash(self) -> None:
        """Guard against an end that moves out with each message."""
        sync = build_sync()
        for now_s in (0.0, 10.0, 20.0):
            message = wire.QuarantineSync(
                {FINGERPRINT: 60.0}, {}, [crash_entry(1.0)]
            )
            sync.merge(message, now_s)
        self.assertEqual(60.0, sync.board.quarantine_until_s[FINGERPRINT])


class AmbiguousTest(testtools.TestCase):
    """Check which requests are told apart by their callers."""

    def crash(self, shared: quarantine.Quarantine, at_s: float) -> None:
        """Record a run that crashes its leaf."""
        leaf = f"leaf-{at_s}"
        shared.record_start(leaf, FINGERPRINT, at_s)
        shared.record_connection_loss(leaf, FINGERPRINT, at_s)
        self.assertTrue(shared.record_leaf_down(leaf, at_s))

    def test_request_that_begins_to_crash_leafs(self) -> None:
        """Guard against crashes that count for one caller only.

        Pattern: data change, and a popular request crashes leafs whoever
        sends it.
        """
        shared = quarantine.Quarantine()
        shared.record_reply("other", FINGERPRINT, 0.0)
        self.crash(shared, 1.0)
        shared.record_reply("other", FINGERPRINT, 0.5)
        self.assertTrue(shared.is_ambiguous(FINGERPRINT, 5.0))
        for at_s in (7.0, 8.0):
            self.assertFalse(shared.is_ambiguous(FINGERPRINT, at_s))
            self.crash(shared, at_s)
        state = shared.request_state(FINGERPRINT, 8.0)
        self.assertIs(quarantine.RequestState.QUARANTINED, state)

    def test_reply_after_a_crash(self) -> None:
        """Guard against a caller that hides behind the replies to others."""
        shared = quarantine.Quarantine()
        shared.record_reply("other", FINGERPRINT, 0.0)
        self.crash(shared, 1.0)
        caller = quarantine.caller_fingerprint(FINGERPRINT, "c")
        shared.record_reply("other", caller, 1.1)
        self.assertTrue(shared.is_ambiguous(FINGERPRINT, 100.0))


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
