"""Choose the gatherer of a request by capacity and load.

Pattern: many daemons know the load of a few gatherers, as it was up to half a
second ago. If all chose the least loaded one, they would overload it until
the next report. Each request therefore has two gatherers, drawn by its id and
weighted by capacity, and goes to the second one only if it has clearly less
load.
"""

import dataclasses
import math
import typing
from collections import abc

from plantainhook import hashing

# The weight of a report falls to nothing within this time.
REPORT_VALID_S: typing.Final = 0.5
# A smaller difference of the loads may be due to the age of the reports.
DIFFERENCE_MIN_S: typing.Final = 0.045
CHOICES_COUNT: typing.Final = 2
HASH_RANGE: typing.Final = 2.0**64


@dataclasses.dataclass(slots=True)
class _Report:
    """Store the CPU time that a gatherer's queries needed, and when."""

    queued_s: float
    at_s: float


@dataclasses.dataclass(slots=True)
class GathererLoads:
    """Hold what this daemon knows of the load of the gatherers."""

    _reports: dict[str, _Report] = dataclasses.field(default_factory=dict)
    _sent_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def report(self, address: str, queued_s: float, now_s: float) -> None:
        """Store the load that a gatherer reports."""
        self._reports[address] = _Report(queued_s, now_s)

    def begin(self, address: str, work_s: float) -> None:
        """Count a request that is sent to a gatherer."""
        self._sent_s[address] = self._sent_s.get(address, 0.0) + work_s

    def end(self, address: str, work_s: float) -> None:
        """Remove a request that the gatherer has answered or refused."""
        left_s = self._sent_s.get(address, 0.0) - work_s
        if left_s > 1e-9:
            self._sent_s[address] = left_s
        else:
            self._sent_s.pop(address, None)

    def keep(self, addresses: abc.Container[str]) -> None:
        """Forget the reports of daemons that no longer gather."""
        for address in list(self._reports):
            if address not in addresses:
                del self._reports[address]

    def queued_s(self, address: str, now_s: float) -> float:
        """Return the CPU time that the queries of a gatherer need."""
        sent_s = self._sent_s.get(address, 0.0)
        report = self._reports.get(address)
        if report is None:
            return sent_s
        age_s = max(0.0, now_s - report.at_s)
        weight = max(0.0, 1.0 - age_s / REPORT_VALID_S)
        return max(sent_s, report.queued_s * weight)

    def choose(
        self, request_id: str, cores: abc.Mapping[str, float], now_s: float
    ) -> list[str]:
        """Return the gatherers to ask, the preferred one first.

        ``cores`` has the capacity of each gatherer by its address.
        """
        drawn = sorted(
            cores,
            key=lambda address: _draw(request_id, address) / cores[address],
        )[:CHOICES_COUNT]
        loads_s = [self.queued_s(address, now_s) for address in drawn]
        if loads_s and loads_s[0] > min(loads_s) + DIFFERENCE_MIN_S:
            drawn.reverse()
        return drawn


def _draw(request_id: str, address: str) -> float:
    """Return an exponentially distributed number, fixed for the request.

    The lowest number, divided by the weights, falls on each address with a
    probability in proportion to its weight. See Efraimidis and Spirakis,
    "Weighted random sampling with a reservoir", 2006.
    """
    hashed = hashing.score(request_id, address)
    return -math.log((hashed + 1.0) / (HASH_RANGE + 1.0))
