"""Wait for the start of a daemon: its first configuration and leafs."""

import typing

import trio

from plantainhook import blackboard, forwardtypes, leafpools

# During a longer wait, another daemon could have answered the request.
STARTING_WAIT_S: typing.Final = 0.3
# Fraction of the caller's remaining time that a request may wait for the
# start of the daemon.
STARTING_WAIT_RATIO: typing.Final = 0.2


def is_started(board: blackboard.Blackboard) -> bool:
    """Return whether a configuration and any leaf are known."""
    return board.routes.version > 0 and bool(board.leafs)


async def wait_until_started(
    board: blackboard.Blackboard, forwarded: forwardtypes.ForwardRequest
) -> None:
    """Wait for a limited time until the daemon has started.

    Pattern: all daemons start at once while callers already send
    requests. The configuration arrives sooner than a refused caller
    would send its request again.
    """
    wait_s = STARTING_WAIT_S
    if forwarded.left_ms is not None:
        wait_s = min(wait_s, forwarded.left_ms / 1e3 * STARTING_WAIT_RATIO)
    with trio.move_on_after(wait_s):
        while not is_started(board):
            await leafpools.wait_any(
                [
                    board.change_event(blackboard.Topic.ROUTES),
                    board.change_event(blackboard.Topic.LEAFS),
                ]
            )
