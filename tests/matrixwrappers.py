"""Wrap or replace what the daemons of the matrix cluster talk to.

``InstrumentedTransport`` and ``InstrumentedObjectApi`` stand between a daemon
and a stand-in. They notify a ``StepRecorder``, which is the cluster, when a
step is reached, and the transport injects the faults of its connection. The
other classes replace the clock, the VM list and the peer links.
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
    """Record steps; ``matrixcluster.Cluster`` implements it.

    The faults ``slow_reader`` and ``duplicate_reply`` set ``writes_slowly``
    and ``duplicates_replies``.
    """

    writes_slowly: bool
    duplicates_replies: bool

    async def record_step(self, step: steps.Step) -> None:
        """Record that a step is reached, and run its hooks."""


@dataclasses.dataclass(slots=True)
class AdjustableClock:
    """Read trio's virtual clock; ``wall_offset_s`` shifts the wall clock."""

    wall_offset_s: float = 0.0

    def now_s(self) -> float:
        """Return monotonic seconds."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return EPOCH_S + trio.current_time() + self.wall_offset_s


@dataclasses.dataclass(slots=True)
class FakeVmList:
    """Serve the VM list of the cluster."""

    vms: dict[str, leafprotocol.VmEntry]

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Return the current list."""
        await trio.lowlevel.checkpoint()
        listing = leafprotocol.VmListing(
            tuple(self.vms.values()), EPOCH_S + trio.current_time()
        )
        return result.Ok(listing)


class MemoryLinks(memorynet.MemoryTransport):
    """Provide a memory transport with the ``run`` method of peer links."""

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
    """Record when a search is sent and when its reply arrives."""

    inner: leaftransport.Transport
    recorder: StepRecorder
    awaits_reply: bool = False

    async def send_some(self, data: bytes) -> int:
        """Write data; for a search, record the step ``query.send`` first."""
        if data.startswith(b"POST"):
            self.awaits_reply = True
            await self.recorder.record_step(steps.Step.QUERY_SEND)
        if self.recorder.writes_slowly:
            await trio.sleep(SLOW_WRITE_S)
            return await self.inner.send_some(data[:SLOW_WRITE_BYTES])
        return await self.inner.send_some(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Read data; for a reply to a search, record ``query.merge``."""
        data = await self.inner.receive_some(max_bytes)
        if self.awaits_reply:
            self.awaits_reply = False
            await self.recorder.record_step(steps.Step.QUERY_MERGE)
            if self.recorder.duplicates_replies:
                return data + data
        return data

    def is_readable(self) -> bool:
        """Return whether data, an end of stream or an error is pending."""
        return self.inner.is_readable()

    def send_eof(self) -> None:
        """Close the sending side."""
        self.inner.send_eof()

    def close(self) -> None:
        """Close both sides."""
        self.inner.close()


@dataclasses.dataclass(frozen=True, slots=True)
class InstrumentedObjectApi:
    """Record when the settings head is written and when a watch sees it."""

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
        """Write an object; for the head, record ``settings.write`` first."""
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
        """Wait for changes; record ``settings.notice`` if there are any."""
        changes = await self.inner.watch(prefix, from_version, timeout_s)
        if changes.is_ok() and changes.unwrap():
            await self.recorder.record_step(steps.Step.SETTINGS_NOTICE)
        return changes
