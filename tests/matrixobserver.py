"""Checks the eight promises in a world, from what the leafs really ran."""

import collections
import typing
from collections import abc

from plantainhook import callerapi, errors
from tests import matrixcluster, matrixlayout

NEW_WORK_LIMIT_S: typing.Final = 3.0
HTTP_OK: typing.Final = 200

Runs = dict[str, collections.Counter[str]]


def check_world(world: matrixcluster.Cluster) -> list[str]:
    """Return every promise that was broken, one line each."""
    runs = runs_by_fingerprint(world)
    return [
        *check_answers(world),
        *check_not_run(world, runs),
        *check_once(world, runs),
        *check_draining(world),
        *check_connections(world),
        *check_stops(world),
        *check_revisions(world),
    ]


def runs_by_fingerprint(world: matrixcluster.Cluster) -> Runs:
    """Return how often each shard ran for each request."""
    runs: Runs = {}
    for leaf in world.leafs.values():
        for run in leaf.journal.runs:
            counter = runs.setdefault(run.fingerprint, collections.Counter())
            counter[run.shard] += 1
    return runs


def check_answers(world: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find mixed snapshots, wrong coverage and answers of others."""
    for exchange in world.exchanges:
        response = exchange.response
        if response is None or response.http_status != HTTP_OK:
            continue
        answer = callerapi.AnswerBody.model_validate_json(response.body)
        merged = len(answer.results)
        if abs(answer.coverage - merged / matrixlayout.SHARD_COUNT) > 1e-9:
            yield f"coverage {answer.coverage} of {merged} shards"
        if merged + len(answer.missing_shards) != matrixlayout.SHARD_COUNT:
            yield "missing shards are not all named"
        if (answer.status == "complete") != (not answer.missing_shards):
            yield f"{answer.status} with missing {answer.missing_shards}"
        fingerprint = callerapi.fingerprint_of(exchange.body)
        for shard, items in answer.results.items():
            for item in items:
                if item["snapshot"] != answer.snapshot:
                    yield "mixed snapshots"
                if (item["fingerprint"], item["shard"]) != (
                    fingerprint,
                    shard,
                ):
                    yield "the answer of another request"


def check_not_run(
    world: matrixcluster.Cluster, runs: Runs
) -> abc.Iterator[str]:
    """Find refusals that say "not run" of a request that ran."""
    for exchange in world.exchanges:
        response = exchange.response
        if response is None or response.http_status == HTTP_OK:
            continue
        refusal = callerapi.RefusalBody.model_validate_json(response.body)
        if "poison" in exchange.body.params:
            # Its resends are requests of their own with one fingerprint.
            continue
        ran = callerapi.fingerprint_of(exchange.body) in runs
        if refusal.ran is errors.Ran.NO and ran:
            yield f"false 'not run': {refusal.refusal} at {refusal.step}"


def check_once(world: matrixcluster.Cluster, runs: Runs) -> abc.Iterator[str]:
    """Find non-idempotent requests that ran twice on a shard."""
    for exchange in world.exchanges:
        if exchange.body.kind != "record":
            continue
        counts = runs.get(callerapi.fingerprint_of(exchange.body))
        if counts and max(counts.values()) > 1:
            yield f"ran more than once: {dict(counts)}"


def check_draining(world: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find work that a leaving leaf took too late."""
    for name, since_s in world.draining_since_s.items():
        limit_s = since_s + NEW_WORK_LIMIT_S
        leaf = world.leafs[name]
        if any(run.started_s > limit_s for run in leaf.journal.runs):
            yield f"{name} took new work while leaving"
        # A leaf whose health endpoint says that it is live is asked again
        # after a refusal, at growing intervals; it takes no work.
        misleads = leaf.behaviour.health_says is not None
        if not misleads and max(leaf.request_times_s, default=0.0) > limit_s:
            yield f"{name} was sent new work while leaving"


def check_connections(world: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find leafs that had too many connections."""
    for name, leaf in world.leafs.items():
        if leaf.over_limit_count:
            yield f"{name} had more connections than its limit"


def check_stops(world: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find requests that got no reply from a daemon that was not killed."""
    for exchange in world.exchanges:
        if exchange.response is None and not exchange.may_lack_reply:
            yield f"a {exchange.body.kind} request was cut off"
        if exchange.duration_s > matrixcluster.ANSWER_LIMIT_S + world.paused_s:
            yield f"an answer took {exchange.duration_s:.1f} s"


def check_revisions(world: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find daemons whose settings went back or were not updated."""
    head = world.head_revision()
    for node in world.nodes:
        if node.revisions != sorted(node.revisions):
            yield "the settings reverted"
        revision = node.daemon.board.settings.revision
        if node.is_alive() and revision != head:
            name = node.daemon.options.name
            yield f"{name} has revision {revision}, in force is {head}"
