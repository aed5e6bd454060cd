"""Stateful test of leases under pauses, lost replies and stale reads.

Several holders add 1 to a shared object. While the write of one holder is
paused on its way to the store, time passes and the other holders act. A
holder that was replaced must not change the object, and no addition may be
lost. Two leases with a defect each must be found.
"""

import dataclasses
import functools
import typing
from collections import abc

import hypothesis
import result
import testtools
from hypothesis import stateful, strategies

from plantainhook import clock, errors, lease, objectapifake
from tests import pausingapi, virtualtime

OBJECT_KEY: typing.Final = "figures/month"
HOLDERS_COUNT: typing.Final = 3
DURATION_S: typing.Final = 10.0
PAST_EXPIRY_S: typing.Final = DURATION_S + lease.MAX_CLOCK_SKEW_S + 1.0
MACHINE_SETTINGS: typing.Final = hypothesis.settings(
    max_examples=100, stateful_step_count=20
)
DEFECT_SETTINGS: typing.Final = hypothesis.settings(
    MACHINE_SETTINGS, phases=[hypothesis.Phase.generate]
)

HOLDERS = strategies.integers(0, HOLDERS_COUNT - 1)
ACTIONS = strategies.sampled_from(["acquire", "add", "renew", "release"])
DURING = strategies.lists(strategies.tuples(HOLDERS, ACTIONS), max_size=3)
PAUSES_S = strategies.sampled_from([0.0, 1.0, PAST_EXPIRY_S])
FAULTS = strategies.sampled_from(
    ["lost_replies_count", "lost_requests_count", "stale_reads_count"]
)


@dataclasses.dataclass
class LeaseHolders:
    """Track several holders, their store and the writes that took effect."""

    lease_class: type[lease.Lease]
    store: objectapifake.VersionedStore = dataclasses.field(
        default_factory=objectapifake.VersionedStore
    )
    own_clock: clock.ManualClock = dataclasses.field(
        default_factory=clock.ManualClock
    )
    holders: list[lease.Lease] = dataclasses.field(default_factory=list)
    apis: list[pausingapi.PausingApi] = dataclasses.field(default_factory=list)
    adding: set[int] = dataclasses.field(default_factory=set)
    owner: int | None = None
    added_count: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        for number in range(HOLDERS_COUNT):
            api = pausingapi.PausingApi(
                self.store,
                OBJECT_KEY,
                functools.partial(self.record_write, number),
            )
            self.apis.append(api)
            self.holders.append(
                self.lease_class(
                    api, "job", f"h{number}", DURATION_S, self.own_clock
                )
            )

    def record_write(self, number: int, key: str, value: typing.Any) -> None:
        """Record a write that took effect."""
        if key != OBJECT_KEY or number not in self.adding:
            return
        if value["value"] is None:
            return
        self.added_count += 1
        if number != self.owner:
            self.violations.append(f"h{number} wrote after h{self.owner}")

    async def act(self, number: int, action: str) -> None:
        """Run one action of a holder."""
        own_lease = self.holders[number]
        if action == "acquire":
            acquired = await own_lease.acquire([OBJECT_KEY])
            if isinstance(acquired, result.Ok):
                self.owner = number
        elif action == "renew":
            await own_lease.renew()
        elif action == "release":
            await own_lease.release()
        elif number not in self.adding:
            await self.add(number)

    async def add(self, number: int) -> None:
        """Add 1 to the shared object."""
        own_lease = self.holders[number]
        read = await own_lease.fenced_get(OBJECT_KEY)
        if isinstance(read, result.Err):
            return
        self.adding.add(number)
        await own_lease.fenced_put(OBJECT_KEY, (read.ok_value or 0) + 1)
        self.adding.discard(number)

    async def act_paused(
        self,
        number: int,
        action: str,
        pause_s: float,
        during: abc.Sequence[tuple[int, str]],
    ) -> None:
        """Pause a holder's write while time passes and others act."""

        async def others() -> None:
            self.own_clock.advance(pause_s)
            for other, other_action in during:
                if other != number:
                    await self.act(other, other_action)

        self.apis[number].hook = others
        await self.act(number, action)
        self.apis[number].hook = None


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Check that a holder that was replaced can't change the object."""

    lease_class: type[lease.Lease] = lease.Lease

    def __init__(self) -> None:
        super().__init__()
        self.leases = LeaseHolders(self.lease_class)

    @stateful.rule(
        number=HOLDERS, action=ACTIONS, pause_s=PAUSES_S, during=DURING
    )
    def act(
        self,
        number: int,
        action: str,
        pause_s: float,
        during: list[tuple[int, str]],
    ) -> None:
        virtualtime.run(
            functools.partial(
                self.leases.act_paused, number, action, pause_s, during
            )
        )

    @stateful.precondition(lambda self: self.leases.owner is not None)
    @stateful.rule(pause_s=PAUSES_S, during=DURING)
    def pause_owner(
        self, pause_s: float, during: list[tuple[int, str]]
    ) -> None:
        """Pause a write of the current holder."""
        virtualtime.run(
            functools.partial(
                self.leases.act_paused,
                typing.cast(int, self.leases.owner),
                "add",
                pause_s,
                during,
            )
        )

    @stateful.precondition(lambda self: self.leases.owner is not None)
    @stateful.rule(other=HOLDERS)
    def replace_owner(self, other: int) -> None:
        """Pause a write of the current holder until another replaces it."""
        virtualtime.run(
            functools.partial(
                self.leases.act_paused,
                typing.cast(int, self.leases.owner),
                "add",
                PAST_EXPIRY_S,
                [(other, "acquire")],
            )
        )

    @stateful.rule(pause_s=PAUSES_S)
    def wait(self, pause_s: float) -> None:
        self.leases.own_clock.advance(pause_s)

    @stateful.rule(number=HOLDERS, fault=FAULTS)
    def break_one_call(self, number: int, fault: str) -> None:
        setattr(self.leases.apis[number].faults, fault, 1)

    @stateful.invariant()
    def no_fenced_write(self) -> None:
        """Guard against writes by a holder that was replaced."""
        assert self.leases.violations == []

    @stateful.invariant()
    def nothing_lost(self) -> None:
        """Guard against additions that another holder overwrites."""
        entry = self.leases.store.changes(OBJECT_KEY, 0)
        value = entry[0].value["value"] if entry else None
        assert (value or 0) == self.leases.added_count


