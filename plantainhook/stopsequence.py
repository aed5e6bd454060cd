"""Carry out the planned stop of a forwarding daemon.

The load balancer and the peers learn that the daemon stops. Requests that
still arrive are served if they can be answered in time, each connection is
closed after its answer, and the nursery of the daemon is cancelled when no
connection is left or the time for the stop is over.
"""

import typing

import trio

from plantainhook import (
    branchserver,
    gatherers,
    httpserver,
    logs,
    membership,
    runningrequests,
    stopadmission,
)

LOGGER: typing.Final = logs.part_logger("daemon")
# The load balancer checks every second and removes a daemon after two failed
# checks.
BALANCER_NOTICE_S: typing.Final = 2.5
# Idle connections are closed this long after the stop began. By then callers
# open new connections to other daemons.
CLOSE_IDLE_AFTER_S: typing.Final = 3.0
# Reserved for the exit of the process before it is killed: closing thousands
# of connections takes this long on a quarter of a core.
EXIT_MARGIN_S: typing.Final = 0.9
# No connection is accepted in this time before the exit, so that the last
# requests can be answered.
LAST_REQUESTS_S: typing.Final = 1.0
# Requests that still run are given up this long before the exit, so that
# their callers are told.
LAST_ANSWERS_S: typing.Final = 0.1
# The exit waits this long for answers to requests that were given up. Many of
# them, or a late event loop, need more time than ``LAST_ANSWERS_S``.
LATE_ANSWERS_S: typing.Final = 0.4
IDLE_CHECK_INTERVAL_S: typing.Final = 0.05
ANSWER_CHECK_INTERVAL_S: typing.Final = 0.02


class StopSequence:
    """Stop one daemon within ``timeout_s`` from the start of the stop."""

    def __init__(
        self,
        server: httpserver.HttpServer,
        running: runningrequests.RunningRequests,
        admission: stopadmission.StopAdmission,
        branch_server: branchserver.BranchServer,
        gatherers: gatherers.Gatherers,
        members: membership.Membership,
        timeout_s: float,
    ) -> None:
        self._server = server
        self._running = running
        self._admission = admission
        self._branch_server = branch_server
        self._gatherers = gatherers
        self._members = members
        self._timeout_s = timeout_s

    async def run(self, nursery: trio.Nursery) -> None:
        """Stop the daemon, and cancel its nursery at the end."""
        began_s = trio.current_time()
        end_s = began_s + self._timeout_s - EXIT_MARGIN_S
        answers_s = end_s - LAST_ANSWERS_S
        self._admission.begin(began_s + CLOSE_IDLE_AFTER_S, answers_s)
        self._server.drain()
        nursery.start_soon(self._announce)
        await trio.sleep_until(min(began_s + BALANCER_NOTICE_S, answers_s))
        while trio.current_time() < answers_s:
            if trio.current_time() >= end_s - LAST_REQUESTS_S:
                self._server.stop_accepting()
            self._running.refuse_waiting()
            if trio.current_time() - began_s >= CLOSE_IDLE_AFTER_S:
                self._server.close_idle()
                if not self._has_work():
                    # Connections that wait to be accepted are served first.
                    self._server.stop_accepting()
                    await trio.sleep(IDLE_CHECK_INTERVAL_S)
                    if not self._has_work():
                        break
            await trio.sleep(IDLE_CHECK_INTERVAL_S)
        await self._give_up(end_s)
        LOGGER.info(
            "Stopping; {} requests in flight are cancelled.",
            self._server.unanswered_count(),
        )
        nursery.cancel_scope.cancel()

    async def _give_up(self, end_s: float) -> None:
        """Answer the requests that still run, then wait for the answers.

        Pattern: a planned stop of a busy daemon. A fixed time for the answers
        is over before all of them are written.
        """
        self._server.stop_accepting()
        self._running.give_up()
        late_s = trio.current_time() + LAST_ANSWERS_S + LATE_ANSWERS_S
        while self._has_work() and (
            trio.current_time() < end_s
            or (
                self._server.unanswered_count()
                and trio.current_time() < late_s
            )
        ):
            self._server.close_idle()
            await trio.sleep(ANSWER_CHECK_INTERVAL_S)

    def _has_work(self) -> bool:
        """Return whether a caller or a peer still waits for an answer."""
        return bool(
            self._server.connections
            or self._branch_server.running_count
            or self._gatherers.running_count
        )

    async def _announce(self) -> None:
        await self._members.announce(draining=True, left=False)
