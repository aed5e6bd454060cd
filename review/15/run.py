"""Some entries of another writer hold long lists.

Three daemons of one deployment serve ordinary requests. Another writer writes
sixteen entries of kind ``servers``, each of about 1 MB of sound JSON without the
fields of a leaf. The resident memory of each process is compared with the
memory of its machine; the processes are started again once.
"""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig3

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-harbour", "zone-kallio", "zone-mastola")
SERVICE = "archive-read"
MEMORY_MB = 300
ENTRIES_COUNT = 16
# platform.value-bytes is 1,048,576.
ENTRY_BYTES = 1_000_000
GAP_S = 1.0
AFTER_S = 6.0


def junk_text():
    """Return an entry that names no leaf."""
    sample = '{"a":1},'
    count = ENTRY_BYTES // len(sample)
    return '{"samples": [' + (sample * count)[:-1] + "]}"


async def ordinary(daemon, record, counts):
    """Send an ordinary request twice a second."""
    number = 0
    name = daemon.fields["node-name"]
    while True:
        number += 1
        request_id = f"{name}-{number}"
        status, _, _ = await rig3.request(
            daemon.fields["listen"]["front"], "GET", "/x/1",
            {"Host": "a.example", "Request-Id": request_id,
             "Deadline-Ms": "3000"}, timeout_s=3.5,
        )
        record.line(f"client {request_id} got {status}")
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.5)


async def watch_memory(daemons, record, peaks):
    """Note the memory of the processes each second."""
    while True:
        now = [daemon.status_kb("VmRSS") * 1024 for daemon in daemons]
        shown = ", ".join(f"{each / 1e6:.0f}" for each in now)
        record.line(f"memory: {shown} MB resident")
        peaks[:] = [max(old, new) for old, new in zip(peaks, now)]
        await asyncio.sleep(1.0)


def shown(peaks):
    """Return peaks as text."""
    return ", ".join(f"{each / 1e6:.0f}" for each in peaks)


async def main():
    record = rig3.Record(HERE / "record.txt")
    store = rig3.Store()
    await store.start()
    for number in range(6):
        await rig3.Leaf(
            store, f"leaf-{number}", SERVICE, ZONES[number % 3], record
        ).start()
    await store.put("config", "main", json.dumps(rig3.configuration(
        3, [rig3.route("r", "a.example", "/x/", SERVICE)],
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health"}],
    )))
    ips = [rig3.loopback() for _ in ZONES]
    ports = [rig3.free_ports(3, ip) for ip in ips]
    seeds = [f"{ip}:{each[2]}" for ip, each in zip(ips, ports)]
    folder = rig3.temporary_folder()
    daemons = [
        rig3.Daemon(rig3.small_fields(
            ips[number], ZONES[number], 1, store.address, seeds,
            ports[number],
        ), folder)
        for number in range(3)
    ]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await rig3.wait_ready(daemon):
            print("a daemon did not start")
            rig3.finish(2, daemons)
    counts, peaks = {}, [0, 0, 0]
    tasks = [
        asyncio.create_task(ordinary(daemon, record, counts))
        for daemon in daemons
    ]
    tasks.append(asyncio.create_task(watch_memory(daemons, record, peaks)))
    for number in range(ENTRIES_COUNT):
        if TROUBLE:
            await store.put(
                "servers", f"other-writer-{number}", junk_text()
            )
            record.line(f"another writer wrote entry {number}")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(AFTER_S)
    ends = [daemon.process.poll() for daemon in daemons]
    first = list(peaks)
    for daemon in daemons:
        daemon.stop()
        daemon.start()
    record.line("all processes were ended and started again")
    peaks[:] = [0, 0, 0]
    await asyncio.sleep(2 * AFTER_S)
    ends += [daemon.process.poll() for daemon in daemons]
    most = max(*first, *peaks)
    broken = most > MEMORY_MB * 2**20 or any(end is not None for end in ends)
    text = (
        f"at most {shown(first)} MB resident, {shown(peaks)} MB after a "
        f"restart, of {MEMORY_MB} MB; exit codes {ends}; ordinary answers by "
        f"status {counts}; " + ("broken" if broken else "held")
    )
    record.line(text)
    print(text)
    del tasks
    rig3.finish(1 if broken else 0, daemons)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
