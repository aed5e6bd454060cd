"""Define the steps at which a fault can occur.

Errors and the decision log name one of these steps. The fault matrix has one
column per step, and its tests fail if a step is added here without a column.
"""

import enum


class Step(enum.StrEnum):
    """Name a step at which a fault can occur."""

    QUERY_ACCEPT = "query.accept"
    QUERY_ADMIT = "query.admit"
    QUERY_PIN = "query.pin"
    QUERY_PLAN = "query.plan"
    QUERY_CONNECT = "query.connect"
    QUERY_SEND = "query.send"
    QUERY_WAIT = "query.wait"
    QUERY_HEDGE = "query.hedge"
    QUERY_MERGE = "query.merge"
    QUERY_ANSWER = "query.answer"
    QUERY_RECORD = "query.record"
    SETTINGS_VALIDATE = "settings.validate"
    SETTINGS_WRITE = "settings.write"
    SETTINGS_NOTICE = "settings.notice"
    SETTINGS_SPREAD = "settings.spread"
    SETTINGS_APPLY = "settings.apply"
    MEMBERS_PROBE = "members.probe"
    MEMBERS_SPREAD = "members.spread"
    SHARES_CLAIM = "shares.claim"
    SHARES_RELEASE = "shares.release"
    LEASE_RENEW = "lease.renew"
    LEASE_EXPIRE = "lease.expire"
    LEASE_TAKE_OVER = "lease.take_over"
    LEASE_RESUME = "lease.resume"
    STOP_ANNOUNCE = "stop.announce"
    STOP_DRAIN = "stop.drain"
    STOP_HAND_OVER = "stop.hand_over"
    STOP_EXIT = "stop.exit"
    FIGURES_COUNT = "figures.count"
    FIGURES_WRITE = "figures.write"
    FIGURES_FOLD = "figures.fold"
    FIGURES_CLOSE = "figures.close"
