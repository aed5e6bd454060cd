"""Test fleets that get requests which crash each leaf that runs them."""

import functools
import typing

import testtools
import trio

from plantainhook import forwardplanner, forwardtypes
from tests import crashfleet

# More requests that reach leafs late break a rule of the users' platform.
LATE_MAX_COUNT: typing.Final = 3
# Two leafs until the first crash is confirmed, and one whose run proves it.
CRASHES_MAX_COUNT: typing.Final = 4
SOUND_PATHS: typing.Final = [b"/one/%d" % number for number in range(10)]


async def play(fleet: crashfleet.Fleet, crashing_pause_s: float) -> None:
    """Send a crashing request beside sound ones for 20 s."""
    with trio.move_on_after(20.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send_often, SOUND_PATHS, 0.1)
            nursery.start_soon(
                fleet.send_often, [crashfleet.CRASHING_PATH], crashing_pause_s
            )


class CrashingRequestTest(testtools.TestCase):
    """Check how many leafs one request reaches and crashes."""

    def check(self, fleet: crashfleet.Fleet) -> None:
        """Check that the request crashed leafs and was then held back."""
        self.assertGreaterEqual(len(fleet.crashes), 2)
        self.assertLessEqual(len(fleet.crashes), CRASHES_MAX_COUNT)
        self.assertLessEqual(len(fleet.late_arrivals()), LATE_MAX_COUNT)

    def test_seven_daemons(self) -> None:
        """Guard against crashes of leafs that go on at each daemon."""
        self.check(
            crashfleet.run(
                "abcabca", functools.partial(play, crashing_pause_s=0.7)
            )
        )

    def test_one_daemon(self) -> None:
        """Guard against crashes of leafs that no daemon ever counts."""
        self.check(
            crashfleet.run("a", functools.partial(play, crashing_pause_s=0.7))
        )

    def test_query_over_many_shards(self) -> None:
        """Guard against a query that crashes leafs in each of its branches."""
        path = b"/all/crash"

        async def scenario(fleet: crashfleet.Fleet) -> None:
            sound = [b"/all/%d" % number for number in range(5)]
            with trio.move_on_after(10.0):
                await fleet.send_often(sound, 0.1)
            with trio.move_on_after(20.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.send_often, sound, 0.1)
                    nursery.start_soon(fleet.send_often, [path], 0.7)

        fleet = crashfleet.run("abcabca", scenario)
        branches = [
            daemon.process.forward_metrics.branches.labels("sent")
            for daemon in fleet.daemons
        ]
        self.assertGreater(sum(each._value.get() for each in branches), 0)
        # A leaf of each shard, a retry in each data centre, and one leaf whose
        # run proves it.
        crashes_max_count = crashfleet.SHARDS_COUNT + 3 + 1
        self.assertLessEqual(len(fleet.crashes), crashes_max_count)
        self.assertEqual([], fleet.late_arrivals(path))
        self.assertEqual({200}, fleet.statuses().keys())

    def test_loss_of_a_rack(self) -> None:
        """Guard against sound requests that are refused after a crash."""

        async def scenario(fleet: crashfleet.Fleet) -> None:
            with trio.move_on_after(10.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.send_often, SOUND_PATHS, 0.02)
                    await trio.sleep(3.0)
                    for leaf in fleet.leafs_of("one")[::3]:
                        fleet.crash(leaf)

        fleet = crashfleet.run("abcabca", scenario)
        self.assertGreaterEqual(len(fleet.crashes), 4)
        self.assertEqual({200}, fleet.statuses().keys())
        for daemon in fleet.daemons:
            self.assertEqual({}, daemon.process.board.quarantine_until_s)
            self.assertEqual({}, daemon.process.board.suspicions)

    def test_leaf_that_accepts_connections_after_its_crash(self) -> None:
        """Guard against a crash that no check confirms, and no entry soon."""
        behaviour = crashfleet.Behaviour(closes_late_s=5.0, expiry_s=5.5)
        fleet = crashfleet.run(
            "abcabca",
            functools.partial(play, crashing_pause_s=0.7),
            behaviour,
        )
        self.assertLessEqual(len(fleet.late_arrivals()), LATE_MAX_COUNT)

    def test_callers_that_leave_before_the_crash(self) -> None:
        """Guard against crashes of runs that nobody waits for."""

        async def send_and_leave(fleet: crashfleet.Fleet) -> None:
            while True:
                with trio.move_on_after(0.3):
                    await fleet.send(crashfleet.CRASHING_PATH)
                await trio.sleep(0.3)

        async def scenario(fleet: crashfleet.Fleet) -> None:
            with trio.move_on_after(30.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.send_often, SOUND_PATHS, 0.05)
                    nursery.start_soon(send_and_leave, fleet)

        behaviour = crashfleet.Behaviour(
            crash_after_s=0.5, finishes_abandoned=True
        )
        fleet = crashfleet.run("abcabca", scenario, behaviour)
        self.assertGreaterEqual(len(fleet.crashes), 2)
        self.assertLessEqual(len(fleet.late_arrivals()), LATE_MAX_COUNT)

    def test_other_host(self) -> None:
        """Guard against the quarantine of a path at other hosts."""
        requests = [
            forwardtypes.ForwardRequest(b"GET", b"/", host, [], b"", "q", None)
            for host in ("a.example", "b.example")
        ]
        fingerprints = {forwardplanner.fingerprint_of(r) for r in requests}
        self.assertEqual(2, len(fingerprints))


