"""Pool of this daemon's connections to one leaf.

Each leaf limits its connections, and the daemons divide that limit among
them; the share of this daemon is the allotment of the pool. The pool never
has more connections than its allotment. A connection counts until the leaf
has closed its side too, so the limit is kept even while connections are
replaced. The allotment may shrink to zero while calls are in flight: idle
connections are closed at once, busy ones after their call.

A new connection is checked by one health request before it is used, which
keeps its set-up time out of the calls (see ``leafconnect``).
"""

import heapq
import itertools
import math
import random
import typing

import result
import trio

from plantainhook import (
    errors,
    httpconnection,
    leafclient,
    leafconnect,
    leaftransport,
    logs,
    metrics,
)

BUSY_PEAK_WINDOW_S: typing.Final = 30.0
# A proxy before a leaf that has ended accepts connections and closes them.
CLOSED_UNUSED_COUNT: typing.Final = 2
CLOSED_UNUSED_S: typing.Final = 0.6


class LeafPool:
    """Lend connections to one leaf, within an allotment.

    ``connect_gate`` is shared by all pools of a daemon and limits how many
    connections are set up at the same time. ``busy_count`` counts
    connections in use or abandoned, ``connecting_count`` those being set up,
    and ``closing_count`` those that the leaf has not closed yet.
    """

    leaf: str
    address: str
    allotment_count: int
    busy_count: int
    connecting_count: int
    closing_count: int

    def __init__(
        self,
        leaf: str,
        address: str,
        options: leafconnect.PoolOptions,
        connector: leaftransport.Connector,
        connect_gate: trio.Semaphore,
        instruments: metrics.LeafMetrics,
        rng: random.Random,
    ) -> None:
        self.leaf = leaf
        self.address = address
        self.allotment_count = 0
        self.busy_count = 0
        self.connecting_count = 0
        self.closing_count = 0
        self._options = options
        self._connector = connector
        self._connect_gate = connect_gate
        self._metrics = instruments
        self._rng = rng
        self._idle: list[leafclient.LeafClient] = []
        self._waiters: list[tuple[float, int, leafconnect.Waiter]] = []
        self._sequence = itertools.count()
        self._nursery: trio.Nursery | None = None
        self._backoff_s = 0.0
        self._next_connect_s = 0.0
        # What ``check`` looks at; a used connection says nothing.
        self._last_opened: leafclient.LeafClient | None = None
        self._closed_unused_count = 0
        self._is_warmed_up = False
        self._busy_peak_count = 0
        self._busy_peak_s = 0.0
        self._logger = logs.part_logger("leafpool")

    @property
    def open_count(self) -> int:
        """Return the number of connections that the leaf may count as open."""
        return (
            len(self._idle)
            + self.busy_count
            + self.connecting_count
            + self.closing_count
        )

    @property
    def idle_count(self) -> int:
        """Return the number of connections that are ready for a request."""
        return len(self._idle)

    @property
    def waiting_count(self) -> int:
        """Return the number of callers that wait for a connection."""
        return len(self._waiters)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the pool until cancelled, then close all connections."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                try:
                    await self._warm_up()
                    await trio.sleep_forever()
                finally:
                    # A nursery that is ending accepts no new tasks.
                    self._nursery = None
        finally:
            self._stop()

    async def _warm_up(self) -> None:
        """Start to keep a spare connection, after a random delay.

        Without the delay, many daemons that restart together would all open
        their connections at the same moment.
        """
        if not self._options.keeps_spare:
            return
        jitter_s = self._options.warm_up_jitter_s
        await trio.sleep(self._rng.uniform(0, jitter_s))
        self._is_warmed_up = True
        self._open_more()

    def set_allotment(self, count: int) -> None:
        """Change the number of connections that may be open.

        Idle connections beyond it are closed; with an allotment of 0 the
        waiting callers fail.
        """
        if count == self.allotment_count:
            return
        self._logger.debug(
            "Allotment of connections to leaf {} is {}, was {}.",
            self.leaf,
            count,
            self.allotment_count,
        )
        self.allotment_count = count
        while self._idle and self._excess_count() > 0:
            self._close(self._idle.pop(0))
        if count == 0:
            self._fail_waiters(
                leafconnect.no_connection_error(
                    self.address, "the allotment of connections is 0"
                )
            )
        self._open_more()

    async def acquire(
        self,
        deadline_s: float,
        max_idle_s: float = math.inf,
        request_id: str = "",
    ) -> httpconnection.LeafResult[leafclient.LeafClient]:
        """Lend a connection, or wait for one until the deadline.

        The waiting caller with the earliest deadline is served first. A
        connection that was idle for longer than ``max_idle_s`` is closed and
        not lent, and one that has already sent ``request_id`` is not lent.
        The caller returns the connection with ``release`` or ``abandon``. The
        error is NO_CONNECTION or CONNECT, with ``ran`` NO.
        """
        if max_idle_s < math.inf:
            self._close_idle_longer_than(max_idle_s)
        client = self._take_idle(request_id)
        if client is not None:
            if not self._idle:
                self._open_more()
            return result.Ok(client)
        refusal = self._refusal_without_wait()
        if refusal is not None:
            return result.Err(refusal)
        waiter = leafconnect.Waiter(request_id)
        entry = (deadline_s, next(self._sequence), waiter)
        heapq.heappush(self._waiters, entry)
        self._make_room()
        self._open_more()
        return await self._wait(waiter, deadline_s)

    def release(self, client: leafclient.LeafClient) -> None:
        """Take back a connection whose exchange has ended or failed."""
        stopped = self._nursery is None
        if stopped or not client.is_reusable() or self._excess_count() > 0:
            self.busy_count -= 1
            self._close(client)
        elif not self._serve_waiter(client):
            self.busy_count -= 1
            self._idle.append(client)
            self._make_room()

    def abandon(
        self, client: leafclient.LeafClient, cancel_id: str = ""
    ) -> None:
        """Take back a connection on which a request may be in flight.

        With ``cancel_id`` that request is cancelled at the leaf; without it
        the leaf is expected to stop at the deadline of the request.
        """
        if client.phase is not httpconnection.Phase.WAITING:
            self.release(client)
        elif self._nursery is None:
            client.close()
            self.release(client)
        else:
            self._nursery.start_soon(self._await_late_reply, client, cancel_id)

    def sweep(self) -> None:
        """Replace idle connections that the leaf has closed."""
        self._close_stale()
        self._open_more()

    def check(self) -> None:
        """Open a connection, unless an idle one shows that the leaf is up.

        If the leaf refuses it, or closes several unused ones in a row,
        ``PoolOptions.on_nothing_listens`` is called.
        """
        self._count_closed_unused()
        if self._closed_unused_count >= CLOSED_UNUSED_COUNT:
            self._options.on_nothing_listens(self.leaf)
        self._close_stale()
        if (
            self._nursery is None
            or self._idle
            or self.connecting_count
            or self._excess_count() >= 0
        ):
            return
        self.connecting_count += 1
        self._nursery.start_soon(self._connect)

    def _count_closed_unused(self) -> None:
        """Count a new connection that the leaf has closed before its use.

        One that was idle for longer may have reached its timeout.
        """
        opened = self._last_opened
        if opened is None or opened not in self._idle:
            return
        idle_s = trio.current_time() - opened.last_used_s
        if not opened.is_stale():
            self._closed_unused_count = 0
        elif idle_s < CLOSED_UNUSED_S:
            self._closed_unused_count += 1

    def _refusal_without_wait(self) -> errors.LeafError | None:
        """Return the error if waiting for a connection is of no use."""
        if self._nursery is None:
            return leafconnect.no_connection_error(
                self.address, "the pool is not running"
            )
        if self.allotment_count == 0:
            return leafconnect.no_connection_error(
                self.address, "the allotment of connections is 0"
            )
        in_backoff = trio.current_time() < self._next_connect_s
        if in_backoff and self.open_count == 0:
            return leafconnect.connect_error(
                self.address, "the last attempt to connect failed"
            )
        return None

    async def _wait(
        self, waiter: leafconnect.Waiter, deadline_s: float
    ) -> httpconnection.LeafResult[leafclient.LeafClient]:
        started_s = trio.current_time()
        try:
            with trio.CancelScope(deadline=deadline_s):
                await waiter.event.wait()
        except trio.Cancelled:
            self._remove_waiter(waiter)
            raise
        self._metrics.wait_seconds.observe(trio.current_time() - started_s)
        if waiter.outcome is None:
            self._remove_waiter(waiter)
            detail = "no connection became free before the deadline"
            return result.Err(
                leafconnect.no_connection_error(self.address, detail)
            )
        return waiter.outcome

    def _remove_waiter(self, waiter: leafconnect.Waiter) -> None:
        """Remove a waiter; release a connection it has just been given."""
        if waiter.outcome is None:
            self._waiters = [
                entry for entry in self._waiters if entry[2] is not waiter
            ]
            heapq.heapify(self._waiters)
        elif isinstance(waiter.outcome, result.Ok):
            self.release(waiter.outcome.ok_value)

    def _close_stale(self) -> None:
        """Close the idle connections that the leaf has closed."""
        stale = [client for client in self._idle if client.is_stale()]
        for client in stale:
            self._idle.remove(client)
            self._close(client)

    def _close_idle_longer_than(self, max_idle_s: float) -> None:
        """Close the connections that have been idle for too long."""
        oldest_s = trio.current_time() - max_idle_s
        kept = [
            client for client in self._idle if client.last_used_s >= oldest_s
        ]
        closed = [
            client for client in self._idle if client.last_used_s < oldest_s
        ]
        self._idle = kept
        for client in closed:
            self._close(client)

    def _take_idle(self, request_id: str = "") -> leafclient.LeafClient | None:
        """Take the idle connection that was used last; close stale ones.

        Those that have already sent ``request_id`` stay idle.
        """
        for client in self._idle[::-1]:
            if client.has_sent(request_id):
                continue
            self._idle.remove(client)
            if not client.is_stale():
                self.busy_count += 1
                self._record_busy_peak()
                if client is self._last_opened:
                    self._last_opened = None
                return client
            self._close(client)
        return None

    def _record_busy_peak(self) -> None:
        """Update the recent peak of connections in use.

        A peak that was not reached again within the window is discarded.
        """
        now_s = trio.current_time()
        if now_s - self._busy_peak_s > BUSY_PEAK_WINDOW_S:
            self._busy_peak_count = 0
        if self.busy_count >= self._busy_peak_count:
            self._busy_peak_count = self.busy_count
            self._busy_peak_s = now_s

    def _excess_count(self) -> int:
        return self.open_count - self.allotment_count

    def _serve_waiter(self, client: leafclient.LeafClient) -> bool:
        """Lend a busy connection to the waiter with the earliest deadline.

        Waiters whose request was already sent on it are skipped.
        """
        skipped = []
        served = False
        while self._waiters and not served:
            entry = heapq.heappop(self._waiters)
            if client.has_sent(entry[2].request_id):
                skipped.append(entry)
            else:
                entry[2].resolve(result.Ok(client))
                served = True
        for entry in skipped:
            heapq.heappush(self._waiters, entry)
        return served

    def _make_room(self) -> None:
        """Close idle connections that prevent new ones for the waiters.

        While callers wait, the idle connections are those that have already
        sent the requests of these callers.
        """
        free_count = self.closing_count - self._excess_count()
        needed_count = len(self._waiters) - self.connecting_count - free_count
        while self._idle and needed_count > 0:
            self._close(self._idle.pop(0))
            needed_count -= 1

    def _fail_waiters(self, error: errors.LeafError) -> None:
        for _, _, waiter in self._waiters:
            waiter.resolve(result.Err(error))
        self._waiters.clear()

    def _open_more(self) -> None:
        """Open the connections that waiters and the spare one need."""
        if self._nursery is None or trio.current_time() < self._next_connect_s:
            return
        for _ in range(self._needed_connect_count()):
            self.connecting_count += 1
            self._nursery.start_soon(self._connect)

    def _needed_connect_count(self) -> int:
        """Return how many connections to open now.

        A pool that keeps a spare has one connection more than were in use at
        the recent peak.
        """
        wanted = len(self._waiters)
        if self._is_warmed_up:
            ready = len(self._idle) + self.busy_count
            wanted = max(wanted, max(1, self._busy_peak_count + 1) - ready)
        limit = self._options.connects_per_leaf_count
        allowed = min(-self._excess_count(), limit - self.connecting_count)
        return max(0, min(wanted - self.connecting_count, allowed))

    async def _connect(self) -> None:
        opened: httpconnection.LeafResult[leafclient.LeafClient]
        opened = result.Err(
            leafconnect.connect_error(self.address, "the pool stopped")
        )
        try:
            async with self._connect_gate:
                opened = await leafconnect.open_client(
                    self._connector,
                    self.leaf,
                    self.address,
                    self._options.connect_timeout_s,
                    self._options.checks_health,
                )
        except Exception as error:
            # An unexpected error ends this attempt and not the process.
            self._logger.exception("Connecting to {} failed.", self.address)
            opened = result.Err(
                leafconnect.connect_error(self.address, repr(error))
            )
        finally:
            self.connecting_count -= 1
            if isinstance(opened, result.Ok):
                self._add_connection(opened.ok_value)
        if isinstance(opened, result.Err):
            self._on_connect_failed(opened.err_value)

    def _add_connection(self, client: leafclient.LeafClient) -> None:
        """Put a new connection into service."""
        self._backoff_s = 0.0
        self._metrics.count_connect("ok")
        self.busy_count += 1
        self.release(client)
        if client in self._idle:
            self._last_opened = client
        self._open_more()

    def _on_connect_failed(self, error: errors.LeafError) -> None:
        """Back off; fail the waiters if no other connection can serve them."""
        self._metrics.count_connect("failed")
        options = self._options
        if error.nothing_listens:
            options.on_nothing_listens(self.leaf)
        doubled_s = max(options.backoff_min_s, self._backoff_s * 2)
        self._backoff_s = min(options.backoff_max_s, doubled_s)
        delay_s = self._backoff_s * self._rng.uniform(0.5, 1.0)
        self._next_connect_s = trio.current_time() + delay_s
        if self.busy_count == 0 and self.connecting_count == 0:
            self._fail_waiters(error)
        if self._nursery is not None:
            self._nursery.start_soon(self._retry_later, delay_s)

    async def _retry_later(self, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._open_more()

    def _close(self, client: leafclient.LeafClient) -> None:
        """Close a connection that no longer counts as idle or busy."""
        if self._nursery is None:
            client.close()
            return
        self.closing_count += 1
        self._nursery.start_soon(self._close_gracefully, client)

    async def _close_gracefully(self, client: leafclient.LeafClient) -> None:
        try:
            await client.close_gracefully(self._options.close_timeout_s)
        finally:
            client.close()
            self.closing_count -= 1
        self._open_more()

    async def _await_late_reply(
        self, client: leafclient.LeafClient, cancel_id: str
    ) -> None:
        """Wait a short time for the reply of an abandoned request.

        A connection whose reply has arrived can be used again; any other is
        closed. Without an idle connection to send the cancellation, the
        connection is closed at once, which stops the request at the leaf.
        """
        deadline_s = trio.current_time() + self._options.late_reply_timeout_s
        try:
            may_wait = not cancel_id or await self._send_cancel(
                cancel_id, deadline_s
            )
            with trio.CancelScope(deadline=deadline_s):
                if may_wait:
                    await client.finish_reply()
        except errors.LeafError:
            client.phase = httpconnection.Phase.BROKEN
        except Exception:
            self._logger.exception("A late reply of {} failed.", self.address)
            client.phase = httpconnection.Phase.BROKEN
        finally:
            self.release(client)

    async def _send_cancel(self, cancel_id: str, deadline_s: float) -> bool:
        """Cancel a request over another idle connection.

        Return False if there is none or the cancellation failed.
        """
        other = self._take_idle()
        if other is None:
            return False
        try:
            reply = await other.cancel(cancel_id, deadline_s)
        finally:
            self.release(other)
        return isinstance(reply, result.Ok)

    def _stop(self) -> None:
        self._fail_waiters(
            leafconnect.no_connection_error(self.address, "the pool stopped")
        )
        while self._idle:
            self._idle.pop().close()
