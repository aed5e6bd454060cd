"""Report crashes of leafs to the quarantine of requests.

A leaf has crashed if it is reported as down, if its entry is gone, or if it
refuses connections. A leaf that was leaving has ended as planned.
"""

import trio

from plantainhook import blackboard, clock, logs, quarantine

LOGGER = logs.part_logger("quarantine")


class CrashWatch:
    """Report the leafs that crash, from the view of leafs and by hand."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        request_quarantine: quarantine.Quarantine,
        watch_clock: clock.Clock,
    ) -> None:
        self._board = board
        self._quarantine = request_quarantine
        self._clock = watch_clock
        self._known: dict[str, blackboard.LeafState] = {}

    async def run(self) -> None:
        """Report each leaf that goes down or disappears, until cancelled."""
        while True:
            changed = self._board.change_event(blackboard.Topic.LEAFS)
            self._compare()
            await changed.wait()
            await trio.lowlevel.checkpoint()

    def report_down(self, leaf: str) -> None:
        """Report a leaf that is certainly down, unless it was leaving."""
        if self._known.get(leaf) is blackboard.LeafState.DRAINING:
            return
        if self._quarantine.record_leaf_down(leaf, self._clock.now_s()):
            LOGGER.info("Leaf {} crashed while it ran requests.", leaf)
            self._board.notify(blackboard.Topic.QUARANTINE)

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
