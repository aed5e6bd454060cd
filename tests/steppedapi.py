"""Object API whose callers can be run one call at a time.

A test runs a coroutine up to some call, leaves it paused while others run, and
then resumes it, or closes it to simulate a crash between two calls.
"""

import types
import typing
from collections import abc

import result

from plantainhook import errors, objectapi

T = typing.TypeVar("T")


@types.coroutine
def _suspend() -> abc.Generator[None, None, None]:
    yield


async def pause() -> None:
    """Suspend the coroutine as a call of the object API does."""
    await _suspend()


class SteppedApi:
    """Forward calls to another object API, each after one suspension."""

    def __init__(self, inner: objectapi.ObjectApi) -> None:
        self._inner = inner

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        await _suspend()
        return await self._inner.get(key)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        await _suspend()
        return await self._inner.list(prefix)

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        await _suspend()
        return await self._inner.put(key, value, if_version, request_id)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        await _suspend()
        return await self._inner.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        await _suspend()
        return await self._inner.watch(prefix, from_version, timeout_s)


class Stepper(typing.Generic[T]):
    """Run a coroutine call by call; ``value`` is set when it is done."""

    done: bool
    value: T | None

    def __init__(self, coroutine: abc.Coroutine[None, None, T]) -> None:
        self._coroutine = coroutine
        self.done = False
        self.value = None

    def step(self, calls_count: int) -> bool:
        """Run up to ``calls_count`` more calls; return whether it is done."""
        for _ in range(calls_count):
            if self.done:
                break
            try:
                self._coroutine.send(None)
            except StopIteration as stop:
                self.done = True
                self.value = stop.value
        return self.done

    def finish(self) -> T:
        """Run to the end and return the coroutine's value."""
        while not self.step(1):
            pass
        return typing.cast(T, self.value)

    def crash(self) -> None:
        """Close the coroutine without running the rest of it."""
        self._coroutine.close()
        self.done = True


def run(coroutine: abc.Coroutine[None, None, T]) -> T:
    """Run a coroutine to the end."""
    return Stepper(coroutine).finish()
