"""Report leafs that go down to the quarantine of requests."""

import trio

from plantainhook import blackboard, clock, quarantine


async def watch_crashes(
    board: blackboard.Blackboard,
    request_quarantine: quarantine.Quarantine,
    watch_clock: clock.Clock,
) -> None:
    """Report each leaf whose state changes to down, until cancelled."""
    known: dict[str, blackboard.LeafState] = {}
    while True:
        changed = board.change_event(blackboard.Topic.LEAFS)
        for leaf, view in board.leafs.items():
            was_down = known.get(leaf) is blackboard.LeafState.DOWN
            known[leaf] = view.state
            if view.state is blackboard.LeafState.DOWN and not was_down:
                request_quarantine.record_leaf_down(leaf, watch_clock.now_s())
                board.notify(blackboard.Topic.QUARANTINE)
        await changed.wait()
        await trio.lowlevel.checkpoint()
