"""Sends attempts to leafs over the connections of this daemon.

Implements ``executor.LeafCaller`` over the gateway. The parameters of a
query are encoded once and shared by its attempts.
"""

import json
import typing

from plantainhook import executor, leafwork, logs, querytypes

FIELDS_LIMIT_COUNT: typing.Final = 4096


class LeafRouter:
    """Run attempts through the gateway of this daemon."""

    def __init__(
        self, gateway: leafwork.LeafGateway, decisions: logs.DecisionLog
    ) -> None:
        self._gateway = gateway
        self._decisions = decisions
        self._fields: dict[str, leafwork.RequestFields] = {}

    async def call(
        self, request: querytypes.QueryRequest, send: querytypes.Send
    ) -> executor.AttemptResult:
        """Run one attempt and return its reply or typed failure."""
        fields = self._fields.get(request.request_id)
        if fields is None:
            if len(self._fields) >= FIELDS_LIMIT_COUNT:
                self._fields.clear()
            fields = request_fields(request)
            self._fields[request.request_id] = fields
        self._decisions.decide(
            f"Attempt {request.request_id}.{send.attempt_id} goes to "
            f"{send.leaf}: {len(send.shards)} shards, {send.reason}."
        )
        return await self._gateway.call(
            send.leaf, send, fields, send.deadline_s
        )


def request_fields(
    request: querytypes.QueryRequest,
) -> leafwork.RequestFields:
    """Return the fields that all attempts of a query share."""
    return leafwork.RequestFields(
        request.request_id,
        request.kind,
        request.fingerprint,
        json.dumps(request.params).encode(),
    )
