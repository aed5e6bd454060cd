"""Strategies for disseminating revisions, and the interface to their store.

``gossip`` reads and adopts revisions through ``RevisionSource``, which
``settingssource`` implements. ``STRATEGIES`` registers the strategies by
name: "push" is the one for production, and the others are baselines of
``bench-control``.
"""

import dataclasses
import typing

import result

from plantainhook import blackboard, errors, registry, wire


class RevisionSource(typing.Protocol):
    """Store the settings revisions of one daemon."""

    def view(self) -> blackboard.SettingsView:
        """Return the settings of the highest adopted revision."""

    async def delta_from(self, revision: int) -> wire.RevisionDelta:
        """Return the difference from a revision to the current one.

        Where the revision is no longer stored, return a full copy.
        """

    async def adopt(
        self, delta: wire.RevisionDelta
    ) -> result.Result[int, errors.PlantainhookError]:
        """Adopt the revision that a difference leads to, if it is higher.

        Return the current revision, or an error if the hashes don't match.
        """

    async def refresh(
        self,
    ) -> result.Result[int, errors.PlantainhookError]:
        """Adopt the head of the object API if it is higher.

        Return the current revision.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Strategy:
    """Select the mechanisms by which revisions reach a daemon.

    ``push`` notifies ring neighbours, ``digest`` compares digests with random
    members, ``watch`` lets the watchers of a data centre watch the head, and
    ``poll_by_all`` lets all daemons poll it instead of the watchers alone.
    """

    push: bool
    digest: bool
    watch: bool
    poll_by_all: bool


STRATEGIES: typing.Final[registry.Registry[Strategy]] = registry.Registry(
    "spread"
)


@STRATEGIES.register("push")
def push_strategy() -> Strategy:
    """Push to ring neighbours, and repair losses with digests."""
    return Strategy(push=True, digest=True, watch=True, poll_by_all=False)


@STRATEGIES.register("digest")
def digest_strategy() -> Strategy:
    """Exchange digests with random members, without pushes."""
    return Strategy(push=False, digest=True, watch=True, poll_by_all=False)


@STRATEGIES.register("poll")
def poll_strategy() -> Strategy:
    """Let every daemon poll the object API, without messages to peers."""
    return Strategy(push=False, digest=False, watch=False, poll_by_all=True)