SOUND_AGENT: typing.Final = crashfleet.Caller(
    headers=[(b"user-agent", b"sound")]
)
CRASHING_AGENT: typing.Final = crashfleet.Caller(
    headers=[(b"user-agent", b"crash")], is_crashing=True
)
# Two leafs before callers are told apart.
AMBIGUOUS_MAX_COUNT: typing.Final = CRASHES_MAX_COUNT + 2


class SharedPathTest(testtools.TestCase):
    """Check a request that crashes leafs and equals a sound one.

    The sound one is sent by other callers, who go on with it.
    """

    PATH = b"/one/shared"
    TENANTS: typing.Final = {
        "sound": ["sound-1"],
        "crash-a": ["a-1", "a-2"],
        "crash-b": ["b-1"],
    }
    SOUND: typing.Final = crashfleet.Caller("sound-1")

    def check(
        self,
        *crashing: crashfleet.Caller,
        path: bytes = PATH,
        pause_s: float = 2.0,
        body: bytes = b"",
        sound: crashfleet.Caller = SOUND,
        tenants: dict[str, list[str]] | None = TENANTS,
        crashes_max_count: int = CRASHES_MAX_COUNT,
    ) -> None:
        """Check that the quarantine holds one request and not the other."""

        async def send_in_turn(fleet: crashfleet.Fleet) -> None:
            while True:
                for caller in crashing:
                    await fleet.send(path, None, body, caller)
                    await trio.sleep(pause_s)

        async def scenario(fleet: crashfleet.Fleet) -> None:
            with trio.move_on_after(30.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        fleet.send_often, [path], 0.05, body, sound
                    )
                    await trio.sleep(2.0)
                    nursery.start_soon(send_in_turn, fleet)

        fleet = crashfleet.run("abc", scenario, tenants=tenants)
        self.assertGreaterEqual(len(fleet.crashes), 2)
        self.assertLessEqual(len(fleet.crashes), crashes_max_count)
        self.assertLessEqual(len(fleet.late_arrivals(path)), LATE_MAX_COUNT)
        # A leaf that crashes takes the sound requests that it runs with it,
        # and no query is answered while the leafs of all shards are down.
        back_s = fleet.crashes[-1][0] + fleet.behaviour.back_s
        self.assertEqual({200}, fleet.statuses(back_s + 0.5).keys())
        if path == self.PATH:
            counts = fleet.statuses()
            refused_count = sum(counts.values()) - counts[200]
            self.assertLessEqual(refused_count, len(fleet.crashes))

    def test_one_tenant(self) -> None:
        """Guard against a quarantine that other tenants' replies end."""
        self.check(crashfleet.Caller("a-1", is_crashing=True))

    def test_many_requests(self) -> None:
        """Guard against a quarantine that comes too late for one who hurries.

        Pattern: a caller repeats the request at once on its open connection.
        """
        self.check(crashfleet.Caller("a-1", is_crashing=True), pause_s=0.5)

    def test_body(self) -> None:
        """Guard against equal bodies that make two callers the same."""
        self.check(
            crashfleet.Caller("a-1", is_crashing=True), body=b"the same"
        )

    def test_two_keys_of_one_tenant(self) -> None:
        """Guard against a quarantine that each key of a tenant evades."""
        self.check(
            crashfleet.Caller("a-1", is_crashing=True),
            crashfleet.Caller("a-2", is_crashing=True),
        )

    def test_two_tenants(self) -> None:
        """Guard against two such requests that hide each other."""
        self.check(
            crashfleet.Caller("a-1", is_crashing=True),
            crashfleet.Caller("b-1", is_crashing=True),
            crashes_max_count=2 * CRASHES_MAX_COUNT,
        )

    def test_callers_without_keys(self) -> None:
        """Guard against replies to others that hide who crashes leafs."""
        self.check(
            CRASHING_AGENT,
            sound=SOUND_AGENT,
            tenants=None,
            crashes_max_count=AMBIGUOUS_MAX_COUNT,
        )

    def test_callers_without_keys_on_many_shards(self) -> None:
        """Guard against branches that mix up the requests of two callers."""
        self.check(
            CRASHING_AGENT,
            sound=SOUND_AGENT,
            tenants=None,
            path=b"/all/shared",
            crashes_max_count=2 * (crashfleet.SHARDS_COUNT + 3) + 1,
        )

    def test_callers_of_one_tenant(self) -> None:
        """Guard against a tenant that is its own witness."""
        self.check(
            CRASHING_AGENT._replace(key="sound-1"),
            sound=SOUND_AGENT._replace(key="sound-2"),
            tenants={"one": ["sound-1", "sound-2"]},
            crashes_max_count=AMBIGUOUS_MAX_COUNT,
        )

    def test_attempts_of_one_caller(self) -> None:
        """Guard against attempts that count as those of other callers."""
        callers = {
            forwardplanner.caller_of(
                forwardtypes.ForwardRequest(
                    b"GET",
                    self.PATH,
                    crashfleet.HOST,
                    [
                        (b"request-id", request_id.encode()),
                        (b"traceparent", b"00-" + request_id.encode()),
                        *headers,
                    ],
                    b"",
                    request_id,
                    None,
                )
            )
            for request_id in ("q1", "q2")
            for headers in ([], SOUND_AGENT.headers, CRASHING_AGENT.headers)
        }
        self.assertEqual(3, len(callers))
        self.assertIn("", callers)

    def test_query_over_many_shards(self) -> None:
        """Guard against branches that mix up the requests of two tenants."""
        self.check(
            crashfleet.Caller("a-1", is_crashing=True),
            path=b"/all/shared",
            crashes_max_count=crashfleet.SHARDS_COUNT + 3 + 1,
        )
