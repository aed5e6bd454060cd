"""Two of the three daemons of a zone are stopped as planned, 1 s apart.

With TROUBLE=0 nobody is stopped.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins
from standins import now

HOST, PREFIX, SERVICE = "lost.example", "/pull/", "archive-desk"
ZONE, OTHER_ZONE = "ansan", "suwon"
WORK_S = 1.8
DEADLINE_S = TIMEOUT_S = 5.0
REQUESTS_PER_S = 20.0
STOPS_S = (14.0, 15.0)
END_S = 26.0
# For these requests the rule makes no exception.
EXCUSED_UNTIL_S = 3.0


async def main(record, folder, daemons):
    network = standins.own_network()
    store = standins.Store(record)
    await store.start(f"{network}.1")

    async def work(leaf, arrival):
        arrival.ran = True
        await asyncio.sleep(WORK_S)
        return 200, {}, b"x"

    leafs = [
        standins.Leaf(store, SERVICE, ZONE, work, record, slots=50)
        for _ in range(4)
    ]
    for leaf in leafs:
        await leaf.start(f"{network}.2")
    store.put(
        "config",
        "main",
        standins.configuration(
            7,
            [
                standins.route(
                    "r",
                    HOST,
                    PREFIX,
                    service=SERVICE,
                    **{"timeout-ms": 5000, "latency-goal-ms": 4000},
                )
            ],
            [SERVICE],
        ),
    )
    zones = (ZONE, ZONE, ZONE, OTHER_ZONE)
    for index, zone in enumerate(zones):
        daemons.append(
            standins.Daemon(
                folder,
                f"frontend-{zone}-{index}",
                f"{network}.{10 + index}",
                zone,
                store,
            )
        )
    for daemon in daemons:
        daemon.seeds = [each.control for each in daemons[:3]]
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.gather(*(daemon.wait_ready() for daemon in daemons))
    record("all daemons are ready", show=True)
    balancer = standins.Balancer(daemons, record)
    background = [asyncio.ensure_future(balancer.run())]
    began_s = now()
    # When each daemon got SIGTERM, by name.
    stopped_s = {}
    broken = []
    statuses = {}

    async def stop(daemon, at_s):
        await asyncio.sleep(began_s + at_s - now())
        stopped_s[daemon.name] = now()
        record(f"SIGTERM to {daemon.name}", show=True)
        daemon.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.process.wait(), standins.GRACE_S)
        except asyncio.TimeoutError:
            daemon.signal(signal.SIGKILL)
            await daemon.process.wait()
        record(f"{daemon.name} has ended and starts again", show=True)
        await daemon.start()

    if standins.TROUBLE:
        for daemon, at_s in zip(daemons[:2], STOPS_S):
            background.append(asyncio.ensure_future(stop(daemon, at_s)))

    async def send(key):
        """Send one request on a new connection, as a client of the zone."""
        daemon = balancer.choose(ZONE, key)
        request_id = standins.new_id()
        connection = standins.Connection(daemon.front)
        try:
            await connection.open()
        except OSError as error:
            record(f"no connection to {daemon.name}: {error}")
            return
        sent_s = now()
        term_s = stopped_s.get(daemon.name)
        record(f"sent {request_id} to {daemon.name}")
        try:
            status, _, _ = await connection.request(
                "GET",
                PREFIX + "x",
                {
                    "Host": HOST,
                    "Request-Id": request_id,
                    "Deadline-Ms": int(DEADLINE_S * 1000),
                },
            )
        except OSError as error:
            ended_s = now()
            record(f"lost {request_id} by {daemon.name}: {error}")
            arrived = [
                each
                for leaf in leafs
                for each in leaf.arrivals
                if each.id == request_id
            ]
            term_s = stopped_s.get(daemon.name, term_s)
            if (
                arrived
                and term_s is not None
                and sent_s - term_s > EXCUSED_UNTIL_S
                and ended_s - term_s < standins.GRACE_S + 1.0
                and ended_s - sent_s < TIMEOUT_S
            ):
                broken.append((daemon.name, sent_s - term_s,
                               ended_s - term_s))
        else:
            statuses[status] = statuses.get(status, 0) + 1
            record(f"answered {request_id} by {daemon.name}: {status}")
        finally:
            connection.close()

    tasks = []
    key = 0
    while now() < began_s + END_S:
        key += 1
        tasks.append(asyncio.ensure_future(send(key * 7919)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in background:
        task.cancel()
    record(f"statuses: {statuses}", show=True)
    for name, sent_s, ended_s in broken:
        record(
            f"LOST: {name} read a request {sent_s:.2f} s after its SIGTERM, "
            f"passed it on, and closed the connection at {ended_s:.2f} s"
        )
    record(f"LOST: {len(broken)} requests", show=True)
    if statuses.get(200, 0) < 100:
        raise standins.CannotRun("too few requests were served")
    return standins.BROKEN if broken else standins.HELD


standins.run_script(pathlib.Path(__file__).parent, main)
