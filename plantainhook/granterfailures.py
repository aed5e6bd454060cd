"""Decide how long a granter of quotas that has not answered is avoided.

Pattern: a busy granter answers a report late, or a granter is frozen for some
seconds, and all daemons turn to its substitute and back.
"""

import dataclasses
import typing

# A granter that has not answered is avoided for the longest time, by its
# substitute for the shorter one. If daemons returned one by one, each of the
# two granters would know only a part of the admissions for that time.
FAILED_AVOID_S: typing.Final = 3.0
FAILED_AVOID_MAX_S: typing.Final = 6.0
# A daemon returns sooner, and later after each further failure, if the
# substitute uses the granter. Pattern: a busy granter answers one report late.
RETURN_MIN_S: typing.Final = 0.5
# Failures are forgotten after this time.
KEPT_S: typing.Final = 60.0


@dataclasses.dataclass(slots=True)
class _Failure:
    """Describe a granter that has not answered.

    After ``pause_s`` it may be tried again if it seems to be up.
    """

    at_s: float
    pause_s: float
    is_avoided: bool = True


class GranterFailures:
    """Store which granters have not answered, by incarnation."""

    def __init__(self) -> None:
        self._failures: dict[int, _Failure] = {}

    def record(self, incarnation: int, now_s: float) -> None:
        """Record that a granter has not answered."""
        before = self._failures.get(incarnation)
        pause_s = RETURN_MIN_S
        if before is not None:
            pause_s = min(FAILED_AVOID_S, 2.0 * before.pause_s)
        self._failures[incarnation] = _Failure(now_s, pause_s)

    def clear(self, incarnation: int) -> None:
        """Record that a granter has answered."""
        self._failures.pop(incarnation, None)

    def avoided(self, is_substitute: bool, now_s: float) -> set[int]:
        """Return the granters that are not tried now.

        ``is_substitute`` states whether this daemon grants itself.
        """
        self._failures = {
            incarnation: failure
            for incarnation, failure in self._failures.items()
            if now_s - failure.at_s < KEPT_S
        }
        avoid_s = FAILED_AVOID_S if is_substitute else FAILED_AVOID_MAX_S
        return {
            incarnation
            for incarnation, failure in self._failures.items()
            if failure.is_avoided and now_s - failure.at_s < avoid_s
        }

    def retry_first(self, incarnation: int) -> bool:
        """Let a granter be tried again at once after its first failure."""
        failure = self._failures.get(incarnation)
        if failure is None or failure.pause_s > RETURN_MIN_S:
            return False
        is_avoided, failure.is_avoided = failure.is_avoided, False
        return is_avoided

    def retry(self, incarnation: int | None, now_s: float) -> None:
        """Let a granter, or all if None, be tried again after its pause."""
        for failed, failure in self._failures.items():
            if incarnation in (None, failed) and (
                now_s - failure.at_s >= failure.pause_s
            ):
                failure.is_avoided = False
