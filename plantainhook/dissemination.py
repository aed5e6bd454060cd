"""Ways in which revisions spread, and the store of revisions behind them.

``RevisionSource`` is what gossip needs of the settings store. ``STRATEGIES``
holds the ways to choose from: "push" is for use; the others serve as
baselines of ``bench-control``.
"""

import dataclasses
import typing

import result

from plantainhook import blackboard, errors, registry, wire


class RevisionSource(typing.Protocol):
    """Hold the revisions of the settings that a daemon knows."""

    def view(self) -> blackboard.SettingsView:
        """Return the settings of the highest adopted revision."""

    async def delta_from(self, revision: int) -> wire.RevisionDelta:
        """Return the difference from a revision, or a whole copy."""

    async def adopt(
        self, delta: wire.RevisionDelta
    ) -> result.Result[int, errors.PlantainhookError]:
        """Check hashes and adopt a higher revision; return the revision."""

    async def refresh(
        self,
    ) -> result.Result[int, errors.PlantainhookError]:
        """Adopt the head of the object API if higher; return the revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Strategy:
    """Say how revisions travel: by push, by digests, by polling."""

    push: bool
    digest: bool
    watch: bool
    poll_by_all: bool


STRATEGIES: typing.Final[registry.Registry[Strategy]] = registry.Registry(
    "spread"
)


@STRATEGIES.register("push")
def push_spread() -> Strategy:
    """Push to ring neighbours and repair by digests."""
    return Strategy(push=True, digest=True, watch=True, poll_by_all=False)


@STRATEGIES.register("digest")
def digest_spread() -> Strategy:
    """Exchange digests only."""
    return Strategy(push=False, digest=True, watch=True, poll_by_all=False)


@STRATEGIES.register("poll")
def poll_spread() -> Strategy:
    """Let every daemon poll the object API."""
    return Strategy(push=False, digest=False, watch=False, poll_by_all=True)
