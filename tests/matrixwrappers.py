"""Seams of the matrix world: what stands between daemons and stand-ins.

Each wraps or replaces one thing that a daemon talks to, tells the world when
a step is reached, and carries out the faults of its kind.
"""

import dataclasses
import typing

import result
import trio

from plantainhook import (
    leafprotocol,
    leaftransport,
    memorynet,
    objectapi,
    settingschunks,
    steps,
    vmlist,
)

SLOW_WRITE_S: typing.Final = 0.01
SLOW_WRITE_BYTES: typing.Final = 16
EPOCH_S: typing.Final = 1_790_000_000.0


class StepRecorder(typing.Protocol):
    """Take note of steps; ``matrixworld.Cluster`` implements it."""

    writes_slowly: bool
    duplicates_replies: bool

    async def record_step(self, step: steps.Step) -> None:
        """Note a step and run its hooks."""


@dataclasses.dataclass(slots=True)
class AdjustableClock:
    """Read trio's virtual clock; ``wall_offset_s`` moves the wall clock."""

    wall_offset_s: float = 0.0

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return EPOCH_S + trio.current_time() + self.wall_offset_s


@dataclasses.dataclass(slots=True)
class FakeVmList:
    """Return the VM list of the world."""

    vms: dict[str, leafprotocol.VmEntry]

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Return the list as of now."""
        await trio.lowlevel.checkpoint()
        listing = leafprotocol.VmListing(
            tuple(self.vms.values()), EPOCH_S + trio.current_time()
        )
        return result.Ok(listing)


class MemoryLinks(memorynet.MemoryTransport):
    """Give a memory transport the life of peer links."""

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Stay reachable until cancelled."""
        task_status.started(self._address)
        try:
            await trio.sleep_forever()
        finally:
            self.close()


@dataclasses.dataclass(slots=True)
class InstrumentedTransport:
    """Tell the world when a search is sent and when its reply arrives."""

    inner: leaftransport.Transport
    recorder: StepRecorder
    searching: bool = False

    async def send_some(self, data: bytes) -> int:
        """Write; a search reaches the step ``query.send``."""
        if data.startswith(b"POST"):
            self.searching = True
            await self.recorder.record_step(steps.Step.QUERY_SEND)
        if self.recorder.writes_slowly:
            await trio.sleep(SLOW_WRITE_S)
            return await self.inner.send_some(data[:SLOW_WRITE_BYTES])
        return await self.inner.send_some(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Read; the reply to a search reaches ``query.merge``."""
        data = await self.inner.receive_some(max_bytes)
        if self.searching:
            self.searching = False
            await self.recorder.record_step(steps.Step.QUERY_MERGE)
            if self.recorder.duplicates_replies:
                return data + data
        return data

    def is_readable(self) -> bool:
        """Return whether bytes, an end of stream or an error wait."""
        return self.inner.is_readable()

    def send_eof(self) -> None:
        """Close the sending side."""
        self.inner.send_eof()

    def close(self) -> None:
        """Close both sides."""
        self.inner.close()


@dataclasses.dataclass(frozen=True, slots=True)
class InstrumentedObjectApi:
    """Tell the world when the head is written and when it is noticed."""

    inner: objectapi.ObjectApi
    recorder: StepRecorder

    async def get(self, key: str) -> typing.Any:
        """Return an object."""
        return await self.inner.get(key)

    async def list(self, prefix: str) -> typing.Any:
        """Return all objects under a prefix."""
        return await self.inner.list(prefix)

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> typing.Any:
        """Write; the head reaches ``settings.write``."""
        if key == settingschunks.HEAD_KEY:
            await self.recorder.record_step(steps.Step.SETTINGS_WRITE)
        return await self.inner.put(key, value, if_version, request_id)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> typing.Any:
        """Delete an object."""
        return await self.inner.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> typing.Any:
        """Wait for changes; a change of the head is a notice."""
        changes = await self.inner.watch(prefix, from_version, timeout_s)
        if changes.is_ok() and changes.unwrap():
            await self.recorder.record_step(steps.Step.SETTINGS_NOTICE)
        return changes
