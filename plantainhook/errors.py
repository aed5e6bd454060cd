"""Define the errors of the package.

Every error carries the step and the peer at which it arose. Expected failures
are returned as ``result.Err`` values. The same classes are exceptions, so
that a caller of the library can raise them.
"""

import enum
import typing
from collections import abc

from plantainhook import steps


class Ran(enum.StrEnum):
    """State whether a request may have run on a backend server."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class PlantainhookError(Exception):
    """Represent a failure with its step, its peer and a description."""

    def __init__(self, step: steps.Step, peer: str, detail: str) -> None:
        super().__init__(f"{step} ({peer}): {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail


class SettingsError(PlantainhookError):
    """Report an invalid value in the settings.

    ``line`` is 0 if the position in the file is not known. ``expected``
    states what is valid and what was found.
    """

    def __init__(
        self, file: str, line: int, key_path: str, expected: str
    ) -> None:
        super().__init__(
            steps.Step.SETTINGS_VALIDATE,
            file,
            f"line {line}: {key_path}: {expected}",
        )
        self.file = file
        self.line = line
        self.key_path = key_path
        self.expected = expected


class SettingsInvalidError(PlantainhookError):
    """Report all errors in settings that are not valid."""

    def __init__(self, problems: abc.Sequence[SettingsError]) -> None:
        first = problems[0]
        count = len(problems)
        detail = f"{count} errors, the first: {first.detail}"
        super().__init__(steps.Step.SETTINGS_VALIDATE, first.file, detail)
        self.problems = tuple(problems)


class SettingsConflictError(PlantainhookError):
    """Report a change whose base revision is no longer the newest.

    Another operator's change was accepted first. ``report`` shows the
    difference and how to apply the change again.
    """

    def __init__(
        self, peer: str, detail: str, report: str, current_revision: int
    ) -> None:
        super().__init__(steps.Step.SETTINGS_WRITE, peer, detail)
        self.report = report
        self.current_revision = current_revision


class ObjectApiError(PlantainhookError):
    """Report a failed call of the object API."""


class ObjectNotFoundError(ObjectApiError):
    """Report a key that does not exist."""


class ObjectConflictError(ObjectApiError):
    """Report a conditional write whose condition was not met.

    ``current_request_id`` is the request id of the write that created the
    current version; it is empty if the object does not exist.
    """

    def __init__(
        self,
        step: steps.Step,
        peer: str,
        detail: str,
        current_version: int,
        current_request_id: str = "",
    ) -> None:
        super().__init__(step, peer, detail)
        self.current_version = current_version
        self.current_request_id = current_request_id


class ObjectTooLargeError(ObjectApiError):
    """Report a value over the size limit of the object API."""


class ObjectApiUnavailableError(ObjectApiError):
    """Report a failed call that certainly had no effect."""


class ObjectReplyError(ObjectApiUnavailableError):
    """Report a reply that is too large or is no HTTP reply."""


class ObjectRateLimitedError(ObjectApiUnavailableError):
    """Report a call over the rate limit; it had no effect."""

    def __init__(
        self, step: steps.Step, peer: str, detail: str, retry_after_s: float
    ) -> None:
        super().__init__(step, peer, detail)
        self.retry_after_s = retry_after_s


class ObjectOutcomeUnknownError(ObjectApiError):
    """Report a write that may have taken effect."""


class FencedError(PlantainhookError):
    """Report a write with a lease epoch lower than that of the object.

    ``object_epoch`` is 0 if the lease ended before any write was sent.
    """

    def __init__(
        self,
        step: steps.Step,
        peer: str,
        detail: str,
        object_epoch: int = 0,
    ) -> None:
        super().__init__(step, peer, detail)
        self.object_epoch = object_epoch


class PeerError(PlantainhookError):
    """Report a failed exchange with another daemon.

    ``ran`` states whether the peer may have acted on the message.
    """

    def __init__(
        self, step: steps.Step, peer: str, detail: str, ran: Ran
    ) -> None:
        super().__init__(step, peer, detail)
        self.ran = ran


class MessageError(PlantainhookError):
    """Report a message that is malformed, too large or of another version."""


class LeafFailureKind(enum.StrEnum):
    """Classify the failures of calls to leafs."""

    CONNECT = "connect"
    CONNECTION_LOST = "connection_lost"
    REFUSED = "refused"
    NOT_SERVED = "not_served"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    NO_CONNECTION = "no_connection"


# With ran=no, these kinds of failure mean that no byte of the request was
# written, so the work certainly did not run.
UNSENT_KINDS: typing.Final = frozenset(
    {
        LeafFailureKind.CONNECT,
        LeafFailureKind.NO_CONNECTION,
        LeafFailureKind.CONNECTION_LOST,
    }
)


class LeafError(PlantainhookError):
    """Report a failed call to a leaf.

    ``ran`` states whether the leaf may have run the request. ``served``
    lists the index versions that the leaf named in a 409 reply.
    ``nothing_listens`` is set if the address refused the connection.
    """

    nothing_listens: bool = False

    def __init__(
        self,
        step: steps.Step,
        peer: str,
        detail: str,
        kind: LeafFailureKind,
        ran: Ran,
        served: tuple[int, ...] = (),
    ) -> None:
        super().__init__(step, peer, detail)
        self.kind = kind
        self.ran = ran
        self.served = served

    def is_unsent(self) -> bool:
        """Return whether the leaf received no part of the request."""
        return self.ran is Ran.NO and self.kind in UNSENT_KINDS


class RefusalKind(enum.StrEnum):
    """Classify refusals that a caller receives."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_TARGET = "unknown_target"
    UNKNOWN_KIND = "unknown_kind"
    TICKET_REQUIRED = "ticket_required"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    COVERAGE = "coverage"
    QUARANTINED = "quarantined"
    STARTING = "starting"
    DRAINING = "draining"
    NO_SNAPSHOT = "no_snapshot"
    NOT_AUTHORISED = "not_authorised"


class RefusalError(PlantainhookError):
    """Report a query that is refused instead of answered.

    ``ran`` states whether a leaf may have run it. ``retry_after_ms`` is 0 if
    a retry is of no use.
    """

    def __init__(
        self,
        step: steps.Step,
        peer: str,
        detail: str,
        kind: RefusalKind,
        ran: Ran,
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(step, peer, detail)
        self.kind = kind
        self.ran = ran
        self.retry_after_ms = retry_after_ms
