"""Define the inputs and outputs of the decisions on gathered queries.

``gathertree.GatherTree`` takes batches and returns actions, which
``branchgather`` carries out. ``branchworker`` builds the batches.
"""

import dataclasses

from plantainhook import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Represent the parts that a branch has newly received.

    ``signatures`` is by service. ``lost`` names services without an answer,
    ``unknown`` those without a leaf that the helper knows. ``quarantine_ms``
    is set if the request is quarantined. A batch contains everything since
    the one that was acknowledged last; ``sequence`` counts the batches.
    """

    records: bytes
    signatures: dict[str, bytes]
    lost: frozenset[str]
    unknown: frozenset[str]
    done: bool
    ran: bool
    quarantine_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TreeRules:
    """Define when a query is complete, acceptable and late."""

    min_coverage_ratio: float
    goal_s: float
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartBranch:
    """Represent the action of starting a branch."""

    branch_id: int
    address: str | None
    services: tuple[str, ...]
    wait_until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskMore:
    """Represent the action of asking a branch for its next batch.

    ``ask`` numbers the messages to the branch. If ``is_repeated``, the last
    message is sent again on another connection.
    """

    branch_id: int
    ask: int
    wait_until_s: float
    wants_progress: bool
    acknowledged: int
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Represent the action of calling ``on_timer`` at a time."""

    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """Represent the merged parts of an answer.

    ``records`` are those of each batch, and ``missing`` names the services
    without a part.
    """

    signatures: dict[str, bytes]
    records: tuple[bytes, ...]
    missing: tuple[str, ...]
    total_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Represent the action of ending the query with its outcome."""

    outcome: Gathered | errors.RefusalError


Action = StartBranch | AskMore | SetTimer | Finish
Actions = list[Action]
