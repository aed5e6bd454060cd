"""Cost of settings: platform calls, bytes and seconds by number of objects.

``python -m plantainhook.settingscost`` prints the costs of each size, with
an object API in memory or, with ``--platform``, an empty one over HTTP.
``capacity`` takes its slopes from ``measure``.
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
    """Hold the cost of a first apply, one change, a load and a delta.

    Seconds are wall time of this process. ``validate_s`` is for all records
    and ``update_s`` for the one change; ``delta_bytes`` is the text of the
    records that a peer sends for it.
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
    """Count the calls and value bytes that pass to an object API."""

    calls_count: int
    moved_bytes: int

    def __init__(self, api: objectapi.ObjectApi) -> None:
        self._api = api
        self.calls_count = 0
        self.moved_bytes = 0

    def take(self) -> tuple[int, int]:
        """Return the counts since the last call."""
        counts = (self.calls_count, self.moved_bytes)
        self.calls_count = self.moved_bytes = 0
        return counts

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Count a read."""
        self.calls_count += 1
        read = await self._api.get(key)
        if isinstance(read, result.Ok):
            self.moved_bytes += len(revisions.encode(read.ok_value.value))
        return read

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Count a write."""
        self.calls_count += 1
        self.moved_bytes += len(revisions.encode(value))
        return await self._api.put(key, value, if_version, request_id)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Count a listing."""
        self.calls_count += 1
        return await self._api.list(prefix)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Count a removal."""
        self.calls_count += 1
        return await self._api.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Count a watch."""
        self.calls_count += 1
        return await self._api.watch(prefix, from_version, timeout_s)


def example_specs(objects_count: int) -> dict[str, settingsobjects.Spec]:
    """Return valid settings: groups of leafs, and request kinds."""
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
    """Return the description of a leaf."""
    return {
        "name": f"leaf-{group_number}-{number}",
        "address": f"10.{group_number // 250}.{group_number % 250}.{number}:1",
        "data_centre": "dc-1",
        "slot_count": 2,
        "connection_limit_count": 25,
    }


async def measure(api: objectapi.ObjectApi, objects_count: int) -> Cost:
    """Measure on an empty object API; raises UnwrapError on failures."""
    counting = CountingApi(api)
    own_clock = clock.TrioClock()
    store = settingsstore.SettingsStore(counting, own_clock)
    specs = example_specs(objects_count)
    first_s = await _apply_s(store, specs)
    first = counting.take()
    before = (await store.load_current()).unwrap()
    counting.take()
    changed = {"request_kind/k-0": {"rules": {"deadline_ms": 99}}}
    change_s = await _apply_s(store, changed)
    change = counting.take()
    reader = settingsstore.SettingsStore(counting, own_clock)
    started_s = time.perf_counter()
    revision = (await reader.load_current()).unwrap()
    load_s = time.perf_counter() - started_s
    load = counting.take()
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
    """Apply a change and return the seconds that it took."""
    request = settingsapply.Request(settingsobjects.Change(specs), "measure")
    started_s = time.perf_counter()
    (await store.apply(request)).unwrap()
    return time.perf_counter() - started_s


async def _measure_http(url: str, objects_count: int) -> Cost:
    """Measure over HTTP."""
    async with objectapihttp.open_object_api(
        url, "", TIMEOUT_S, CALLS_PER_S, clock.TrioClock()
    ) as api:
        return await measure(api, objects_count)


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Print the costs of the chosen sizes."""
    parser = argparse.ArgumentParser(description="Measure settings.")
    parser.add_argument("--platform", metavar="URL", help="an empty store")
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
