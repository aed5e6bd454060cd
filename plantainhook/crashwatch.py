"""Report crashes of leafs to the quarantine of requests.

A leaf has crashed if it is reported as down, if its entry is gone, if it has
started again, or if its address refuses connections. A leaf that was leaving,
or whose data centre was evacuated, has ended as planned.

Pattern: the entry of a leaf expires seconds after its crash. Until then a
request that crashes leafs may come several times. A leaf that lost connections
is therefore connected to at once: the operating system refuses connections to
a process that has ended. A leaf that only lost answers accepts them.
"""

import typing
from collections import abc

import trio

from plantainhook import blackboard, clock, logs, quarantine

LOGGER: typing.Final = logs.part_logger("quarantine")
# Pauses before the checks of a leaf that lost connections. A leaf that ends
# may still accept some.
CHECK_PAUSES_S: typing.Final = (0.005, 0.05, 0.25, 0.5, 1.0, 2.0, 2.0)
# Leafs in these states end as planned. When a data centre is shut down, one
# query may lose many of its leafs at once.
ENDING_STATES: typing.Final = (
    blackboard.LeafState.DRAINING,
    blackboard.LeafState.EVACUATED,
)


def _ignore(leaf: str) -> None:
    """Make no check; the view of leafs shows which ones are down."""


class CrashWatch:
    """Report the leafs that crash to a quarantine.

    ``check_leaf`` connects to a leaf; whoever finds that nothing listens
    there calls ``report_down``.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        request_quarantine: quarantine.Quarantine,
        watch_clock: clock.Clock,
        check_leaf: abc.Callable[[str], None] = _ignore,
    ) -> None:
        self._board = board
        self._quarantine = request_quarantine
        self._clock = watch_clock
        self._check_leaf = check_leaf
        self._known: dict[str, blackboard.LeafState] = {}
        self._checking: set[str] = set()
        self._nursery: trio.Nursery | None = None
        request_quarantine.on_loss = self._on_loss

    async def run(self) -> None:
        """Report each leaf that goes down or disappears, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                changed = self._board.change_event(blackboard.Topic.LEAFS)
                self._compare()
                await changed.wait()
                await trio.lowlevel.checkpoint()

    def report_down(self, leaf: str) -> None:
        """Report a leaf that is certainly down, unless it was leaving."""
        if self._known.get(leaf) in ENDING_STATES:
            return
        if self._quarantine.record_leaf_down(leaf, self._clock.now_s()):
            LOGGER.info("Leaf {} crashed while it ran requests.", leaf)
            self._board.notify(blackboard.Topic.QUARANTINE)

    def _on_loss(self, leaf: str) -> None:
        """Check a leaf that lost connections."""
        if self._nursery is not None and leaf not in self._checking:
            self._checking.add(leaf)
            self._nursery.start_soon(self._check, leaf)

    async def _check(self, leaf: str) -> None:
        try:
            for pause_s in CHECK_PAUSES_S:
                await trio.sleep(pause_s)
                if leaf not in self._quarantine.losses:
                    return
                self._check_leaf(leaf)
        finally:
            self._checking.discard(leaf)

    def _compare(self) -> None:
        """Report the leafs that went down since the last comparison."""
        states = {name: view.state for name, view in self._board.leafs.items()}
        down = blackboard.LeafState.DOWN
        for leaf, state in self._known.items():
            if state is not down and states.get(leaf, down) is down:
                self.report_down(leaf)
        for leaf, state in states.items():
            if state is down and leaf not in self._known:
                self.report_down(leaf)
        self._known = states
