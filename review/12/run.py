"""The configuration changes many times, and each version stays in memory.

A daemon with the settings of a small deployment reads a configuration that has
grown by many routes twice. Then configurations come in quick succession, as in
the site's standard days, again and again. The resident memory of the process
is compared with the memory of its machine.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig3

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
FIRST_ROUTES_COUNT = 30
# big_config, count = 430, twice.
MORE_ROUTES_COUNT = 2 * 430
# config_storm, gap_s = 0.06, for_s = 1.5.
GAP_S = 0.06
STORM_S = 1.5
PAUSE_S = 0.5
PLAY_S = 60.0
AFTER_S = 12.0
SERVICE = "archive-read"


def config_text(version):
    """Return a version; each changes the time-out of one route."""
    routes = [rig3.route("r", "a.example", "/x/", SERVICE)]
    routes += [
        rig3.route(
            f"route-{number:04d}", f"pupu{number % 7}.example",
            f"/timi{number:04d}/", SERVICE,
        )
        for number in range(FIRST_ROUTES_COUNT + MORE_ROUTES_COUNT)
    ]
    routes[1 + version % 20]["timeout-ms"] = 3000 + version
    return json.dumps(rig3.configuration(
        version, routes,
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health"}],
    ))


async def ordinary(daemon, record, counts):
    """Send an ordinary request twice a second."""
    number = 0
    while True:
        number += 1
        name = f"ordinary-{number}"
        status, _, _ = await rig3.request(
            daemon.fields["listen"]["front"], "GET", "/x/1",
            {"Host": "a.example", "Request-Id": name, "Deadline-Ms": "3000"},
            timeout_s=3.5,
        )
        record.line(f"client {name} got {status}")
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.5)


async def watch_memory(daemon, record, peaks):
    """Note the memory of the process each second."""
    while True:
        peaks.append(daemon.status_kb("VmRSS") * 1024)
        record.line(f"memory: {peaks[-1] / 1e6:.1f} MB resident")
        await asyncio.sleep(1.0)


async def main():
    record = rig3.Record(HERE / "record.txt")
    store = rig3.Store()
    await store.start()
    for number in range(4):
        await rig3.Leaf(
            store, f"leaf-{number}", SERVICE, "zone-harbour", record
        ).start()
    version = 3
    text = config_text(version)
    await store.put("config", "main", text)
    record.line(f"configuration {version} has {len(text)} bytes")
    ip = rig3.loopback()
    ports = rig3.free_ports(3, ip)
    daemon = rig3.Daemon(rig3.small_fields(
        ip, "zone-harbour", 1, store.address, [f"{ip}:{ports[2]}"], ports,
    ), rig3.temporary_folder())
    daemon.start()
    if not await rig3.wait_ready(daemon):
        print("the daemon did not start")
        rig3.finish(2, [daemon])
    counts, peaks = {}, []
    tasks = [
        asyncio.create_task(ordinary(daemon, record, counts)),
        asyncio.create_task(watch_memory(daemon, record, peaks)),
    ]
    end_s = time.monotonic() + PLAY_S
    while TROUBLE and time.monotonic() < end_s:
        storm_end_s = time.monotonic() + STORM_S
        while time.monotonic() < storm_end_s:
            version += 3
            await store.put("config", "main", config_text(version))
            await asyncio.sleep(GAP_S)
        record.line(f"operator: configuration {version} was acknowledged")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(max(0.0, end_s - time.monotonic()) + AFTER_S)
    ended = daemon.process.poll()
    broken = max(peaks) > MEMORY_MB * 2**20 or ended is not None
    text = (
        f"{(version - 3) // 3} changes; {peaks[0] / 1e6:.0f} MB resident at "
        f"first, at most {max(peaks) / 1e6:.0f} MB, {peaks[-1] / 1e6:.0f} MB "
        f"{AFTER_S:.0f} s after the last change, of {MEMORY_MB} MB; exit code "
        f"{ended}; ordinary answers by status {counts}; "
        + ("broken" if broken else "held")
    )
    record.line(text)
    print(text)
    del tasks
    rig3.finish(1 if broken else 0, [daemon])


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
