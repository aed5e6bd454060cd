"""Provide the settings revisions of one daemon to gossip.

Implements ``dissemination.RevisionSource`` over a settings store. Full
revisions are read from the object API and differences come from peers;
neither can return the daemon to a lower revision. A revision that this
version of the program cannot read is rejected, and the one in force stays.
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
    """Store and adopt the revisions of one daemon.

    ``adopt`` and ``refresh`` return the number of the revision in force.
    """

    def __init__(
        self, store: settingsstore.SettingsStore, own_clock: clock.Clock
    ) -> None:
        self._store = store
        self._clock = own_clock
        self._history = revisions.RevisionHistory()
        self._view = blackboard.SettingsView()

    def view(self) -> blackboard.SettingsView:
        """Return the settings of the highest adopted revision."""
        return self._view

    async def delta_from(self, revision: int) -> wire.RevisionDelta:
        """Return the difference from a kept revision, or a full copy."""
        return self._history.delta_from(revision)

    async def adopt(self, delta: wire.RevisionDelta) -> AdoptResult:
        """Apply a difference, check the hash and adopt a higher revision."""
        built = revisions.apply_delta(self._history.current, delta)
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
        """Validate a revision and put it in force if it is higher."""
        if revision.info.revision <= self._view.revision:
            return result.Ok(self._view.revision)
        try:
            settings = settingsobjects.settings_after(
                self._view.settings,
                self._history.current.records,
                revision.records,
            )
        except (pydantic.ValidationError, msgspec.MsgspecError) as error:
            detail = messages.REVISION_NOT_READABLE.format(detail=error)
            return result.Err(
                errors.PlantainhookError(
                    steps.Step.SETTINGS_APPLY, source, detail
                )
            )
        if self._history.adopt(revision):
            self._view = blackboard.build_settings_view(
                revision.info.revision, settings, self._clock.wall_s(), source
            )
        return result.Ok(self._view.revision)
