"""Object API whose writes can be paused while other clients act."""

import typing
from collections import abc

import result

from plantainhook import errors, objectapi, objectapifake

Hook = abc.Callable[[], abc.Awaitable[None]]
OnWrite = abc.Callable[[str, typing.Any], None]


class PausingApi(objectapifake.FakeObjectApi):
    """Run hooks around the next write to ``pause_key``.

    ``hook`` runs before the write reaches the store, and ``after_hook`` runs
    after the write took effect and before its reply; each runs once.
    ``on_write`` is called for every write that took effect, whether or not its
    caller gets a reply.
    """

    pause_key: str
    on_write: OnWrite
    hook: Hook | None = None
    after_hook: Hook | None = None

    def __init__(
        self,
        store: objectapifake.VersionedStore,
        pause_key: str,
        on_write: OnWrite,
    ) -> None:
        super().__init__(store)
        self.pause_key = pause_key
        self.on_write = on_write
        self.hook = None
        self.after_hook = None

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Run the hook first, then write."""
        if key == self.pause_key and self.hook is not None:
            hook, self.hook = self.hook, None
            await hook()
        version = self.store.version
        outcome = await super().put(key, value, if_version, request_id)
        if self.store.version > version:
            self.on_write(key, value)
            await self.run_after_hook(key)
        return outcome

    async def run_after_hook(self, key: str) -> None:
        """Run the hook that follows a write to ``pause_key``."""
        if key == self.pause_key and self.after_hook is not None:
            hook, self.after_hook = self.after_hook, None
            await hook()
