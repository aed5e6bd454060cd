"""Define the faults of the fault matrix, a test of every fault at every step.

The matrix has one row per fault. Its tests fail if a fault is added here
without code that injects it.
"""

import enum


class Fault(enum.StrEnum):
    """Name a fault that may occur at any step."""

    STRAGGLER = "straggler"
    REPLICA_LOST = "replica_lost"
    REPARTITION = "repartition"
    VERSION_CHANGE = "version_change"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_REPLY_LOST = "store_reply_lost"
    STORE_STALE_READ = "store_stale_read"
    HOLDER_PAUSED = "holder_paused"
    OPERATOR_RACE = "operator_race"
    POISON_REQUEST = "poison_request"
    LEAF_DRAINS = "leaf_drains"
    LEAF_COLD = "leaf_cold"
    HEALTH_MISLEADS = "health_misleads"
    DAEMON_DIES = "daemon_dies"
    DAEMON_DRAINS = "daemon_drains"
    PARTITION = "partition"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_RESET = "connection_reset"
    HALF_OPEN = "half_open"
    SLOW_READER = "slow_reader"
    CORRUPT_MESSAGE = "corrupt_message"
    OVERSIZED_MESSAGE = "oversized_message"
    DUPLICATE_REPLY = "duplicate_reply"
    REORDERED_REPLY = "reordered_reply"
    LATE_REPLY = "late_reply"
    CALLER_CANCELS = "caller_cancels"
    CLOCK_JUMP = "clock_jump"
    QUEUE_FULL = "queue_full"
    NO_FILE_DESCRIPTORS = "no_file_descriptors"
