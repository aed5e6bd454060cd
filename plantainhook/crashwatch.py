"""Tells the quarantine of requests which leafs were seen to go down."""

import trio

from plantainhook import blackboard, clock, quarantine


async def watch_crashes(
    board: blackboard.Blackboard,
    entries: quarantine.Quarantine,
    watch_clock: clock.Clock,
) -> None:
    """Report every leaf that changes to down, until cancelled."""
    known: dict[str, blackboard.LeafState] = {}
    while True:
        changed = board.change_event(blackboard.Topic.LEAFS)
        for leaf, view in board.leafs.items():
            was_down = known.get(leaf) is blackboard.LeafState.DOWN
            known[leaf] = view.state
            if view.state is blackboard.LeafState.DOWN and not was_down:
                entries.record_leaf_down(leaf, watch_clock.now_s())
                board.notify(blackboard.Topic.QUARANTINE)
        await changed.wait()
        await trio.lowlevel.checkpoint()