class WithoutEpoch(lease.Lease):
    """Write at the newest version, whatever the epoch of the object is."""

    async def fenced_put(self, key: str, value: typing.Any) -> lease.Outcome:
        """Write regardless of the epoch of the object."""
        if not self.is_held(self._clock.now_s()):
            return result.Err(self._not_held_error())
        return await self._write_newest(key, value)

    async def _write_newest(
        self, key: str, value: typing.Any
    ) -> lease.Outcome:
        """Repeat the write at the newest version until it succeeds."""
        written = await self._put_with_epoch(
            key, value, self._seen_versions.get(key, 0)
        )
        while isinstance(written, result.Err):
            if not isinstance(written.err_value, errors.ObjectConflictError):
                return written
            version = written.err_value.current_version
            written = await self._put_with_epoch(key, value, version)
        return result.Ok(None)


class WithoutRaise(lease.Lease):
    """Acquire the lease without raising the epoch of the objects."""

    async def acquire(self, keys: abc.Sequence[str] = ()) -> lease.Outcome:
        """Leave the epoch of the objects unchanged."""
        return await super().acquire(())


class WithoutEpochMachine(LeaseMachine):
    """Run holders that ignore the epoch."""

    lease_class = WithoutEpoch


class WithoutRaiseMachine(LeaseMachine):
    """Run holders that don't raise the epoch."""

    lease_class = WithoutRaise


class LeaseMachineTest(testtools.TestCase):
    """Run the machine on the lease and on two leases with a defect."""

    def run_defect(self, machine: type[LeaseMachine]) -> None:
        """Run a machine that is expected to fail."""
        stateful.run_state_machine_as_test(machine, settings=DEFECT_SETTINGS)

    def test_lease(self) -> None:
        """Guard against a replaced holder whose write takes effect."""
        stateful.run_state_machine_as_test(
            LeaseMachine, settings=MACHINE_SETTINGS
        )

    def test_machine_finds_write_without_epoch(self) -> None:
        """Guard against a machine that misses writes without an epoch."""
        self.assertRaises(AssertionError, self.run_defect, WithoutEpochMachine)

    def test_machine_finds_missing_raise(self) -> None:
        """Guard against a machine that misses an epoch that isn't raised."""
        self.assertRaises(AssertionError, self.run_defect, WithoutRaiseMachine)
