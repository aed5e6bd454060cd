"""Measure the cost of settings by the number of operator objects.

The cost is in platform calls, bytes and seconds. ``python -m
plantainhook.settingscost`` prints it for several sizes, with an object API in
memory or, with ``--platform``, with an empty one over HTTP. ``capacity``
derives its slopes from the results of ``measure``.
"""

import argparse
import dataclasses
import functools
import sys
import time
import typing
from collections import abc

import result
import trio

from plantainhook import (
    clock,
    errors,
    objectapi,
    objectapifake,
    objectapihttp,
    revisions,
    settingsapply,
    settingsobjects,
    settingsstore,
)

SIZES: typing.Final = (50, 500, 5_000)
CALLS_PER_S: typing.Final = 100_000.0
TIMEOUT_S: typing.Final = 30.0
LEAFS_PER_GROUP_COUNT: typing.Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Describe the cost of the first apply, one change, a load and a delta.

    Seconds are the elapsed time in this process. ``validate_s`` is the time
    to validate all records, and ``update_s`` the time to validate the one
    change. ``delta_bytes`` is the size of the records that a peer sends for
    that change.
    """

    objects_count: int
    first_calls_count: int
    first_bytes: int
    first_s: float
    change_calls_count: int
    change_bytes: int
    change_s: float
    load_calls_count: int
    load_bytes: int
    load_s: float
    validate_s: float
    update_s: float
    delta_bytes: int


class CountingApi:
    """Count the calls to an object API and the bytes of their values."""

    calls_count: int
    moved_bytes: int

    def __init__(self, api: objectapi.ObjectApi) -> None:
        self._api = api
        self.calls_count = 0
        self.moved_bytes = 0

    def pop_counts(self) -> tuple[int, int]:
        """Return the counts since the last call and reset them."""
        counts = (self.calls_count, self.moved_bytes)
        self.calls_count = self.moved_bytes = 0
        return counts

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Forward a read; count the call and the bytes read."""
        self.calls_count += 1
        read = await self._api.get(key)
        if isinstance(read, result.Ok):
            self.moved_bytes += len(revisions.encode(read.ok_value.value))
        return read

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Forward a write; count the call and the bytes written."""
        self.calls_count += 1
        self.moved_bytes += len(revisions.encode(value))
        return await self._api.put(key, value, if_version, request_id)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Forward and count a listing."""
        self.calls_count += 1
        return await self._api.list(prefix)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Forward and count a deletion."""
        self.calls_count += 1
        return await self._api.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Forward and count a watch."""
        self.calls_count += 1
        return await self._api.watch(prefix, from_version, timeout_s)


def example_specs(objects_count: int) -> dict[str, settingsobjects.Spec]:
    """Return valid settings: half groups of leafs, half request kinds.

    One data centre and one service are among the objects too.
    """
    specs: dict[str, settingsobjects.Spec] = {
        "data_centre/dc-1": {},
        "service/s-1": {},
    }
    groups_count = (objects_count - len(specs)) // 2
    for number in range(groups_count):
        leafs = [_leaf(number, i) for i in range(LEAFS_PER_GROUP_COUNT)]
        specs[f"group/g-{number}"] = {"service": "s-1", "leafs": leafs}
    for number in range(objects_count - len(specs)):
        rules = {"deadline_ms": 300 + number % 100, "hedge_policy": "adaptive"}
        specs[f"request_kind/k-{number}"] = {"rules": rules}
    return specs


def _leaf(group_number: int, number: int) -> dict[str, typing.Any]:
    """Return the spec of a leaf."""
    return {
        "name": f"leaf-{group_number}-{number}",
        "address": f"10.{group_number // 250}.{group_number % 250}.{number}:1",
        "data_centre": "dc-1",
        "slot_count": 2,
        "connection_limit_count": 25,
    }


async def measure(api: objectapi.ObjectApi, objects_count: int) -> Cost:
    """Measure with an empty object API; raises UnwrapError on failures."""
    counting = CountingApi(api)
    own_clock = clock.TrioClock()
    store = settingsstore.SettingsStore(counting, own_clock)
    specs = example_specs(objects_count)
    first_s = await _apply_s(store, specs)
    first = counting.pop_counts()
    before = (await store.load_current()).unwrap()
    counting.pop_counts()
    changed = {"request_kind/k-0": {"rules": {"deadline_ms": 99}}}
    change_s = await _apply_s(store, changed)
    change = counting.pop_counts()
    reader = settingsstore.SettingsStore(counting, own_clock)
    started_s = time.perf_counter()
    revision = (await reader.load_current()).unwrap()
    load_s = time.perf_counter() - started_s
    load = counting.pop_counts()
    started_s = time.perf_counter()
    settings = settingsobjects.settings_of(before.records)
    validate_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    settingsobjects.settings_after(settings, before.records, revision.records)
    update_s = time.perf_counter() - started_s
    difference = revisions.delta(before, revision)
    return Cost(
        objects_count,
        *first,
        first_s,
        *change,
        change_s,
        *load,
        load_s,
        validate_s,
        update_s,
        sum(len(text) for text in difference.objects.values()),
    )


async def _apply_s(
    store: settingsstore.SettingsStore,
    specs: abc.Mapping[str, settingsobjects.Spec],
) -> float:
    """Apply a change and return its duration."""
    request = settingsapply.Request(settingsobjects.Change(specs), "measure")
    started_s = time.perf_counter()
    (await store.apply(request)).unwrap()
    return time.perf_counter() - started_s


async def _measure_http(url: str, objects_count: int) -> Cost:
    """Measure with an object API over HTTP."""
    async with objectapihttp.open_object_api(
        url, "", TIMEOUT_S, CALLS_PER_S, clock.TrioClock()
    ) as api:
        return await measure(api, objects_count)


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Print the cost for each size given as an argument."""
    parser = argparse.ArgumentParser(
        description="Measure the cost of settings."
    )
    parser.add_argument(
        "--platform", metavar="URL", help="an empty object API"
    )
    parser.add_argument("sizes", nargs="*", type=int, default=SIZES)
    arguments = parser.parse_args(argv)
    for size in arguments.sizes:
        if arguments.platform:
            call = functools.partial(_measure_http, arguments.platform, size)
        else:
            api = objectapifake.FakeObjectApi()
            call = functools.partial(measure, api, size)
        cost = trio.run(call)
        for name, value in dataclasses.asdict(cost).items():
            print(f"{name} = {value:.6g}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
