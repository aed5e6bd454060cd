"""Callers of the soak, and the checks of what they are told.

A caller keeps its connection to a daemon open until the daemon closes it or
its process is gone, as the users' clients do.
"""

import random
import typing
from collections import abc

import result
import trio

from plantainhook import (
    errors,
    httpconnection,
    leaftransport,
    toprecords,
)
from plantainhook.platform import names
from tests import soakdaemons, soakledger, soakworld

DEADLINE_MS: typing.Final = 2000
# Half a second after the deadline every request has its answer.
LATE_S: typing.Final = 0.5
PAUSE_MEAN_S: typing.Final = 0.08
APPLY_S: typing.Final = 3.0
NOT_RUN_STATUSES: typing.Final = (408, 421, 429, 503)

Check = abc.Callable[
    [soakworld.World, str, httpconnection.RawReply], str | None
]


class Caller:
    """Send requests to one daemon, one at a time, and check the answers."""

    def __init__(
        self,
        name: str,
        daemon: soakdaemons.SoakDaemon,
        world: soakworld.World,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._daemon = daemon
        self._world = world
        self._rng = rng
        self._count = 0
        self._connection: httpconnection.HttpConnection | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(1.0 / PAUSE_MEAN_S))
            if await self._connect():
                prefix = self._rng.choice(self._prefixes())
                self._count += 1
                await self._send(prefix, f"{prefix}{self._count % 50}")

    async def send_once(self, prefix: str, path: str) -> None:
        """Send one request on a connection of its own."""
        if await self._connect():
            await self._send(prefix, path)
            assert self._connection is not None
            self._connection.close()

    async def _connect(self) -> bool:
        connection = self._connection
        if connection is not None and connection.is_reusable():
            if not connection.is_stale():
                return True
            connection.close()
        self._connection = None
        with trio.move_on_after(1.0):
            try:
                transport = await leaftransport.connect(self._daemon.front)
            except OSError:
                return False
            self._connection = httpconnection.HttpConnection(
                transport, "daemon", self._daemon.front
            )
        return self._connection is not None

    async def _send(self, prefix: str, path: str) -> None:
        assert self._connection is not None
        request_id = f"{self._name}-{self._count}"
        ledger = self._world.ledger
        now_s = trio.current_time()
        sent = soakledger.Sent(self._daemon.number, path, now_s)
        ledger.sent[request_id] = sent
        incarnation = self._daemon.incarnation
        calm_s = ledger.calm_s(self._daemon.number)
        head = soakworld.get(
            path,
            (names.REQUEST_ID.decode(), request_id),
            (names.DEADLINE_MS.decode(), str(DEADLINE_MS)),
        )
        exchanged = await self._connection.exchange(
            head, b"", now_s + DEADLINE_MS / 1e3 + LATE_S
        )
        if isinstance(exchanged, result.Err):
            self._connection.close()
            self._check_lost(
                request_id, exchanged.err_value, incarnation, calm_s
            )
            return
        reply = exchanged.ok_value
        sent.status = reply.status
        self._check_reply(request_id, prefix, reply, calm_s)

    def _prefixes(self) -> list[str]:
        added = list(self._world.added_s)
        return ["/all/", "/all/", "/one/", "/once/", *added[-1:]]

    def _check_reply(
        self,
        request_id: str,
        prefix: str,
        reply: httpconnection.RawReply,
        calm_s: float,
    ) -> None:
        ledger = self._world.ledger
        if reply.status == 404:
            added_s = self._world.added_s.get(prefix, float("-inf"))
            sent_s = ledger.sent[request_id].sent_s
            is_due = sent_s - added_s > APPLY_S
            if is_due and calm_s > soakworld.IN_TOUCH_S:
                ledger.report(
                    f"CONFIG: {request_id} on {prefix} gets 404 from daemon "
                    f"{self._daemon.number}, {sent_s - added_s:.1f} s late"
                )
        if reply.status == 200:
            for leaf in leafs_of(reply):
                self._world.record_passed_on(
                    self._daemon.number, request_id, leaf
                )
            check = check_gathered if prefix == "/all/" else check_single
            wrong = check(self._world, request_id, reply)
            if wrong is not None:
                ledger.report(f"MIXED: {request_id}: {wrong}")

    def _check_lost(
        self,
        request_id: str,
        error: errors.LeafError,
        incarnation: int,
        calm_s: float,
    ) -> None:
        """Check a request whose connection ended without an answer."""
        ledger = self._world.ledger
        daemon = self._daemon
        late = error.kind is errors.LeafFailureKind.TIMEOUT
        is_same = daemon.incarnation == incarnation and daemon.is_up
        if late and is_same and calm_s > soakworld.IN_TOUCH_S:
            ledger.report(
                f"LATE: {request_id} has no answer from daemon "
                f"{daemon.number} {LATE_S} s after its deadline"
            )
        has_run = request_id in ledger.runs
        if not late and has_run and incarnation not in daemon.killed:
            ledger.report(
                f"LOST: {request_id} ran, and daemon {daemon.number} "
                f"closed its connection: {error.detail}"
            )


def leafs_of(reply: httpconnection.RawReply) -> list[str]:
    """Return the leafs whose answers a reply contains."""
    stamps = reply.header(names.PART_SIGNATURES)
    if stamps is None:
        stamps = reply.header(names.SIGNATURE) or b""
    return [
        stamp.strip().partition(".")[0] for stamp in stamps.decode().split(",")
    ]


def check_single(
    world: soakworld.World, request_id: str, reply: httpconnection.RawReply
) -> str | None:
    """Return what is wrong with an answer of one leaf, or None."""
    stamp = (reply.header(names.SIGNATURE) or b"").decode()
    leaf, _, stamped_id = stamp.partition(".")
    service = world.service_of(leaf)
    if stamped_id != request_id or service is None:
        return f"the signature is {stamp!r}"
    if reply.body != soakworld.records_of(service, request_id):
        return "the body is not the leaf's"
    return None


def check_gathered(
    world: soakworld.World, request_id: str, reply: httpconnection.RawReply
) -> str | None:
    """Return what is wrong with a merged answer, or None."""
    header = (reply.header(names.PART_SIGNATURES) or b"").decode()
    stamps = [stamp.strip().partition(".") for stamp in header.split(",")]
    services = [world.service_of(leaf) for leaf, _, _ in stamps]
    if any(stamped_id != request_id for _, _, stamped_id in stamps):
        return f"the signatures are {header!r}"
    known = {service for service in services if service in soakworld.SHARDS}
    missing = int(reply.header(names.MISSING_PARTS) or b"0")
    if len(known) != len(services) or len(known) + missing != len(
        soakworld.SHARDS
    ):
        return f"{services} and {missing} missing are not all shards"
    merged = toprecords.merge_top_records(
        (soakworld.records_of(str(name), request_id) for name in known),
        soakworld.TOP_COUNT,
    )
    return None if reply.body == merged else "the records are not the highest"


def check_runs(ledger: soakledger.Ledger) -> None:
    """Check at the end how often each request ran."""
    for request_id, sent in ledger.sent.items():
        runs = ledger.runs.get(request_id, [])
        if not sent.path.startswith("/once/"):
            continue
        if len(runs) > 1:
            ledger.report(f"TWICE: {request_id} ran on {runs}")
        if sent.status in NOT_RUN_STATUSES and runs:
            ledger.report(
                f"REFUSED: {request_id} got {sent.status}, ran on {runs}"
            )
