"""Notices that leafs give about themselves in their replies.

A leaf that leaves says so in each reply, so a daemon learns of it also while
the store does not reach it. Each daemon acts on the replies that it gets
itself: one that calls the leaf learns the same from the first reply.
"""

from collections import abc

from plantainhook import forwardtypes, metrics


class LeafNotices:
    """Pass on what a leaf states in a reply.

    ``on_leaving`` is called with the name of a leaf that leaves.
    """

    on_leaving: abc.Callable[[str], None]

    def __init__(self, instruments: metrics.LeafMetrics) -> None:
        self.on_leaving = lambda leaf: None
        self._metrics = instruments

    def observe(self, leaf: str, answer: forwardtypes.LeafAnswer) -> None:
        """Apply the notices in a reply of a leaf."""
        if answer.leaving:
            self._metrics.leaving_replies.inc()
            self.on_leaving(leaf)
