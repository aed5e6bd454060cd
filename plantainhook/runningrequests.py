"""Track the requests that a daemon runs, and end them in a planned stop.

``stopadmission`` decides; this module applies the decision to each request
when it arrives and, until it is passed on, again and again.
"""

import contextlib
import dataclasses
import math
from collections import abc

import trio

from plantainhook import forwardtypes, routetable, stopadmission


@dataclasses.dataclass(slots=True, eq=False)
class RunningRequest:
    """Track a request that runs; ``scope`` is cancelled to give it up.

    ``route`` is set once the request is admitted.
    """

    route: routetable.Route | None = None
    deadline_s: float = math.inf
    progress: forwardtypes.Progress = dataclasses.field(
        default_factory=forwardtypes.Progress
    )
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


class RunningRequests:
    """Hold the requests of callers and peers that run."""

    def __init__(self, stop: stopadmission.StopAdmission) -> None:
        self._stop = stop
        self._running: set[RunningRequest] = set()

    @contextlib.contextmanager
    def track(self) -> abc.Iterator[RunningRequest]:
        """Track a request inside of its scope."""
        running = RunningRequest()
        self._running.add(running)
        try:
            with running.scope:
                yield running
        finally:
            self._running.discard(running)

    def admit(
        self,
        running: RunningRequest,
        route: routetable.Route,
        deadline_s: float,
    ) -> bool:
        """Return whether a request can be answered before a stop ends.

        It ends at its deadline at the latest.
        """
        if not self._admits(route, deadline_s):
            return False
        running.route = route
        running.deadline_s = deadline_s
        return True

    def refuse_waiting(self) -> None:
        """End requests that wait and can't be answered in time any more.

        Pattern: a planned stop under load, with requests that wait for a
        connection to a leaf.
        """
        for running in self._running:
            if (
                running.route is not None
                and not running.progress.passed_on
                and not self._admits(running.route, running.deadline_s)
            ):
                running.scope.cancel()

    def give_up(self) -> None:
        """End all requests, also those that are passed on.

        Pattern: a planned stop ends while leafs still work. A caller that is
        told so can act sooner than one whose connection is closed.
        """
        for running in self._running:
            running.scope.cancel()

    def _admits(self, route: routetable.Route, deadline_s: float) -> bool:
        now_s = trio.current_time()
        return self._stop.admits(
            route.name, route.goal_ms / 1e3, deadline_s - now_s, now_s
        )
