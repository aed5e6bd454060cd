"""Test fleets that get requests which crash each leaf that runs them."""

import functools
import typing

import testtools
import trio

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
