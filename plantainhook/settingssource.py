"""The revisions that a daemon knows, as gossip takes and gives them.

Implements ``spread.RevisionSource`` over a settings store: whole revisions
come from the object API, differences from peers, and neither can take the
daemon back to a lower revision. A revision that this version of the program
cannot read is refused and the one in force stays.
"""

import msgspec
import pydantic
import result

from plantainhook import (
    blackboard,
    clock,
    errors,
    messages,
    revisions,
    settingsobjects,
    settingsstore,
    steps,
    wire,
)

AdoptResult = result.Result[int, errors.PlantainhookError]


class SettingsSource:
    """Keep the revisions of one daemon."""

    def __init__(
        self, store: settingsstore.SettingsStore, own_clock: clock.Clock
    ) -> None:
        self._store = store
        self._clock = own_clock
        self._keeper = revisions.RevisionHistory()
        self._view = blackboard.SettingsView()

    def view(self) -> blackboard.SettingsView:
        """Return the settings of the highest adopted revision."""
        return self._view

    async def delta_from(self, revision: int) -> wire.RevisionDelta:
        """Return the difference from a kept revision, or a whole copy."""
        return self._keeper.delta_from(revision)

    async def adopt(self, delta: wire.RevisionDelta) -> AdoptResult:
        """Check the hash of a difference and adopt a higher revision."""
        built = revisions.apply_delta(self._keeper.current, delta)
        if isinstance(built, result.Err):
            return result.Err(built.err_value)
        return self._adopt(built.ok_value, "peer")

    async def refresh(self) -> AdoptResult:
        """Adopt the revision of the object API's head if it is higher."""
        head = await self._store.load_head()
        if isinstance(head, result.Err):
            return result.Err(head.err_value)
        if head.ok_value.revision <= self._view.revision:
            return result.Ok(self._view.revision)
        loaded = await self._store.load_current()
        if isinstance(loaded, result.Err):
            return result.Err(loaded.err_value)
        return self._adopt(loaded.ok_value, "object API")

    def _adopt(self, revision: revisions.Revision, source: str) -> AdoptResult:
        if revision.info.revision <= self._view.revision:
            return result.Ok(self._view.revision)
        try:
            settings = settingsobjects.settings_after(
                self._view.settings,
                self._keeper.current.records,
                revision.records,
            )
        except (pydantic.ValidationError, msgspec.MsgspecError) as error:
            detail = messages.REVISION_NOT_READABLE.format(detail=error)
            return result.Err(
                errors.PlantainhookError(
                    steps.Step.SETTINGS_APPLY, source, detail
                )
            )
        if self._keeper.adopt(revision):
            self._view = blackboard.build_settings_view(
                revision.info.revision, settings, self._clock.wall_s(), source
            )
        return result.Ok(self._view.revision)
