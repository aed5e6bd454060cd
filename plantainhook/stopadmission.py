"""Decide which requests a daemon still takes during its planned stop.

A request that is refused before it is passed on can be sent to another daemon
at once. One that is passed on and not answered before the process exits is
lost. What a request may still need decides, and not a fixed moment: first the
slowest recent answer of its route, while callers still have to learn that this
daemon leaves; later the whole time that the caller or the route allows.

The module does no I/O. ``ForwardDaemon`` begins the stop, and
``ForwardService`` records durations and asks for admission.
"""

import math
import typing

# The slowest answer of a route is that of the last one to two windows.
WINDOW_S: typing.Final = 30.0


class StopAdmission:
    """Admit requests that can be answered before the stop ends."""

    def __init__(self) -> None:
        self._certain_from_s = math.inf
        self._end_s = math.inf
        self._window_began_s = -math.inf
        self._slowest_s: dict[str, float] = {}
        self._slowest_before_s: dict[str, float] = {}

    def record(self, route: str, duration_s: float, now_s: float) -> None:
        """Record how long a request of a route took until its answer."""
        if now_s - self._window_began_s >= WINDOW_S:
            self._slowest_before_s = self._slowest_s
            self._slowest_s = {}
            self._window_began_s = now_s
        self._slowest_s[route] = max(
            self._slowest_s.get(route, 0.0), duration_s
        )

    def begin(self, certain_from_s: float, end_s: float) -> None:
        """Begin the stop; requests are answered until ``end_s``.

        From ``certain_from_s`` on, a request must end by its deadline.
        """
        self._certain_from_s = certain_from_s
        self._end_s = end_s

    def admits(
        self, route: str, goal_s: float, left_s: float, now_s: float
    ) -> bool:
        """Return whether a request may still be taken.

        ``left_s`` is the time until its deadline. ``goal_s`` is the latency
        goal of its route, which is expected if no answer was recorded.
        """
        expected_s = max(
            self._slowest_s.get(route, 0.0),
            self._slowest_before_s.get(route, 0.0),
        )
        return self.admits_work(expected_s or goal_s, left_s, now_s)

    def admits_work(
        self, expected_s: float, left_s: float, now_s: float
    ) -> bool:
        """Return whether work that may take ``left_s`` may be taken.

        It is expected to take ``expected_s``.
        """
        needed_s = left_s
        if now_s < self._certain_from_s:
            needed_s = min(left_s, expected_s)
        return now_s + needed_s <= self._end_s
