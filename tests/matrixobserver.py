"""Check the eight guarantees for a cluster of the fault matrix.

The checks compare the responses that callers received with the journals of
the stand-in leafs, which record what was really executed. Each check yields
one line for each violation; ``test_matrix`` matches some of these texts.
"""

import collections
import typing
from collections import abc

from plantainhook import callerapi, errors
from tests import matrixcluster, matrixlayout

NEW_WORK_LIMIT_S: typing.Final = 3.0
HTTP_OK: typing.Final = 200

Runs = dict[str, collections.Counter[str]]


def check_cluster(cluster: matrixcluster.Cluster) -> list[str]:
    """Return all violations of guarantees, one line each."""
    runs = runs_by_fingerprint(cluster)
    return [
        *check_answers(cluster),
        *check_not_run(cluster, runs),
        *check_ran_once(cluster, runs),
        *check_draining(cluster),
        *check_connections(cluster),
        *check_replies(cluster),
        *check_revisions(cluster),
    ]


def runs_by_fingerprint(cluster: matrixcluster.Cluster) -> Runs:
    """Return how often each shard was run, by request fingerprint."""
    runs: Runs = {}
    for leaf in cluster.leafs.values():
        for run in leaf.journal.runs:
            counter = runs.setdefault(run.fingerprint, collections.Counter())
            counter[run.shard] += 1
    return runs


def check_answers(cluster: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find mixed snapshots, wrong coverage and results of other requests."""
    for exchange in cluster.exchanges:
        response = exchange.response
        if response is None or response.http_status != HTTP_OK:
            continue
        answer = callerapi.AnswerBody.model_validate_json(response.body)
        result_count = len(answer.results)
        if (
            abs(answer.coverage - result_count / matrixlayout.SHARD_COUNT)
            > 1e-9
        ):
            yield f"coverage {answer.coverage} of {result_count} shards"
        if (
            result_count + len(answer.missing_shards)
            != matrixlayout.SHARD_COUNT
        ):
            yield "not all missing shards are listed"
        if (answer.status == "complete") != (not answer.missing_shards):
            yield f"{answer.status} but missing {answer.missing_shards}"
        fingerprint = callerapi.fingerprint_of(exchange.body)
        for shard, items in answer.results.items():
            for item in items:
                if item["snapshot"] != answer.snapshot:
                    yield "mixed snapshots"
                if (item["fingerprint"], item["shard"]) != (
                    fingerprint,
                    shard,
                ):
                    yield "results of another request"


def check_not_run(
    cluster: matrixcluster.Cluster, runs: Runs
) -> abc.Iterator[str]:
    """Find refusals that state "not run" for a request that ran."""
    for exchange in cluster.exchanges:
        response = exchange.response
        if response is None or response.http_status == HTTP_OK:
            continue
        refusal = callerapi.RefusalBody.model_validate_json(response.body)
        if "poison" in exchange.body.params:
            # The request is sent several times with the same fingerprint,
            # so the journals cannot tell which of them ran.
            continue
        ran = callerapi.fingerprint_of(exchange.body) in runs
        if refusal.ran is errors.Ran.NO and ran:
            yield f"false 'not run': {refusal.refusal} at {refusal.step}"


def check_ran_once(
    cluster: matrixcluster.Cluster, runs: Runs
) -> abc.Iterator[str]:
    """Find non-idempotent requests that ran more than once on a shard."""
    for exchange in cluster.exchanges:
        if exchange.body.kind != "record":
            continue
        counts = runs.get(callerapi.fingerprint_of(exchange.body))
        if counts and max(counts.values()) > 1:
            yield f"ran more than once: {dict(counts)}"


def check_draining(cluster: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find work that a leaf started or was sent too long after its drain."""
    for name, since_s in cluster.draining_since_s.items():
        limit_s = since_s + NEW_WORK_LIMIT_S
        leaf = cluster.leafs[name]
        if any(run.started_s > limit_s for run in leaf.journal.runs):
            yield f"{name} started new work while draining"
        # After a refusal, daemons retry a leaf whose health endpoint still
        # reports live, at growing intervals. The leaf refuses these calls.
        reports_live = leaf.behaviour.health_says is not None
        if (
            not reports_live
            and max(leaf.request_times_s, default=0.0) > limit_s
        ):
            yield f"{name} was sent new work while draining"


def check_connections(cluster: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find leafs that had more connections than their limit."""
    for name, leaf in cluster.leafs.items():
        if leaf.over_limit_count:
            yield f"{name} had more connections than its limit"


def check_replies(cluster: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find requests without a reply or with a late one.

    A reply may be missing only if the caller cancelled or the daemon was
    killed.
    """
    for exchange in cluster.exchanges:
        if exchange.response is None and not exchange.may_lack_reply:
            yield f"a {exchange.body.kind} request got no response"
        if (
            exchange.duration_s
            > matrixcluster.ANSWER_LIMIT_S + cluster.paused_s
        ):
            yield f"a response took {exchange.duration_s:.1f} s"


def check_revisions(cluster: matrixcluster.Cluster) -> abc.Iterator[str]:
    """Find daemons whose settings reverted or are not up to date."""
    head = cluster.head_revision()
    for node in cluster.nodes:
        if node.revisions != sorted(node.revisions):
            yield "the settings reverted to an earlier revision"
        revision = node.daemon.board.settings.revision
        if node.is_alive() and revision != head:
            name = node.daemon.options.name
            yield f"{name} has revision {revision}, but {head} is in force"
