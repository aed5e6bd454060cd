"""Load, apply, undo and compare settings in the object API.

A change is validated as a whole. Then its chunks and manifest are written,
and one conditional update of ``settings/head`` puts the new revision in force.
If another change came first, the caller gets a conflict report. See
``settingschunks`` for the keys, ``settingsapply`` for the part without I/O,
and ``settingscleanup`` for the removal of old chunks and manifests.
"""

import typing

import result

from plantainhook import (
    clock,
    errors,
    messages,
    objectapi,
    revisions,
    settingsapply,
    settingschunks,
    settingsdiff,
    steps,
    wire,
)

APPLY_ATTEMPTS_COUNT: typing.Final = 4
HISTORY_DEFAULT_COUNT: typing.Final = 20

Failure = errors.PlantainhookError


class SettingsStore:
    """Read and change the settings of a fleet.

    The last revision that was read or written is cached.
    """

    def __init__(
        self, api: objectapi.ObjectApi, own_clock: clock.Clock
    ) -> None:
        self.api = api
        self._clock = own_clock
        self._cached = revisions.empty()

    async def load_head(
        self,
    ) -> result.Result[settingschunks.Head, Failure]:
        """Read the head from the object API; a read may be stale."""
        return await settingschunks.load_head(self.api)

    async def load_current(
        self,
    ) -> result.Result[revisions.Revision, Failure]:
        """Return the revision in force, which the head names."""
        head = await self.load_head()
        if isinstance(head, result.Err):
            return head
        return await self._load(
            head.ok_value.revision, head.ok_value.manifest_hash
        )

    async def load_settings(
        self, revision: int
    ) -> result.Result[revisions.Revision, Failure]:
        """Return a revision by its number.

        Returns an error if there is no such revision or it is no longer kept.
        """
        if revision == revisions.NO_REVISION:
            return result.Ok(revisions.empty())
        loaded = await self._load_chain(revision)
        if isinstance(loaded, result.Err):
            return loaded
        chain = loaded.ok_value
        if revision < 1 or not chain:
            return result.Err(
                request_error(
                    messages.REVISION_UNKNOWN.format(revision=revision)
                )
            )
        text_hash, manifest = chain[-1]
        if manifest.info.revision != revision:
            return result.Err(
                request_error(
                    messages.REVISION_NOT_KEPT.format(revision=revision)
                )
            )
        return await self._load(revision, text_hash)

    async def history(
        self, count: int = HISTORY_DEFAULT_COUNT
    ) -> result.Result[list[revisions.Info], Failure]:
        """Return up to ``count`` latest revisions that are kept.

        The newest comes first.
        """
        head = await self.load_head()
        if isinstance(head, result.Err):
            return head
        lowest = max(1, head.ok_value.revision - count + 1)
        chain = await self._load_chain(lowest, head.ok_value)
        return chain.map(settingschunks.infos_of)

    async def diff(
        self, old: int, new: int
    ) -> result.Result[list[settingsdiff.Difference], Failure]:
        """Return the differences between two revisions."""
        before = await self.load_settings(old)
        if isinstance(before, result.Err):
            return before
        after = await self.load_settings(new)
        return after.map(
            lambda revision: settingsdiff.between_records(
                before.ok_value.records, revision.records
            )
        )

    async def delta(
        self, old: int, new: int
    ) -> result.Result[wire.RevisionDelta, Failure]:
        """Return the difference in the form that peers exchange."""
        before = await self.load_settings(old)
        if isinstance(before, result.Err):
            return before
        after = await self.load_settings(new)
        return after.map(
            lambda revision: revisions.delta(before.ok_value, revision)
        )

    async def apply(
        self, request: settingsapply.Request
    ) -> result.Result[settingsapply.Applied, Failure]:
        """Validate a change and put it in force as a whole or not at all.

        Returns SettingsInvalidError, SettingsConflictError or an
        ObjectApiError. ObjectOutcomeUnknownError means that the change may
        be in force.
        """
        for _ in range(APPLY_ATTEMPTS_COUNT):
            prepared = await self._prepare(request)
            if isinstance(prepared, result.Err):
                return prepared
            attempt = prepared.ok_value
            if attempt.revision.hash == attempt.base.hash:
                return result.Ok(settingsapply.Applied(attempt.base, ()))
            written = await self._write(attempt)
            if isinstance(written, result.Err):
                return written
            moved = await self._move_head(attempt)
            if moved is not None:
                return moved
        return result.Err(
            request_error("the settings head changed during every attempt")
        )

    async def undo(
        self, revision: int, author: str, comment: str = ""
    ) -> result.Result[settingsapply.Applied, Failure]:
        """Put a new revision in force that undoes an earlier one.

        Returns an error if a later revision changed one of the same objects.
        """
        undone = await self.load_settings(revision)
        if isinstance(undone, result.Err):
            return undone
        before = await self.load_settings(revision - 1)
        if isinstance(before, result.Err):
            return before
        current = await self.load_current()
        if isinstance(current, result.Err):
            return current
        later = settingsapply.changed_since(
            undone.ok_value, before.ok_value, current.ok_value
        )
        if later:
            names = ", ".join(later)
            detail = messages.UNDO_CHANGED_LATER.format(
                revision=revision, names=names
            )
            return result.Err(request_error(detail))
        request = settingsapply.Request(
            settingsapply.undo_change(before.ok_value, undone.ok_value),
            author,
            comment or f"undo of revision {revision}",
            base_revision=current.ok_value.info.revision,
            undo_of=revision,
        )
        return await self.apply(request)

    async def _load(
        self, revision: int, text_hash: str
    ) -> result.Result[revisions.Revision, Failure]:
        """Read a revision, except for the chunks of the cached one."""
        if revision == revisions.NO_REVISION:
            return result.Ok(revisions.empty())
        if text_hash == self._cached.hash:
            return result.Ok(self._cached)
        loaded = await settingschunks.load_manifest(
            self.api, revision, text_hash
        )
        if isinstance(loaded, result.Err):
            return loaded
        manifest = loaded.ok_value
        records = await settingschunks.load_records(
            self.api, manifest, settingsapply.chunks_of(self._cached)
        )
        if isinstance(records, result.Err):
            return records
        self._cached = revisions.Revision(
            manifest.info, records.ok_value, manifest, text_hash
        )
        return result.Ok(self._cached)

    async def _load_chain(
        self, lowest: int, head: settingschunks.Head | None = None
    ) -> result.Result[settingschunks.Chain, Failure]:
        """Read the manifests from the head down to a revision."""
        if head is None:
            loaded = await self.load_head()
            if isinstance(loaded, result.Err):
                return loaded
            head = loaded.ok_value
        return await settingschunks.load_chain(self.api, head, lowest)

    async def _prepare(
        self, request: settingsapply.Request
    ) -> result.Result[settingsapply.Attempt, Failure]:
        """Build and validate the new revision, based on the one in force."""
        loaded = await self.load_head()
        if isinstance(loaded, result.Err):
            return loaded
        head = loaded.ok_value
        current = await self._load(head.revision, head.manifest_hash)
        if isinstance(current, result.Err):
            return current
        base = current.ok_value
        base_revision = request.base_revision
        if base_revision is not None and base_revision != head.revision:
            return result.Err(
                await self._conflict_with_base(request, base_revision, base)
            )
        info = revisions.Info(
            revision=head.revision + 1,
            author=request.author,
            wall_s=self._clock.wall_s(),
            request_id=objectapi.new_request_id(),
            previous_hash=head.manifest_hash,
            comment=request.comment,
            undo_of=request.undo_of,
        )
        return settingsapply.build_attempt(request, head, base, info)

    async def _write(
        self, attempt: settingsapply.Attempt
    ) -> result.Result[None, Failure]:
        """Write the chunks that the base doesn't have, then the manifest."""

        async def write(text_hash: str) -> result.Result[None, Failure]:
            text = attempt.new_texts[text_hash]
            return await settingschunks.write_chunk(self.api, text_hash, text)

        outcomes = await settingschunks.call_in_parallel(
            write, list(attempt.new_texts)
        )
        for outcome in outcomes:
            if isinstance(outcome, result.Err):
                return _not_accepted_error(outcome.err_value)
        revision = attempt.revision
        key = settingschunks.manifest_key(
            revision.info.revision, revision.hash
        )
        text = revisions.encode(revision.manifest).decode()
        written = await objectapi.write_resolved(
            self.api,
            key,
            text,
            objectapi.ABSENT_VERSION,
            revision.info.request_id,
        )
        if isinstance(written, result.Err):
            return _not_accepted_error(written.err_value)
        return result.Ok(None)

    async def _move_head(
        self, attempt: settingsapply.Attempt
    ) -> result.Result[settingsapply.Applied, Failure] | None:
        """Put the new revision in force; None requests another attempt."""
        revision = attempt.revision
        head = settingschunks.Head(
            revision.info.revision, revision.hash, attempt.head.version
        )
        moved = await objectapi.write_resolved(
            self.api,
            settingschunks.HEAD_KEY,
            head.value(),
            attempt.head.version,
            revision.info.request_id,
        )
        if isinstance(moved, result.Ok):
            return result.Ok(self._record_applied(attempt))
        error = moved.err_value
        unresolved = (
            errors.ObjectConflictError,
            errors.ObjectOutcomeUnknownError,
        )
        if isinstance(error, unresolved):
            return await self._resolve_outcome(attempt)
        return result.Err(error)

    async def _resolve_outcome(
        self, attempt: settingsapply.Attempt
    ) -> result.Result[settingsapply.Applied, Failure] | None:
        """Determine whether the chain of revisions contains the change.

        Returns None if the head has a new version but the same revision,
        which the clean-up job causes. The change can then be tried again.
        """
        head = await settingschunks.load_head_after(
            self.api, attempt.head.version
        )
        if head is None:
            return result.Err(_outcome_unknown_error(attempt.revision.info))
        if head.revision == attempt.base.info.revision:
            return None
        number = attempt.revision.info.revision
        chain = await self._load_chain(number, head)
        if isinstance(chain, result.Err):
            return result.Err(_outcome_unknown_error(attempt.revision.info))
        if attempt.revision.hash in (h for h, _ in chain.ok_value):
            return result.Ok(self._record_applied(attempt))
        current = await self._load(head.revision, head.manifest_hash)
        if isinstance(current, result.Err):
            return current
        return result.Err(
            settingsapply.conflict_error(
                attempt.base,
                current.ok_value,
                attempt.revision,
                settingschunks.infos_of(chain.ok_value),
            )
        )

    async def _conflict_with_base(
        self,
        request: settingsapply.Request,
        base_revision: int,
        current: revisions.Revision,
    ) -> Failure:
        """Build the error of a change made for an older revision."""
        number = current.info.revision
        if base_revision > number:
            return request_error(
                messages.REVISION_UNKNOWN.format(revision=base_revision)
            )
        base = await self.load_settings(base_revision)
        if isinstance(base, result.Err):
            return base.err_value
        newer = await self._load_chain(base_revision + 1)
        if isinstance(newer, result.Err):
            return newer.err_value
        info = revisions.Info(number, request.author, 0.0, "")
        built = settingsapply.build_attempt(
            request,
            settingschunks.Head(base_revision, "", 0),
            base.ok_value,
            info,
        )
        if isinstance(built, result.Err):
            return built.err_value
        return settingsapply.conflict_error(
            base.ok_value,
            current,
            built.ok_value.revision,
            settingschunks.infos_of(newer.ok_value),
        )

    def _record_applied(
        self, attempt: settingsapply.Attempt
    ) -> settingsapply.Applied:
        """Cache the new revision and describe the change."""
        self._cached = attempt.revision
        differences = settingsdiff.between_records(
            attempt.base.records, attempt.revision.records
        )
        return settingsapply.Applied(attempt.revision, tuple(differences))


def request_error(detail: str) -> Failure:
    """Build the error of a request that cannot be carried out."""
    return errors.PlantainhookError(
        steps.Step.SETTINGS_WRITE, settingsapply.PEER, detail
    )


def _not_accepted_error(error: Failure) -> result.Err[Failure]:
    """Build the error of a change that failed before the head moved."""
    detail = messages.NOT_ACCEPTED.format(detail=error.detail)
    return result.Err(
        errors.ObjectApiUnavailableError(error.step, error.peer, detail)
    )


def _outcome_unknown_error(info: revisions.Info) -> Failure:
    """Build the error of a change that may be in force."""
    detail = messages.OUTCOME_OF_APPLY_UNKNOWN.format(
        request_id=info.request_id
    )
    return errors.ObjectOutcomeUnknownError(
        steps.Step.SETTINGS_WRITE, settingschunks.HEAD_KEY, detail
    )
