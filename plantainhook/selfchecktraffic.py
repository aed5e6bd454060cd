"""Generate the requests of a month for the self-check of the figures.

At every daemon, requests arrive evenly over the month. Some are resent, and
some archive requests wait for minutes. Requests that are open when a daemon is
killed are never answered.
"""

import dataclasses
import heapq
import itertools
import random
import typing

import msgspec

from plantainhook import requestrecord, schema

RESEND_RATIO: typing.Final = 0.03
REFUSED_RATIO: typing.Final = 0.01
PARTIAL_RATIO: typing.Final = 0.05
LOG_LATENCY_MEAN: typing.Final = 3.4
LOG_LATENCY_SIGMA: typing.Final = 0.9
ARCHIVE_WAIT_MAX_MS: typing.Final = 3_000_000.0
RESEND_WAIT_MAX_S: typing.Final = 30.0
RESEND_LATENCY_MS: typing.Final = 2.0
DEADLINE_MS: typing.Final = 100.0

KINDS: typing.Final = (
    ("tiles", schema.RequestClass.INTERACTIVE, 60),
    ("corrections", schema.RequestClass.URGENT, 15),
    ("filings", schema.RequestClass.SEARCH, 20),
    ("history", schema.RequestClass.ARCHIVE, 5),
)
_KIND_CHOICES: typing.Final = [kind[:2] for kind in KINDS]
_KIND_WEIGHTS: typing.Final = list(
    itertools.accumulate(kind[2] for kind in KINDS)
)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Generate the requests of one daemon incarnation."""

    daemon: str
    incarnation: int
    random: random.Random
    _unanswered: list[tuple[float, int, requestrecord.RequestRecord]] = (
        dataclasses.field(default_factory=list)
    )
    _number: int = 0

    def add_arrivals(
        self, from_wall_s: float, to_wall_s: float, count: int
    ) -> None:
        """Generate a number of arrivals within an interval."""
        for _ in range(count):
            self._add(self.random.uniform(from_wall_s, to_wall_s))

    def pop_answered(
        self, until_wall_s: float
    ) -> list[requestrecord.RequestRecord]:
        """Remove and return the records answered up to a time, in order."""
        records = []
        while self._unanswered and self._unanswered[0][0] <= until_wall_s:
            records.append(heapq.heappop(self._unanswered)[2])
        return records

    def last_answer_wall_s(self) -> float:
        """Return when the last open request is answered, or 0 if none is."""
        return max((item[0] for item in self._unanswered), default=0.0)

    def _add(self, arrived_wall_s: float) -> None:
        record = self._record(arrived_wall_s)
        self._push(record)
        if self.random.random() < RESEND_RATIO:
            self._push(self._resend(record))

    def _push(self, record: requestrecord.RequestRecord) -> None:
        self._number += 1
        entry = (record.answered_wall_s, self._number, record)
        heapq.heappush(self._unanswered, entry)

    def _record(self, arrived_wall_s: float) -> requestrecord.RequestRecord:
        kind, request_class = self.random.choices(
            _KIND_CHOICES, cum_weights=_KIND_WEIGHTS
        )[0]
        latency_ms = self._latency_ms(request_class)
        status, coverage_ratio = self._outcome()
        return requestrecord.RequestRecord(
            daemon=self.daemon,
            incarnation=self.incarnation,
            request_id=f"{self.incarnation:x}-{self._number}",
            kind=kind,
            request_class=request_class.value,
            arrived_wall_s=arrived_wall_s,
            answered_wall_s=arrived_wall_s + latency_ms / 1000,
            status=status,
            coverage_ratio=coverage_ratio,
            latency_ms=latency_ms,
            deadline_met=latency_ms <= DEADLINE_MS,
        )

    def _resend(
        self, first: requestrecord.RequestRecord
    ) -> requestrecord.RequestRecord:
        wait_s = self.random.uniform(0, RESEND_WAIT_MAX_S)
        arrived_wall_s = first.answered_wall_s + wait_s
        return msgspec.structs.replace(
            first,
            request_id=f"{self.incarnation:x}-{self._number}",
            arrived_wall_s=arrived_wall_s,
            answered_wall_s=arrived_wall_s + RESEND_LATENCY_MS / 1000,
            latency_ms=RESEND_LATENCY_MS,
            resend_of=first.request_id,
        )

    def _latency_ms(self, request_class: schema.RequestClass) -> float:
        if request_class is schema.RequestClass.ARCHIVE:
            return self.random.uniform(10, ARCHIVE_WAIT_MAX_MS)
        return self.random.lognormvariate(LOG_LATENCY_MEAN, LOG_LATENCY_SIGMA)

    def _outcome(self) -> tuple[requestrecord.Status, float]:
        random_value = self.random.random()
        if random_value < REFUSED_RATIO:
            return requestrecord.Status.REFUSED, 0.0
        if random_value < REFUSED_RATIO + PARTIAL_RATIO:
            coverage_ratio = self.random.uniform(0.6, 1.0)
            return requestrecord.Status.PARTIAL, coverage_ratio
        return requestrecord.Status.COMPLETE, 1.0
