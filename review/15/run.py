"""Some entries of another writer hold long lists.

Three daemons of one deployment serve callers on kept connections. Another
writer writes sixteen entries of kind ``servers``, each of about 1 MB of sound
JSON without the fields of a leaf. The platform kills a process that exceeds the
memory of its machine, and starts it again.
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
# As in the site file: 11 leafs with 2 slots each.
LEAFS_COUNT = 11
CALLERS_COUNT = 7
WORK_S = 0.3
# LOST: "more than three times".
CUTS_ALLOWED = 3
ENTRIES_COUNT = 16
# platform.value-bytes is 1,048,576.
ENTRY_BYTES = 1_000_000
GAP_S = 1.0
BEFORE_S = 6.0
AFTER_S = 6.0


def junk_text():
    """Return an entry that names no leaf."""
    sample = '{"a":1},'
    count = ENTRY_BYTES // len(sample)
    return '{"samples": [' + (sample * count)[:-1] + "]}"


async def start_all(record, text):
    """Start the store, the leafs and the daemons."""
    store = rig3.Store()
    await store.start()
    for number in range(LEAFS_COUNT):
        await rig3.Leaf(
            store, f"leaf-{number}", SERVICE, ZONES[number % 3], record,
            work_s=WORK_S,
        ).start()
    await store.put("config", "main", text)
    ips = [rig3.loopback() for _ in ZONES]
    ports = [rig3.free_ports(3, ip) for ip in ips]
    seeds = [f"{ip}:{each[2]}" for ip, each in zip(ips, ports)]
    folder = rig3.temporary_folder()
    daemons = []
    for number, zone in enumerate(ZONES):
        fields = rig3.small_fields(
            ips[number], zone, 1, store.address, seeds, ports[number],
        )
        daemons.append(rig3.Daemon(fields, folder))
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await rig3.wait_ready(daemon):
            print("a daemon did not start")
            rig3.finish(2, daemons)
    return store, daemons


def judge(record, daemons, ends, counts, cuts, detail):
    """Check the rule and exit."""
    most = max(cuts.values(), default=0)
    broken = most > CUTS_ALLOWED
    memory_count = sum(why == "memory" for _, why in ends)
    text = (
        f"{detail}{len(ends)} ends of {len({node for node, _ in ends})} of "
        f"{len(daemons)} daemons, {memory_count} of them for memory; requests "
        f"that a leaf had begun, cut on kept connections: {cuts}; answers "
        f"{counts}; " + ("broken" if broken else "held")
    )
    record.line(text)
    print(text)
    rig3.finish(1 if broken else 0, daemons)


async def main():
    record = rig3.Record(HERE / "record.txt")
    store, daemons = await start_all(record, json.dumps(rig3.configuration(
        3, [rig3.route("r", "a.example", "/x/", SERVICE)],
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health"}],
    )))
    counts, cuts, ends, tasks = {}, {}, [], []
    for daemon in daemons:
        tasks.append(
            asyncio.create_task(rig3.play_platform(daemon, record, ends))
        )
        tasks += [
            asyncio.create_task(
                rig3.call_kept(daemon, number, record, counts, cuts)
            )
            for number in range(CALLERS_COUNT)
        ]
    await asyncio.sleep(BEFORE_S)
    for number in range(ENTRIES_COUNT):
        if TROUBLE:
            await store.put(
                "servers", f"other-writer-{number}", junk_text()
            )
        shown = ", ".join(
            f"{each.status_kb('VmRSS') / 1e3:.0f}" for each in daemons
        )
        record.line(f"{number + 1} entries; {shown} MB resident")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(AFTER_S)
    judge(record, daemons, ends, counts, cuts, "")


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
